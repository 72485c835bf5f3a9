//! One front end in its simulated day, the decision module beside its plain reference.

use pipithub_policy::FrontEnd as Module;
use pipithub_policy::api::{Action, Event, Settings, Time};

use super::figures::Figures;
use super::reference::FrontEnd as Reference;
use super::world::meter::{Front, Play, Spent};
use super::world::{Day, World};

/// Calls of a window.
const WINDOW: usize = 10;
/// A front end is stopped in a day once it took so many nanoseconds, but not before so many calls.
const MAX_TIME_NS: f64 = 3e9;
const MIN_CALLS: usize = 60;
/// Ticks after the last call, and lists of one change, that are measured.
const IDLE_TICKS: usize = 40;
const SMALL_LISTS: usize = 20;

impl Front for Reference {
    fn start(settings: Settings, seed: u64) -> Self {
        Reference::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Reference::handle(self, now, event, actions);
    }
}

/// One front end in its day, until it is over or took too long.
pub(super) struct Run<F> {
    play: Play<F>,
    spent_ns: f64,
    over: bool,
}

impl<F: Front> Run<F> {
    fn new(day: &Day) -> Self {
        Run {
            play: Play::new(day.clone()),
            spent_ns: 0.0,
            over: false,
        }
    }

    fn step(&mut self) {
        let play = &mut self.play;
        let (calls_before, ticks_before) = (play.calls.len(), play.ticks.len());
        self.over |= !play.step();
        if play.ticks.len() > ticks_before {
            self.spent_ns += play.ticks.last().map_or(0.0, |spent| spent.time);
        }
        if play.calls.len() > calls_before && calls_before > 0 {
            self.spent_ns += play.calls[calls_before - 1].time;
        }
        self.over |= self.spent_ns > MAX_TIME_NS && play.calls.len() >= MIN_CALLS;
    }

    /// Adds what calls, ticks and the day's first list cost.
    pub(super) fn add_to(&self, figures: &mut Figures, day: &str, code: &str, size: u64) {
        let windows = self.play.windows(WINDOW);
        figures.add_spent(&format!("{day}, a call, {code}"), size, &windows);
        let worst = windows
            .iter()
            .map(|window| window.looked)
            .fold(0.0, f64::max);
        figures.add(
            &format!("{day}, a call in the worst window, {code}, looked at"),
            "workers",
            size,
            worst,
        );
        figures.add_spent(&format!("{day}, a tick, {code}"), size, &self.play.ticks);
        let first_list: Vec<Spent> = self
            .play
            .lists
            .first()
            .map(|(spent, _)| *spent)
            .into_iter()
            .collect();
        figures.add_spent(
            &format!("{day}, the list that removes it, {code}"),
            size,
            &first_list,
        );
    }

    /// Adds what ticks after the last call cost, and lists of each kind.
    pub(super) fn add_lists_to(&mut self, figures: &mut Figures, code: &str, size: u64) {
        figures.add_spent(
            &format!("idle, a tick, {code}"),
            size,
            &self.play.idle_ticks(IDLE_TICKS),
        );
        figures.add_spent(&format!("the first list, {code}"), size, &[self.play.first]);
        let mut add = |kind: &str, times: usize, event: fn(&mut World) -> Event| {
            let spent: Vec<Spent> = (0..times)
                .map(|_| {
                    let event = event(&mut self.play.world);
                    self.play.give(self.play.world.now(), event)
                })
                .collect();
            figures.add_spent(&format!("a list {kind}, {code}"), size, &spent);
        };
        add("of one change", SMALL_LISTS, World::change_one);
        add("that removes a seventh", 1, |world| world.seventh(true));
        add("that brings a seventh back", 1, |world| {
            world.seventh(false)
        });
        add("of all again", 1, |world| world.complete());
    }
}

/// The runs of both codes in the same day.
pub(super) struct Runs {
    /// The plain reference; `None` where it is left out.
    pub plain: Option<Run<Reference>>,
    /// The decision module.
    pub module: Run<Module>,
}

impl Runs {
    /// Plays a day into both, in turns; the reference alone may be left out.
    pub(super) fn play(day: &Day, with_plain: bool) -> Runs {
        let mut plain = with_plain.then(|| Run::new(day));
        let mut module = Run::new(day);
        while !module.over || plain.as_ref().is_some_and(|run| !run.over) {
            if let Some(run) = plain.as_mut().filter(|run| !run.over) {
                run.step();
            }
            if !module.over {
                module.step();
            }
        }
        Runs { plain, module }
    }
}
