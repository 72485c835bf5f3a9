//! Finds the tenant of each request and offers the request to the quota of that tenant.

use std::collections::BTreeMap;

use pipithub_directory::{PendingLookups, PersonId, Refresh, Resolution, Roster, TenantId, User};

use crate::outputs::{Admitted, Arrival, Completion, Output, RejectReason, ServiceResult};
use crate::quotas::{Candidate, Decision, QuotaSettings, Quotas};
use crate::{SECOND, Time};

/// The minimum time between refreshes of the same user.
const MIN_REFRESH_INTERVAL: Time = SECOND;
/// The maximum number of users whose last refresh is remembered.
const MAX_REFRESHES: usize = 4_096;
/// How long the client of an unknown user should wait before it retries. By then the directories may have answered.
const UNKNOWN_USER_RETRY_AFTER: Time = SECOND;
/// A request waits for the look-up of its user for at most its remaining time divided by this.
const IDENTITY_WAIT_DIVISOR: Time = 4;

/// The settings of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The quotas of the tenants and the weights of the classes.
    pub quotas: QuotaSettings,
    /// The maximum time that a request waits for the look-up of its user, in nanoseconds. It never waits for more than
    /// a quarter of its remaining time.
    pub max_identity_wait: Time,
    /// The maximum number of requests that wait for a look-up.
    pub max_waiting: usize,
}

/// A request that is neither admitted nor rejected yet.
#[derive(Debug)]
struct Pending<T> {
    arrival: Arrival<T>,
    arrived_at: Time,
    /// The person that the user name referred to when the request was offered to the quota of its tenant; `None` before
    /// that, and if the request states no user.
    person: Option<PersonId>,
}

impl<T> Pending<T> {
    /// Whether the user is still the same person and belongs to the same tenant as when the request was offered to the
    /// quota. Always true for a request without a user.
    fn still_belongs_to(&self, tenant: usize, roster: &Roster, now: Time) -> bool {
        let (Some(user), Some(expected)) = (&self.arrival.user, self.person) else {
            return true;
        };
        match roster.resolve(user, now) {
            Resolution::Tenant {
                tenant: current,
                person,
                ..
            } => usize::from(current.0) == tenant && person == expected,
            _ => false,
        }
    }

    fn reject(self, reason: RejectReason, retry_after: Time) -> Output<T> {
        Output::Reject {
            request: self.arrival.request,
            reason,
            retry_after,
        }
    }

    fn admit(self, tenant: usize, now: Time) -> Output<T> {
        Output::Admit {
            request: self.arrival.request,
            admitted: Admitted {
                tenant: TenantId(tenant as u16),
                person: self.person,
                waited: now.saturating_sub(self.arrived_at),
            },
        }
    }
}

/// The admission control of a front end. `T` identifies a request to the caller.
#[derive(Debug)]
pub struct Admission<T> {
    settings: AdmissionSettings,
    pending_lookups: PendingLookups<Pending<T>>,
    quotas: Quotas<Pending<T>>,
    /// When a refresh of a known user was last requested, so that a busy user is not refreshed with each request.
    refreshes: BTreeMap<User, Time>,
    /// Empty between calls; kept to reuse its allocation.
    decisions: Vec<Decision<Pending<T>>>,
}

impl<T> Admission<T> {
    /// Creates an admission control with no request in flight.
    pub fn new(settings: AdmissionSettings) -> Self {
        Admission {
            pending_lookups: PendingLookups::new(settings.max_waiting),
            quotas: Quotas::new(settings.quotas.clone()),
            refreshes: BTreeMap::new(),
            decisions: Vec::new(),
            settings,
        }
    }

    /// The number of requests that wait for a look-up or in the queue of their tenant.
    pub fn pending(&self) -> usize {
        self.pending_lookups.len() + self.quotas.queued()
    }

