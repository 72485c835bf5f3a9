//! One front end: its state, and the step that each event starts.
//!
//! The types that go in and out stand in `src/api.rs`. There is no clock, thread or I/O here: equal
//! events give equal actions, so that a recorded day can be replayed. Each decision has a module of
//! its own; the mechanism follows "Resource Provisioning and Allocation in Function-as-a-Service
//! Edge-Clouds", as `docs/design.md` tells with what was changed and why.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Action, Class, Event, FunctionId, RequestId, Settings, Time, WorkerId};
use crate::estimates::Estimates;
use crate::hashing::mix;
use crate::load_reports::{IN_FLIGHT_HALF_LIFE, POLL_TIMEOUT_TOKEN};
use crate::maintenance::{MAINTENANCE_PERIOD, MAINTENANCE_TOKEN};
use crate::speculation::Speculation;
use crate::state::{FunctionState, Health, PendingRequest};
use crate::statistics::{EventTimes, RunningMean};
use crate::time::{MAX_DURATION, MAX_TIME};
use crate::worker_table::WorkerTable;

/// One front end.
#[derive(Debug, Default)]
pub struct FrontEnd {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) seed: u64,
    pub(crate) workers: WorkerTable,
    pub(crate) functions: BTreeMap<FunctionId, FunctionState>,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for a load report, by worker; some may be over.
    pub(crate) awaiting_load_report: BTreeMap<WorkerId, BTreeSet<RequestId>>,
    pub(crate) estimates: Estimates,
    /// Health of the store that functions are loaded from.
    pub(crate) store_health: Health,
    /// Loads that failed since the last that was done.
    pub(crate) consecutive_failed_loads: u32,
    /// Requests within the rate limit's window, and within the time over which answers are counted.
    pub(crate) arrivals: EventTimes,
    /// Load commands within the rate limit's window.
    pub(crate) load_commands: EventTimes,
    pub(crate) next_rebalancing_at: Time,
    /// Replicas that may be replaced now; a fraction is carried over.
    pub(crate) rebalancing_allowance: f64,
    /// Requests that a warm worker serves this front end, for each nanosecond.
    pub(crate) warm_rate: f64,
    /// Its mean over a longer time.
    pub(crate) mean_warm_rate: RunningMean,
    pub(crate) speculation: Speculation,
    /// Zones that do not respond.
    pub(crate) silent_zones: BTreeMap<String, Health>,
    /// Mean share of their value that attempts lost: answered late, in error or not at all.
    pub(crate) mean_lost_value: f64,
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = bounded(settings);
        FrontEnd {
            workers: WorkerTable::new(IN_FLIGHT_HALF_LIFE),
            estimates: Estimates::new(settings.classes.len()),
            settings,
            seed,
            ..FrontEnd::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(MAX_TIME));
        if self.next_rebalancing_at == 0 {
            self.start(actions);
        }
        match event {
            Event::Endpoints { update, endpoints } => {
                self.update_endpoints(update, endpoints, actions);
            }
            Event::Arrived(request) => self.accept(request, actions),
            Event::AttemptFinished(end) => self.finish_attempt(&end, actions),
            Event::Streaming { request } => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.streaming = true;
                }
            }
            Event::ClientCancelled { request } => self.cancel_request(request, actions),
            Event::LoadFinished(reply) => self.finish_load(&reply, actions),
            Event::LoadPolled {
                worker,
                answered,
                report,
            } => self.record_load_report(&worker, answered.then_some(report), actions),
            Event::Timer { token } => self.handle_timer(token, actions),
            Event::Peer { .. } => {}
        }
    }

    /// Starts the timers at the first event; the first rebalancing is drawn, so that front ends
    /// that start together do not rebalance together.
    fn start(&mut self, actions: &mut Vec<Action>) {
        let half_interval = self.rebalancing_interval() / 2;
        self.next_rebalancing_at = self.now + half_interval + mix(self.seed) % half_interval;
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: MAINTENANCE_TOKEN,
        });
        self.watch_endpoints(actions);
    }

    fn handle_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token == MAINTENANCE_TOKEN {
            self.run_maintenance(actions);
        } else if token & POLL_TIMEOUT_TOKEN > 0 {
            self.expire_poll(RequestId(token & !POLL_TIMEOUT_TOKEN), actions);
        } else {
            self.expire_request(RequestId(token), actions);
        }
    }
}

/// Replaces settings that the arithmetic could not bear: no class, no front end, durations without
/// a bound.
fn bounded(mut settings: Settings) -> Settings {
    if settings.classes.is_empty() {
        settings.classes.push(Class::default());
    }
    settings.front_ends = settings.front_ends.max(1);
    let bound = |duration: &mut Time| *duration = (*duration).min(MAX_DURATION);
    bound(&mut settings.tick);
    bound(&mut settings.slow_start.window);
    bound(&mut settings.slow_start.overload_window);
    bound(&mut settings.loading.keep_alive);
    if let Some(limit) = &mut settings.loading.rate_limit {
        bound(&mut limit.window);
    }
    for class in &mut settings.classes {
        bound(&mut class.latency_objective);
        bound(&mut class.client_timeout);
        bound(&mut class.deduplication_window);
    }
    settings
}
