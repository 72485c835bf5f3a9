//! Real front ends as processes, and their configuration.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use pipithub_emulator::coordinator::{Coordinator, Counts};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Child;

use crate::Result;
use crate::node_process::node_command;

/// How long an expected state of a coordinator is awaited.
const PATIENCE: Duration = Duration::from_secs(60);
/// How often the state of a coordinator is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Writes the configuration of a front end to a file in a folder and returns its path.
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

/// A running front end.
pub(super) struct FrontEndProcess {
    child: Child,
    log: PathBuf,
}

impl FrontEndProcess {
    /// Starts `pipithub node` with a configuration file. Its log is written beside that file.
    pub(super) fn start(binary: &Path, config: &Path) -> Result<Self> {
        let log = config.with_extension("log");
        let log_file = Stdio::from(std::fs::File::create(&log)?);
        let child = node_command(binary, config, log_file).spawn()?;
        Ok(FrontEndProcess { child, log })
    }

    /// The process id of the front end; 0 if it has ended.
    pub(super) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// The lines of the front end's log that contain a text.
    pub(super) fn logged(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_string)
            .collect()
    }

    /// The address that the front end listens on, from its log; `None` before the front end is up.
    fn address(&self) -> Option<String> {
        let lines = self.logged("front end up");
        let address = lines.iter().find_map(|line| {
            line.split_whitespace()
                .find_map(|word| word.strip_prefix("address="))
        })?;
        Some(address.trim_matches('"').to_string())
    }

    /// Whether the front end reports itself as healthy; false before it is up.
    pub(super) async fn is_healthy(&self) -> Result<bool> {
        let Some(address) = self.address() else {
            return Ok(false);
        };
        let mut stream = TcpStream::connect(address).await?;
        stream
            .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n")
            .await?;
        let mut lines = BufReader::new(stream).lines();
        let answer = lines.next_line().await?.unwrap_or_default();
        Ok(serde_json::from_str::<Value>(&answer)?["result"]["healthy"] == true)
    }

    /// Kills the process and waits until it has ended.
    pub(super) async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}

/// Waits until a condition on the coordinator's counts holds. Fails if it does not hold in time.
pub(super) async fn wait_until(
    coordinator: &Coordinator,
    condition: impl Fn(Counts) -> bool,
) -> Result<()> {
    let polls = async {
        while !condition(coordinator.counts()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(PATIENCE, polls)
        .await
        .map_err(|_| "the coordinator did not reach the expected state in time")?;
    Ok(())
}
