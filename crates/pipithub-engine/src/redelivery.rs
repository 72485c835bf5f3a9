//! What is remembered of messages that may be delivered again.
//!
//! A broker delivers a message again when the connection that held it is lost, whatever had been done by then. The
//! decision on such a message is made here, apart from the engine, from what this front end remembers of it and from
//! what its class allows.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use pipithub_policy::api::{Class, DeduplicationScope, Idempotency, RequestId, Time};

/// What to do with a message that came again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryDecision {
    /// It is open here: this delivery takes the place of the one before.
    Join(RequestId),
    /// It was answered, and the answer is safe: settle it without another.
    Forget,
    /// It may have run elsewhere, and that is harmless: run it, within this time from now.
    Run(Option<Time>),
    /// It may have run elsewhere and must not run again.
    Fail,
}

/// A message whose earlier deliveries went elsewhere, or were forgotten: what its class allows.
///
/// Every earlier delivery may have been sent to a worker at any time since the message was made. A safe call may run
/// again. A keyed one may only where all workers drop its repeats and the oldest possible send is still within the
/// time that they remember it: so its age must be known. `margin` is the time that the last send may need to arrive.
pub fn decide_unknown(
    class: &Class,
    age: Option<Time>,
    has_key: bool,
    margin: Time,
) -> RedeliveryDecision {
    match (class.idempotency, class.deduplication_scope) {
        (Idempotency::Idempotent, _) => RedeliveryDecision::Run(None),
        (Idempotency::WithKey, DeduplicationScope::All) if has_key => {
            let left = age.and_then(|age| {
                class
                    .deduplication_window
                    .checked_sub(age.saturating_add(margin))
            });
            left.filter(|left| *left > 0)
                .map_or(RedeliveryDecision::Fail, |left| {
                    RedeliveryDecision::Run(Some(left))
                })
        }
        (Idempotency::WithKey | Idempotency::NonIdempotent, _) => RedeliveryDecision::Fail,
    }
}

/// Messages that are open or were answered not long ago, by identity. Bounded in number and age; what is forgotten
/// counts as unknown, which is the careful side.
#[derive(Debug)]
pub struct DeliveryHistory {
    max_settled: usize,
    retention: Time,
    pending: BTreeMap<Arc<str>, RequestId>,
    settled: BTreeMap<Arc<str>, Time>,
    settled_in_order: VecDeque<(Time, Arc<str>)>,
}

impl DeliveryHistory {
    /// Remembers at most so many settled messages, for so long.
    pub fn new(max_settled: usize, retention: Time) -> Self {
        DeliveryHistory {
            max_settled,
            retention,
            pending: BTreeMap::new(),
            settled: BTreeMap::new(),
            settled_in_order: VecDeque::new(),
        }
    }

    /// A message that is not a repeat: what was known of an earlier one of the same name is void, for a client may
    /// use a name again and the new message must not be settled by the old one's answer.
    pub fn begin(&mut self, identity: &Arc<str>, request: RequestId) {
        self.settled.remove(identity);
        self.pending.insert(identity.clone(), request);
    }

    /// The answer is safe.
    pub fn settle(&mut self, identity: &Arc<str>, request: RequestId, now: Time) {
        if self.pending.get(identity) != Some(&request) {
            return;
        }
        self.pending.remove(identity);
        self.settled.insert(identity.clone(), now);
        self.settled_in_order.push_back((now, identity.clone()));
        while self.settled_in_order.len() > self.max_settled
            || self
                .settled_in_order
                .front()
                .is_some_and(|(t, _)| t + self.retention < now)
        {
            let Some((at, old)) = self.settled_in_order.pop_front() else {
                break;
            };
            if self.settled.get(&old) == Some(&at) {
                self.settled.remove(&old);
            }
        }
    }

    /// The request ended without an answer that is safe.
    pub fn abandon(&mut self, identity: &Arc<str>, request: RequestId) {
        if self.pending.get(identity) == Some(&request) {
            self.pending.remove(identity);
        }
    }

    /// The open request of this name.
    pub fn pending(&self, identity: &str) -> Option<RequestId> {
        self.pending.get(identity).copied()
    }

    /// What this front end itself knows of a message that came again.
    pub fn decide(&self, identity: Option<&Arc<str>>, now: Time) -> Option<RedeliveryDecision> {
        let identity = identity?;
        if let Some(request) = self.pending.get(identity) {
            return Some(RedeliveryDecision::Join(*request));
        }
        self.settled
            .get(identity)
            .filter(|at| **at + self.retention >= now)
            .map(|_| RedeliveryDecision::Forget)
    }
}
