//! Events go to the decision module, and its actions are carried out.

use pipithub_policy::api::{
    Action, Event, FunctionId, LoadFinished, Outcome, RequestId, Time, WorkerId,
};

use super::Engine;
use crate::call::AttemptId;
use crate::output::Output;
use crate::reply::{Cause, FinalAnswer};

impl Engine {
    /// Has the decision module handle an event, and all events that follow from its actions.
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
            // The token of a request's own timer is its id; tokens of maintenance timers name no request.
            if let Some(token) = timer {
                self.request_timer_expired(now, RequestId(token), out);
            }
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Forward {
                request,
                worker,
                timeout,
            } => self.forward(now, request, worker, timeout, out),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt, out),
            Action::Reject {
                request,
                retry_after,
            } => {
                let cause = self.cause_of_end(request);
                let answer = FinalAnswer::rejected_with_retry_after(cause, retry_after);
                self.answer(request, answer, out);
            }
            Action::Fail { request } => {
                let cause = self.cause_of_end(request);
                self.answer(request, FinalAnswer::failed(cause), out);
            }
            Action::LoadFunction {
                worker,
                function,
                replicas,
            } => self.load_function(worker, function, replicas, out),
            Action::EvictFunction { worker, function } => {
                self.evict_function(worker, function, out);
            }
            Action::PollLoad { worker } => {
                self.stats.load_polls += 1;
                out.push(Output::PollLoad(worker));
            }
            Action::SetTimer { after, token } => self.timers.set(now.saturating_add(after), token),
            Action::WatchEndpoints => out.push(Output::WatchEndpoints),
        }
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: u32, out: &mut Vec<Output>) {
        self.stats.cancelled_attempts += 1;
        out.push(Output::Cancel(AttemptId {
            request,
            number: attempt,
        }));
    }

    /// Why the decision module ends a request.
    fn cause_of_end(&self, request: RequestId) -> Cause {
        match self.pending.get(request) {
            Some(pending) if pending.attempts > 0 => Cause::AttemptsEnded,
            _ => Cause::NoWorkerInTime,
        }
    }

    fn load_function(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        replicas: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(name) = self.function_names.get(function) else {
            // The name is forgotten, so the command cannot be given. The decision module still awaits its end.
            self.events.push_back(Event::LoadFinished(LoadFinished {
                worker,
                function,
                outcome: Outcome::NotSent,
                elapsed: 0,
                replicas: 0,
            }));
            return;
        };
        self.stats.load_commands += 1;
        out.push(Output::LoadFunction {
            worker,
            function,
            name: name.clone(),
            replicas,
        });
    }

    fn evict_function(&self, worker: WorkerId, function: FunctionId, out: &mut Vec<Output>) {
        if let Some(name) = self.function_names.get(function) {
            out.push(Output::EvictFunction {
                worker,
                name: name.clone(),
            });
        }
    }
}
