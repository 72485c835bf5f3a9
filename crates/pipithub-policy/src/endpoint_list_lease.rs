//! The lease that the endpoint list gives on every worker in it: how long the list is relied on
//! after it was last confirmed.
//!
//! A change of the list counts as notified some time after its source gets out of reach, whether or not
//! it was received. From then on a front end that keeps its list breaks the rule on drains at the
//! first worker that drains, so the list must not be relied on any longer. While its source is in reach
//! each sign of life renews the lease, and nothing else is needed. `docs/design.md`, "Leases on workers
//! while discovery is out of reach", tells where the figures come from.

use crate::api::{EndpointListContact, Time};
use crate::service_lease::lease_time;
use crate::time::MILLISECOND;

/// A change that the source of the list could not send counts as notified this long after it broke off,
/// the shortest of the platform's clocks (4 s after it fell silent). Counted from the last sign of
/// life, as nothing tells when it broke off.
const NOTIFICATION_DELAY: Time = 2_000 * MILLISECOND;
/// A source that answers gives its first sign of life within 1 s, mostly just before the grace after
/// a start is over. So that nothing is checked at each start, the list of the start counts until so
/// long after the grace, which is what the platform allows for the way to a worker.
const ALLOWED_DELAY: Time = 50 * MILLISECOND;

/// How long the endpoint list is relied on.
#[derive(Debug, Default)]
pub(crate) struct EndpointListLease {
    /// Its end; `None` as long as the source of the list gives no signs of life that could fail to
    /// come.
    end: Option<Time>,
    /// When the list was last known to be current.
    confirmed_at: Time,
    /// The source has given a sign of life since the start.
    had_heartbeat: bool,
}

impl EndpointListLease {
    /// Records a contact with the source of the list. `drain_grace` is how long new work may be sent
    /// to a worker after the notification of its drain.
    pub(crate) fn record_contact(
        &mut self,
        contact: EndpointListContact,
        drain_grace: Time,
        now: Time,
    ) {
        let lease = lease_time(drain_grace);
        match contact {
            EndpointListContact::Requested => self.confirm(now, lease),
            // Only the list of the start: the head of a response says nothing about a later one.
            EndpointListContact::Answered if !self.had_heartbeat => {
                let end = self.confirmed_at + drain_grace + ALLOWED_DELAY;
                self.end = self.end.max(Some(end));
            }
            EndpointListContact::Answered => {}
            EndpointListContact::Current => {
                self.had_heartbeat = true;
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
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        now < self.end()
    }

    /// When the list was last known to be current.
    pub(crate) fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }
}
