//! Textbook policies in the module's place, for comparison in drills alone: they take the same events and give the same
//! actions. Both keep what a caller is promised (one answer, no effect twice, drains); neither foresees anything.

use std::collections::BTreeMap;

use pipithub_engine::Decide;
use pipithub_engine::policy::{
    Action, DeduplicationScope, EndpointState, EndpointUpdate, Event, Idempotency, Outcome,
    Request, RequestId, Settings, Time, WorkerId,
};

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Workers in turn.
    RoundRobin,
    /// The worker with the fewest own sends out.
    LeastLoaded,
}

#[derive(Debug)]
struct Open {
    call: Request,
    deadline: Time,
    attempts: u32,
    out: bool,
    /// When it was first sent in a way that may have run.
    may_have_run: Option<Time>,
    sent: Time,
    tried: Vec<WorkerId>,
}

/// A textbook policy.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    settings: Settings,
    workers: BTreeMap<WorkerId, (EndpointState, u32)>,
    open: BTreeMap<RequestId, Open>,
    turn: usize,
}

impl Baseline {
    /// One that knows nothing but its settings.
    pub fn new(policy: Policy, settings: Settings) -> Self {
        Baseline {
            policy,
            settings,
            workers: BTreeMap::new(),
            open: BTreeMap::new(),
            turn: 0,
        }
    }

    fn effect(&self, open: &Open) -> Idempotency {
        self.settings
            .classes
            .get(open.call.class)
            .map_or(Idempotency::NonIdempotent, |c| c.idempotency)
    }

    fn may_repeat(&self, now: Time, open: &Open) -> bool {
        let Some(first) = open.may_have_run else {
            return true;
        };
        match (
            self.effect(open),
            self.settings.classes.get(open.call.class),
        ) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::WithKey, Some(c)) => {
                c.deduplication_scope == DeduplicationScope::All
                    && now + 10 * self.settings.tick < first + c.deduplication_window
            }
            _ => false,
        }
    }

    fn pick(&mut self, tried: &[WorkerId]) -> Option<WorkerId> {
        let live: Vec<(&WorkerId, u32)> = self
            .workers
            .iter()
            .filter(|(w, (s, _))| *s == EndpointState::Ready && !tried.contains(w))
            .map(|(w, (_, held))| (w, *held))
            .collect();
        self.turn += 1;
        match self.policy {
            _ if live.is_empty() => None,
            Policy::RoundRobin => Some(live[self.turn % live.len()].0.clone()),
            Policy::LeastLoaded => live
                .into_iter()
                .min_by_key(|(_, held)| *held)
                .map(|(w, _)| w.clone()),
        }
    }

    fn place(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let late = now + 2 * self.settings.tick >= open.deadline;
        let spent = open.attempts >= self.settings.limits.max_attempts;
        let tried = open.tried.clone();
        if late || spent || !self.may_repeat(now, open) {
            return self.end(id, actions);
        }
        let Some(worker) = self.pick(&tried) else {
            return self.end(id, actions);
        };
        if let Some((_, held)) = self.workers.get_mut(&worker) {
            *held += 1;
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        (open.attempts, open.out, open.sent) = (open.attempts + 1, true, now);
        open.tried.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
        });
    }

    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if open.out && self.settings.limits.cancel {
            actions.push(Action::Cancel {
                request: id,
                attempt: open.attempts - 1,
            });
        }
        let harmless = self.effect(&open) == Idempotency::Idempotent
            || open.may_have_run.is_none() && !open.out;
        actions.push(if harmless {
            Action::Reject {
                request: id,
                retry_after: None,
            }
        } else {
            Action::Fail { request: id }
        });
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints {
                update: kind,
                endpoints: entries,
            } => {
                if matches!(kind, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
                    self.workers
                        .retain(|w, _| entries.iter().any(|e| e.worker == *w));
                }
                for entry in entries {
                    match entry.state {
                        EndpointState::Removed => drop(self.workers.remove(&entry.worker)),
                        state => self.workers.entry(entry.worker).or_default().0 = state,
                    }
                }
            }
            Event::Arrived(call) => {
                let give_up = self
                    .settings
                    .classes
                    .get(call.class)
                    .map_or(0, |c| c.client_timeout);
                let budget = call.timeout.unwrap_or(give_up);
                let (id, deadline) = (call.id, now + budget);
                let after = budget.saturating_sub(2 * self.settings.tick);
                actions.push(Action::SetTimer { after, token: id });
                let (may_have_run, tried) = (None, Vec::new());
                self.open.insert(
                    id,
                    Open {
                        call,
                        deadline,
                        attempts: 0,
                        out: false,
                        may_have_run,
                        sent: now,
                        tried,
                    },
                );
                self.place(now, id, actions);
            }
            Event::AttemptFinished(end) => {
                if let Some((_, held)) = self.workers.get_mut(&end.worker) {
                    *held = held.saturating_sub(1);
                }
                if end.settled {
                    self.open.remove(&end.request);
                    return;
                }
                let Some(open) = self.open.get_mut(&end.request) else {
                    return;
                };
                open.out = false;
                if !end.outcome.never_ran() && end.outcome != Outcome::Served {
                    open.may_have_run.get_or_insert(open.sent);
                }
                self.place(now, end.request, actions);
            }
            Event::ClientCancelled { request } => {
                if let Some(open) = self.open.remove(&request)
                    && open.out
                    && self.settings.limits.cancel
                {
                    actions.push(Action::Cancel {
                        request,
                        attempt: open.attempts - 1,
                    });
                }
            }
            Event::Timer { token } => {
                if self
                    .open
                    .get(&token)
                    .is_some_and(|o| now + 3 * self.settings.tick >= o.deadline)
                {
                    self.end(token, actions);
                }
            }
            Event::Streaming { .. }
            | Event::LoadPolled { .. }
            | Event::LoadFinished(_)
            | Event::Peer { .. } => {}
        }
    }
}
