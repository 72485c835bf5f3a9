//! Counts the bytes that the decisions of a front end hold in memory:
//! `decision-memory plain|module WORKERS FUNCTIONS CALLS SEED`.
//!
//! Prints the peak and the bytes held at the end, or `slow` if the run takes longer than 10 s. `plain` selects the
//! reference implementation, `module` the decision module. It is a separate program because counting needs an allocator
//! that would slow down the timed benchmarks. If CALLS equals FUNCTIONS, each function is called once, and the end is
//! after the functions have been forgotten.

use std::time::{Duration, Instant};

use allocation_counter::measure;
use pipithub_policy::FrontEnd as Module;
use pipithub_policy::api::{Action, Event, Settings, Time};
use reference::FrontEnd as Reference;
use simulated_fleet::cost::DecisionModule;
use simulated_fleet::{MS, Scenario, SimulatedFleet};

#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/reference/mod.rs"]
mod reference;
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/simulated_fleet/mod.rs"]
mod simulated_fleet;

/// The maximum duration of a run, after which it is given up.
const MAX_DURATION: Duration = Duration::from_secs(10);
/// The capacity of the list of actions. The list must not grow, as its growth would be counted.
const ACTION_CAPACITY: usize = 100_000;
/// Calls per second.
const RATE: u64 = 700;
/// How long the run continues without arrivals, so that functions are forgotten: by default this takes 60 s.
const FORGETTING_TIME: Time = 75_000 * MS;

impl DecisionModule for Reference {
    fn start(settings: Settings, seed: u64) -> Self {
        Reference::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Reference::handle(self, now, event, actions);
    }
}

/// Bytes that a front end held.
struct HeldBytes {
    /// The highest number after any event.
    peak: i64,
    /// The number at the end.
    end: i64,
}

/// Counts the bytes that a front end holds in a scenario; `None` if the run takes too long.
fn count<F: DecisionModule>(mut scenario: Scenario, once: bool) -> Option<HeldBytes> {
    let began = Instant::now();
    scenario.functions.called_once = once;
    let settings = scenario.settings.clone();
    let mut fleet = SimulatedFleet::new(scenario);
    let mut actions = Vec::with_capacity(ACTION_CAPACITY);
    let mut front_end = None;
    let mut held = measure(|| front_end = Some(F::start(settings.clone(), 1))).bytes_current;
    let (mut front_end, mut peak, mut stopped) = (front_end?, held, !once);
    let mut next = Some((fleet.now(), fleet.endpoint_snapshot()));
    while let Some((at, event)) = next {
        actions.clear();
        // The event is cloned within the measurement, as the front end keeps parts of it.
        held += measure(|| front_end.handle(at, event.clone(), &mut actions)).bytes_current;
        peak = peak.max(held);
        fleet.apply(&actions);
        if began.elapsed() > MAX_DURATION {
            return None;
        }
        next = fleet.next_event();
        if next.is_none() && !stopped {
            stopped = true;
            fleet.stop_arrivals(FORGETTING_TIME);
            next = fleet.next_event();
        }
    }
    Some(HeldBytes { peak, end: held })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let implementation = arguments.next().ok_or("plain or module?")?;
    let numbers = arguments
        .map(|a| a.parse())
        .collect::<Result<Vec<u64>, _>>()?;
    let [workers, functions, calls, seed] = numbers[..] else {
        return Err("four numbers are needed".into());
    };
    let scenario = Scenario::healthy(
        seed,
        workers as usize,
        functions,
        RATE,
        calls * 1_000 * MS / RATE,
    );
    let once = calls == functions;
    let counted = if implementation == "plain" {
        count::<Reference>(scenario, once)
    } else {
        count::<Module>(scenario, once)
    };
    match counted {
        Some(held) => println!("{} {}", held.peak, held.end),
        None => println!("slow"),
    }
    Ok(())
}
