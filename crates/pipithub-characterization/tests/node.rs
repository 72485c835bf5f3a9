//! The node's effects over seeded scenarios, compared with those that are recorded.

mod node_driver;

use std::path::Path;

use node_driver::Driver;
use pipithub_characterization::node_scenario::{self, KINDS};
use pipithub_characterization::recording::{Transcript, check_scenarios, run_scenarios};

/// How many scenarios are run.
const SCENARIOS: u64 = 120;
/// How many run at a time.
const THREADS: u64 = 4;

fn scenario(seed: u64) -> Transcript {
    let mut transcript = Transcript::default();
    node_scenario::run(seed, Driver::start, &mut transcript);
    transcript
}

#[test]
fn seeded_scenarios_of_the_node_are_as_recorded() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/node-digests.txt");
    check_scenarios(&path, &run_scenarios(SCENARIOS, THREADS, scenario), KINDS);
}
