//! Plays a scenario into one front end and measures what each event costs it.

use std::time::Instant;

use pipithub_policy::api::{Action, Event, Settings, Time};
use pipithub_policy::{FrontEnd, work};

use super::{MS, Scenario, SimulatedFleet};

/// From this on tokens name the maintenance timer, not a request.
const FIRST_MAINTENANCE_TOKEN: u64 = 1 << 62;
/// How long clients' requests may take after the last one has arrived.
const DRAIN_TIME: Time = 60_000 * MS;

/// The decision module, or its plain reference.
pub(crate) trait DecisionModule {
    /// A front end that knows its settings alone.
    fn start(settings: Settings, seed: u64) -> Self;
    /// Lets it handle an event.
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

/// What an event cost.
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

/// What an update of the endpoint list cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointUpdateCost {
    pub cost: Cost,
    /// Endpoints in the update.
    pub endpoints: usize,
}

/// What an event is counted as.
enum EventKind {
    RequestArrived,
    Maintenance,
    EndpointUpdate {
        endpoints: usize,
    },
    /// Belongs to the request that arrived last.
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

/// One front end in its simulated fleet.
pub(crate) struct MeteredRun<F> {
    pub fleet: SimulatedFleet,
    front_end: F,
    actions: Vec<Action>,
    /// For each request its arrival and all events of requests until the next one arrives.
    pub requests: Vec<Cost>,
    /// For each maintenance timer.
    pub maintenance: Vec<Cost>,
    /// For each update of the endpoint list during the scenario.
    pub endpoint_updates: Vec<EndpointUpdateCost>,
    /// The snapshot at the start.
    pub first_snapshot: Cost,
}

impl<F: DecisionModule> MeteredRun<F> {
    /// A run that has handled the first snapshot.
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

    /// Lets the front end handle an event and the fleet answer its actions.
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

    /// Plays the next event; false once the scenario is over.
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

    /// The means of this many requests at a time: answers are counted with the request that arrived last, so single
    /// requests say little. The first fifth is left out, as the front end knows nothing then.
    pub(crate) fn windows(&self, length: usize) -> Vec<Cost> {
        self.requests[self.requests.len() / 5..]
            .chunks_exact(length.max(1))
            .map(mean)
            .collect()
    }

    /// This many maintenance timers after the last request has ended.
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

/// The value in the middle; 0 of none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
