//! The end of a graceful shutdown.

use pipithub_policy::api::{RequestId, Time};

use super::Engine;
use crate::output::Output;
use crate::reply::{Cause, FinalAnswer};

impl Engine {
    /// Answers all that is pending. What was never forwarded is rejected; for the rest nothing is promised, for it may
    /// have run.
    pub(super) fn answer_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.draining = true;
        let unanswered: Vec<(RequestId, FinalAnswer)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.reply.is_none())
            .map(|(request, pending)| {
                let answer = FinalAnswer::interrupted(pending.attempts, Cause::Draining);
                (request, answer)
            })
            .collect();
        for (request, answer) in unanswered {
            self.end_early(now, request, answer, out);
        }
    }
}
