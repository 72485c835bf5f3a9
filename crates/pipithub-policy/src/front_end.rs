//! The state of one front end, and the step that each event starts.
//!
//! The input and output types are in `src/api.rs`. There is no clock, thread or I/O here: equal
//! events give equal actions, so that a recorded sequence of events can be replayed. Each decision
//! has a module of its own. The mechanism follows the paper "Resource Provisioning and Allocation in
//! Function-as-a-Service Edge-Clouds"; `docs/design.md` states what was changed, and why.

mod attempts;
mod endpoints;
mod function_loading;
mod maintenance;
mod polls;
mod preference;
mod rebalancing;
mod replay;
mod requests;
mod routing;
mod service_checks;

use std::collections::BTreeMap;

use self::maintenance::MAINTENANCE_PERIOD;
use crate::api::{Action, Class, Event, RequestId, Settings, Time};
use crate::endpoint_list_lease::EndpointListLease;
use crate::estimates::Estimates;
use crate::load_limiter::LoadLimiter;
use crate::load_polls::LoadPolls;
use crate::load_reports::IN_FLIGHT_HALF_LIFE;
use crate::pending_request::PendingRequest;
use crate::rebalancer::Rebalancer;
use crate::slow_start::SlowStart;
use crate::speculation::Speculation;
use crate::statistics::EventTimes;
use crate::time::{MAX_DURATION, MAX_TIME};
use crate::timer::TimerToken;
use crate::waiting_requests::WaitingRequests;
use crate::worker_table::WorkerTable;
use crate::zone_ejection::ZoneEjection;

/// The decisions of one front end.
///
/// The state of each decision is a type of its own; state that belongs to one worker is part of
/// `WorkerState`. The submodules hold the steps that need several of these types, and no other
/// module can access these fields.
#[derive(Debug, Default)]
pub struct FrontEnd {
    settings: Settings,
    /// The time of the current event, in nanoseconds; it never decreases.
    now: Time,
    seed: u64,
    workers: WorkerTable,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// The arrival times of the requests within the window of the rate limit on load commands, and
    /// within the time over which answers are counted.
    arrivals: EventTimes,
    estimates: Estimates,
    load_limiter: LoadLimiter,
    load_polls: LoadPolls,
    endpoint_list_lease: EndpointListLease,
    /// Requests that wait for a worker's health check.
    awaiting_check: WaitingRequests,
    rebalancer: Rebalancer,
    slow_start: SlowStart,
    speculation: Speculation,
    zones: ZoneEjection,
}

impl FrontEnd {
    /// Creates a front end without workers or requests. `seed` should differ between front ends, so
    /// that their random choices differ.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = bounded(settings);
        FrontEnd {
            workers: WorkerTable::new(IN_FLIGHT_HALF_LIFE),
            estimates: Estimates::new(&settings.classes),
            slow_start: SlowStart::new(settings.slow_start.clone(), seed),
            rebalancer: Rebalancer::new(settings.loading.keep_alive),
            settings,
            seed,
            ..FrontEnd::default()
        }
    }

    /// Handles one event at the time `now`, in nanoseconds, and appends the actions to take.
    ///
    /// If `now` is before the time of an earlier event, the time of that event is used instead.
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
            Event::EndpointListContact(contact) => self.record_endpoint_list_contact(contact),
            Event::HealthChecked(checked) => self.finish_check(&checked, actions),
            Event::WorkerDisconnected { worker } => self.record_connection_lost(&worker),
            Event::Timer { token } => self.handle_timer(token, actions),
            Event::Peer { .. } => {}
        }
    }

    /// Starts the maintenance timer and the watch of the endpoint list, at the first event.
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
            TimerToken::CheckTimeout(request) => self.expire_check(request, actions),
            TimerToken::RequestTimeout(request) => self.expire_request(request, actions),
        }
    }
}

/// Replaces settings with which the arithmetic would fail: no class, no front end, and durations
/// that are too long.
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
    settings.drain_grace.as_mut().map(bound);
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
