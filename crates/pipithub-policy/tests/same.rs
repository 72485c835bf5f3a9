//! Over a thousand drawn days the module decides as its plain reference does, action for action.

mod reference;
mod simulated_fleet;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;

use pipithub_policy::api::{
    Action, Endpoint, EndpointUpdate, Event, FunctionId, Request, RequestId, Settings, WorkerId,
};
use pipithub_policy::{FrontEnd, work};
use simulated_fleet::{EventCounts, Scenario, SimulatedFleet};

/// Days of each of the tests below, which run at the same time.
const DAYS: u64 = 125;

/// Plays one day into both and tells what happened in it.
fn play(seed: u64) -> EventCounts {
    let day = Scenario::random(seed, 300);
    let mut module = FrontEnd::new(day.settings.clone(), seed);
    let mut reference = reference::FrontEnd::new(day.settings.clone(), seed);
    let blind = day.settings.front_ends > 8;
    let mut world = SimulatedFleet::new(day);
    let (mut one, mut other) = (Vec::new(), Vec::new());
    let mut next = Some((world.scenario.start, world.endpoint_snapshot()));
    let mut events = 0;
    while let Some((at, event)) = next {
        events += 1;
        one.clear();
        other.clear();
        let decided = catch_unwind(AssertUnwindSafe(|| {
            reference.handle(at, event.clone(), &mut one);
        }));
        if decided.is_err() {
            // An overflow of the reference's own: it has no decision to compare with, and the day ends.
            world.counts.insert("day cut short", 1);
            break;
        }
        module.handle(at, event.clone(), &mut other);
        assert!(
            one == other,
            "day {seed}, event {events} at {at}: {event:?}\nreference {one:?}\nmodule {other:?}"
        );
        world.apply(&one);
        next = world.next_event();
    }
    let mut counts = std::mem::take(&mut world.counts);
    let sends = counts.get("attempt").copied().unwrap_or_default();
    *counts
        .entry(if blind {
            "send, large tier"
        } else {
            "send, small tier"
        })
        .or_default() += sends;
    *counts
        .entry(if blind {
            "day, large tier"
        } else {
            "day, small tier"
        })
        .or_default() += 1;
    counts.insert("event", events);
    counts
}

/// What must have happened in each part, and how often at the least, so that no rule goes unplayed.
const LEAST: [(&str, u64); 40] = [
    ("not loaded", 1000),
    ("request arrived", 10000),
    ("request retried", 1500),
    ("connection lost", 40),
    ("cancel", 200),
    ("attempt cancelled", 150),
    ("day, large tier", 40),
    ("day, small tier", 25),
    ("evict command", 5),
    ("error", 400),
    ("request failed", 250),
    ("endpoint watch", 30),
    ("rejected by worker", 600),
    ("load command", 300),
    ("client cancelled", 25),
    ("endpoint snapshot", 50),
    ("endpoints lost", 25),
    ("endpoint delta", 700),
    ("endpoints cached", 25),
    ("endpoint listed twice", 50),
    ("load awaited", 35),
    ("load started", 120),
    ("load failed", 10),
    ("not sent", 5),
    ("load command done", 300),
    ("load command failed", 10),
    ("load poll", 1200),
    ("load poll answered", 800),
    ("load poll not answered", 150),
    ("request rejected", 3500),
    ("request rejected with retry-after", 800),
    ("attempt", 6000),
    ("send, large tier", 2500),
    ("send, small tier", 2500),
    ("retry", 500),
    ("served", 2500),
    ("mass removal", 12),
    ("streaming", 120),
    ("timed out", 60),
    ("unreachable", 150),
];
/// The most days of a part that the reference may cut short.
const CUT_MOST: u64 = 3;

fn days(part: u64) {
    let (mut all, began) = (EventCounts::new(), Instant::now());
    for day in 0..DAYS {
        for (name, count) in play(part * DAYS + day) {
            *all.entry(name).or_default() += count;
        }
    }
    println!(
        "part {part}: {:.1} s, {all:?}",
        began.elapsed().as_secs_f64()
    );
    for (name, least) in LEAST {
        let count = all.get(name).copied().unwrap_or_default();
        assert!(
            count >= least,
            "part {part}: {name} came {count} times, not {least}"
        );
    }
    assert!(
        all.get("day cut short").copied().unwrap_or_default() <= CUT_MOST,
        "part {part}"
    );
}

macro_rules! parts {
    ($($name:ident $part:literal),*) => {
        $(#[test]
        fn $name() {
            days($part);
        })*
    };
}

parts!(days_of_part_0 0, days_of_part_1 1, days_of_part_2 2, days_of_part_3 3, days_of_part_4 4,
    days_of_part_5 5, days_of_part_6 6, days_of_part_7 7);

#[test]
fn the_reference_counts_what_it_looks_at() {
    let mut reference = reference::FrontEnd::new(Settings::default(), 7);
    let entry = |n: u32| Endpoint {
        worker: WorkerId::new(&format!("10.0.0.{n}:80")),
        ..Endpoint::default()
    };
    let entries: Vec<Endpoint> = (0..20).map(entry).collect();
    let call = Request {
        id: RequestId(1),
        function: FunctionId(42),
        timeout: Some(2_000_000_000),
        ..Request::default()
    };
    let mut actions = Vec::new();
    reference.handle(
        0,
        Event::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: entries,
        },
        &mut actions,
    );
    work::taken();
    reference.handle(1_000_000, Event::Arrived(call), &mut actions);
    assert!(work::taken() >= 20, "it looks at every worker");
    assert!(actions.iter().any(|a| matches!(
        a,
        Action::Forward {
            request: RequestId(1),
            ..
        }
    )));
}
