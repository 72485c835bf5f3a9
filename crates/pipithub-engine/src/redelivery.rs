//! Decisions on messages that are delivered again.
//!
//! A broker redelivers a message when the connection that it was delivered on is lost, whatever was done with the
//! message until then. A request whose own delivery was lost here is joined by a redelivery of its message. For any
//! other redelivery the decision depends on what the class of the call allows.

use std::collections::{BTreeMap, VecDeque};

use pipithub_policy::api::{Class, DeduplicationScope, Idempotency, RequestId, Time};

use crate::call::SourceMessage;

/// What to do with a redelivered message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryDecision {
    /// The request of the message is pending here, and this delivery replaces the one that was lost.
    Join(RequestId),
    /// The message was answered and its answer is safe at its source: settle the delivery without another answer.
    Settle,
    /// The call may have run elsewhere, and running it again is harmless.
    Run {
        /// The time from now within which the call must be answered, in nanoseconds; `None` if there is no bound.
        within: Option<Time>,
    },
    /// The call may have run elsewhere and must not run again.
    Fail,
}

/// Decides on a redelivered message whose earlier deliveries are not known here, by what its class allows.
///
/// Every earlier delivery may have been forwarded to a worker at any time since the message was created. An idempotent
/// call may run again. A call with an idempotency key may run again only if all workers deduplicate it and the oldest
/// possible attempt is still within their deduplication window. The age of the message must be known for that. `margin`
/// is the time that the last attempt may need until it arrives, in nanoseconds.
pub fn decide_unknown(
    class: &Class,
    age: Option<Time>,
    has_key: bool,
    margin: Time,
) -> RedeliveryDecision {
    match (class.idempotency, class.deduplication_scope) {
        (Idempotency::Idempotent, _) => RedeliveryDecision::Run { within: None },
        (Idempotency::WithKey, DeduplicationScope::All) if has_key => {
            match remaining_window(class, age, margin) {
                Some(remaining) => RedeliveryDecision::Run {
                    within: Some(remaining),
                },
                None => RedeliveryDecision::Fail,
            }
        }
        (Idempotency::WithKey | Idempotency::NonIdempotent, _) => RedeliveryDecision::Fail,
    }
}

/// How long from now all workers are sure to deduplicate a call of this age, in nanoseconds; `None` if they may not do
/// so any longer or the age is unknown.
fn remaining_window(class: &Class, age: Option<Time>, margin: Time) -> Option<Time> {
    let used = age?.saturating_add(margin);
    class
        .deduplication_window
        .checked_sub(used)
        .filter(|remaining| *remaining > 0)
}

#[derive(Debug)]
struct SettledMessage {
    message: SourceMessage,
    settled_at: Time,
}

/// The messages that were settled recently. Their number and age are bounded. A message that was evicted counts as
/// unknown, which is safe: it runs again only if its class allows that.
#[derive(Debug)]
pub(crate) struct DeliveryHistory {
    max_settled: usize,
    retention: Time,
    settled: BTreeMap<SourceMessage, Time>,
    settled_by_age: VecDeque<SettledMessage>,
}

impl DeliveryHistory {
    /// Creates an empty history that holds up to `max_settled` settled messages, each for `retention` nanoseconds.
    pub(crate) fn new(max_settled: usize, retention: Time) -> Self {
        DeliveryHistory {
            max_settled,
            retention,
            settled: BTreeMap::new(),
            settled_by_age: VecDeque::new(),
        }
    }

    /// Drops the record of an earlier message with the same identity: a client may use an identity again, and the new
    /// message must not be settled by the answer to the old one.
    pub(crate) fn forget(&mut self, message: SourceMessage) {
        self.settled.remove(&message);
    }

    /// Records that the answer to a message is safe at its source.
    pub(crate) fn settle(&mut self, message: SourceMessage, now: Time) {
        self.settled.insert(message, now);
        self.settled_by_age.push_back(SettledMessage {
            message,
            settled_at: now,
        });
        self.evict_old(now);
    }

    fn evict_old(&mut self, now: Time) {
        while let Some(oldest) = self.settled_by_age.front() {
            let expired = oldest.settled_at + self.retention < now;
            if !expired && self.settled_by_age.len() <= self.max_settled {
                return;
            }
            // If the same identity was settled again later, the later entry keeps the record.
            if self.settled.get(&oldest.message) == Some(&oldest.settled_at) {
                self.settled.remove(&oldest.message);
            }
            self.settled_by_age.pop_front();
        }
    }

    /// Whether the message was settled here recently.
    pub(crate) fn is_settled(&self, message: SourceMessage, now: Time) -> bool {
        self.settled
            .get(&message)
            .is_some_and(|settled_at| *settled_at + self.retention >= now)
    }
}
