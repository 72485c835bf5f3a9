//! Events go to the decision module, and its actions are carried out.

use pipithub_policy::api::{Action, Event, LoadFinished, Outcome, RequestId, Time};

use crate::call::AttemptId;
use crate::output::Output;
use crate::reply::{Cause, Verdict};

use super::Engine;
use super::attempts::attempt_not_sent;

impl Engine {
    pub(super) fn decide(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let timer = match &event {
                Event::Timer { token } => Some(*token),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.decider.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, out);
            }
            self.actions = actions;
            // A request's own timer is due just before its end; chores' and others' tokens name no request.
            if let Some(request) = timer {
                self.request_timer_expired(now, request, out);
            }
        }
    }

    pub(super) fn carry_out(&mut self, now: Time, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Forward {
                request,
                worker,
                timeout,
            } => {
                let Some(pending) = self.pending.get_mut(&request).filter(|o| o.reply.is_none())
                else {
                    return;
                };
                let id = AttemptId {
                    request,
                    number: pending.attempts,
                };
                if pending.ticket.is_none() {
                    // Its message is another front end's by now: a further send here could come after the other's
                    // answer. What is out already may end, for the message may still come back here.
                    return self.release_orphan(request, id, worker);
                }
                if !self
                    .settings
                    .owners
                    .allow(pending.call.tenant, &pending.call.function)
                {
                    // Looked at when it came; looked at again where it would leave, whatever happened between.
                    let verdict = if pending.attempts == 0 {
                        Verdict::Rejected
                    } else {
                        Verdict::Failed
                    };
                    self.answer(request, verdict, Cause::OtherTenant, None, None, out);
                    self.events.push_back(attempt_not_sent(request, id, worker));
                    return;
                }
                pending.attempts += 1;
                self.attempts_in_flight.insert(id, worker.clone());
                self.stats.attempts += 1;
                let deadline = timeout.map_or(pending.deadline, |t| pending.deadline.min(now + t));
                out.push(Output::Forward {
                    id,
                    worker,
                    call: pending.call.clone(),
                    deadline,
                });
            }
            Action::Cancel { request, attempt } => {
                self.stats.cancelled_attempts += 1;
                out.push(Output::Cancel(AttemptId {
                    request,
                    number: attempt,
                }));
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let cause = self.cause_of_end(request);
                self.answer(request, Verdict::Rejected, cause, retry_after, None, out);
            }
            Action::Fail { request } => {
                let cause = self.cause_of_end(request);
                self.answer(request, Verdict::Failed, cause, None, None, out);
            }
            Action::LoadFunction {
                worker,
                function,
                replicas: copies,
            } => match self.function_names.get(function) {
                Some(name) => {
                    self.stats.load_commands += 1;
                    out.push(Output::LoadFunction {
                        worker,
                        function,
                        name: name.clone(),
                        replicas: copies,
                    });
                }
                // Forgotten here: the module is told that nothing came of it.
                None => self.events.push_back(Event::LoadFinished(LoadFinished {
                    worker,
                    function,
                    outcome: Outcome::NotSent,
                    elapsed: 0,
                    replicas: 0,
                })),
            },
            Action::EvictFunction { worker, function } => {
                if let Some(name) = self.function_names.get(function) {
                    out.push(Output::EvictFunction {
                        worker,
                        name: name.clone(),
                    });
                }
            }
            Action::PollLoad { worker } => {
                self.stats.load_polls += 1;
                out.push(Output::PollLoad(worker));
            }
            Action::SetTimer { after, token } => self.timers.set(now.saturating_add(after), token),
            Action::WatchEndpoints => out.push(Output::WatchEndpoints),
        }
    }

    pub(super) fn cause_of_end(&self, request: RequestId) -> Cause {
        match self.pending.get(&request) {
            Some(pending) if pending.attempts > 0 => Cause::AttemptsEnded,
            _ => Cause::NoWorkerInTime,
        }
    }
}
