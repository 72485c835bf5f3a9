//! Transcripts of scenarios, and their comparison with the recorded digests.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;

use sha2::{Digest, Sha256};

/// The environment variable that, if set to `1`, makes the tests write the recorded files instead of comparing with them.
pub const RECORD_VARIABLE: &str = "RECORD_BEHAVIOR";
/// The environment variable that names a folder for the complete transcripts of scenarios that differ.
pub const TRANSCRIPT_VARIABLE: &str = "BEHAVIOR_TRANSCRIPTS";

/// All inputs and outputs of one scenario, and how often each kind of event or effect occurred.
#[derive(Clone, Debug, Default)]
pub struct Transcript {
    text: String,
    counts: BTreeMap<String, u64>,
}

impl Transcript {
    /// Records one line of input.
    pub fn input(&mut self, line: &str) {
        self.line('>', line);
    }

    /// Records one line of output.
    pub fn output(&mut self, line: &str) {
        self.line('<', line);
    }

    /// Counts an occurrence of a kind of event or effect.
    pub fn count(&mut self, kind: &str) {
        match self.counts.get_mut(kind) {
            Some(count) => *count += 1,
            None => drop(self.counts.insert(kind.to_string(), 1)),
        }
    }

    fn line(&mut self, direction: char, line: &str) {
        self.text.push(direction);
        self.text.push_str(line);
        self.text.push('\n');
    }

    fn digest(&self) -> String {
        Sha256::digest(self.text.as_bytes())
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
}

/// Whether tests write the recorded files instead of comparing with them.
///
/// # Panics
/// Panics if recording is requested in CI.
pub fn recording() -> bool {
    let recording = std::env::var(RECORD_VARIABLE).is_ok_and(|value| value == "1");
    assert!(
        !(recording && std::env::var_os("CI").is_some()),
        "{RECORD_VARIABLE} must not be set in CI"
    );
    recording
}

/// Prints a line directly to standard error, because the test harness hides captured output of tests that pass.
fn announce(text: &str) {
    let mut standard_error = std::io::stderr().lock();
    // Writing fails only if standard error is closed, and then the line is not needed.
    let _ = writeln!(standard_error, "{text}");
}

/// Runs the scenarios of all seeds below `seeds` on the given number of threads; returns their transcripts in the order of
/// the seeds.
///
/// # Panics
/// Panics with the seed of a scenario that panicked.
pub fn run_scenarios(
    seeds: u64,
    threads: u64,
    scenario: impl Fn(u64) -> Transcript + Sync,
) -> Vec<Transcript> {
    let scenario = |seed: u64| {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| scenario(seed)));
        result.unwrap_or_else(|_| panic!("the scenario of seed {seed} panicked"))
    };
    let scenario = &scenario;
    let mut transcripts: BTreeMap<u64, Transcript> = BTreeMap::new();
    std::thread::scope(|scope| {
        let run = |first: u64| {
            (first..seeds)
                .step_by(threads as usize)
                .map(|seed| (seed, scenario(seed)))
        };
        let workers: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || run(first).collect::<Vec<_>>()))
            .collect();
        for worker in workers {
            transcripts.extend(worker.join().expect("a scenario ends without a panic"));
        }
    });
    transcripts.into_values().collect()
}

/// Compares the digests of all scenarios with the recorded ones, or records them. The index of a scenario in the slice is its
/// seed.
///
/// # Panics
/// Panics with the seeds of scenarios whose digests differ from the recorded ones, or if one of `kinds` never occurred.
pub fn check_scenarios(path: &Path, scenarios: &[Transcript], kinds: &[&str]) {
    let digests: String =
        scenarios
            .iter()
            .enumerate()
            .fold(String::new(), |mut text, (seed, scenario)| {
                let _ = writeln!(text, "{seed} {}", scenario.digest());
                text
            });
    if recording() {
        check_kinds(path, scenarios, kinds);
        return record(path, digests.as_bytes());
    }
    compare_digests(path, scenarios, &digests);
    check_kinds(path, scenarios, kinds);
}

fn compare_digests(path: &Path, scenarios: &[Transcript], digests: &str) {
    let recorded = std::fs::read_to_string(path).expect("the recorded digests can be read");
    let mut differing: Vec<String> = Vec::new();
    for (seed, (recorded, digest)) in recorded.lines().zip(digests.lines()).enumerate() {
        if recorded != digest {
            differing.push(seed.to_string());
            write_transcript(path, seed, &scenarios[seed]);
        }
    }
    assert!(
        differing.is_empty(),
        "behavior differs from {} for the seeds {}; with {TRANSCRIPT_VARIABLE}=DIR their transcripts are written there",
        path.display(),
        differing.join(", ")
    );
    assert_eq!(
        recorded.lines().count(),
        scenarios.len(),
        "as many scenarios are recorded as were run"
    );
}

/// Compares a written file with the recorded one, or records it.
///
/// # Panics
/// Panics if they differ.
pub fn check_file(path: &Path, written: &[u8]) {
    if recording() {
        return record(path, written);
    }
    let recorded = std::fs::read(path).expect("the recorded file can be read");
    assert_eq!(
        recorded.escape_ascii().to_string(),
        written.escape_ascii().to_string(),
        "{}",
        path.display()
    );
}

/// Records a file whose contents differ from run to run, unless a recording exists already.
pub fn record_once(path: &Path, written: &[u8]) {
    if recording() && !path.exists() {
        record(path, written);
    }
}

fn record(path: &Path, bytes: &[u8]) {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).expect("the folder of the recordings can be made");
    }
    std::fs::write(path, bytes).expect("the recording can be written");
    announce(&format!(
        "*** {RECORD_VARIABLE}=1: NOTHING WAS COMPARED; recorded {}",
        path.display()
    ));
}

fn check_kinds(path: &Path, scenarios: &[Transcript], kinds: &[&str]) {
    let mut total: BTreeMap<&str, u64> = BTreeMap::new();
    for (kind, count) in scenarios.iter().flat_map(|scenario| &scenario.counts) {
        *total.entry(kind).or_default() += count;
    }
    if recording() {
        announce(&format!(
            "*** occurrences in the scenarios of {}:",
            path.display()
        ));
        total
            .iter()
            .for_each(|(kind, count)| announce(&format!("{count:>10} {kind}")));
    }
    let missing: Vec<_> = kinds
        .iter()
        .filter(|kind| !total.contains_key(**kind))
        .collect();
    assert!(
        missing.is_empty(),
        "never occurred in the drawn scenarios: {missing:?}"
    );
}

fn write_transcript(path: &Path, seed: usize, scenario: &Transcript) {
    let Some(folder) = std::env::var_os(TRANSCRIPT_VARIABLE) else {
        return;
    };
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    let file = Path::new(&folder).join(format!("{stem}-{seed}.txt"));
    std::fs::write(file, &scenario.text).expect("a transcript can be written");
}
