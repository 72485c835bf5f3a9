//! One front end: its state, and the step that each event starts.
//!
//! The types that go in and out stand in `src/api.rs`.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{
    Action, Class, Event, FunctionId, LoadReport, RequestId, Settings, Time, WorkerId,
};
use crate::hashing::mix;
use crate::load_reports::{IN_FLIGHT_HALF_LIFE, POLL_TIMEOUT_TOKEN};
use crate::maintenance::{MAINTENANCE_PERIOD, MAINTENANCE_TOKEN};
use crate::state::{FunctionState, Health, PendingRequest};
use crate::statistics::{EventTimes, RunningMean};
use crate::worker_pool::WorkerPool;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// No length of time told or seen counts as longer, so that no sum overflows.
pub(crate) const MAX_DURATION: Time = 3_600_000 * MILLISECOND;

/// One front end.
#[derive(Debug, Default)]
pub struct FrontEnd {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) seed: u64,
    pub(crate) workers: WorkerPool,
    pub(crate) functions: BTreeMap<FunctionId, FunctionState>,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    /// Calls that wait for a worker to tell its load, by worker; some may be over.
    pub(crate) awaiting_load_report: BTreeMap<WorkerId, BTreeSet<RequestId>>,
    /// Mean run time of each class.
    pub(crate) class_run_times: Vec<Option<f64>>,
    /// Seen load time over the told one, and the mean load where none is told.
    pub(crate) load_slowdown: f64,
    pub(crate) mean_load_time: Option<f64>,
    pub(crate) load_observed_at: Time,
    /// Health of what loads come from, and loads that failed since the last that was done.
    pub(crate) store_health: Health,
    pub(crate) consecutive_failed_loads: u32,
    /// Arrivals and orders within the ration's window, arrivals within the rate span at least.
    pub(crate) arrivals: EventTimes,
    pub(crate) load_commands: EventTimes,
    pub(crate) next_rebalancing_at: Time,
    pub(crate) rebalancing_allowance: f64,
    /// Calls that a warm worker serves this front end, for each unit of time.
    pub(crate) warm_rate: f64,
    /// Its mean over a longer time.
    pub(crate) mean_warm_rate: RunningMean,
    /// Mean of what workers told to hold, and of how far runs were stretched there.
    pub(crate) reported_queues: (f64, f64),
    /// Calls that may now be sent on a guess.
    pub(crate) speculation_tokens: f64,
    /// Zones that say nothing.
    pub(crate) silent_zones: BTreeMap<String, Health>,
    /// Mean share of their worth that own sends lost: answered late, in error or not at all.
    pub(crate) mean_lost_value: f64,
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut s = settings;
        if s.classes.is_empty() {
            s.classes.push(Class::default());
        }
        s.front_ends = s.front_ends.max(1);
        let (rules, loading) = (&mut s.slow_start, &mut s.loading);
        let window = loading.rate_limit.iter_mut().map(|r| &mut r.window);
        let told = [
            &mut s.tick,
            &mut rules.window,
            &mut rules.overload_window,
            &mut loading.keep_alive,
        ];
        let class = s.classes.iter_mut().flat_map(|c| {
            [
                &mut c.latency_objective,
                &mut c.client_timeout,
                &mut c.deduplication_window,
            ]
        });
        told.into_iter()
            .chain(window)
            .chain(class)
            .for_each(|t| *t = (*t).min(MAX_DURATION));
        let (nodes, class_run, held_seen) = (
            WorkerPool::new(IN_FLIGHT_HALF_LIFE),
            vec![None; s.classes.len()],
            (6.0, 1.0),
        );
        FrontEnd {
            workers: nodes,
            class_run_times: class_run,
            settings: s,
            seed,
            load_slowdown: 1.0,
            reported_queues: held_seen,
            ..FrontEnd::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(Time::MAX >> 2));
        if self.next_rebalancing_at == 0 {
            self.next_rebalancing_at = self.now
                + self.rebalancing_interval() / 2
                + mix(self.seed) % (self.rebalancing_interval() / 2);
            actions.push(Action::SetTimer {
                after: MAINTENANCE_PERIOD,
                token: MAINTENANCE_TOKEN,
            });
            actions.extend(
                self.settings
                    .watch_on_request
                    .then_some(Action::WatchEndpoints),
            );
        }
        match event {
            Event::Endpoints {
                update: kind,
                endpoints: entries,
            } => self.update_endpoints(kind, entries, actions),
            Event::Arrived(call) => self.accept(call, actions),
            Event::AttemptFinished(end) => {
                if end.load_report != LoadReport::default() {
                    self.record_load_report(&end.worker, Some(end.load_report), actions);
                }
                let ran = self.record_attempt(&end);
                self.finish_attempt(&end, ran, actions);
            }
            Event::Streaming { request } => {
                if let Some(open) = self.pending.get_mut(&request) {
                    open.streaming = true;
                }
            }
            Event::ClientCancelled { request } => {
                if let Some(open) = self.pending.remove(&request) {
                    self.cancel_attempt(request, &open, actions);
                }
            }
            Event::LoadFinished(reply) => self.finish_load(&reply, actions),
            Event::Timer {
                token: MAINTENANCE_TOKEN,
            } => self.run_maintenance(actions),
            Event::LoadPolled {
                worker,
                answered,
                report: load,
            } => self.record_load_report(&worker, answered.then_some(load), actions),
            Event::Timer { token } if token & POLL_TIMEOUT_TOKEN > 0 => {
                if let Some(worker) = self
                    .pending
                    .get(&(token & !POLL_TIMEOUT_TOKEN))
                    .and_then(|o| o.polled_worker.clone())
                {
                    self.record_load_report(&worker, None, actions);
                }
            }
            Event::Timer { token } => {
                // The client's time may be all but over.
                let over = |o: &PendingRequest| {
                    !o.streaming && self.now + 3 * self.settings.tick >= o.deadline
                };
                if self.pending.get(&token).is_some_and(over) {
                    self.reject_or_fail(token, actions);
                }
            }
            Event::Peer { .. } => {}
        }
    }
}
