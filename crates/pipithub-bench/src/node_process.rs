//! Real front ends of the platform (`pipithub node`) as processes.

use std::path::Path;
use std::process::Stdio;

use tokio::process::Command;

/// The command that starts a front end with a configuration file. The process is killed when its handle is dropped.
///
/// Its log goes to `log` at the default level, whatever `RUST_LOG` is for this process.
pub(crate) fn node_command(binary: &Path, config: &Path, log: Stdio) -> Command {
    let mut command = Command::new(binary);
    command
        .arg("node")
        .env("LB_CONFIG", config)
        .env_remove("LB_LISTEN")
        .env_remove("RUST_LOG")
        .env("NO_COLOR", "1")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true);
    command
}
