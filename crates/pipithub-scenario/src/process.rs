//! Child processes that run the program `pipithub`. A child is killed when its [`Process`] is dropped.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};

/// How long an emulator may take to print its address.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(20);

/// A running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    /// The address that the process listens on; empty for a gateway, which does not print one.
    pub address: String,
}

impl Process {
    /// Starts an emulated service with these arguments and waits until it has printed its address. Its log is appended
    /// to the file `log`.
    ///
    /// Fails if the process cannot be started, or does not print `{"address": …}` as its first line in time.
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
        let first = tokio::time::timeout(ADDRESS_TIMEOUT, lines.next_line()).await;
        let line = first
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??
            .unwrap_or_default();
        let announced: serde_json::Value = serde_json::from_str(&line).map_err(|_| {
            std::io::Error::other(format!(
                "emulator {arguments:?} printed {line:?} instead of its address"
            ))
        })?;
        process.address = announced["address"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        Ok(process)
    }

    /// Starts a gateway with these arguments. Its log is appended to the file `log`.
    ///
    /// Fails if the process cannot be started or the log cannot be opened.
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

    /// Writes a line to the standard input of the process. Fails if the process has ended.
    pub async fn send_line(&mut self, line: &str) -> std::io::Result<()> {
        match &mut self.stdin {
            Some(stdin) => {
                stdin.write_all(format!("{line}\n").as_bytes()).await?;
                stdin.flush().await
            }
            None => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) {
        // Killing fails only if the process has already ended.
        let _ = self.child.kill().await;
    }

    /// The process id; `None` once the process has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}
