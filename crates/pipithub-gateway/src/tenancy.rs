//! The gate and the directories of a front end, between its sources and its engine.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use pipithub_admission::{Admission, Arrival, Completion, Output, RejectReason, ServiceResult};
use pipithub_directory::{Input as Wanted, Resolution, Roster, TenantId, User};
use pipithub_engine::policy::Class;
use pipithub_engine::{
    Cause, Input, Reply, SourceId, Tenant, TenantUser, Ticket, Time, Trigger, Verdict,
};
use pipithub_settings::TenantsConfig;
use tokio::sync::mpsc;
use tracing::debug;

use crate::directory::{Handle, Word};

/// Calls let in beyond those that are open before the list of them is looked through for ones that were lost sight of.
const SLACK: usize = 1_024;

/// A call that was let in and has no answer yet.
struct Let {
    tenant: TenantId,
    user: Option<User>,
    since: Time,
}

pub(crate) struct Tenancy {
    config: Arc<TenantsConfig>,
    front_end: String,
    classes: Vec<Class>,
    admission: Admission<Box<Trigger>>,
    roster: Arc<ArcSwap<Roster>>,
    wants: mpsc::Sender<Wanted>,
    words: mpsc::Receiver<Word>,
    let_in: BTreeMap<Ticket, Let>,
    out: Vec<Output<Box<Trigger>>>,
}

fn cause(reason: RejectReason) -> Cause {
    match reason {
        RejectReason::NoUser => Cause::NoUser,
        RejectReason::UnknownUser => Cause::UserUnknown,
        RejectReason::NoTenant => Cause::NoTenant,
        RejectReason::ClaimedTwice => Cause::AmbiguousTenant,
        RejectReason::OtherTenant => Cause::OtherTenant,
        RejectReason::OverQuota => Cause::OverQuota,
        RejectReason::OverRate => Cause::OverRate,
    }
}

