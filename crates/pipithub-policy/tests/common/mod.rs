//! A front end under test with a clock that the test advances, and the settings that most tests use.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

use std::collections::BTreeSet;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, AttemptFinished, Class, Endpoint, EndpointUpdate, Event, FunctionId, FunctionLoading,
    Idempotency, Limits, LoadFinished, LoadReport, Outcome, ReplicaStatus, Request, RequestId,
    Settings, SlowStart, Time, WorkerId,
};

/// Nanoseconds in a millisecond.
pub(crate) const MS: u64 = 1_000_000;
/// The workers of a small deployment.
pub(crate) const THREE_WORKERS: [&str; 3] = ["w1", "w2", "w3"];
/// Requests after which the front end knows that the preferred worker of a function has it loaded.
const REQUESTS_TO_WARM_UP: usize = 12;
/// Time between two requests of [`FrontEndHarness::run_requests`].
const REQUEST_GAP: Time = 50 * MS;

/// Settings with one class, which has this idempotency; load commands are allowed.
pub(crate) fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        front_ends: 1,
        tick: 2 * MS,
        classes: vec![Class {
            idempotency,
            late_answer_weight: 0.3,
            client_timeout: 4_000 * MS,
            deduplication_window: 2_500 * MS,
            ..Class::default()
        }],
        limits: Limits {
            max_attempts: 4,
            cancel: true,
            load_polls: false,
            health_checks: true,
            retry_after: true,
            max_retry_after: 500 * MS,
        },
        slow_start: SlowStart {
            initial_weight: 0.2,
            window: 15_000 * MS,
            overload_factor: 3.0,
            overload_window: 2_000 * MS,
        },
        loading: FunctionLoading {
            load_commands: true,
            reports_cold_starts: true,
            ..FunctionLoading::default()
        },
        ..Settings::default()
    }
}

/// Settings of a fleet so large that a front end relies on load reports.
pub(crate) fn large_fleet_settings() -> Settings {
    let mut settings = settings(Idempotency::Idempotent);
    settings.front_ends = 100;
    settings.limits.load_polls = true;
    settings
}

