//! Front ends as processes, real and hollow ones, and what the system says of them.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use pipithub_emulator::coordinator::{Coordinator, Counts};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use crate::Result;

/// A front end's configuration, in a file of this folder.
pub(super) fn configure(
    folder: &Path,
    coordinator: &Coordinator,
    name: &str,
    seed: u64,
) -> Result<PathBuf> {
    let class = |name: &str, effect: &str| json!({"Name": name, "Effect": effect, "Aim": 1_000_000_000u64, "GiveUp": 3_000_000_000u64, "LateWorth": 0.5});
    let config = json!({
        "name": name, "listen": "127.0.0.1:0", "seed": seed, "coordinator": coordinator.address().to_string(),
        "limits": {"memory_mb": 256, "sockets": 256}, "known": {"index": 0, "updates": []},
        "settings": {"PeersTotal": 1700, "Granularity": 2_000_000, "Zone": "zone-1", "Models": ["big"],
            "FamilyInfo": {"KindMemoryMb": [16384]},
            "Limits": {"MostTries": 4, "MayCancel": true, "StreamsPerConn": 1000},
            "Grades": [class("view", "read_like"), class("assign", "non_idempotent")]}
    });
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, config.to_string())?;
    Ok(path)
}

/// A real front end.
pub(super) struct FrontEnd {
    child: Child,
    log: PathBuf,
}

impl FrontEnd {
    /// Starts `pipithub node` by this configuration.
    pub(super) fn start(binary: &Path, config: &Path) -> Result<Self> {
        let log = config.with_extension("log");
        let child = Command::new(binary)
            .arg("node")
            .env("LB_CONFIG", config)
            .env_remove("LB_LISTEN")
            .env_remove("RUST_LOG")
            .env("NO_COLOR", "1")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log)?)
            .kill_on_drop(true)
            .spawn()?;
        Ok(FrontEnd { child, log })
    }

    /// Its process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Lines of its log that hold these words.
    pub(super) fn logged(&self, words: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .filter(|l| l.contains(words))
            .map(str::to_string)
            .collect()
    }

    /// Whether it says that it can serve.
    pub(super) async fn is_well(&self) -> Result<bool> {
        let up = self.logged("front end up");
        let address = up.iter().find_map(|l| {
            l.split_whitespace()
                .find_map(|w| w.strip_prefix("address="))
        });
        let Some(address) = address else {
            return Ok(false);
        };
        let mut stream = tokio::net::TcpStream::connect(address.trim_matches('"')).await?;
        stream
            .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n")
            .await?;
        let line = BufReader::new(stream)
            .lines()
            .next_line()
            .await?
            .unwrap_or_default();
        Ok(serde_json::from_str::<Value>(&line)?["result"]["healthy"] == true)
    }

    /// Kills it and waits until it is gone.
    pub(super) async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}

/// A process of many hollow front ends.
pub(super) struct HollowProcess {
    child: Child,
    stdin: ChildStdin,
    lines: Lines<BufReader<ChildStdout>>,
}

impl HollowProcess {
    /// Starts so many, numbered from `first`.
    pub(super) async fn start(config: &Path, count: usize, first: usize) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["hollow", "--config"])
            .arg(config)
            .args(["--count", &count.to_string(), "--first", &first.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let stdin = child.stdin.take().ok_or("no pipe")?;
        let lines = BufReader::new(child.stdout.take().ok_or("no pipe")?).lines();
        let mut process = HollowProcess {
            child,
            stdin,
            lines,
        };
        process.answer().await?;
        Ok(process)
    }

    /// Its process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    async fn answer(&mut self) -> Result<Value> {
        let line = tokio::time::timeout(Duration::from_secs(120), self.lines.next_line()).await??;
        Ok(serde_json::from_str(
            &line.ok_or("hollow front ends have ended")?,
        )?)
    }

    async fn request(&mut self, line: &str) -> Result<Value> {
        self.stdin.write_all(format!("{line}\n").as_bytes()).await?;
        self.stdin.flush().await?;
        self.answer().await
    }

    /// Waits until all have this event; the Unix time in nanoseconds at which the last one had it.
    pub(super) async fn await_event(&mut self, index: u64) -> Result<u64> {
        let told = self.request(&format!("await {index}")).await?;
        if told["wanted"] != 0 {
            return Err(format!("hollow front ends wanted connections: {told}").into());
        }
        Ok(told["at"].as_u64().unwrap_or(0))
    }

    /// Ends it and waits until it is gone.
    pub(super) async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}

/// Waits until this holds of what the coordinator counts.
pub(super) async fn wait_until(
    coordinator: &Coordinator,
    holds: impl Fn(Counts) -> bool,
) -> Result<()> {
    let turns = async {
        while !holds(coordinator.counts()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), turns)
        .await
        .map_err(|_| "the coordinator never saw it")?;
    Ok(())
}