    /// When [`Admission::tick`] is due next; `None` if no request waits.
    pub fn next_due(&self) -> Option<Time> {
        [self.pending_lookups.next_due(), self.quotas.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles a new request. Each request gets one [`Output::Admit`] or [`Output::Reject`], now or later.
    pub fn arrive(
        &mut self,
        now: Time,
        roster: &Roster,
        arrival: Arrival<T>,
        outputs: &mut Vec<Output<T>>,
    ) {
        let pending = Pending {
            arrived_at: now,
            person: None,
            arrival,
        };
        let Some(user) = pending.arrival.user.clone() else {
            return self.arrive_without_user(now, roster, pending, outputs);
        };
        let resolution = roster.resolve(&user, now);
        if !self.needs_lookup(now, &user, resolution, outputs) {
            return self.apply_resolution(now, roster, resolution, pending, outputs);
        }
        let max_wait = pending.arrival.remaining / IDENTITY_WAIT_DIVISOR;
        let until = now + self.settings.max_identity_wait.min(max_wait);
        match self.pending_lookups.add(now, until, user.clone(), pending) {
            Ok(()) => outputs.push(Output::LookUp { user, urgent: true }),
            // The limit on waiting requests is reached, so the request is decided by what is known now.
            Err(pending) => self.apply_resolution(now, roster, resolution, pending, outputs),
        }
    }

    /// Without a user, a request belongs to the tenant of its route, such as a schedule or a queue of the tenant.
    fn arrive_without_user(
        &mut self,
        now: Time,
        roster: &Roster,
        pending: Pending<T>,
        outputs: &mut Vec<Output<T>>,
    ) {
        match pending.arrival.route_tenant {
            Some(tenant) => self.offer(now, roster, pending, tenant, outputs),
            None => outputs.push(pending.reject(RejectReason::NoUser, 0)),
        }
    }

    /// Whether a request has to wait for the look-up of its user. Also requests a background refresh if one is due.
    fn needs_lookup(
        &mut self,
        now: Time,
        user: &User,
        resolution: Resolution,
        outputs: &mut Vec<Output<T>>,
    ) -> bool {
        match resolution {
            Resolution::Unknown => true,
            Resolution::Tenant { refresh, .. } => {
                if refresh == Refresh::InBackground && self.may_refresh(now, user) {
                    let user = user.clone();
                    outputs.push(Output::LookUp {
                        user,
                        urgent: false,
                    });
                }
                refresh == Refresh::BeforeUse
            }
            Resolution::NoTenant | Resolution::Ambiguous => false,
        }
    }

    /// Whether a refresh of the user may be requested now. Records it, unless too many refreshes are remembered.
    fn may_refresh(&mut self, now: Time, user: &User) -> bool {
        let is_recent = |at: Time| now < at + MIN_REFRESH_INTERVAL;
        if self.refreshes.get(user).is_some_and(|at| is_recent(*at)) {
            return false;
        }
        if self.refreshes.len() >= MAX_REFRESHES {
            self.refreshes.retain(|_, at| is_recent(*at));
        }
        if self.refreshes.len() < MAX_REFRESHES {
            self.refreshes.insert(user.clone(), now);
        }
        true
    }

    /// Offers a request to the quota of its tenant, or rejects it, depending on the resolution of its user.
    fn apply_resolution(
        &mut self,
        now: Time,
        roster: &Roster,
        resolution: Resolution,
        mut pending: Pending<T>,
        outputs: &mut Vec<Output<T>>,
    ) {
        match resolution {
            Resolution::Tenant { tenant, person, .. } => {
                let route_tenant = pending.arrival.route_tenant;
                if route_tenant.is_some_and(|expected| expected != tenant) {
                    return outputs.push(pending.reject(RejectReason::OtherTenant, 0));
                }
                pending.person = Some(person);
                self.offer(now, roster, pending, tenant, outputs);
            }
            Resolution::NoTenant => outputs.push(pending.reject(RejectReason::NoTenant, 0)),
            Resolution::Ambiguous => outputs.push(pending.reject(RejectReason::AmbiguousTenant, 0)),
            Resolution::Unknown => {
                outputs.push(pending.reject(RejectReason::UnknownUser, UNKNOWN_USER_RETRY_AFTER));
            }
        }
    }

    fn offer(
        &mut self,
        now: Time,
        roster: &Roster,
        pending: Pending<T>,
        tenant: TenantId,
        outputs: &mut Vec<Output<T>>,
    ) {
        let waited = now - pending.arrived_at;
        let remaining = pending.arrival.remaining.saturating_sub(waited);
        let candidate = Candidate {
            tenant: usize::from(tenant.0),
            class: pending.arrival.class,
            request: pending,
        };
        self.quotas
            .offer(now, candidate, remaining, &mut self.decisions);
        self.apply_decisions(now, roster, outputs);
    }

    fn apply_decisions(&mut self, now: Time, roster: &Roster, outputs: &mut Vec<Output<T>>) {
        // Reversed, so that popping from the end keeps the order of the decisions.
        self.decisions.reverse();
        while let Some(decision) = self.decisions.pop() {
            outputs.push(match decision {
                Decision::Admit(Candidate {
                    request, tenant, ..
                }) => self.admit(now, roster, request, tenant),
                Decision::Reject {
                    candidate,
                    reason,
                    retry_after,
                } => candidate.request.reject(reason, retry_after),
            });
        }
    }

    /// Admits a request that its quota allows. Rejects it if its user is no longer the same person of the same tenant.
    fn admit(
        &mut self,
        now: Time,
        roster: &Roster,
        pending: Pending<T>,
        tenant: usize,
    ) -> Output<T> {
        if pending.still_belongs_to(tenant, roster, now) {
            return pending.admit(tenant, now);
        }
        let result = ServiceResult::Other;
        self.quotas
            .completed(now, tenant, result, 0, &mut self.decisions);
        let user = pending.arrival.user.as_deref();
        let resolution = user.map_or(Resolution::Unknown, |user| roster.resolve(user, now));
        let reason = if resolution == Resolution::Ambiguous {
            RejectReason::AmbiguousTenant
        } else {
            RejectReason::UnknownUser
        };
        pending.reject(reason, 0)
    }

    /// Handles an update of what is known of a user: the requests that wait for the look-up of the user are offered to
    /// quotas or rejected.
    pub fn user_updated(
        &mut self,
        now: Time,
        roster: &Roster,
        user: &str,
        outputs: &mut Vec<Output<T>>,
    ) {
        for ended in self.pending_lookups.finish(user) {
            let resolution = roster.resolve(user, now);
            self.apply_resolution(now, roster, resolution, ended.request, outputs);
        }
    }

    /// Handles the final answer of an admitted request, which frees its place in the quota.
    pub fn completed(
        &mut self,
        now: Time,
        roster: &Roster,
        completion: Completion,
        outputs: &mut Vec<Output<T>>,
    ) {
        let Completion {
            tenant,
            result,
            service_time,
        } = completion;
        let tenant = usize::from(tenant.0);
        self.quotas
            .completed(now, tenant, result, service_time, &mut self.decisions);
        self.apply_decisions(now, roster, outputs);
    }

    /// Handles what is due: look-ups that took too long, queued requests that may start, and those that waited too
    /// long.
    pub fn tick(&mut self, now: Time, roster: &Roster, outputs: &mut Vec<Output<T>>) {
        for ended in self.pending_lookups.expire(now) {
            // A stale record is still better than a rejection; the roster does not return records that are too old to
            // be used.
            let resolution = roster.resolve(&ended.user, now);
            self.apply_resolution(now, roster, resolution, ended.request, outputs);
        }
        self.quotas.tick(now, &mut self.decisions);
        self.apply_decisions(now, roster, outputs);
    }

    /// Drops waiting requests that were cancelled. They get no output any more.
    pub fn cancel(&mut self, mut is_cancelled: impl FnMut(&T) -> bool) {
        self.pending_lookups
            .cancel(|pending| is_cancelled(&pending.arrival.request));
        self.quotas
            .cancel(|pending| is_cancelled(&pending.arrival.request));
    }
}
