//! The adapter's answers to seeded days, compared with those that are recorded.

mod driver;

use std::path::Path;

use driver::Adapter;
use pipithub_characterization::adapter_day::{self, KINDS};
use pipithub_characterization::recording::{check_days, run_days, Transcript};

/// How many days are run.
const DAYS: u64 = 120;
/// How many adapters run at a time.
const THREADS: u64 = 4;

fn day(seed: u64) -> Transcript {
    let mut transcript = Transcript::default();
    let mut adapter = Adapter::start();
    adapter_day::run(seed, &mut adapter, &mut transcript);
    adapter.finish();
    transcript
}

#[test]
fn seeded_days_on_the_line_protocol_are_as_recorded() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/adapter-digests.txt");
    check_days(&path, &run_days(DAYS, THREADS, day), KINDS);
}
