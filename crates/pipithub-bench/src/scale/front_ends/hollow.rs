//! Processes that run many hollow front ends each.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use crate::Result;

/// How long an answer of the process is awaited.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// A process of many hollow front ends.
pub(super) struct HollowProcess {
    child: Child,
    stdin: ChildStdin,
    lines: Lines<BufReader<ChildStdout>>,
}

impl HollowProcess {
    /// Starts a process with `count` front ends, numbered from `first`.
    pub(super) async fn start(config: &Path, count: usize, first: usize) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["hollow", "--config"])
            .arg(config)
            .args(["--count", &count.to_string(), "--first", &first.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let stdin = child.stdin.take().ok_or("the process has no pipe")?;
        let stdout = child.stdout.take().ok_or("the process has no pipe")?;
        let mut process = HollowProcess {
            child,
            stdin,
            lines: BufReader::new(stdout).lines(),
        };
        process.answer().await?;
        Ok(process)
    }

    /// The process id; 0 if it has ended.
    pub(super) fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    async fn answer(&mut self) -> Result<Value> {
        let line = tokio::time::timeout(ANSWER_TIMEOUT, self.lines.next_line()).await??;
        let line = line.ok_or("the process of hollow front ends has ended")?;
        Ok(serde_json::from_str(&line)?)
    }

    async fn request(&mut self, line: &str) -> Result<Value> {
        self.stdin.write_all(format!("{line}\n").as_bytes()).await?;
        self.stdin.flush().await?;
        self.answer().await
    }

    /// Waits until all front ends have received an event; returns the Unix time in nanoseconds at which the last one did.
    ///
    /// Fails if a front end wanted to connect to a worker, which hollow ones must not.
    pub(super) async fn await_event(&mut self, index: u64) -> Result<u64> {
        let answer = self.request(&format!("await {index}")).await?;
        if answer["wanted"] != 0 {
            return Err(format!("hollow front ends wanted connections: {answer}").into());
        }
        Ok(answer["at"].as_u64().unwrap_or(0))
    }

    /// Kills the process and waits until it has ended.
    pub(super) async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}
