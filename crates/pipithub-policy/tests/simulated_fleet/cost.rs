//! Runs a scenario with one front end and measures the time and the examined workers that each event costs.

use std::time::Instant;

use pipithub_policy::api::{Action, Event, Settings, Time};
use pipithub_policy::{FrontEnd, work};

use super::{MS, Scenario, SimulatedFleet};

/// The token of the maintenance timer. Those of timers for requests and load polls are lower; health checks, whose
/// tokens are higher, are sent in outages of discovery only.
const FIRST_MAINTENANCE_TOKEN: u64 = 1 << 62;
/// How long pending requests may take after the last one has arrived.
const DRAIN_TIME: Time = 60_000 * MS;

/// The decision module or its reference implementation.
pub(crate) trait DecisionModule {
    /// Makes a front end that knows nothing but its settings.
    fn start(settings: Settings, seed: u64) -> Self;
    /// Handles an event and appends the actions to `actions`.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for FrontEnd {
    fn start(settings: Settings, seed: u64) -> Self {
        FrontEnd::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        FrontEnd::handle(self, now, event, actions);
    }
}

/// The cost of handling one event, or the sum or mean of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Cost {
    pub time_ns: f64,
    pub workers_examined: f64,
}

impl std::ops::AddAssign for Cost {
    fn add_assign(&mut self, other: Cost) {
        self.time_ns += other.time_ns;
        self.workers_examined += other.workers_examined;
    }
}

/// The cost of an update of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointUpdateCost {
    pub cost: Cost,
    /// The number of endpoints in the update.
    pub endpoints: usize,
}

/// The kinds of events whose costs are counted apart.
enum EventKind {
    RequestArrived,
    Maintenance,
    EndpointUpdate {
        endpoints: usize,
    },
    /// Any other event, counted with the request that arrived last.
    RequestFollowUp,
}

impl EventKind {
    fn of(event: &Event) -> EventKind {
        match event {
            Event::Arrived(_) => EventKind::RequestArrived,
            Event::Timer { token } if *token >= FIRST_MAINTENANCE_TOKEN => EventKind::Maintenance,
            Event::Endpoints { endpoints, .. } => EventKind::EndpointUpdate {
                endpoints: endpoints.len(),
            },
            _ => EventKind::RequestFollowUp,
        }
    }
}

/// One front end in its simulated fleet, and the costs of the events so far.
pub(crate) struct MeteredRun<F> {
    pub fleet: SimulatedFleet,
    front_end: F,
    actions: Vec<Action>,
    /// For each request the cost of its arrival and of all events of requests until the next arrival.
    pub requests: Vec<Cost>,
    /// The cost of each maintenance timer.
    pub maintenance: Vec<Cost>,
    /// The cost of each update of the endpoint list that the scenario scheduled.
    pub endpoint_updates: Vec<EndpointUpdateCost>,
    /// The cost of the snapshot at the start.
    pub first_snapshot: Cost,
}

impl<F: DecisionModule> MeteredRun<F> {
    /// Begins a run: the front end has handled the first snapshot.
    pub(crate) fn new(scenario: Scenario) -> Self {
        let mut run = MeteredRun {
            front_end: F::start(scenario.settings.clone(), scenario.seed),
            fleet: SimulatedFleet::new(scenario),
            actions: Vec::new(),
            requests: Vec::new(),
            maintenance: Vec::new(),
            endpoint_updates: Vec::new(),
            first_snapshot: Cost::default(),
        };
        let snapshot = run.fleet.endpoint_snapshot();
        run.first_snapshot = run.handle(run.fleet.now(), snapshot);
        run
    }

    /// Has the front end handle an event and the fleet carry out the actions; returns the cost of the event.
    pub(crate) fn handle(&mut self, at: Time, event: Event) -> Cost {
        self.actions.clear();
        work::take_examined();
        let began = Instant::now();
        self.front_end.handle(at, event, &mut self.actions);
        let time_ns = began.elapsed().as_nanos() as f64;
        let cost = Cost {
            time_ns,
            workers_examined: work::take_examined() as f64,
        };
        self.fleet.apply(&self.actions);
        cost
    }

    /// Handles the next event and counts its cost; returns false once the scenario is over.
    pub(crate) fn step(&mut self) -> bool {
        let Some((at, event)) = self.fleet.next_event() else {
            return false;
        };
        let kind = EventKind::of(&event);
        let cost = self.handle(at, event);
        match kind {
            EventKind::RequestArrived => self.requests.push(cost),
            EventKind::Maintenance => self.maintenance.push(cost),
            EventKind::EndpointUpdate { endpoints } => {
                self.endpoint_updates
                    .push(EndpointUpdateCost { cost, endpoints });
            }
            EventKind::RequestFollowUp => {
                if let Some(last) = self.requests.last_mut() {
                    *last += cost;
                }
            }
        }
        true
    }

    /// The mean costs of windows of `length` requests. Events are counted with the request that arrived last, so the
    /// cost of a single request says little. The first fifth is left out, as the front end has learnt little by then.
    pub(crate) fn windows(&self, length: usize) -> Vec<Cost> {
        self.requests[self.requests.len() / 5..]
            .chunks_exact(length.max(1))
            .map(mean)
            .collect()
    }

    /// Stops the arrivals and returns the costs of up to `count` maintenance timers after the last request has ended.
    pub(crate) fn idle_maintenance(&mut self, count: usize) -> Vec<Cost> {
        self.fleet.stop_arrivals(DRAIN_TIME);
        while !self.fleet.is_idle() && self.step() {}
        let before = self.maintenance.len();
        while self.maintenance.len() < before + count && self.step() {}
        self.maintenance[before..].to_vec()
    }
}

fn mean(costs: &[Cost]) -> Cost {
    let mut sum = Cost::default();
    costs.iter().for_each(|cost| sum += *cost);
    Cost {
        time_ns: sum.time_ns / costs.len() as f64,
        workers_examined: sum.workers_examined / costs.len() as f64,
    }
}

/// The median, the upper one of an even number of values; 0 if there are none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
