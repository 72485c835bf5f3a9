//! The lease that the endpoint list gives on every worker in it: how long the list is relied on
//! after it was last confirmed.
//!
//! A change of the list counts as notified some time after its source gets out of reach, whether or not
//! it was received. From then on a front end that goes on as before breaks the rule on drains at the
//! first worker that drains, so the list must not be relied on any longer. While its source is in reach
//! each sign of life renews the lease, and nothing else is needed. `docs/design.md`, "Leases on workers
//! while discovery is out of reach", tells where the figures come from.

use crate::api::{EndpointListContact, Time};
use crate::time::MILLISECOND;

/// What the source of the list would have told counts as notified this long after it broke off, the
/// shortest of the platform's clocks (4 s after it fell silent). Counted from the last sign of
/// life, as nothing tells when it broke off.
const NOTIFICATION_DELAY: Time = 2_000 * MILLISECOND;
/// A source that answers has 1 s until its first sign of life; this much later it counts as out of
/// reach.
const FIRST_CONFIRMATION: Time = 1_200 * MILLISECOND;

/// How long the endpoint list is relied on.
#[derive(Debug, Default)]
pub(crate) struct EndpointListLease {
    /// Its end; `None` as long as the source of the list gives no signs of life that could fail to
    /// come.
    end: Option<Time>,
    /// When the list was last known to be current.
    confirmed_at: Time,
    /// The list was confirmed since the start.
    was_confirmed: bool,
}

impl EndpointListLease {
    /// Records a contact with the source of the list. `lease` is how long work may be sent to a
    /// worker after it was last known to be in service.
    pub(crate) fn record_contact(&mut self, contact: EndpointListContact, lease: Time, now: Time) {
        match contact {
            // The list that the front end was started with.
            EndpointListContact::Sought => self.confirm(now, lease),
            EndpointListContact::Answered if self.was_confirmed => {}
            EndpointListContact::Answered => self.confirm(now, lease.max(FIRST_CONFIRMATION)),
            EndpointListContact::Current => {
                self.was_confirmed = true;
                self.confirm(now, NOTIFICATION_DELAY + lease);
            }
        }
    }

    fn confirm(&mut self, now: Time, lease: Time) {
        self.confirmed_at = now;
        self.end = Some(now + lease);
    }

    /// When the lease ends; never, where the source of the list gives no signs of life.
    pub(crate) fn end(&self) -> Time {
        self.end.unwrap_or(Time::MAX)
    }

    /// Whether the source of the list is followed, so that its signs of life can fail to come.
    pub(crate) fn is_followed(&self) -> bool {
        self.end.is_some()
    }

    /// Whether the list is relied on.
    pub(crate) fn stands(&self, now: Time) -> bool {
        now < self.end()
    }

    /// When the list was last known to be current.
    pub(crate) fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }
}
