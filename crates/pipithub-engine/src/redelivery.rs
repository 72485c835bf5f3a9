//! Decisions on messages that are delivered again.
//!
//! A broker redelivers a message when the connection that it was delivered on is lost, whatever was done with the
//! message until then. A request whose own delivery was lost here is joined by a redelivery of its message. For any
//! other redelivery the decision depends on what the class of the call allows.
//!
//! That a message with the same identity was answered here does not matter. Once its acknowledgement is confirmed, the
//! broker does not deliver it again, so a redelivery is that of another message, which a client published under the same
//! id and which waits for an answer of its own.

use pipithub_policy::api::{Class, DeduplicationScope, Idempotency, Time};

/// What to do with a redelivered message that joins no pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryDecision {
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
