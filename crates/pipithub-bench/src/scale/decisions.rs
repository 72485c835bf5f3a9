//! What a call, a list event and a tick cost the decision module, beside its plain reference, on the same days.

mod figures;
mod memory;
mod run;

use pipithub_policy::api::Time;
use simulated_fleet::{MS, Scenario};

use super::{Plan, Series, SizeAxis};
use crate::Result;
use figures::Figures;
use memory::MemoryCount;
use run::Runs;

// The older edition's layout is kept: these files belong to the tests of the policy's crate.
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/reference/mod.rs"]
mod reference;
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/simulated_fleet/mod.rs"]
mod simulated_fleet;

const SIZES: [u64; 6] = [100, 300, 1_000, 4_000, 16_000, 32_000];
/// Workers and functions that are planned for.
const PLANNED_WORKERS: u64 = 16_000;
const FUNCTIONS: u64 = 43_000;
/// Counts of functions that are called once each.
const FUNCTION_COUNTS: [u64; 3] = [430, 4_300, FUNCTIONS];
/// A day in simulated time.
const LENGTH: Time = 4_000 * MS;
/// Calls a second of the two quiet days.
const RATE: u64 = 100;
const HIGH_RATE: u64 = 700;
/// The reference plays days with faults up to a size, and each day once from a size on.
const MAX_PLAIN_SIZE_WITH_FAULTS: u64 = 16_000;
const PLAIN_ONCE_FROM: u64 = 4_000;
/// Calls before the state's memory is counted.
const MEMORY_CALLS: u64 = 100;

/// One of the days that are played at each size.
struct NamedDay {
    name: &'static str,
    day: Scenario,
    has_faults: bool,
}

impl NamedDay {
    fn new(name: &'static str, day: Scenario, has_faults: bool) -> Self {
        NamedDay {
            name,
            day,
            has_faults,
        }
    }
}

/// The days of a play at this size; the first is the one in which lists are measured too.
fn days(plan: &Plan, play: usize, size: u64) -> Vec<NamedDay> {
    let seed = plan.seed + play as u64;
    let quiet = |rate| Scenario::healthy(seed, size as usize, FUNCTIONS, rate, LENGTH);
    let mut days = vec![
        NamedDay::new("quiet, 100/s", quiet(RATE), false),
        NamedDay::new("quiet, 700/s", quiet(HIGH_RATE), false),
    ];
    for (name, day) in quiet(RATE).with_faults() {
        days.push(NamedDay::new(name, day, true));
    }
    days
}

/// Measures calls, lists and ticks by the number of workers, and memory by it and by the number of functions.
pub(super) fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let sizes = plan.sizes_or(&SIZES);
    let mut by_workers = Figures::default();
    for &size in &sizes {
        for play in 0..plan.plays {
            measure_days(plan, play, size, &mut by_workers);
        }
        measure_memory(plan, size, &mut by_workers)?;
    }
    let mut all = by_workers.into_series(axis("workers", PLANNED_WORKERS));
    let mut by_functions = Figures::default();
    if sizes.contains(&PLANNED_WORKERS) {
        measure_functions(plan, &mut by_functions)?;
    }
    all.extend(by_functions.into_series(axis("functions", FUNCTIONS)));
    Ok(all)
}

fn axis(size_unit: &'static str, planned: u64) -> SizeAxis {
    SizeAxis {
        part: "decisions",
        size_unit,
        method: "simulated time",
        planned,
    }
}

fn measure_days(plan: &Plan, play: usize, size: u64, figures: &mut Figures) {
    for (index, named) in days(plan, play, size).into_iter().enumerate() {
        // The reference goes through all that it holds for each call, and the module, in turns with it, finds the
        // processor's caches filled with that: `--only module` plays it alone.
        let with_plain = plan.wants("plain")
            && (!named.has_faults || size <= MAX_PLAIN_SIZE_WITH_FAULTS)
            && (play == 0 || size < PLAIN_ONCE_FROM);
        let Runs { plain, mut module } = Runs::play(&named.day, with_plain);
        module.add_to(figures, named.name, "module", size);
        if let Some(plain) = &plain {
            plain.add_to(figures, named.name, "plain", size);
        }
        if index == 0 {
            module.add_lists_to(figures, "module", size);
            if let Some(mut plain) = plain {
                plain.add_lists_to(figures, "plain", size);
            }
        }
    }
}

fn measure_memory(plan: &Plan, size: u64, figures: &mut Figures) -> Result<()> {
    for code in ["plain", "module"] {
        let count = MemoryCount {
            code,
            workers: size,
            functions: FUNCTIONS,
            calls: MEMORY_CALLS,
        };
        if let Some(memory) = count.run(plan)? {
            let what = format!("memory after the list and {MEMORY_CALLS} calls, {code}");
            figures.add(&what, "bytes", size, memory.end);
        }
    }
    Ok(())
}

/// Functions called once each, with the planned workers: the most that is held, and what is after they are forgotten.
fn measure_functions(plan: &Plan, figures: &mut Figures) -> Result<()> {
    for functions in FUNCTION_COUNTS {
        let count = MemoryCount {
            code: "module",
            workers: PLANNED_WORKERS,
            functions,
            calls: functions,
        };
        let Some(memory) = count.run(plan)? else {
            eprintln!("decisions: {functions} functions once took too long, left out");
            continue;
        };
        figures.add(
            "functions called once, the most memory, module",
            "bytes",
            functions,
            memory.peak,
        );
        figures.add(
            "functions called once, memory when forgotten, module",
            "bytes",
            functions,
            memory.end,
        );
    }
    Ok(())
}
