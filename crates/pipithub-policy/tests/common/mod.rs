//! A front end under test, with a hand-driven clock.
#![allow(dead_code)]

use std::collections::BTreeSet;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, AttemptFinished, Class, Endpoint, EndpointUpdate, Event, FunctionId, FunctionLoading,
    Idempotency, Limits, LoadFinished, LoadReport, Outcome, ReplicaStatus, Request, RequestId,
    Settings, SlowStart, Time, WorkerId,
};

/// Nanoseconds in a millisecond.
pub(crate) const MS: u64 = 1_000_000;

/// A front end, its clock, and all that it has done.
pub(crate) struct Bench {
    pub front: FrontEnd,
    pub now: Time,
    pub did: Vec<(Time, Action)>,
    timers: BTreeSet<(Time, u64)>,
    pub next_id: RequestId,
}

/// Settings with one class of the given effect, orders allowed, rules as at a usual site.
pub(crate) fn settings(effect: Idempotency) -> Settings {
    Settings {
        front_ends: 1,
        tick: 2 * MS,
        classes: vec![Class {
            idempotency: effect,
            late_answer_weight: 0.3,
            client_timeout: 4_000 * MS,
            deduplication_window: 2_500 * MS,
            ..Class::default()
        }],
        limits: Limits {
            max_attempts: 4,
            cancel: true,
            load_polls: false,
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

pub(crate) fn entry(name: &str) -> Endpoint {
    Endpoint {
        worker: WorkerId::new(name),
        zone: "a".to_string(),
        weight: 1.0,
        ..Endpoint::default()
    }
}

impl Bench {
    pub(crate) fn new(settings: Settings, workers: &[&str]) -> Self {
        Bench::seeded(settings, workers, 11)
    }

    pub(crate) fn seeded(settings: Settings, workers: &[&str], seed: u64) -> Self {
        let front = FrontEnd::new(settings, seed);
        let (did, timers) = (Vec::new(), BTreeSet::new());
        let mut bench = Bench {
            front,
            now: 1_000_000 * MS,
            did,
            timers,
            next_id: RequestId(1),
        };
        let entries = workers.iter().map(|w| entry(w)).collect();
        bench.event(Event::Endpoints {
            update: EndpointUpdate::Cached,
            endpoints: entries,
        });
        bench
    }

    /// Hands over one event; what comes of it is returned and kept.
    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.front.handle(self.now, event, &mut actions);
        self.timers.extend(actions.iter().filter_map(|a| match a {
            Action::SetTimer { after, token } => Some((self.now + after, *token)),
            _ => None,
        }));
        self.did
            .extend(actions.iter().map(|a| (self.now, a.clone())));
        actions
    }

    pub(crate) fn changes(&mut self, entries: Vec<Endpoint>) -> Vec<Action> {
        self.event(Event::Endpoints {
            update: EndpointUpdate::Delta,
            endpoints: entries,
        })
    }

    /// A call of a function with four lanes and a load of 500 ms.
    pub(crate) fn call(&mut self, function: u64) -> (RequestId, Vec<Action>) {
        self.call_with(Request {
            function: FunctionId(function),
            replica_concurrency: 4,
            memory_mb: 100.0,
            load_time: Some(500 * MS),
            timeout: Some(4_000 * MS),
            ..Request::default()
        })
    }

    pub(crate) fn call_with(&mut self, request: Request) -> (RequestId, Vec<Action>) {
        let id = self.next_id;
        self.next_id.0 += 1;
        let actions = self.event(Event::Arrived(Request { id, ..request }));
        (id, actions)
    }

    pub(crate) fn finish(
        &mut self,
        id: RequestId,
        attempt: u32,
        worker: &WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let note = Some(ReplicaStatus::Warm).filter(|_| outcome == Outcome::Served);
        self.finish_noted(id, attempt, worker, outcome, 50 * MS, note)
    }

    pub(crate) fn finish_noted(
        &mut self,
        request: RequestId,
        attempt: u32,
        worker: &WorkerId,
        outcome: Outcome,
        took: Time,
        note: Option<ReplicaStatus>,
    ) -> Vec<Action> {
        self.event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt,
            worker: worker.clone(),
            outcome,
            elapsed: took,
            settled: outcome == Outcome::Served,
            replica_status: note,
            function_concurrency: None,
            load_report: LoadReport::default(),
        }))
    }

    /// Lets time pass, with every timer that falls due.
    pub(crate) fn pass(&mut self, time: Time) -> Vec<Action> {
        let until = self.now + time;
        let mut all = Vec::new();
        while let Some((due, token)) = self
            .timers
            .first()
            .copied()
            .filter(|(due, _)| *due <= until)
        {
            self.timers.pop_first();
            self.now = self.now.max(due);
            all.extend(self.event(Event::Timer { token }));
        }
        self.now = until;
        all
    }

    /// Answers every order to load given by these actions.
    pub(crate) fn answer_orders(
        &mut self,
        actions: &[Action],
        outcome: Outcome,
        copies: u32,
    ) -> Vec<Action> {
        let mut all = Vec::new();
        for action in actions {
            if let Action::LoadFunction {
                worker, function, ..
            } = action
            {
                let (worker, function) = (worker.clone(), *function);
                all.extend(self.event(Event::LoadFinished(LoadFinished {
                    worker,
                    function,
                    outcome,
                    elapsed: 20 * MS,
                    replicas: copies,
                })));
            }
        }
        all
    }

    /// Calls and answers a function so often that its home is known to be warm; tells the home.
    pub(crate) fn warm(&mut self, function: u64) -> WorkerId {
        let mut home = None;
        for _ in 0..12 {
            let (id, actions) = self.call(function);
            let worker = sent_to(&actions).expect("a call of a known function is sent");
            self.pass(50 * MS);
            self.finish(id, 0, &worker, Outcome::Served);
            home = Some(worker);
        }
        home.expect("twelve calls were made")
    }
}

