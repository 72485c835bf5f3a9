//! A front end's own lease on a worker, which health checks renew.
//!
//! The lease counts only while the lease of the endpoint list has ended. A successful check proves that
//! the worker was in service at some time after the check was *sent*. The lease therefore starts at
//! that time, and lasts as long as work may be sent after the notification of a drain. Answers to calls
//! prove nothing, as a draining worker still serves calls for a while. `docs/design.md`, "Leases on
//! workers while discovery is out of reach", gives the reasons.

use crate::api::{HealthCheckOutcome, Time, WorkerId};
use crate::time::MILLISECOND;

/// How long a request waits for a health check.
pub(crate) const CHECK_TIMEOUT: Time = 50 * MILLISECOND;
/// How often a request may wait for a health check.
const MAX_CHECKS_PER_REQUEST: u32 = 4;
/// The first backoff between failed checks; it doubles with each further failure.
const BASE_BACKOFF: Time = 200 * MILLISECOND;
/// How often the backoff doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The largest number of failed checks after which a request may wait for the next one although
/// another worker would take the request.
const MAX_AWAITED_FAILURES: u32 = 1;
/// Work that was decided within a lease arrives at the worker a little later. The lease is shorter than
/// the grace by this time, but by at most a quarter of the grace.
const MAX_MARGIN: Time = 150 * MILLISECOND;
/// The grace after the notification of a drain, if the settings do not state it.
pub(crate) const DEFAULT_DRAIN_GRACE: Time = 1_000 * MILLISECOND;

/// How long work may be sent to a worker after it was last known to be in service.
pub(crate) fn lease_time(drain_grace: Time) -> Time {
    drain_grace - MAX_MARGIN.min(drain_grace / 4)
}

/// The state of a worker, by its health checks, when the lease from the endpoint list has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceStatus {
    /// The lease from a successful check has not ended.
    InService,
    /// The state is not known; a request may wait for a check.
    Unknown,
    /// Checks have failed and another one is due: it is sent, but no request waits for it if
    /// another worker takes the request.
    Suspect,
    /// Checks have failed, and the next one is not due yet.
    OutOfService,
}

/// A health check that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Check {
    sent_at: Time,
    /// The check counts as failed, as no answer came within [`CHECK_TIMEOUT`].
    is_overdue: bool,
}

/// The lease on one worker, and the checks that renew it.
#[derive(Debug, Default)]
pub(crate) struct ServiceLease {
    /// The end of the lease from health checks.
    end: Time,
    /// When the check that showed the most recent state was sent.
    evidence_at: Time,
    check: Option<Check>,
    /// The number of failed checks since the last successful one.
    failures: u32,
    /// No check is sent before this time.
    next_check_at: Time,
    /// When a connection to the worker first failed or was closed by it since the endpoint list was last
    /// confirmed; 0 if there was none.
    connection_lost_at: Time,
    /// The time until which work that was decided before may be written, once the endpoint list names
    /// the worker as draining or removed; `None` while the worker is ready.
    write_deadline: Option<Time>,
}

/// The bounds on the time until which work may be written to a worker that the endpoint list names as
/// draining or removed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WriteBounds {
    /// The end of the lease that the endpoint list gave before the worker was named so.
    pub(crate) endpoint_list_lease_end: Time,
    /// The end of the grace that starts now, less the margin.
    pub(crate) grace_end: Time,
}

impl ServiceLease {
    /// When the lease from health checks ends.
    pub(crate) fn end(&self) -> Time {
        self.end
    }

    /// The time until which work that was decided before may be written to a worker that is not ready;
    /// 0 if the worker is ready.
    pub(crate) fn write_deadline(&self) -> Time {
        self.write_deadline.unwrap_or(0)
    }

    /// Records whether the endpoint list names the worker as ready. An entry as ready replaces the
    /// state known from checks.
    pub(crate) fn record_listed(&mut self, is_ready: bool, bounds: WriteBounds) {
        if is_ready {
            *self = ServiceLease {
                connection_lost_at: self.connection_lost_at,
                ..ServiceLease::default()
            };
        } else {
            // When the list's source is reached again, the list may name a drain that counts as
            // notified long ago: the grace that starts now must not extend a lease that ends sooner.
            let lease_end = bounds.endpoint_list_lease_end.max(self.end);
            self.write_deadline
                .get_or_insert(lease_end.min(bounds.grace_end));
        }
    }

    /// The state of the worker by its health checks.
    pub(crate) fn status(&self, now: Time) -> ServiceStatus {
        let is_awaited = self.check.is_some_and(|check| !check.is_overdue);
        if now < self.end {
            ServiceStatus::InService
        } else if is_awaited && self.failures <= MAX_AWAITED_FAILURES {
            ServiceStatus::Unknown
        } else if is_awaited || now < self.next_check_at {
            ServiceStatus::OutOfService
        } else if self.failures <= MAX_AWAITED_FAILURES {
            ServiceStatus::Unknown
        } else {
            ServiceStatus::Suspect
        }
    }

