//! One front end in its simulated day, the decision module beside its plain reference.

use pipithub_policy::FrontEnd as Module;
use pipithub_policy::api::{Action, Event, Settings, Time};

use super::figures::Figures;
use super::reference::FrontEnd as Reference;
use super::simulated_fleet::cost::{Cost, DecisionModule, MeteredRun};
use super::simulated_fleet::{Scenario, SimulatedFleet};

/// Calls of a window.
const WINDOW: usize = 10;
/// A front end is stopped in a day once it took so many nanoseconds, but not before so many calls.
const MAX_TIME_NS: f64 = 3e9;
const MIN_CALLS: usize = 60;
/// Ticks after the last call, and lists of one change, that are measured.
const IDLE_TICKS: usize = 40;
const SMALL_LISTS: usize = 20;

impl DecisionModule for Reference {
    fn start(settings: Settings, seed: u64) -> Self {
        Reference::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Reference::handle(self, now, event, actions);
    }
}

/// One front end in its day, until it is over or took too long.
pub(super) struct Run<F> {
    play: MeteredRun<F>,
    spent_ns: f64,
    over: bool,
}

impl<F: DecisionModule> Run<F> {
    fn new(day: &Scenario) -> Self {
        Run {
            play: MeteredRun::new(day.clone()),
            spent_ns: 0.0,
            over: false,
        }
    }

    fn step(&mut self) {
        let play = &mut self.play;
        let (calls_before, ticks_before) = (play.requests.len(), play.maintenance.len());
        self.over |= !play.step();
        if play.maintenance.len() > ticks_before {
            self.spent_ns += play.maintenance.last().map_or(0.0, |spent| spent.time_ns);
        }
        if play.requests.len() > calls_before && calls_before > 0 {
            self.spent_ns += play.requests[calls_before - 1].time_ns;
        }
        self.over |= self.spent_ns > MAX_TIME_NS && play.requests.len() >= MIN_CALLS;
    }

    /// Adds what calls, ticks and the day's first list cost.
    pub(super) fn add_to(&self, figures: &mut Figures, day: &str, code: &str, size: u64) {
        let windows = self.play.windows(WINDOW);
        figures.add_spent(&format!("{day}, a call, {code}"), size, &windows);
        let worst = windows
            .iter()
            .map(|window| window.workers_examined)
            .fold(0.0, f64::max);
        figures.add(
            &format!("{day}, a call in the worst window, {code}, looked at"),
            "workers",
            size,
            worst,
        );
        figures.add_spent(
            &format!("{day}, a tick, {code}"),
            size,
            &self.play.maintenance,
        );
        let first_list: Vec<Cost> = self
            .play
            .endpoint_updates
            .first()
            .map(|update| update.cost)
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
            &self.play.idle_maintenance(IDLE_TICKS),
        );
        figures.add_spent(
            &format!("the first list, {code}"),
            size,
            &[self.play.first_snapshot],
        );
        let mut add = |kind: &str, times: usize, event: fn(&mut SimulatedFleet) -> Event| {
            let spent: Vec<Cost> = (0..times)
                .map(|_| {
                    let event = event(&mut self.play.fleet);
                    self.play.handle(self.play.fleet.now(), event)
                })
                .collect();
            figures.add_spent(&format!("a list {kind}, {code}"), size, &spent);
        };
        add(
            "of one change",
            SMALL_LISTS,
            SimulatedFleet::restart_one_worker,
        );
        add(
            "that removes a seventh",
            1,
            SimulatedFleet::remove_many_workers,
        );
        add(
            "that brings a seventh back",
            1,
            SimulatedFleet::return_many_workers,
        );
        add("of all again", 1, |fleet| fleet.endpoint_snapshot());
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
    pub(super) fn play(day: &Scenario, with_plain: bool) -> Runs {
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
