//! Runs the decision module and its reference implementation in the same simulated scenario.

use pipithub_policy::FrontEnd as Module;
use pipithub_policy::api::{Action, Event, Settings, Time};

use super::figures::Figures;
use super::reference::FrontEnd as Reference;
use super::simulated_fleet::cost::{Cost, DecisionModule, MeteredRun};
use super::simulated_fleet::{Scenario, SimulatedFleet};

/// The number of successive calls over which costs are averaged.
const WINDOW: usize = 10;
/// A run ends early when its calls and ticks have taken longer than this number of nanoseconds.
const MAX_TIME_NS: f64 = 3e9;
/// A run does not end early before this number of calls.
const MIN_CALLS: usize = 60;
/// The number of measured ticks after the last call.
const IDLE_TICKS: usize = 40;
/// The number of measured list events with one change.
const SMALL_LISTS: usize = 20;

impl DecisionModule for Reference {
    fn start(settings: Settings, seed: u64) -> Self {
        Reference::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Reference::handle(self, now, event, actions);
    }
}

/// The run of a front end in a scenario, until the scenario is over or the run has taken too long.
pub(super) struct Run<F> {
    metered: MeteredRun<F>,
    time_ns: f64,
    over: bool,
}

impl<F: DecisionModule> Run<F> {
    fn new(scenario: &Scenario) -> Self {
        Run {
            metered: MeteredRun::new(scenario.clone()),
            time_ns: 0.0,
            over: false,
        }
    }

    fn step(&mut self) {
        let metered = &mut self.metered;
        let (calls_before, ticks_before) = (metered.requests.len(), metered.maintenance.len());
        self.over |= !metered.step();
        if metered.maintenance.len() > ticks_before {
            self.time_ns += metered.maintenance.last().map_or(0.0, |cost| cost.time_ns);
        }
        if metered.requests.len() > calls_before && calls_before > 0 {
            self.time_ns += metered.requests[calls_before - 1].time_ns;
        }
        self.over |= self.time_ns > MAX_TIME_NS && metered.requests.len() >= MIN_CALLS;
    }

    /// Adds the costs of calls, of ticks and of the first list event of the scenario.
    pub(super) fn add_to(
        &self,
        figures: &mut Figures,
        scenario: &str,
        implementation: &str,
        size: u64,
    ) {
        let windows = self.metered.windows(WINDOW);
        figures.add_costs(
            &format!("{scenario}, a call, {implementation}"),
            size,
            &windows,
        );
        let worst = windows
            .iter()
            .map(|window| window.workers_examined)
            .fold(0.0, f64::max);
        figures.add(
            &format!("{scenario}, a call in the worst window, {implementation}, looked at"),
            "workers",
            size,
            worst,
        );
        figures.add_costs(
            &format!("{scenario}, a tick, {implementation}"),
            size,
            &self.metered.maintenance,
        );
        let first_list: Vec<Cost> = self
            .metered
            .endpoint_updates
            .first()
            .map(|update| update.cost)
            .into_iter()
            .collect();
        figures.add_costs(
            &format!("{scenario}, the list that removes it, {implementation}"),
            size,
            &first_list,
        );
    }

    /// Adds the costs of ticks after the last call, and of list events of each kind.
    pub(super) fn add_lists_to(&mut self, figures: &mut Figures, implementation: &str, size: u64) {
        figures.add_costs(
            &format!("idle, a tick, {implementation}"),
            size,
            &self.metered.idle_maintenance(IDLE_TICKS),
        );
        figures.add_costs(
            &format!("the first list, {implementation}"),
            size,
            &[self.metered.first_snapshot],
        );
        let mut add = |kind: &str, times: usize, event: fn(&mut SimulatedFleet) -> Event| {
            let costs: Vec<Cost> = (0..times)
                .map(|_| {
                    let event = event(&mut self.metered.fleet);
                    self.metered.handle(self.metered.fleet.now(), event)
                })
                .collect();
            figures.add_costs(&format!("a list {kind}, {implementation}"), size, &costs);
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

/// The runs of both implementations in the same scenario.
pub(super) struct Runs {
    /// The reference implementation; `None` if it does not run.
    pub reference: Option<Run<Reference>>,
    /// The decision module.
    pub module: Run<Module>,
}

impl Runs {
    /// Runs a scenario with the decision module and, unless it is left out, the reference, event by event in turns.
    pub(super) fn run(scenario: &Scenario, with_reference: bool) -> Runs {
        let mut reference = with_reference.then(|| Run::new(scenario));
        let mut module = Run::new(scenario);
        while !module.over || reference.as_ref().is_some_and(|run| !run.over) {
            if let Some(run) = reference.as_mut().filter(|run| !run.over) {
                run.step();
            }
            if !module.over {
                module.step();
            }
        }
        Runs { reference, module }
    }
}
