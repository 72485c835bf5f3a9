//! The cost of a call, an endpoint list event and a tick in the decision module and, in the same simulated scenarios,
//! in its reference implementation, which is called `plain` in the results.

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

// These files belong to the tests of pipithub-policy, so they are neither formatted nor linted here.
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/reference/mod.rs"]
mod reference;
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/simulated_fleet/mod.rs"]
mod simulated_fleet;

const SIZES: [u64; 6] = [100, 300, 1_000, 4_000, 16_000, 32_000];
/// The planned number of workers.
const PLANNED_WORKERS: u64 = 16_000;
/// The planned number of functions.
const FUNCTIONS: u64 = 43_000;
/// The numbers of functions with which memory is measured; each function is called once.
const FUNCTION_COUNTS: [u64; 3] = [430, 4_300, FUNCTIONS];
/// The simulated duration of a scenario.
const DURATION: Time = 4_000 * MS;
/// Calls per second in the quiet scenario with few calls, and in all scenarios with faults.
const RATE: u64 = 100;
/// Calls per second in the quiet scenario with many calls.
const HIGH_RATE: u64 = 700;
/// The largest size at which the reference runs scenarios with faults.
const MAX_REFERENCE_SIZE_WITH_FAULTS: u64 = 16_000;
/// From this size on, the reference runs each scenario only once.
const REFERENCE_ONCE_FROM: u64 = 4_000;
/// The number of calls before the memory of the state is counted.
const MEMORY_CALLS: u64 = 100;

/// One of the scenarios that are run at each size.
struct NamedScenario {
    name: &'static str,
    scenario: Scenario,
    has_faults: bool,
}

impl NamedScenario {
    fn new(name: &'static str, scenario: Scenario, has_faults: bool) -> Self {
        NamedScenario {
            name,
            scenario,
            has_faults,
        }
    }
}

/// The scenarios of a run at this size. Endpoint list events of each kind are measured in the first one only.
fn scenarios(plan: &Plan, run: usize, size: u64) -> Vec<NamedScenario> {
    let seed = plan.seed + run as u64;
    let quiet = |rate| Scenario::healthy(seed, size as usize, FUNCTIONS, rate, DURATION);
    let mut scenarios = vec![
        NamedScenario::new("quiet, 100/s", quiet(RATE), false),
        NamedScenario::new("quiet, 700/s", quiet(HIGH_RATE), false),
    ];
    for (name, scenario) in quiet(RATE).with_faults() {
        scenarios.push(NamedScenario::new(name, scenario, true));
    }
    scenarios
}

/// Measures calls, list events and ticks by the number of workers, and memory by the numbers of workers and functions.
pub(super) fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let sizes = plan.sizes_or(&SIZES);
    let mut by_workers = Figures::default();
    for &size in &sizes {
        for run in 0..plan.runs {
            measure_scenarios(plan, run, size, &mut by_workers);
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

fn measure_scenarios(plan: &Plan, run: usize, size: u64, figures: &mut Figures) {
    for (index, named) in scenarios(plan, run, size).into_iter().enumerate() {
        // The reference iterates over its whole state for each call. As both run in turns, this evicts the module's
        // state from the processor's caches; `--only module` runs the module alone.
        let with_reference = plan.wants("plain")
            && (!named.has_faults || size <= MAX_REFERENCE_SIZE_WITH_FAULTS)
            && (run == 0 || size < REFERENCE_ONCE_FROM);
        let Runs {
            reference,
            mut module,
        } = Runs::run(&named.scenario, with_reference);
        module.add_to(figures, named.name, "module", size);
        if let Some(reference) = &reference {
            reference.add_to(figures, named.name, "plain", size);
        }
        if index == 0 {
            module.add_lists_to(figures, "module", size);
            if let Some(mut reference) = reference {
                reference.add_lists_to(figures, "plain", size);
            }
        }
    }
}

fn measure_memory(plan: &Plan, size: u64, figures: &mut Figures) -> Result<()> {
    for implementation in ["plain", "module"] {
        let count = MemoryCount {
            implementation,
            workers: size,
            functions: FUNCTIONS,
            calls: MEMORY_CALLS,
        };
        if let Some(memory) = count.run(plan)? {
            let what = format!("memory after the list and {MEMORY_CALLS} calls, {implementation}");
            figures.add(&what, "bytes", size, memory.end);
        }
    }
    Ok(())
}

/// Measures the memory with the planned workers and functions that are called once each: the peak, and the memory after
/// the functions have been forgotten.
fn measure_functions(plan: &Plan, figures: &mut Figures) -> Result<()> {
    for functions in FUNCTION_COUNTS {
        let count = MemoryCount {
            implementation: "module",
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
