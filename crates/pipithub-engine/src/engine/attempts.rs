//! Attempts: from the decision to forward a request until the result.

use pipithub_policy::api::{
    AttemptFinished, Event, LoadReport, Outcome, RequestId, Time, WorkerId,
};

use super::Engine;
use crate::call::AttemptId;
use crate::input::AttemptResult;
use crate::output::Output;
use crate::pending::EndedAttempt;
use crate::reply::{Cause, FinalAnswer};

impl Engine {
    /// Starts an attempt, unless the request has its answer, has lost its source or may not run its function.
    pub(super) fn forward(
        &mut self,
        now: Time,
        request: RequestId,
        worker: WorkerId,
        timeout: Option<Time>,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_unanswered_mut(request) else {
            return;
        };
        let id = AttemptId {
            request,
            number: pending.attempts,
        };
        if pending.ticket.is_none() {
            // The message may be at another front end by now, and an attempt from here could run after that one's
            // answer. Attempts in flight may end, for the message may still be redelivered here.
            self.release(request);
            self.events.push_back(attempt_not_sent(id, worker));
            return;
        }
        let owners = &self.settings.owners;
        if !owners.allow(pending.call.tenant, &pending.call.function) {
            // This was checked on arrival, and is checked again where the call would leave, whatever happened between.
            let answer = FinalAnswer::interrupted(pending.attempts, Cause::OtherTenant);
            self.answer(request, answer, out);
            self.events.push_back(attempt_not_sent(id, worker));
            return;
        }
        pending.attempts += 1;
        let deadline = timeout.map_or(pending.deadline, |timeout| {
            pending.deadline.min(now + timeout)
        });
        let call = pending.call.clone();
        self.attempts_in_flight.insert(id, worker.clone());
        self.stats.attempts += 1;
        out.push(Output::Forward {
            id,
            worker,
            call,
            deadline,
        });
    }

    /// Takes the result of an attempt. A result for an attempt that is not in flight is ignored.
    pub(super) fn attempt_finished(
        &mut self,
        now: Time,
        result: AttemptResult,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.attempts_in_flight.remove(&result.id) else {
            return;
        };
        let request = result.id.request;
        let mut settled = true;
        if let Some(pending) = self.pending.get_mut(request) {
            pending.last_attempt = Some(EndedAttempt {
                outcome: result.outcome,
                worker: worker.clone(),
            });
            settled = pending.reply.is_some();
            if !settled && result.outcome == Outcome::Served {
                settled = true;
                self.answer(request, FinalAnswer::served(result.served), out);
            }
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
        self.decide(now, Event::AttemptFinished(finished), out);
    }
}

/// The end of an attempt that the decision module asked for and that was not made; its request is over.
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
