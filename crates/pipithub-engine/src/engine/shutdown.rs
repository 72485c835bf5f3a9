//! The end of a graceful shutdown.

use pipithub_policy::api::{Event, Time};

use crate::output::Output;
use crate::reply::{Cause, Verdict};

use super::Engine;

impl Engine {
    /// Answers all that is open. What was never sent is refused; for the rest nothing is promised, for it may have run.
    pub(super) fn answer_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.draining = true;
        let unanswered: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, o)| o.reply.is_none())
            .map(|(id, o)| (*id, o.attempts))
            .collect();
        for (request, attempts) in unanswered {
            let verdict = if attempts == 0 {
                Verdict::Rejected
            } else {
                Verdict::Failed
            };
            self.answer(request, verdict, Cause::Draining, None, None, out);
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }
}
