//! `pipithub tenants check`: the health of every server of every directory.

use std::fmt;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use pipithub_directory::{Query, SearchResponse};
use pipithub_gateway::directory::query_server;
use pipithub_settings::{DirectoryConfig, TenantsConfig};

/// Why a directory server is not healthy.
#[derive(Debug)]
enum ServerFault {
    /// The query failed; this holds the reason.
    NoAnswer(String),
    /// The server has no entry with this DN, which is the base of the directory.
    NoBase(String),
    /// A mark attribute is configured, but the server returns no change number.
    NoMark,
    /// Another server of the directory has seen a later change.
    Stale,
}

impl ServerFault {
    fn no_answer(reason: &impl fmt::Display) -> Self {
        ServerFault::NoAnswer(reason.to_string())
    }
}

impl fmt::Display for ServerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServerFault::NoAnswer(reason) => f.write_str(reason),
            ServerFault::NoBase(base) => {
                write!(
                    f,
                    "no entry {base}: the server is still loading, or the base is wrong"
                )
            }
            ServerFault::NoMark => {
                f.write_str("returns no change mark: cannot tell whether it is behind")
            }
            ServerFault::Stale => f.write_str("behind another server"),
        }
    }
}

impl std::error::Error for ServerFault {}

/// The answer of one directory server, with the time it took.
struct ServerCheck {
    address: String,
    elapsed: Duration,
    answer: Result<SearchResponse, ServerFault>,
}

impl ServerCheck {
    async fn run(directory: &DirectoryConfig, server: usize) -> Self {
        let began = Instant::now();
        let answer = query_server(directory, server, Query::ServerState)
            .await
            .map_err(|error| ServerFault::no_answer(&error));
        ServerCheck {
            address: directory.servers[server].address.clone(),
            elapsed: began.elapsed(),
            answer,
        }
    }

    /// The number of the last change that the server has seen; `None` if it did not answer or returned no change number.
    fn change_number(&self) -> Option<u64> {
        self.answer.as_ref().ok()?.change_number
    }

    /// Returns the fault if the server is not healthy; `newest_change` is the last change that any server of the
    /// directory has seen.
    fn verdict(
        self,
        directory: &DirectoryConfig,
        newest_change: Option<u64>,
    ) -> Result<(), ServerFault> {
        let answer = self.answer?;
        if !answer.base_exists {
            return Err(ServerFault::NoBase(directory.base.clone()));
        }
        if directory.change_number_attribute.is_some() && answer.change_number.is_none() {
            return Err(ServerFault::NoMark);
        }
        if answer.change_number < newest_change {
            return Err(ServerFault::Stale);
        }
        Ok(())
    }
}

/// Queries all servers and prints a line for each; succeeds if all of them are healthy.
pub(super) async fn run(config: &TenantsConfig) -> ExitCode {
    print_row("directory", "server", "answered", &"state");
    let mut all_healthy = true;
    for directory in &config.directories {
        all_healthy &= check_directory(directory).await;
    }
    if all_healthy {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Queries all servers of a directory and prints a line for each; returns whether all of them are healthy.
async fn check_directory(directory: &DirectoryConfig) -> bool {
    let mut checks = Vec::new();
    for server in 0..directory.servers.len() {
        checks.push(ServerCheck::run(directory, server).await);
    }
    let newest_change = checks.iter().filter_map(ServerCheck::change_number).max();
    let mut all_healthy = true;
    for check in checks {
        let address = check.address.clone();
        let elapsed = format!("{:.1} ms", check.elapsed.as_secs_f64() * 1e3);
        match check.verdict(directory, newest_change) {
            Ok(()) => print_row(&directory.name, &address, &elapsed, &"healthy"),
            Err(fault) => {
                all_healthy = false;
                print_row(&directory.name, &address, &elapsed, &fault);
            }
        }
    }
    all_healthy
}

fn print_row(directory: &str, server: &str, elapsed: &str, state: &dyn fmt::Display) {
    println!("{directory:<12} {server:<24} {elapsed:>10}  {state}");
}
