//! Passes events to the decision module and carries out its actions.

use pipithub_policy::api::{
    Action, Event, FunctionId, LoadFinished, Outcome, RequestId, Time, WorkerId,
};

use super::Engine;
use super::attempts::AttemptLimits;
use crate::call::AttemptId;
use crate::output::Output;
use crate::reply::{Cause, FinalAnswer};

/// A request timer that expires at most this many ticks before the deadline of its request still ends the request.
const TICKS_BEFORE_DEADLINE: Time = 2;

impl Engine {
    /// Has the decision module handle an event, carries out its actions, and repeats this for all events that result.
    pub(super) fn decide(&mut self, now: Time, event: Event) {
        self.decisions.push(event);
        while let Some(mut decision) = self.decisions.decide_next(now) {
            for action in decision.actions.drain(..) {
                self.carry_out(now, action);
            }
            self.decisions.recycle(decision.actions);
            // The token of a request's deadline timer is the request id; tokens of other timers match no request id.
            if let Some(token) = decision.expired_timer {
                self.request_timer_expired(now, RequestId(token));
            }
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Forward {
                request,
                worker,
                timeout,
                send_by,
            } => {
                let limits = AttemptLimits { timeout, send_by };
                self.forward(now, request, worker, limits);
            }
            Action::Cancel { request, attempt } => self.outputs.push(Output::Cancel(AttemptId {
                request,
                number: attempt,
            })),
            Action::Reject {
                request,
                retry_after,
            } => {
                let cause = self.cause_of_end(request);
                let answer = FinalAnswer::rejected_with_retry_after(cause, retry_after);
                self.answer(request, answer);
            }
            Action::Fail { request } => {
                let cause = self.cause_of_end(request);
                self.answer(request, FinalAnswer::failed(cause));
            }
            Action::LoadFunction {
                worker,
                function,
                replicas,
                send_by,
            } => self.load_function(worker, function, replicas, send_by),
            Action::EvictFunction { worker, function } => self.evict_function(worker, function),
            Action::PollLoad { worker } => self.outputs.push(Output::PollLoad(worker)),
            Action::CheckHealth { worker } => self.outputs.push(Output::CheckHealth(worker)),
            Action::SetTimer { after, token } => self.timers.set(now.saturating_add(after), token),
            Action::WatchEndpoints => self.outputs.push(Output::WatchEndpoints),
        }
    }

    /// The cause to report to the client when the decision module ends a request.
    fn cause_of_end(&self, request: RequestId) -> Cause {
        match self.pending.get(request) {
            Some(pending) if pending.attempts() > 0 => Cause::AttemptsEnded,
            _ => Cause::NoWorkerInTime,
        }
    }

    fn load_function(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        replicas: u32,
        send_by: Option<Time>,
    ) {
        let Some(name) = self.function_names.get(function) else {
            // The name was evicted, so the command cannot be sent. The decision module still expects its result.
            self.decisions.push(Event::LoadFinished(LoadFinished {
                worker,
                function,
                outcome: Outcome::NotSent,
                elapsed: 0,
                replicas: 0,
            }));
            return;
        };
        self.outputs.push(Output::LoadFunction {
            worker,
            function,
            name: name.clone(),
            replicas,
            send_by,
        });
    }

    fn evict_function(&mut self, worker: WorkerId, function: FunctionId) {
        if let Some(name) = self.function_names.get(function) {
            self.outputs.push(Output::EvictFunction {
                worker,
                name: name.clone(),
            });
        }
    }

    /// Fails a request that still has no answer when its timer expires at its deadline, so that it cannot stay pending
    /// forever. Releases an answered request whose message was not redelivered here by the deadline.
    fn request_timer_expired(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let tolerance = TICKS_BEFORE_DEADLINE * self.settings.policy.tick;
        if !pending.is_answered() && now + tolerance >= pending.deadline() {
            self.answer(request, FinalAnswer::failed(Cause::AttemptsEnded));
        }
        self.pending.release_if_abandoned(request, now);
    }
}
