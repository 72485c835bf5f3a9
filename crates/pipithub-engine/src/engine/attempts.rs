//! Attempts, from the decision to forward a request to the result.

use pipithub_policy::api::{
    AttemptFinished, Event, LoadReport, Outcome, RequestId, Time, WorkerId,
};

use super::Engine;
use crate::call::AttemptId;
use crate::input::AttemptResult;
use crate::output::Output;
use crate::pending::EndedAttempt;
use crate::reply::{Cause, FinalAnswer};

/// The limits on the time of one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// The time after which to give up the attempt, in nanoseconds; `None` means when the client gives up.
    pub(super) timeout: Option<Time>,
    /// The time from which the call must not be written to the worker any more; `None` if there is no limit.
    pub(super) send_by: Option<Time>,
}

impl Engine {
    /// Starts an attempt, unless the request has its answer, has lost its source or may not run its function.
    pub(super) fn forward(
        &mut self,
        now: Time,
        request: RequestId,
        worker: WorkerId,
        limits: AttemptLimits,
    ) {
        let Some(pending) = self.pending.get_unanswered_mut(request) else {
            return;
        };
        if pending.ticket().is_none() {
            // The message may have been redelivered to another front end, and a new attempt from here could run after
            // that front end has answered. Only new attempts release the request: attempts in flight may still be
            // served, and the message may still be redelivered here.
            let unsent = pending.next_attempt_id(request);
            self.pending.release(request);
            self.decisions.push(attempt_not_sent(unsent, worker));
            return;
        }
        let owners = &self.settings.owners;
        if !owners.allow(pending.call().tenant, &pending.call().function) {
            // The owner was checked on arrival. It is checked again before the call leaves the process, so that the
            // separation of tenants does not depend on what happened in between.
            let unsent = pending.next_attempt_id(request);
            let answer = FinalAnswer::interrupted(pending.attempts(), Cause::OtherTenant);
            self.answer(request, answer);
            self.decisions.push(attempt_not_sent(unsent, worker));
            return;
        }
        let id = pending.begin_attempt(request);
        let deadline = limits.timeout.map_or(pending.deadline(), |timeout| {
            pending.deadline().min(now + timeout)
        });
        let call = pending.call().clone();
        self.attempts_in_flight.insert(id, worker.clone());
        self.outputs.push(Output::Forward {
            id,
            worker,
            call,
            deadline,
            send_by: limits.send_by,
        });
    }

    /// Handles the result of an attempt. The first attempt that is served gives the request its final answer. A result
    /// for an attempt that is not in flight is ignored.
    pub(super) fn attempt_finished(&mut self, now: Time, result: AttemptResult) {
        let Some(worker) = self.attempts_in_flight.remove(&result.id) else {
            return;
        };
        let request = result.id.request;
        let ended = EndedAttempt {
            outcome: result.outcome,
            worker: worker.clone(),
        };
        let mut settled = self.pending.record_ended_attempt(request, ended);
        if !settled && result.outcome == Outcome::Served {
            settled = true;
            self.answer(request, FinalAnswer::served(result.served));
        }
        let finished = AttemptFinished {
            request,
            attempt: result.id.number,
            worker,
            outcome: result.outcome,
            elapsed: result.elapsed,
            settled,
            replica_status: result.replica_status,
            function_concurrency: result.function_concurrency,
            load_report: result.load_report,
        };
        self.decide(now, Event::AttemptFinished(finished));
    }
}

/// The event for an attempt that the decision module asked for but that was not sent, because its request has ended.
fn attempt_not_sent(id: AttemptId, worker: WorkerId) -> Event {
    Event::AttemptFinished(AttemptFinished {
        request: id.request,
        attempt: id.number,
        worker,
        outcome: Outcome::NotSent,
        elapsed: 0,
        settled: true,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
    })
}
