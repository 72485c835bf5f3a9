//! Counts the bytes that a front end's decisions hold: `decision-memory plain|module WORKERS FUNCTIONS CALLS SEED`.
//!
//! Prints the most that was held and what is held at the end. It is a program of its own, as counting needs an
//! allocator that would slow the timed parts. With as many calls as functions each is called once, and the end is
//! after they are forgotten. It prints `slow` where that takes too long.

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

/// Longer runs are given up.
const MAX_DURATION: Duration = Duration::from_secs(10);
/// Actions of one event that fit without growth, so that no list of actions is counted.
const ACTIONS: usize = 100_000;
/// Calls a second.
const RATE: u64 = 700;
/// How long the end is awaited: functions are forgotten after 60 s at the usual settings.
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
    /// The most at any time.
    peak: i64,
    /// At the end.
    end: i64,
}

/// Counts what a front end holds in a day; `None` where it takes too long.
fn count<F: DecisionModule>(mut day: Scenario, once: bool) -> Option<HeldBytes> {
    let began = Instant::now();
    day.functions.called_once = once;
    let settings = day.settings.clone();
    let mut world = SimulatedFleet::new(day);
    let mut actions = Vec::with_capacity(ACTIONS);
    let mut front_end = None;
    let mut held = measure(|| front_end = Some(F::start(settings.clone(), 1))).bytes_current;
    let (mut front_end, mut peak, mut stopped) = (front_end?, held, !once);
    let mut next = Some((world.now(), world.endpoint_snapshot()));
    while let Some((at, event)) = next {
        actions.clear();
        // The event is made within, as parts of it are kept.
        held += measure(|| front_end.handle(at, event.clone(), &mut actions)).bytes_current;
        peak = peak.max(held);
        world.apply(&actions);
        if began.elapsed() > MAX_DURATION {
            return None;
        }
        next = world.next_event();
        if next.is_none() && !stopped {
            stopped = true;
            world.stop_arrivals(FORGETTING_TIME);
            next = world.next_event();
        }
    }
    Some(HeldBytes { peak, end: held })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let code = arguments.next().ok_or("plain or module?")?;
    let numbers = arguments
        .map(|a| a.parse())
        .collect::<Result<Vec<u64>, _>>()?;
    let [workers, functions, calls, seed] = numbers[..] else {
        return Err("four numbers are needed".into());
    };
    let day = Scenario::healthy(
        seed,
        workers as usize,
        functions,
        RATE,
        calls * 1_000 * MS / RATE,
    );
    let once = calls == functions;
    let counted = if code == "plain" {
        count::<Reference>(day, once)
    } else {
        count::<Module>(day, once)
    };
    match counted {
        Some(held) => println!("{} {}", held.peak, held.end),
        None => println!("slow"),
    }
    Ok(())
}
