//! What a call, a list event and a tick cost the decision module, beside its plain reference, on the same days.

use std::collections::BTreeMap;
use std::process::Command;

use pipithub_policy::FrontEnd as Module;
use pipithub_policy::api::{Action, Event, Settings, Time};
use plain::decide::FrontEnd as Plain;
use world::meter::{Front, Play, Spent, median};
use world::{Day, MS};

use super::{Plan, Series};
use crate::Result;

// The older edition's layout is kept: these files belong to the tests of the policy's crate.
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/plain/mod.rs"]
mod plain;
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "../../../pipithub-policy/tests/world/mod.rs"]
mod world;

const PART: &str = "decisions";
const HOW: &str = "simulated time";
const SIZES: [u64; 6] = [100, 300, 1_000, 4_000, 16_000, 32_000];
/// Workers and functions that are planned for.
const PLANNED: u64 = 16_000;
const FUNCTIONS: u64 = 43_000;
/// A day in simulated time; calls of a window.
const LENGTH: Time = 4_000 * MS;
const WINDOW: usize = 10;
/// A front end is stopped in a day once it took so many nanoseconds, but not before so many calls. The reference
/// plays bad days up to a size, and a size from which on it plays once.
const MAX_TIME_NS: f64 = 3e9;
const MIN_CALLS: usize = 60;
const MAX_PLAIN_SIZE_WITH_FAULTS: u64 = 16_000;
const PLAIN_ONCE_FROM: u64 = 4_000;
/// Calls before the state's memory is counted.
const MEMORY_CALLS: u64 = 100;

impl Front for Plain {
    fn start(settings: Settings, seed: u64) -> Self {
        Plain::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Plain::handle(self, now, event, actions);
    }
}

/// Values by what was measured, its unit and the size, in the order that they first came.
#[derive(Default)]
struct Figures {
    names: Vec<(String, &'static str)>,
    values: BTreeMap<(String, u64), Vec<f64>>,
}

impl Figures {
    fn add(&mut self, what: &str, unit: &'static str, size: u64, value: f64) {
        if !self.names.iter().any(|(name, _)| name == what) {
            self.names.push((what.to_string(), unit));
        }
        self.values
            .entry((what.to_string(), size))
            .or_default()
            .push(value);
    }

    fn add_spent(&mut self, what: &str, size: u64, spent: &[Spent]) {
        if !spent.is_empty() {
            self.add(
                &format!("{what}, time"),
                "us",
                size,
                median(spent.iter().map(|s| s.time / 1e3).collect()),
            );
            let looked = median(spent.iter().map(|s| s.looked).collect());
            self.add(&format!("{what}, looked at"), "workers", size, looked);
        }
    }

    fn series(self, of: &str, planned: u64) -> Vec<Series> {
        let one = |(what, unit): &(String, &'static str)| {
            let mut series = Series::new(PART, what, unit, of, HOW, planned);
            let values = self.values.iter().filter(|((name, _), _)| name == what);
            values.for_each(|((_, size), values)| series.push(*size, values.clone()));
            series
        };
        self.names.iter().map(one).collect()
    }
}

/// One front end in its day, until it is over or took too long.
struct Run<F> {
    play: Play<F>,
    spent: f64,
    over: bool,
}

impl<F: Front> Run<F> {
    fn new(day: &Day) -> Self {
        Run {
            play: Play::new(day.clone()),
            spent: 0.0,
            over: false,
        }
    }

    fn step(&mut self) {
        let play = &mut self.play;
        let before = (play.calls.len(), play.ticks.len());
        self.over |= !play.step();
        if play.ticks.len() > before.1 {
            self.spent += play.ticks.last().map_or(0.0, |s| s.time);
        }
        if play.calls.len() > before.0 && before.0 > 0 {
            self.spent += play.calls[before.0 - 1].time;
        }
        self.over |= self.spent > MAX_TIME_NS && play.calls.len() >= MIN_CALLS;
    }

    fn note(&self, figures: &mut Figures, day: &str, code: &str, size: u64) {
        let windows = self.play.windows(WINDOW);
        figures.add_spent(&format!("{day}, a call, {code}"), size, &windows);
        let worst = windows.iter().map(|w| w.looked).fold(0.0, f64::max);
        figures.add(
            &format!("{day}, a call in the worst window, {code}, looked at"),
            "workers",
            size,
            worst,
        );
        figures.add_spent(&format!("{day}, a tick, {code}"), size, &self.play.ticks);
        let seventh: Vec<Spent> = self
            .play
            .lists
            .iter()
            .take(1)
            .map(|(spent, _)| *spent)
            .collect();
        figures.add_spent(
            &format!("{day}, the list that removes it, {code}"),
            size,
            &seventh,
        );
    }

