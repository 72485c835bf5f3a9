//! Compares the adapter's answers to seeded scenarios with the recorded answers.

mod driver;

use std::path::Path;

use driver::Adapter;
use pipithub_characterization::adapter_scenario::{self, KINDS};
use pipithub_characterization::recording::{Transcript, check_scenarios, run_scenarios};

/// The number of scenarios.
const SCENARIOS: u64 = 120;
/// The number of adapters that run at a time.
const THREADS: u64 = 4;

fn scenario(seed: u64) -> Transcript {
    let mut transcript = Transcript::default();
    let mut adapter = Adapter::start();
    adapter_scenario::run(seed, &mut adapter, &mut transcript);
    adapter.finish();
    transcript
}

#[test]
fn seeded_scenarios_on_the_line_protocol_are_as_recorded() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/adapter-digests.txt");
    check_scenarios(&path, &run_scenarios(SCENARIOS, THREADS, scenario), KINDS);
}