impl Tenancy {
    pub(crate) fn new(
        config: Arc<TenantsConfig>,
        handle: Handle,
        classes: &[Class],
        front_end: &str,
    ) -> Self {
        let Handle {
            roster,
            wants,
            words,
        } = handle;
        Tenancy {
            admission: Admission::new(config.admission.clone()),
            config,
            front_end: front_end.to_string(),
            classes: classes.to_vec(),
            roster,
            wants,
            words,
            let_in: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    /// What the directories have to say next.
    pub(crate) async fn word(&mut self) -> Option<Word> {
        self.words.recv().await
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.admission.next_due()
    }

    pub(crate) fn pending(&self) -> usize {
        self.admission.pending()
    }

    /// The names of a call's tenant and user, for logs.
    pub(crate) fn name(&self, tenant: Option<Tenant>) -> Option<&str> {
        tenant
            .and_then(|t| self.config.tenants.get(usize::from(t.0)))
            .map(|t| t.name.as_str())
    }

    /// The tenant and user of a call that was let in, for logs.
    pub(crate) fn of(&self, ticket: Ticket) -> (Option<&str>, Option<&str>) {
        let call = self.let_in.get(&ticket);
        (
            call.and_then(|c| self.name(Some(Tenant(c.tenant.0)))),
            call.and_then(|c| c.user.as_deref()),
        )
    }

    /// A call has come in.
    pub(crate) fn arrive(&mut self, now: Time, trigger: Trigger, inputs: &mut Vec<Input>) {
        let call = &trigger.call;
        let give_up = self.classes.get(call.class).map_or(0, |c| c.client_timeout);
        let rest = give_up.saturating_sub(call.waited);
        let arrival = Arrival {
            user: call.user.clone(),
            route_tenant: call.tenant.map(|t| TenantId(t.0)),
            class: call.class,
            remaining: call.timeout.map_or(rest, |b| b.min(rest)),
            request: Box::new(trigger),
        };
        self.admission
            .arrive(now, &self.roster.load(), arrival, &mut self.out);
        self.carry_out(now, inputs);
    }

    /// A source is gone with all that it brought.
    pub(crate) fn lost(&mut self, now: Time, source: SourceId, inputs: &mut Vec<Input>) {
        self.admission
            .cancel(|trigger| trigger.ticket.source == source);
        let gone: Vec<Ticket> = self
            .let_in
            .keys()
            .filter(|t| t.source == source)
            .copied()
            .collect();
        for ticket in gone {
            self.over(now, ticket, ServiceResult::Other, inputs);
        }
    }

    /// A call has had its final answer; without one it was settled as one that had it before.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        ticket: Ticket,
        reply: Option<&Reply>,
        inputs: &mut Vec<Input>,
    ) {
        let end = match reply.map(|r| (r.verdict, r.cause)) {
            Some((Verdict::Served, _)) => ServiceResult::Served,
            Some((_, Cause::NoWorkerInTime)) => ServiceResult::NoWorkerInTime,
            _ => ServiceResult::Other,
        };
        self.over(now, ticket, end, inputs);
    }

    fn over(&mut self, now: Time, ticket: Ticket, end: ServiceResult, inputs: &mut Vec<Input>) {
        if let Some(call) = self.let_in.remove(&ticket) {
            let took = now.saturating_sub(call.since);
            self.admission.completed(
                now,
                &self.roster.load(),
                Completion {
                    tenant: call.tenant,
                    result: end,
                    service_time: took,
                },
                &mut self.out,
            );
            self.carry_out(now, inputs);
        }
    }

    /// The directories have said something.
    pub(crate) fn told(&mut self, now: Time, word: Word, inputs: &mut Vec<Input>) {
        match word {
            Word::News(user) => {
                self.admission
                    .user_updated(now, &self.roster.load(), &user, &mut self.out);
            }
            Word::Changed(user) => {
                let side = match self.roster.load().resolve(&user, now) {
                    Resolution::Tenant { tenant, person, .. } => Some(TenantUser {
                        tenant: Tenant(tenant.0),
                        person: person.0,
                    }),
                    _ => None,
                };
                inputs.push(Input::UserMigrated { user, now: side });
            }
        }
        self.carry_out(now, inputs);
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Time, open: usize, inputs: &mut Vec<Input>) {
        self.admission.tick(now, &self.roster.load(), &mut self.out);
        self.carry_out(now, inputs);
        if self.let_in.len() > open + SLACK {
            // A ticket that was replaced by a later delivery of its message is answered under that one.
            let longest = self
                .classes
                .iter()
                .map(|c| c.client_timeout)
                .max()
                .unwrap_or(0)
                .saturating_mul(2);
            let old = |c: &Let| now.saturating_sub(c.since) > longest;
            let gone: Vec<Ticket> = self
                .let_in
                .iter()
                .filter(|(_, c)| old(c))
                .map(|(t, _)| *t)
                .collect();
            gone.into_iter()
                .for_each(|ticket| self.over(now, ticket, ServiceResult::Other, inputs));
        }
    }

    fn carry_out(&mut self, now: Time, inputs: &mut Vec<Input>) {
        for output in self.out.drain(..) {
            match output {
                Output::Admit {
                    request: mut trigger,
                    admitted,
                } => {
                    trigger.call.tenant = Some(Tenant(admitted.tenant.0));
                    trigger.call.person = admitted.person.map_or(0, |p| p.0);
                    trigger.call.timeout = trigger
                        .call
                        .timeout
                        .map(|b| b.saturating_sub(admitted.waited));
                    trigger.call.waited = trigger.call.waited.saturating_add(admitted.waited);
                    let user = trigger.call.user.clone();
                    self.let_in.insert(
                        trigger.ticket,
                        Let {
                            tenant: admitted.tenant,
                            user,
                            since: now,
                        },
                    );
                    inputs.push(Input::Trigger(*trigger));
                }
                Output::Reject {
                    request: trigger,
                    reason,
                    retry_after: after,
                } => {
                    let label = trigger.call.label.as_deref();
                    let user = trigger.call.user.as_deref();
                    debug!(
                        front_end = self.front_end,
                        request = label,
                        user,
                        why = ?reason,
                        "not let in"
                    );
                    let retry_after = (after > 0).then_some(after);
                    inputs.push(Input::Reject {
                        trigger: *trigger,
                        cause: cause(reason),
                        retry_after,
                    });
                }
                Output::LookUp { user, urgent } => {
                    // With no room the call waits its time and is judged by what is known.
                    let _ = self.wants.try_send(Wanted::LookUp { user, urgent });
                }
            }
        }
    }
}
