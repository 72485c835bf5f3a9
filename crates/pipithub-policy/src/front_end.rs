//! One front end: its state, and the step that each event starts.
//!
//! The types that go in and out stand in `src/api.rs`. There is no clock, thread or I/O here: equal
//! events give equal actions, so that a recorded day can be replayed. Each decision has a module of
//! its own; the mechanism follows "Resource Provisioning and Allocation in Function-as-a-Service
//! Edge-Clouds", as `docs/design.md` tells with what was changed and why.

use std::collections::BTreeMap;

use crate::api::{Action, Class, Event, FunctionId, RequestId, Settings, Time};
use crate::ejection::Ejection;
use crate::estimates::Estimates;
use crate::load_limiter::LoadLimiter;
use crate::load_polls::LoadPolls;
use crate::load_reports::IN_FLIGHT_HALF_LIFE;
use crate::maintenance::MAINTENANCE_PERIOD;
use crate::rebalancing::Rebalancer;
use crate::speculation::Speculation;
use crate::state::{FunctionState, PendingRequest};
use crate::statistics::{EventTimes, RunningMean};
use crate::time::{MAX_DURATION, MAX_TIME};
use crate::timer::TimerToken;
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
    pub(crate) estimates: Estimates,
    pub(crate) load_limiter: LoadLimiter,
    pub(crate) load_polls: LoadPolls,
    pub(crate) rebalancer: Rebalancer,
    /// Requests within the rate limit's window, and within the time over which answers are counted.
    pub(crate) arrivals: EventTimes,
    /// Requests that a warm worker serves this front end, for each nanosecond.
    pub(crate) warm_rate: f64,
    /// Its mean over a longer time.
    pub(crate) mean_warm_rate: RunningMean,
    pub(crate) speculation: Speculation,
    /// Zones that do not respond.
    pub(crate) silent_zones: BTreeMap<String, Ejection>,
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = bounded(settings);
        FrontEnd {
            workers: WorkerTable::new(IN_FLIGHT_HALF_LIFE),
            estimates: Estimates::new(settings.classes.len()),
            rebalancer: Rebalancer::new(settings.loading.keep_alive),
            settings,
            seed,
            ..FrontEnd::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(MAX_TIME));
        if !self.rebalancer.is_started() {
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

    /// Starts the timers and the watch of the endpoint list, at the first event.
    fn start(&mut self, actions: &mut Vec<Action>) {
        self.rebalancer.start(self.seed, self.now);
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: TimerToken::Maintenance.into(),
        });
        self.watch_endpoints(actions);
    }

    fn handle_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        match TimerToken::from(token) {
            TimerToken::Maintenance => self.run_maintenance(actions),
            TimerToken::PollTimeout(request) => self.expire_poll(request, actions),
            TimerToken::RequestTimeout(request) => self.expire_request(request, actions),
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
