//! Runs a scenario of requests over real processes and checks the rules against what they recorded.

mod action;
mod cluster;
mod directories;
mod driver;
mod settings;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pipithub_conformance::record::{Record, Seen};
use pipithub_conformance::report::{Report, report};
use pipithub_conformance::rules::{Breach, check, request_traces};

use crate::error::RunError;
use crate::outcome::InjectedFault;
use crate::scenario::Scenario;
use crate::units::SECOND;

pub use settings::rule_config;

use cluster::Cluster;

/// The queue that requests are published to.
pub const QUEUE: &str = "calls";

/// The width of the windows of the report, in nanoseconds.
const REPORT_WINDOW: u64 = 2 * SECOND;

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The violations of rules.
    pub breaches: Vec<Breach>,
    /// Served, rejected and late requests by window.
    pub report: Report,
    /// The injected faults, with their times since the first request.
    pub faults: Vec<InjectedFault>,
    /// The number of published requests.
    pub calls: usize,
    /// The number of answers that the client received.
    pub answered: usize,
    /// Where logs and records are.
    pub folder: PathBuf,
}

/// Runs a scenario with the load and migrations that its seed gives, and checks all rules.
///
/// `binary` is the program `pipithub`, whose processes write their logs and records into `folder`, which is created.
/// `progress` is called each second with the seconds since the first request, the requests published so far, and the
/// number of answers by verdict. `baseline` names a policy that replaces the regular one.
///
/// Fails if a process cannot be started, or the front ends do not consume, or no request reached a worker. A breach of
/// a rule is no error but part of the outcome.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    binary: &Path,
    folder: &Path,
    baseline: Option<&str>,
    progress: impl FnMut(f64, usize, &BTreeMap<String, usize>),
) -> Result<Outcome, RunError> {
    std::fs::create_dir_all(folder)?;
    let mut cluster = Cluster::start(scenario, binary, folder, baseline).await?;
    let driven = driver::drive(&mut cluster, seed, progress).await?;
    let faults = cluster.injected_faults(driven.began);
    // Each service writes a record at once, so all of them are on disk when the processes have ended.
    cluster.shut_down().await;
    let records = records(folder)?;
    let config = rule_config(scenario);
    let mut breaches = check(&records, &config);
    breaches.extend(driven.breaches);
    Ok(Outcome {
        breaches,
        report: report(&records, &config, REPORT_WINDOW),
        faults,
        calls: request_traces(&records, &config).len(),
        answered: driven.answered,
        folder: folder.to_path_buf(),
    })
}

/// Reads all records of a folder, sorted by time. Fails if a file cannot be read, or no record is of an attempt.
pub fn records(folder: &Path) -> Result<Vec<Record>, RunError> {
    let mut records = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            let text = std::fs::read_to_string(&path)?;
            let of_file = Record::read_all(&text).map_err(|source| RunError::Records {
                path: path.display().to_string(),
                source,
            })?;
            records.extend(of_file);
        }
    }
    records.sort_by_key(|record| record.time_ns);
    // Without any attempt at a worker all rules would hold trivially.
    let is_attempt = |record: &Record| matches!(record.seen, Seen::Call { .. });
    if !records.iter().any(is_attempt) {
        return Err(RunError::NoAttempts);
    }
    Ok(records)
}
