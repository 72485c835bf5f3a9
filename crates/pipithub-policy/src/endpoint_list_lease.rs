//! The lease that the endpoint list gives on every worker in it: how long the list is relied on
//! after it was last confirmed.
//!
//! Some time after the source of the list gets out of reach, or as soon as the front end requests the
//! list again, a change of the list counts as notified, whether or not it was received. From then on a
//! front end that still relies on its list breaks the rule on drains as soon as a worker drains.
//! Therefore the list must not be relied on any longer.
//! While the source is in reach, each of its heartbeats renews the lease, and nothing else is needed.
//! `docs/design.md`, "Leases on workers while discovery is out of reach", gives the sources of the
//! figures.

use crate::api::{EndpointListContact, Time};
use crate::service_lease::lease_time;
use crate::time::MILLISECOND;

/// A change that the source of the list could not send counts as notified this long after the
/// connection to the source broke.
const BREAK_NOTIFICATION_DELAY: Time = 2_000 * MILLISECOND;
/// Such a change counts as notified this long after the source fell silent on an open connection.
const SILENCE_NOTIFICATION_DELAY: Time = 4_000 * MILLISECOND;
/// How much longer than the drain grace the lease may last that a start or a request leaves. A source in
/// reach sends its first heartbeat within 1 s of a request, mostly just before the grace is over, so this
/// avoids health checks at each request. It is half of what the platform allows for the transmission to a
/// worker; the transmission itself has the other half.
const REQUEST_LEASE_EXTENSION: Time = 25 * MILLISECOND;

/// What the length of the lease depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    /// How long new work may be sent to a worker after the notification of its drain.
    pub(crate) drain_grace: Time,
    /// Whether health checks can show that workers are in service once the lease has ended.
    pub(crate) has_health_checks: bool,
}

impl LeaseTerms {
    /// How long after a heartbeat a change counts as notified at the earliest. Where health checks
    /// take over, the shorter delay holds, so that no break has to be noticed. Where nothing does, no
    /// worker is used after the lease, so it lasts as long as the rule on drains allows.
    fn notification_delay(&self) -> Time {
        if self.has_health_checks {
            BREAK_NOTIFICATION_DELAY
        } else {
            SILENCE_NOTIFICATION_DELAY
        }
    }

    /// How long the list may be relied on after the start, or after a request that nothing has followed.
    fn request_lease(&self) -> Time {
        self.drain_grace + REQUEST_LEASE_EXTENSION
    }
}

/// How long the endpoint list is relied on.
#[derive(Debug, Default)]
pub(crate) struct EndpointListLease {
    /// The end of the lease; `None` until the first contact with the source of the list, as without
    /// heartbeats a missing one cannot be noticed.
    end: Option<Time>,
    /// When the list was last known to be current.
    confirmed_at: Time,
}

impl EndpointListLease {
    /// Records a contact with the source of the list, or the end of the connection to it.
    pub(crate) fn record_contact(
        &mut self,
        contact: EndpointListContact,
        terms: LeaseTerms,
        now: Time,
    ) {
        let lease = lease_time(terms.drain_grace);
        match contact {
            EndpointListContact::Started => self.confirm(now, terms.request_lease()),
            // A change counts as notified as soon as the front end asks for it, whether or not an answer
            // comes. A request is no evidence about the list, so it never extends the lease.
            EndpointListContact::Requested => self.limit(now + terms.request_lease()),
            EndpointListContact::Disconnected => {
                self.limit(now + BREAK_NOTIFICATION_DELAY + lease);
            }
            EndpointListContact::Current => {
                self.confirm(now, terms.notification_delay() + lease);
            }
        }
    }

    fn confirm(&mut self, now: Time, lease: Time) {
        self.confirmed_at = now;
        self.end = Some(now + lease);
    }

    /// Ends the lease at this time if it would last longer.
    fn limit(&mut self, end: Time) {
        self.end = self.end.map(|current| current.min(end));
    }

    /// When the lease ends; [`Time::MAX`] if there was no contact with the source of the list.
    pub(crate) fn end(&self) -> Time {
        self.end.unwrap_or(Time::MAX)
    }

    /// Whether the source of the list is followed, so that missing heartbeats can be noticed.
    pub(crate) fn is_followed(&self) -> bool {
        self.end.is_some()
    }

    /// Whether the lease has not ended yet, so that the list is relied on.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        now < self.end()
    }

    /// When the list was last known to be current.
    pub(crate) fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }
}
