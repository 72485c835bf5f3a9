//! The node's effects over seeded days, compared with those that are recorded.

mod node_driver;

use std::path::Path;

use node_driver::Driver;
use pipithub_characterization::node_day::{self, KINDS};
use pipithub_characterization::recording::{Transcript, check_days, run_days};

/// How many days are run.
const DAYS: u64 = 120;
/// How many run at a time.
const THREADS: u64 = 4;

fn day(seed: u64) -> Transcript {
    let mut transcript = Transcript::default();
    node_day::run(seed, Driver::start, &mut transcript);
    transcript
}

#[test]
fn seeded_days_of_the_node_are_as_recorded() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/node-digests.txt");
    check_days(&path, &run_days(DAYS, THREADS, day), KINDS);
}
