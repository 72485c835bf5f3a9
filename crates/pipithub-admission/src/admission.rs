//! From a request to its tenant, and on to the tenant's quota.

use std::collections::BTreeMap;

use pipithub_directory::{Person, Refresh, Roster, TenantId, User, View, Waiting};

use crate::outputs::{Admitted, Arrival, Completion, Output, RejectReason, ServiceResult};
use crate::quotas::{Candidate, Decision, QuotaSettings, Quotas};
use crate::{MS, Time};

/// What a gate is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Shares and classes.
    pub quotas: QuotaSettings,
    /// A call waits no longer than this for its user to be known, nor than a quarter of its time.
    pub max_identity_wait: Time,
    /// Calls that may wait for that.
    pub max_waiting: usize,
}

/// A call and what is known of it.
#[derive(Debug)]
struct Pending<T> {
    arrival: Arrival<T>,
    arrived_at: Time,
    person: Option<Person>,
}

impl<T> Pending<T> {
    fn still_belongs_to(&self, roster: &Roster, now: Time, tenant: usize) -> bool {
        let (Some(user), Some(person)) = (&self.arrival.user, self.person) else {
            return true;
        };
        matches!(roster.look(user, now),
            View::Tenant { tenant: t, person: p, .. } if usize::from(t.0) == tenant && p == person)
    }
}

/// A front end's gate.
#[derive(Debug)]
pub struct Admission<T> {
    settings: AdmissionSettings,
    waiting: Waiting<Pending<T>>,
    quotas: Quotas<Pending<T>>,
    /// Users asked for behind their calls, and when: a busy user wants a refresh once, not with each call.
    refreshes: BTreeMap<User, Time>,
    decisions: Vec<Decision<Pending<T>>>,
}

/// A user's refresh is wanted again after this at the soonest.
const MIN_REFRESH_INTERVAL: Time = 1_000 * MS;
/// Users that are remembered for that.
const MAX_REFRESHES: usize = 4_096;

impl<T> Admission<T> {
    /// A gate that has let nothing in.
    pub fn new(settings: AdmissionSettings) -> Self {
        Admission {
            waiting: Waiting::new(settings.max_waiting),
            quotas: Quotas::new(settings.quotas.clone()),
            refreshes: BTreeMap::new(),
            decisions: Vec::new(),
            settings,
        }
    }

    /// Calls that wait for anything here.
    pub fn pending(&self) -> usize {
        self.waiting.len() + self.quotas.queued()
    }

    /// When [`Gate::tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        [self.waiting.next_due(), self.quotas.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// A call comes in.
    pub fn arrive(
        &mut self,
        now: Time,
        roster: &Roster,
        arrival: Arrival<T>,
        out: &mut Vec<Output<T>>,
    ) {
        let pending = Pending {
            arrived_at: now,
            person: None,
            arrival,
        };
        let Some(user) = pending.arrival.user.clone() else {
            return match pending.arrival.route_tenant {
                // A route that takes calls without users speaks for its tenant: a timer's, a desk's own queue.
                Some(tenant) => self.offer(now, roster, pending, tenant, out),
                None => out.push(Output::Reject {
                    request: pending.arrival.request,
                    reason: RejectReason::NoUser,
                    retry_after: 0,
                }),
            };
        };
        let view = roster.look(&user, now);
        let wait = match view {
            View::Unknown => true,
            View::Tenant {
                refresh: Refresh::Behind,
                ..
            } => {
                if self.may_refresh(now, &user) {
                    out.push(Output::LookUp {
                        user: user.clone(),
                        urgent: false,
                    });
                }
                false
            }
            View::Tenant {
                refresh: Refresh::First,
                ..
            } => true,
            View::Tenant { .. } | View::Nobody | View::Twice => false,
        };
        if !wait {
            return self.judge(now, roster, view, pending, out);
        }
        let until = now
            + self
                .settings
                .max_identity_wait
                .min(pending.arrival.remaining / 4);
        match self.waiting.add(now, until, user.clone(), pending) {
            Ok(()) => out.push(Output::LookUp { user, urgent: true }),
            // As many wait as may: it is judged by what is known.
            Err(pending) => self.judge(now, roster, view, pending, out),
        }
    }

    fn may_refresh(&mut self, now: Time, user: &User) -> bool {
        if self
            .refreshes
            .get(user)
            .is_some_and(|at| now < *at + MIN_REFRESH_INTERVAL)
        {
            return false;
        }
        if self.refreshes.len() >= MAX_REFRESHES {
            self.refreshes
                .retain(|_, at| now < *at + MIN_REFRESH_INTERVAL);
        }
        if self.refreshes.len() < MAX_REFRESHES {
            self.refreshes.insert(user.clone(), now);
        }
        true
    }

