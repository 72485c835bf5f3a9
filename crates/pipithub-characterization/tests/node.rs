//! Compares the effects of the node in seeded scenarios with the recorded ones.

mod node_driver;

use std::path::Path;

use node_driver::Driver;
use pipithub_characterization::node_scenario::{self, KINDS};
use pipithub_characterization::recording::{Transcript, check_scenarios, run_scenarios};

/// The number of scenarios.
const SCENARIOS: u64 = 120;
/// The number of threads that run them.
const THREADS: u64 = 4;

fn scenario(seed: u64) -> Transcript {
    let mut transcript = Transcript::default();
    node_scenario::run(seed, Driver::start, &mut transcript);
    transcript
}

#[test]
fn node_behaves_as_recorded_in_seeded_scenarios() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/node-digests.txt");
    check_scenarios(&path, &run_scenarios(SCENARIOS, THREADS, scenario), KINDS);
}