    /// The ticks after the last call, and lists of each kind.
    fn note_lists(&mut self, figures: &mut Figures, code: &str, size: u64) {
        figures.add_spent(
            &format!("idle, a tick, {code}"),
            size,
            &self.play.idle_ticks(40),
        );
        figures.add_spent(&format!("the first list, {code}"), size, &[self.play.first]);
        let mut give = |kind: &str, times: usize, event: fn(&mut world::World) -> Event| {
            let one = |play: &mut Play<F>| {
                let event = event(&mut play.world);
                play.give(play.world.now(), event)
            };
            let spent: Vec<Spent> = (0..times).map(|_| one(&mut self.play)).collect();
            figures.add_spent(&format!("a list {kind}, {code}"), size, &spent);
        };
        give("of one change", 20, world::World::change_one);
        give("that removes a seventh", 1, |world| world.seventh(true));
        give("that brings a seventh back", 1, |world| {
            world.seventh(false)
        });
        give("of all again", 1, |world| world.complete());
    }
}

/// Plays a day into both, in turns; the reference alone may be left out.
fn both(day: &Day, plain: bool) -> (Option<Run<Plain>>, Run<Module>) {
    let (mut old, mut new) = (plain.then(|| Run::new(day)), Run::new(day));
    while !new.over || old.as_ref().is_some_and(|old| !old.over) {
        if let Some(old) = old.as_mut().filter(|old| !old.over) {
            old.step();
        }
        if !new.over {
            new.step();
        }
    }
    (old, new)
}

/// Runs the program that counts memory; `None` where it took too long.
fn memory(
    plan: &Plan,
    code: &str,
    workers: u64,
    functions: u64,
    calls: u64,
) -> Result<Option<(f64, f64)>> {
    let program = std::env::current_exe()?.with_file_name("decision-memory");
    let numbers = [workers, functions, calls, plan.seed].map(|n| n.to_string());
    let done = Command::new(&program).arg(code).args(numbers).output();
    let done =
        done.map_err(|e| format!("{}: {e}; build all of pipithub-bench", program.display()))?;
    if !done.status.success() {
        return Err(format!("decision-memory: {}", String::from_utf8_lossy(&done.stderr)).into());
    }
    let text = String::from_utf8(done.stdout)?;
    let mut words = text.split_whitespace().map(str::parse::<f64>);
    match (words.next(), words.next()) {
        (Some(Ok(most)), Some(Ok(after))) => Ok(Some((most, after))),
        _ => Ok(None),
    }
}

/// The kinds of days: what they are called, and the day at this size.
fn days(plan: &Plan, play: usize, size: u64) -> Vec<(&'static str, Day)> {
    let quiet = |rate| {
        Day::quiet(
            plan.seed + play as u64,
            size as usize,
            FUNCTIONS,
            rate,
            LENGTH,
        )
    };
    let mut days = vec![("quiet, 100/s", quiet(100)), ("quiet, 700/s", quiet(700))];
    days.extend(quiet(100).bad());
    days
}

pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let sizes = plan.sizes_or(&SIZES);
    let mut figures = Figures::default();
    for &size in &sizes {
        for play in 0..plan.plays {
            for (index, (name, day)) in days(plan, play, size).into_iter().enumerate() {
                let bad = index > 1;
                // The reference goes through all that it holds for each call, and the module, in turns with it, finds
                // the processor's caches filled with that: `--only module` plays it alone.
                let plain = plan.wants("plain")
                    && (!bad || size <= MAX_PLAIN_SIZE_WITH_FAULTS)
                    && (play == 0 || size < PLAIN_ONCE_FROM);
                let (old, mut new) = both(&day, plain);
                new.note(&mut figures, name, "module", size);
                if let Some(old) = &old {
                    old.note(&mut figures, name, "plain", size);
                }
                if index == 0 {
                    new.note_lists(&mut figures, "module", size);
                    if let Some(mut old) = old {
                        old.note_lists(&mut figures, "plain", size);
                    }
                }
            }
        }
        for code in ["plain", "module"] {
            let what = format!("memory after the list and {MEMORY_CALLS} calls, {code}");
            if let Some((_, bytes)) = memory(plan, code, size, FUNCTIONS, MEMORY_CALLS)? {
                figures.add(&what, "bytes", size, bytes);
            }
        }
    }
    let mut all = figures.series("workers", PLANNED);
    // Functions called once each, at the planned tier: the most that is held, and what is after they are forgotten.
    let mut figures = Figures::default();
    let counts: &[u64] = if sizes.contains(&PLANNED) {
        &[430, 4_300, FUNCTIONS]
    } else {
        &[]
    };
    for &functions in counts {
        match memory(plan, "module", PLANNED, functions, functions)? {
            Some((most, after)) => {
                figures.add(
                    "functions called once, the most memory, module",
                    "bytes",
                    functions,
                    most,
                );
                figures.add(
                    "functions called once, memory when forgotten, module",
                    "bytes",
                    functions,
                    after,
                );
            }
            None => eprintln!("decisions: {functions} functions once took too long, left out"),
        }
    }
    all.extend(figures.series("functions", FUNCTIONS));
    Ok(all)
}