/// A ready worker in zone `a`.
pub(crate) fn endpoint(address: &str) -> Endpoint {
    Endpoint {
        worker: WorkerId::new(address),
        zone: "a".to_string(),
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// A timer that the front end has set; timers are ordered by the time of their expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Time,
    token: u64,
}

/// An action and the clock time at which it was taken.
pub(crate) struct TimedAction {
    pub at: Time,
    pub action: Action,
}

/// An attempt that has not been answered yet.
struct OpenAttempt {
    request: RequestId,
    number: u32,
    worker: WorkerId,
}

/// The actions after an event of a request, which may contain its next attempt.
struct Reaction {
    request: RequestId,
    next_attempt: u32,
    actions: Vec<Action>,
}

/// The results of [`FrontEndHarness::run_requests`].
pub(crate) struct Traffic {
    /// The number of requests that were served.
    pub served: usize,
    /// The worker of each attempt, in the order of the attempts.
    pub workers: Vec<WorkerId>,
}

impl Traffic {
    /// The number of attempts at this worker.
    pub(crate) fn attempts_at(&self, worker: &WorkerId) -> usize {
        self.workers.iter().filter(|at| *at == worker).count()
    }
}

/// A front end, its clock, and all actions that it has taken.
pub(crate) struct FrontEndHarness {
    pub module: FrontEnd,
    pub now: Time,
    pub actions_taken: Vec<TimedAction>,
    timers: BTreeSet<Timer>,
    next_request: RequestId,
}

impl FrontEndHarness {
    pub(crate) fn new(settings: Settings, workers: &[&str]) -> Self {
        FrontEndHarness::seeded(settings, workers, 11)
    }

    pub(crate) fn seeded(settings: Settings, workers: &[&str], seed: u64) -> Self {
        let mut front_end = FrontEndHarness {
            module: FrontEnd::new(settings, seed),
            now: 1_000_000 * MS,
            actions_taken: Vec::new(),
            timers: BTreeSet::new(),
            next_request: RequestId(1),
        };
        let endpoints = workers.iter().map(|address| endpoint(address)).collect();
        front_end.handle(Event::Endpoints {
            update: EndpointUpdate::Cached,
            endpoints,
        });
        front_end
    }

    /// Has the front end handle one event, and returns its actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, token } = action {
                self.timers.insert(Timer {
                    due: self.now + after,
                    token: *token,
                });
            }
            self.actions_taken.push(TimedAction {
                at: self.now,
                action: action.clone(),
            });
        }
        actions
    }

    pub(crate) fn update_endpoints(&mut self, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(Event::Endpoints {
            update: EndpointUpdate::Delta,
            endpoints,
        })
    }

    /// Has a request arrive. A replica of its function runs four requests at a time and loads in 500 ms.
    pub(crate) fn request(&mut self, function: u64) -> (RequestId, Vec<Action>) {
        self.request_with(Request {
            function: FunctionId(function),
            replica_concurrency: 4,
            memory_mb: 100.0,
            load_time: Some(500 * MS),
            timeout: Some(4_000 * MS),
            ..Request::default()
        })
    }

    /// Has this request arrive, with a new id.
    pub(crate) fn request_with(&mut self, request: Request) -> (RequestId, Vec<Action>) {
        let id = self.next_request;
        self.next_request.0 += 1;
        let actions = self.handle(Event::Arrived(Request { id, ..request }));
        (id, actions)
    }

    /// Ends an attempt that took 50 ms. If it was served, its answer reports that the replica was loaded before.
    pub(crate) fn finish_attempt(
        &mut self,
        request: RequestId,
        number: u32,
        worker: &WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.finish_attempt_after(request, number, worker, outcome, 50 * MS)
    }

    /// Ends an attempt that took this time. If it was served, its answer reports that the replica was loaded before.
    pub(crate) fn finish_attempt_after(
        &mut self,
        request: RequestId,
        number: u32,
        worker: &WorkerId,
        outcome: Outcome,
        elapsed: Time,
    ) -> Vec<Action> {
        let status = (outcome == Outcome::Served).then_some(ReplicaStatus::Warm);
        self.finish_attempt_with(request, number, worker, outcome, elapsed, status)
    }

    /// Ends an attempt whose answer reports this status of the replica; `None`: it reports none.
    pub(crate) fn finish_attempt_with(
        &mut self,
        request: RequestId,
        number: u32,
        worker: &WorkerId,
        outcome: Outcome,
        elapsed: Time,
        replica_status: Option<ReplicaStatus>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished(AttemptFinished {
            request,
            attempt: number,
            worker: worker.clone(),
            outcome,
            elapsed,
            settled: outcome == Outcome::Served,
            replica_status,
            function_concurrency: None,
            load_report: LoadReport::default(),
        }))
    }

    /// Advances the clock by this time, handles each timer that expires meanwhile, and returns all actions.
    pub(crate) fn advance(&mut self, time: Time) -> Vec<Action> {
        let until = self.now + time;
        let mut all = Vec::new();
        while let Some(timer) = self.timers.first().copied().filter(|t| t.due <= until) {
            self.timers.pop_first();
            self.now = self.now.max(timer.due);
            all.extend(self.handle(Event::Timer { token: timer.token }));
        }
        self.now = until;
        all
    }

    /// Ends every load command among these actions with this outcome and number of loaded replicas, and returns the
    /// actions that follow.
    pub(crate) fn finish_load_commands(
        &mut self,
        actions: &[Action],
        outcome: Outcome,
        replicas: u32,
    ) -> Vec<Action> {
        let mut all = Vec::new();
        for action in actions {
            if let Action::LoadFunction {
                worker, function, ..
            } = action
            {
                all.extend(self.handle(Event::LoadFinished(LoadFinished {
                    worker: worker.clone(),
                    function: *function,
                    outcome,
                    elapsed: 20 * MS,
                    replicas,
                })));
            }
        }
        all
    }

    /// Serves requests for a function until the front end knows that its preferred worker has it loaded, and returns
    /// that worker.
    pub(crate) fn warm_up(&mut self, function: u64) -> WorkerId {
        let mut preferred = None;
        for _ in 0..REQUESTS_TO_WARM_UP {
            let (id, actions) = self.request(function);
            let worker =
                forwarded_to(&actions).expect("a request for a known function is forwarded");
            self.advance(50 * MS);
            self.finish_attempt(id, 0, &worker, Outcome::Served);
            preferred = Some(worker);
        }
        preferred.expect("at least one request was sent")
    }

    /// Sends requests for a function, 20 a second. `answer` returns the outcome of an attempt at a worker; `None`: the
    /// worker does not answer, and the attempt ends only if the front end cancels it.
    pub(crate) fn run_requests(
        &mut self,
        function: u64,
        requests: usize,
        mut answer: impl FnMut(&WorkerId) -> Option<Outcome>,
    ) -> Traffic {
        let mut traffic = Traffic {
            served: 0,
            workers: Vec::new(),
        };
        let mut open = Vec::new();
        for _ in 0..requests {
            let (request, actions) = self.request(function);
            let mut reactions = vec![Reaction {
                request,
                next_attempt: 0,
                actions,
            }];
            reactions.extend(self.advance_and_cancel(&mut open));
            while let Some(reaction) = reactions.pop() {
                self.finish_load_commands(&reaction.actions, Outcome::Served, 1);
                let Some(worker) = forwarded_to(&reaction.actions) else {
                    continue;
                };
                traffic.workers.push(worker.clone());
                let attempt = OpenAttempt {
                    request: reaction.request,
                    number: reaction.next_attempt,
                    worker,
                };
                if let Some(outcome) = answer(&attempt.worker) {
                    traffic.served += usize::from(outcome == Outcome::Served);
                    reactions.push(self.finish_open_attempt(attempt, outcome));
                } else {
                    open.push(attempt);
                }
            }
        }
        traffic
    }

    /// Advances the clock to the next request, and ends the open attempts that the front end cancels meanwhile.
    fn advance_and_cancel(&mut self, open: &mut Vec<OpenAttempt>) -> Vec<Reaction> {
        let actions = self.advance(REQUEST_GAP);
        let is_cancelled = |attempt: &OpenAttempt| {
            actions.iter().any(|action| match action {
                Action::Cancel { request, .. } => *request == attempt.request,
                _ => false,
            })
        };
        let (cancelled, still_open) = std::mem::take(open).into_iter().partition(is_cancelled);
        *open = still_open;
        let cancelled: Vec<OpenAttempt> = cancelled;
        cancelled
            .into_iter()
            .map(|attempt| self.finish_open_attempt(attempt, Outcome::Cancelled))
            .collect()
    }

    fn finish_open_attempt(&mut self, attempt: OpenAttempt, outcome: Outcome) -> Reaction {
        let actions =
            self.finish_attempt(attempt.request, attempt.number, &attempt.worker, outcome);
        Reaction {
            request: attempt.request,
            next_attempt: attempt.number + 1,
            actions,
        }
    }
}

/// The worker that a request is forwarded to; `None`: none of these actions forwards one.
pub(crate) fn forwarded_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { worker, .. } => Some(worker.clone()),
        _ => None,
    })
}

pub(crate) fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub(crate) fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

/// The workers that these actions command to load a function. A command for 0 replicas is left out, as it only asks
/// how many are loaded.
pub(crate) fn load_commands(actions: &[Action]) -> Vec<WorkerId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::LoadFunction {
                worker, replicas, ..
            } if *replicas > 0 => Some(worker.clone()),
            _ => None,
        })
        .collect()
}

/// The worker that is polled for its load; `None`: none of these actions is a load poll.
pub(crate) fn polled_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::PollLoad { worker } => Some(worker.clone()),
        _ => None,
    })
}

/// A worker's answer to a load poll.
pub(crate) fn load_polled(
    worker: &WorkerId,
    in_flight: Option<f64>,
    cpu_utilization: Option<f64>,
) -> Event {
    Event::LoadPolled {
        worker: worker.clone(),
        answered: true,
        report: LoadReport {
            in_flight,
            cpu_utilization,
            ..LoadReport::default()
        },
    }
}
