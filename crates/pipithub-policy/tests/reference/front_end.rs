//! One front end: its state, and the decision that each event leads to.
//!
//! There is no clock, thread or I/O here: equal events give equal actions.

use std::collections::{BTreeMap, VecDeque};

use pipithub_policy::api::{Action, Class, Event, FunctionId, RequestId, Settings, Time, WorkerId};

use super::counting_map::CountingMap;
use super::estimates::Estimates;
use super::hashing::mix;
use super::load_reports::POLL_TIMEOUT_TOKEN;
use super::maintenance::{MAINTENANCE_PERIOD, MAINTENANCE_TOKEN};
use super::service::CHECK_TIMEOUT_TOKEN;
use super::slow_start::RunningMean;
use super::state::{FunctionState, Health, PendingRequest, WorkerState};
use super::time::{MAX_DURATION, MAX_TIME};

/// The state of one front end.
#[derive(Debug, Default)]
pub(crate) struct FrontEnd {
    pub(crate) settings: Settings,
    /// The time of the present event, in nanoseconds; it never goes back.
    pub(crate) now: Time,
    pub(crate) seed: u64,
    pub(crate) workers: CountingMap<WorkerState>,
    pub(crate) functions: BTreeMap<FunctionId, FunctionState>,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    pub(crate) estimates: Estimates,
    /// Health of the store that functions are loaded from.
    pub(crate) store_health: Health,
    /// Failed loads since an answer last reported that its request had loaded the function.
    pub(crate) consecutive_failed_loads: u32,
    /// When the recent requests arrived.
    pub(crate) arrivals: VecDeque<Time>,
    /// When the recent load commands were sent.
    pub(crate) load_commands: VecDeque<Time>,
    /// When the next round of rebalancing is due; 0 before the first event.
    pub(crate) next_rebalancing_at: Time,
    /// Replicas that may be replaced now; what is left is carried over to the next round.
    pub(crate) rebalancing_allowance: f64,
    /// Requests per nanosecond that a warm worker serves for this front end.
    pub(crate) warm_rate: f64,
    /// The mean of the warm rate over a longer time.
    pub(crate) mean_warm_rate: RunningMean,
    /// Speculative attempts that may be sent now, to workers where other front ends have probably
    /// loaded the function.
    pub(crate) speculation_tokens: f64,
    /// Zones that do not respond.
    pub(crate) silent_zones: BTreeMap<String, Health>,
    /// When the endpoint list's lease on its workers ends; `None` while its source has reported no
    /// contact, so that the list is relied on without a limit.
    pub(crate) endpoint_list_lease_end: Option<Time>,
    /// When the endpoint list was last known to be current.
    pub(crate) endpoint_list_confirmed_at: Time,
    /// Mean share of its value that an attempt loses by a late answer, an error or no answer.
    pub(crate) mean_lost_value: f64,
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let settings = bounded(settings);
        FrontEnd {
            estimates: Estimates::new(settings.classes.len()),
            settings,
            seed,
            ..FrontEnd::default()
        }
    }

    /// Handles one event and appends the actions to take. A time before that of an earlier event
    /// counts as that of the earlier one.
    pub(crate) fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
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
            Event::Timer { token } => self.expire_timer(token, actions),
            Event::EndpointListContact(contact) => self.record_endpoint_list_contact(contact),
            Event::HealthChecked(checked) => self.finish_check(&checked, actions),
            Event::WorkerDisconnected { worker } => self.record_connection_lost(&worker),
            Event::Peer { .. } => {}
        }
    }

    /// Starts maintenance and the watch of the endpoint list at the first event. The time of the
    /// first round of rebalancing is random, so that the front ends of a deployment do not all
    /// rebalance at once.
    fn start(&mut self, actions: &mut Vec<Action>) {
        let half = self.rebalancing_interval() / 2;
        self.next_rebalancing_at = self.now + half + mix(self.seed) % half;
        actions.push(Action::SetTimer {
            after: MAINTENANCE_PERIOD,
            token: MAINTENANCE_TOKEN,
        });
        self.watch_endpoints(actions);
    }

    /// Handles an expired timer. Its token shows what it is for: maintenance, a health check, a
    /// load poll or the deadline of a request.
    fn expire_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token == MAINTENANCE_TOKEN {
            self.run_maintenance(actions);
        } else if token & CHECK_TIMEOUT_TOKEN == CHECK_TIMEOUT_TOKEN {
            self.expire_check(RequestId(token & !CHECK_TIMEOUT_TOKEN), actions);
        } else if token & POLL_TIMEOUT_TOKEN > 0 {
            self.expire_poll(RequestId(token & !POLL_TIMEOUT_TOKEN), actions);
        } else {
            self.expire_request(RequestId(token), actions);
        }
    }

    /// The workers that may be sent work.
    pub(crate) fn ready_workers(&self) -> impl Iterator<Item = (&WorkerId, &WorkerState)> {
        self.workers.iter().filter(|(_, worker)| worker.is_ready())
    }

    /// The ids of the pending requests that satisfy the predicate.
    pub(crate) fn pending_where(
        &self,
        predicate: impl Fn(&PendingRequest) -> bool,
    ) -> Vec<RequestId> {
        self.pending
            .iter()
            .filter(|(_, pending)| predicate(pending))
            .map(|(id, _)| *id)
            .collect()
    }
}

/// The settings with at least one class and one front end, and with bounded durations, so that sums
/// do not overflow.
fn bounded(mut settings: Settings) -> Settings {
    if settings.classes.is_empty() {
        settings.classes.push(Class::default());
    }
    settings.front_ends = settings.front_ends.max(1);
    settings.tick = settings.tick.min(MAX_DURATION);
    let slow_start = &mut settings.slow_start;
    slow_start.window = slow_start.window.min(MAX_DURATION);
    slow_start.overload_window = slow_start.overload_window.min(MAX_DURATION);
    let loading = &mut settings.loading;
    loading.keep_alive = loading.keep_alive.min(MAX_DURATION);
    if let Some(limit) = &mut loading.rate_limit {
        limit.window = limit.window.min(MAX_DURATION);
    }
    for class in &mut settings.classes {
        class.latency_objective = class.latency_objective.min(MAX_DURATION);
        class.client_timeout = class.client_timeout.min(MAX_DURATION);
        class.deduplication_window = class.deduplication_window.min(MAX_DURATION);
    }
    settings
}