    fn judge(
        &mut self,
        now: Time,
        roster: &Roster,
        view: View,
        pending: Pending<T>,
        out: &mut Vec<Output<T>>,
    ) {
        let refuse = |pending: Pending<T>, reason, retry_after| Output::Reject {
            request: pending.arrival.request,
            reason,
            retry_after,
        };
        match view {
            View::Tenant { tenant, person, .. } => {
                if pending
                    .arrival
                    .route_tenant
                    .is_some_and(|route| route != tenant)
                {
                    return out.push(refuse(pending, RejectReason::OtherTenant, 0));
                }
                self.offer(
                    now,
                    roster,
                    Pending {
                        person: Some(person),
                        ..pending
                    },
                    tenant,
                    out,
                );
            }
            View::Nobody => out.push(refuse(pending, RejectReason::NoTenant, 0)),
            View::Twice => out.push(refuse(pending, RejectReason::ClaimedTwice, 0)),
            View::Unknown => out.push(refuse(pending, RejectReason::UnknownUser, 1_000 * MS)),
        }
    }

    fn offer(
        &mut self,
        now: Time,
        roster: &Roster,
        pending: Pending<T>,
        tenant: TenantId,
        out: &mut Vec<Output<T>>,
    ) {
        let remaining = pending
            .arrival
            .remaining
            .saturating_sub(now - pending.arrived_at);
        let class = pending.arrival.class;
        let candidate = Candidate {
            request: pending,
            tenant: usize::from(tenant.0),
            class,
        };
        self.quotas
            .offer(now, candidate, remaining, &mut self.decisions);
        self.carry_out(now, roster, out);
    }

    fn carry_out(&mut self, now: Time, roster: &Roster, out: &mut Vec<Output<T>>) {
        // Taken from the end: those that were given their places first go first.
        self.decisions.reverse();
        while let Some(start) = self.decisions.pop() {
            let start = match start {
                // It may have waited for its place while its user moved.
                Decision::Admit(candidate)
                    if !candidate
                        .request
                        .still_belongs_to(roster, now, candidate.tenant) =>
                {
                    self.quotas.completed(
                        now,
                        candidate.tenant,
                        ServiceResult::Other,
                        0,
                        &mut self.decisions,
                    );
                    let view = candidate
                        .request
                        .arrival
                        .user
                        .as_deref()
                        .map_or(View::Unknown, |u| roster.look(u, now));
                    let why = if view == View::Twice {
                        RejectReason::ClaimedTwice
                    } else {
                        RejectReason::UnknownUser
                    };
                    out.push(Output::Reject {
                        request: candidate.request.arrival.request,
                        reason: why,
                        retry_after: 0,
                    });
                    continue;
                }
                start => start,
            };
            let (candidate, refused) = match start {
                Decision::Admit(candidate) => (candidate, None),
                Decision::Reject {
                    candidate,
                    reason,
                    retry_after,
                } => (candidate, Some((reason, retry_after))),
            };
            let pending = candidate.request;
            let waited = now.saturating_sub(pending.arrived_at);
            let tenant = TenantId(candidate.tenant as u16);
            out.push(match refused {
                None => Output::Admit {
                    request: pending.arrival.request,
                    admitted: Admitted {
                        tenant,
                        person: pending.person,
                        waited,
                    },
                },
                Some((reason, retry_after)) => Output::Reject {
                    request: pending.arrival.request,
                    reason,
                    retry_after,
                },
            });
        }
    }

    /// There is news of a user: whoever waits for it is judged by what is known now.
    pub fn user_updated(
        &mut self,
        now: Time,
        roster: &Roster,
        user: &str,
        out: &mut Vec<Output<T>>,
    ) {
        for woken in self.waiting.wake(user) {
            let view = roster.look(user, now);
            self.judge(now, roster, view, woken.call, out);
        }
    }

    /// A call that was let in has had its final answer, `took` after it was.
    pub fn completed(
        &mut self,
        now: Time,
        roster: &Roster,
        Completion {
            tenant,
            result,
            service_time,
        }: Completion,
        out: &mut Vec<Output<T>>,
    ) {
        self.quotas.completed(
            now,
            usize::from(tenant.0),
            result,
            service_time,
            &mut self.decisions,
        );
        self.carry_out(now, roster, out);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, roster: &Roster, out: &mut Vec<Output<T>>) {
        for woken in self.waiting.due(now) {
            // What is known and past its best is still better than a refusal, up to its hard bound.
            let view = roster.look(&woken.user, now);
            self.judge(now, roster, view, woken.call, out);
        }
        self.quotas.tick(now, &mut self.decisions);
        self.carry_out(now, roster, out);
    }

    /// Calls that their source took back; nothing is owed for them any more.
    pub fn cancel(&mut self, mut is_cancelled: impl FnMut(&T) -> bool) {
        self.waiting
            .forget(|pending| is_cancelled(&pending.arrival.request));
        self.quotas
            .cancel(|pending| is_cancelled(&pending.arrival.request));
    }
}
