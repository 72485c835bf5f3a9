//! What a decision looks at must not grow with the tier: counted, not timed, at two sizes, on quiet and bad days.

mod reference;
mod world;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Event, Settings, Time};
use world::meter::{Front, Play, Spent, median};
use world::{Day, MS};

impl Front for reference::FrontEnd {
    fn start(settings: Settings, seed: u64) -> Self {
        reference::FrontEnd::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        reference::FrontEnd::handle(self, now, event, actions);
    }
}

/// The sizes that are held against each other, in workers.
const SMALL: usize = 300;
const LARGE: usize = 16_000;
/// The large one may look at so many times as many workers as the small one.
const MOST: f64 = 2.0;
/// Calls of a day, and of a window of it.
const CALLS: usize = 400;
const WINDOW: usize = 10;

/// What was counted on one day: workers looked at.
#[derive(Debug, Default)]
struct Counted {
    /// For each call: mean of the day, middle and worst window.
    call: f64,
    middle: f64,
    worst: f64,
    busy_tick: f64,
    idle_tick: f64,
    /// For each worker that a list names.
    change: f64,
    seventh: f64,
}

fn mean(of: &[Spent]) -> f64 {
    of.iter().map(|s| s.looked).sum::<f64>() / of.len().max(1) as f64
}

fn quiet(workers: usize) -> Day {
    Day::quiet(5, workers, 43_000, 100, CALLS as u64 * 10 * MS)
}

/// Plays a day; stops early once its calls look at more than `most` workers each, as the verdict is known then.
fn count<F: Front>(day: Day, most: f64) -> Counted {
    let mut play: Play<F> = Play::new(day);
    let mut cut = false;
    while !cut && play.step() {
        cut = play.calls.len() >= 2 * WINDOW
            && play.calls.len().is_multiple_of(WINDOW)
            && mean(&play.calls) > most;
    }
    let windows: Vec<f64> = play.windows(WINDOW).iter().map(|w| w.looked).collect();
    let mut counted = Counted {
        call: mean(&play.calls),
        middle: median(windows.clone()),
        worst: windows.into_iter().fold(0.0, f64::max),
        busy_tick: mean(&play.ticks),
        ..Counted::default()
    };
    // Cut short, a single tick must do.
    counted.idle_tick = if cut {
        counted.busy_tick
    } else {
        mean(&play.idle_ticks(40))
    };
    let one = |play: &mut Play<F>| {
        let event = play.world.change_one();
        play.give(play.world.now(), event)
    };
    let changes: Vec<Spent> = (0..if cut { 1 } else { 40 })
        .map(|_| one(&mut play))
        .collect();
    counted.change = mean(&changes);
    let event = play.world.seventh(true);
    let Event::Endpoints {
        endpoints: entries, ..
    } = &event
    else {
        return counted;
    };
    let named = entries.len() as f64;
    counted.seventh = play.give(play.world.now(), event).looked / named;
    counted
}

/// Counts a kind of day at both sizes; tells what grew by more than is held.
fn grown<F: Front>(name: &str) -> Vec<(&'static str, f64, f64)> {
    let day = |workers| {
        let bad = quiet(workers).bad().into_iter().find(|(n, _)| *n == name);
        bad.map_or_else(|| quiet(workers), |(_, day)| day)
    };
    let small = count::<F>(day(SMALL), f64::INFINITY);
    assert!(
        small.call > 0.0,
        "{name}: what a call looks at is not counted"
    );
    let large = count::<F>(day(LARGE), 4.0 * MOST * small.call);
    println!("{name}\n  {SMALL} workers {small:?}\n  {LARGE} workers {large:?}");
    let pairs = [
        ("a call, mean", small.call, large.call),
        ("a call, middle window", small.middle, large.middle),
        ("a call, worst window", small.worst, large.worst),
        ("a busy tick", small.busy_tick, large.busy_tick),
        ("an idle tick", small.idle_tick, large.idle_tick),
        ("a list of one change", small.change, large.change),
        (
            "a worker of a seventh that goes",
            small.seventh,
            large.seventh,
        ),
    ];
    // Under one worker is as good as none.
    pairs
        .into_iter()
        .filter(|(_, small, large)| *large > MOST * small.max(1.0))
        .collect()
}

fn holds(name: &str) {
    let grown = grown::<FrontEnd>(name);
    assert!(
        grown.is_empty(),
        "{name}: over {MOST} times as many at {LARGE} as at {SMALL} workers: {grown:?}"
    );
}

#[test]
fn what_grows_is_found() {
    // The reference looks at every worker: it is the fault that this file must find.
    let found: Vec<_> = grown::<reference::FrontEnd>("quiet")
        .iter()
        .map(|(what, ..)| *what)
        .collect();
    // A list that removes a seventh costs it so much for each worker that goes: that alone does not grow.
    let all = [
        "a call, mean",
        "a call, middle window",
        "a call, worst window",
        "a busy tick",
        "an idle tick",
    ];
    for what in all.into_iter().chain(["a list of one change"]) {
        assert!(
            found.contains(&what),
            "{what} grows with the reference and was not found: {found:?}"
        );
    }
}

#[test]
fn a_quiet_day() {
    holds("quiet");
}

#[test]
fn homes_full() {
    holds("homes full");
}

#[test]
fn all_cold() {
    holds("all cold");
}

#[test]
fn a_zone_silent() {
    holds("a zone silent");
}

#[test]
fn a_seventh_gone() {
    holds("a seventh gone");
}

#[test]
fn each_function_once() {
    holds("each function once");
}