    /// Records that a check is sent, unless the answer to another one is still awaited; returns
    /// whether it is to be sent.
    pub(crate) fn begin_check(&mut self, now: Time) -> bool {
        if self.check.is_some_and(|check| !check.is_overdue) {
            return false;
        }
        self.check = Some(Check {
            sent_at: now,
            is_overdue: false,
        });
        true
    }

    /// Counts a check that was not answered in time as failed. A single lost check does not take a
    /// worker out of service: the next one may follow at once.
    pub(crate) fn expire_check(&mut self, now: Time) {
        let Some(check) = &mut self.check else {
            return;
        };
        if !check.is_overdue && now >= check.sent_at + CHECK_TIMEOUT {
            check.is_overdue = true;
            self.record_failure(now, self.failures);
        }
    }

    /// Records the end of the check that was sent at `sent_at`.
    pub(crate) fn finish_check(
        &mut self,
        sent_at: Time,
        outcome: HealthCheckOutcome,
        lease: Time,
        now: Time,
    ) {
        // `sent_at` may differ a little from the recorded time, as the sender reads its clock at another
        // moment. A previous check was sent at least its timeout earlier, so half the timeout
        // distinguishes the two.
        let is_awaited = |check: &Check| check.sent_at < sent_at + CHECK_TIMEOUT / 2;
        let finished = self.check.filter(is_awaited);
        if finished.is_some() {
            self.check = None;
        }
        let was_counted = finished.is_none_or(|check| check.is_overdue);
        match outcome {
            HealthCheckOutcome::Healthy => self.renew(sent_at, lease),
            HealthCheckOutcome::Unhealthy => self.revoke(sent_at, now),
            HealthCheckOutcome::Unanswered | HealthCheckOutcome::Disconnected if was_counted => {}
            HealthCheckOutcome::Unanswered | HealthCheckOutcome::Disconnected => {
                self.record_failure(now, self.failures);
            }
        }
    }

    fn renew(&mut self, sent_at: Time, lease: Time) {
        if sent_at >= self.evidence_at {
            self.evidence_at = sent_at;
            self.end = sent_at + lease;
            self.failures = 0;
            self.next_check_at = 0;
        }
    }

    /// Ends the lease at once, because the worker has answered that it is not in service. An answer to
    /// a check that was sent before the most recent evidence is ignored.
    fn revoke(&mut self, sent_at: Time, now: Time) {
        if sent_at >= self.evidence_at {
            self.evidence_at = sent_at;
            self.end = 0;
            self.record_failure(now, self.failures + 1);
        }
    }

    fn record_failure(&mut self, now: Time, backoff_steps: u32) {
        self.failures += 1;
        self.next_check_at = match backoff_steps.checked_sub(1) {
            None => now,
            Some(doublings) => now + (BASE_BACKOFF << doublings.min(MAX_BACKOFF_DOUBLINGS)),
        };
    }

    /// Records that a connection to the worker has failed or was closed by it. Of several losses since
    /// `since` the first counts: a connection that is established after it may lead to a new process,
    /// also if yet another one is lost later.
    pub(crate) fn record_connection_lost(&mut self, since: Time, now: Time) {
        if self.connection_lost_at <= since {
            self.connection_lost_at = now;
        }
    }

    /// Whether a worker that has just answered a check may have restarted since the time `since`: a
    /// connection to it was lost after that time, and the connection of the answer is not older than
    /// that loss. (The end of a process ends all of its connections.) The lost connection is forgotten,
    /// so that it counts only once.
    pub(crate) fn take_restart(&mut self, since: Time, connected_at: Time) -> bool {
        let lost_at = std::mem::take(&mut self.connection_lost_at);
        lost_at > since && connected_at >= lost_at
    }
}

/// The health checks that one request has waited for.
#[derive(Debug, Default)]
pub(crate) struct RequestChecks {
    /// The worker whose check it waits for.
    worker: Option<WorkerId>,
    /// How often the request has waited for a check.
    count: u32,
}

impl RequestChecks {
    /// Whether the request waits for a check.
    pub(crate) fn is_waiting(&self) -> bool {
        self.worker.is_some()
    }

    /// The worker whose check the request waits for; `None` if it waits for none.
    pub(crate) fn worker(&self) -> Option<&WorkerId> {
        self.worker.as_ref()
    }

    /// Whether the request may wait for a further check.
    pub(crate) fn may_begin(&self) -> bool {
        self.count < MAX_CHECKS_PER_REQUEST
    }

    /// Begins to wait for the health check of a worker.
    pub(crate) fn begin(&mut self, worker: WorkerId) {
        self.worker = Some(worker);
        self.count += 1;
    }

    /// Ends the wait for a health check.
    pub(crate) fn end(&mut self) {
        self.worker = None;
    }
}