pub(crate) fn sent_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Forward { worker, .. } => Some(worker.clone()),
        _ => None,
    })
}

pub(crate) fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub(crate) fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub(crate) fn held(actions: &[Action]) -> Vec<WorkerId> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::LoadFunction {
                worker,
                replicas: copies,
                ..
            } if *copies > 0 => Some(worker.clone()),
            _ => None,
        })
        .collect()
}

/// Calls a function at 20 a second; `answer` says how a worker answers. Tells how many were served.
pub(crate) fn play(
    b: &mut Bench,
    function: u64,
    calls: usize,
    mut answer: impl FnMut(&WorkerId) -> Option<Outcome>,
) -> (usize, Vec<WorkerId>) {
    let (mut served, mut workers) = (0, Vec::new());
    let mut open: Vec<(RequestId, u32, WorkerId)> = Vec::new();
    for _ in 0..calls {
        let (id, actions) = b.call(function);
        let mut queue = vec![(id, 0, actions)];
        let passed = b.pass(50 * MS);
        for (id, attempt, worker) in std::mem::take(&mut open) {
            let gone = passed
                .iter()
                .any(|a| matches!(a, Action::Cancel { request, .. } if *request == id));
            if gone {
                let actions = b.finish(id, attempt, &worker, Outcome::Cancelled);
                queue.push((id, attempt + 1, actions));
            } else {
                open.push((id, attempt, worker));
            }
        }
        while let Some((id, attempt, actions)) = queue.pop() {
            b.answer_orders(&actions, Outcome::Served, 1);
            let Some(worker) = sent_to(&actions) else {
                continue;
            };
            workers.push(worker.clone());
            match answer(&worker) {
                Some(outcome) => {
                    served += usize::from(outcome == Outcome::Served);
                    let actions = b.finish(id, attempt, &worker, outcome);
                    queue.push((id, attempt + 1, actions));
                }
                None => open.push((id, attempt, worker)),
            }
        }
    }
    (served, workers)
}

/// The workers of a small deployment.
pub(crate) const THREE: [&str; 3] = ["w1", "w2", "w3"];

/// Settings of a tier so large that own sends tell nothing of the queues.
pub(crate) fn large_tier() -> Settings {
    let mut s = settings(Idempotency::Idempotent);
    s.front_ends = 100;
    s.limits.load_polls = true;
    s
}

/// The worker that is polled.
pub(crate) fn probed(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::PollLoad { worker } => Some(worker.clone()),
        _ => None,
    })
}

/// A load report of a worker.
pub(crate) fn report(worker: &WorkerId, held: Option<f64>, busy: Option<f64>) -> Event {
    let load = LoadReport {
        in_flight: held,
        cpu_utilization: busy,
        ..LoadReport::default()
    };
    Event::LoadPolled {
        worker: worker.clone(),
        answered: true,
        report: load,
    }
}
