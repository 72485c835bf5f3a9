//! Processes of this program's own binary, ended when dropped.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};

/// A process that was started here.
#[derive(Debug)]
pub struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    /// Where it listens, where it says so.
    pub address: String,
}

impl Process {
    /// Starts `binary` with these arguments; its first line is awaited and must be `{"address": …}`. What it logs goes
    /// to a file.
    pub async fn start_emulator(
        binary: &Path,
        arguments: &[String],
        log: &Path,
    ) -> std::io::Result<Process> {
        let mut process = Self::start(binary, arguments, log, Stdio::piped())?;
        let stdout = process
            .child
            .stdout
            .take()
            .ok_or(std::io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(stdout).lines();
        let first = tokio::time::timeout(Duration::from_secs(20), lines.next_line()).await;
        let line = first
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??
            .unwrap_or_default();
        let said: serde_json::Value = serde_json::from_str(&line).map_err(|_| {
            std::io::Error::other(format!(
                "{arguments:?} said {line:?} instead of its address"
            ))
        })?;
        process.address = said["address"].as_str().unwrap_or_default().to_string();
        Ok(process)
    }

    /// Starts `binary` with these arguments.
    pub fn start_gateway(
        binary: &Path,
        arguments: &[String],
        log: &Path,
    ) -> std::io::Result<Process> {
        Self::start(binary, arguments, log, Stdio::null())
    }

    fn start(
        binary: &Path,
        arguments: &[String],
        log: &Path,
        stdout: Stdio,
    ) -> std::io::Result<Process> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(stdout)
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        let stdin = child.stdin.take();
        Ok(Process {
            child,
            stdin,
            address: String::new(),
        })
    }

    /// Says a line on its standard input.
    pub async fn send_line(&mut self, line: &str) -> std::io::Result<()> {
        match &mut self.stdin {
            Some(stdin) => {
                stdin.write_all(format!("{line}\n").as_bytes()).await?;
                stdin.flush().await
            }
            None => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Kills it outright and waits until it is gone.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}
