//! `pipithub tenants check`: how every server of every directory stands.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use pipithub_directory::{Query, SearchResponse};
use pipithub_gateway::directory::{QueryError, query_server};
use pipithub_settings::{DirectoryConfig, TenantsConfig};

const WELL: &str = "well";

/// What a server answered, and how soon.
struct ServerCheck {
    address: String,
    elapsed: Duration,
    answer: Result<SearchResponse, QueryError>,
}

impl ServerCheck {
    async fn run(directory: &DirectoryConfig, server: usize) -> Self {
        let began = Instant::now();
        let answer = query_server(directory, server, Query::ServerState).await;
        ServerCheck {
            address: directory.servers[server].address.clone(),
            elapsed: began.elapsed(),
            answer,
        }
    }

    fn change_number(&self) -> Option<u64> {
        self.answer.as_ref().ok()?.change_number
    }

    /// The server's state in words, given the newest change that any server of its directory told.
    fn state(&self, directory: &DirectoryConfig, newest_change: Option<u64>) -> String {
        let change = self.change_number();
        match &self.answer {
            Err(error) => error.to_string(),
            Ok(answer) if !answer.base_exists => format!(
                "nothing at {}: still loading, or a wrong base",
                directory.base
            ),
            Ok(_) if directory.mark_attribute.is_some() && change.is_none() => {
                "tells no mark: it cannot be seen whether it is behind".to_string()
            }
            Ok(_) if change < newest_change => "behind another server".to_string(),
            Ok(_) => WELL.to_string(),
        }
    }
}

/// Asks all servers and prints a line for each; succeeds where all are well.
pub(super) async fn run(config: &TenantsConfig) -> ExitCode {
    println!(
        "{:<12} {:<24} {:>10}  state",
        "directory", "server", "answered"
    );
    let mut all_well = true;
    for directory in &config.directories {
        let mut checks = Vec::new();
        for server in 0..directory.servers.len() {
            checks.push(ServerCheck::run(directory, server).await);
        }
        let newest_change = checks.iter().filter_map(ServerCheck::change_number).max();
        for check in &checks {
            let state = check.state(directory, newest_change);
            let elapsed = format!("{:.1} ms", check.elapsed.as_secs_f64() * 1e3);
            println!(
                "{:<12} {:<24} {elapsed:>10}  {state}",
                directory.name, check.address
            );
            all_well &= state == WELL;
        }
    }
    if all_well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
