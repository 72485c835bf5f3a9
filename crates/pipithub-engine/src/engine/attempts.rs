//! Attempts: from the decision to forward a request until the result.

use pipithub_policy::api::{AttemptFinished, Event, Outcome, RequestId, Time, WorkerId};

use crate::call::AttemptId;
use crate::input::AttemptResult;
use crate::output::Output;
use crate::reply::{Cause, Verdict};

use super::Engine;

impl Engine {
    pub(super) fn attempt_finished(
        &mut self,
        now: Time,
        end: AttemptResult,
        out: &mut Vec<Output>,
    ) {
        let AttemptResult {
            id,
            outcome,
            elapsed: took,
            replica_status: note,
            function_concurrency: alike,
            load_report: load,
            served,
        } = end;
        let mut settled = true;
        // An outcome that nothing was sent for, or a second one, is none.
        let Some(worker) = self.attempts_in_flight.remove(&id) else {
            return;
        };
        if let Some(pending) = self.pending.get_mut(&id.request) {
            pending.last_attempt = Some((outcome, worker.clone()));
            settled = pending.reply.is_some();
            if !settled && outcome == Outcome::Served {
                settled = true;
                self.answer(
                    id.request,
                    Verdict::Served,
                    Cause::Answered,
                    None,
                    served,
                    out,
                );
            }
        }
        let finished = AttemptFinished {
            request: id.request,
            attempt: id.number,
            worker,
            outcome,
            elapsed: took,
            settled,
            replica_status: note,
            function_concurrency: alike,
            load_report: load,
        };
        self.decide(now, Event::AttemptFinished(finished), out);
    }

    /// Ends an orphan in place of a send; the module hears that the attempt was not made.
    pub(super) fn release_orphan(&mut self, request: RequestId, id: AttemptId, worker: WorkerId) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.bytes -= pending.bytes;
        if let Some(identity) = &pending.identity {
            self.history.abandon(identity, request);
        }
        self.events.push_back(attempt_not_sent(request, id, worker));
    }
}

/// An attempt that the module ordered and that was not made; its request is over.
pub(super) fn attempt_not_sent(request: RequestId, id: AttemptId, worker: WorkerId) -> Event {
    Event::AttemptFinished(AttemptFinished {
        request,
        attempt: id.number,
        worker,
        outcome: Outcome::NotSent,
        elapsed: 0,
        settled: true,
        replica_status: None,
        function_concurrency: None,
        load_report: Default::default(),
    })
}
