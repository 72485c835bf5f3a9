//! Admission by tenant, between the sources of a front end and its engine.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use pipithub_admission::{
    Admission, Admitted, Arrival, Completion, Output, RejectReason, ServiceResult,
};
use pipithub_directory::{Input as DirectoryInput, Resolution, Roster, TenantId, User};
use pipithub_engine::policy::Class;
use pipithub_engine::{
    Cause, Input, Reply, SourceId, Tenant, TenantUser, Ticket, Time, Trigger, Verdict,
};
use pipithub_settings::TenantsConfig;
use tokio::sync::mpsc;
use tracing::debug;

use crate::directory::{DirectoryEvent, DirectoryHandle};

/// How many more admitted calls than pending requests there may be before expired calls are removed.
const MAX_UNMATCHED_CALLS: usize = 1_024;

/// An admitted call that has no final answer yet.
struct AdmittedCall {
    tenant: TenantId,
    user: Option<User>,
    admitted_at: Time,
}

/// The names of a call's tenant and user, for logs. Both are `None` for a call that was not admitted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallerNames<'a> {
    pub(crate) tenant: Option<&'a str>,
    pub(crate) user: Option<&'a str>,
}

/// The admission of a front end, with the front end's end of the channels to the directories.
pub(crate) struct Tenancy {
    config: Arc<TenantsConfig>,
    front_end: String,
    classes: Vec<Class>,
    admission: Admission<Box<Trigger>>,
    roster: Arc<ArcSwap<Roster>>,
    lookups: mpsc::Sender<DirectoryInput>,
    events: mpsc::Receiver<DirectoryEvent>,
    admitted_calls: BTreeMap<Ticket, AdmittedCall>,
    outputs: Vec<Output<Box<Trigger>>>,
}

/// The cause of a rejection as the client's answer gives it.
fn rejection_cause(reason: RejectReason) -> Cause {
    match reason {
        RejectReason::NoUser => Cause::NoUser,
        RejectReason::UnknownUser => Cause::UserUnknown,
        RejectReason::NoTenant => Cause::NoTenant,
        RejectReason::AmbiguousTenant => Cause::AmbiguousTenant,
        RejectReason::OtherTenant => Cause::OtherTenant,
        RejectReason::OverQuota => Cause::OverQuota,
        RejectReason::OverRate => Cause::OverRate,
    }
}

/// How admission counts the answer of a call.
fn service_result(reply: &Reply) -> ServiceResult {
    if reply.verdict == Verdict::Served {
        ServiceResult::Served
    } else if reply.cause == Cause::NoWorkerInTime {
        ServiceResult::NoWorkerInTime
    } else {
        ServiceResult::Other
    }
}

impl Tenancy {
    /// Creates an admission without any calls.
    pub(crate) fn new(
        config: Arc<TenantsConfig>,
        handle: DirectoryHandle,
        classes: &[Class],
        front_end: &str,
    ) -> Self {
        let DirectoryHandle {
            roster,
            lookups,
            events,
        } = handle;
        Tenancy {
            admission: Admission::new(config.admission.clone()),
            config,
            front_end: front_end.to_string(),
            classes: classes.to_vec(),
            roster,
            lookups,
            events,
            admitted_calls: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// The next event of the directories; `None` if their task has ended.
    pub(crate) async fn next_event(&mut self) -> Option<DirectoryEvent> {
        self.events.recv().await
    }

    /// When admission needs the next tick; `None` if it needs none.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.admission.next_due()
    }

    /// The number of calls that are neither admitted nor rejected yet.
    pub(crate) fn pending(&self) -> usize {
        self.admission.pending()
    }

    /// The name of a tenant in the settings, for logs.
    pub(crate) fn tenant_name(&self, tenant: Option<Tenant>) -> Option<&str> {
        let Tenant(number) = tenant?;
        let config = self.config.tenants.get(usize::from(number))?;
        Some(&config.name)
    }

    /// The names of an admitted call's tenant and user, for logs.
    pub(crate) fn caller_names(&self, ticket: Ticket) -> CallerNames<'_> {
        let Some(call) = self.admitted_calls.get(&ticket) else {
            return CallerNames::default();
        };
        CallerNames {
            tenant: self.tenant_name(Some(Tenant(call.tenant.0))),
            user: call.user.as_deref(),
        }
    }

    /// Handles the arrival of a call. What admission decides at once is appended to `inputs`.
    pub(crate) fn arrive(&mut self, now: Time, trigger: Trigger, inputs: &mut Vec<Input>) {
        let call = &trigger.call;
        let class = self.classes.get(call.class);
        let client_timeout = class.map_or(0, |class| class.client_timeout);
        let remaining = client_timeout.saturating_sub(call.waited);
        let arrival = Arrival {
            user: call.user.clone(),
            route_tenant: call.tenant.map(|tenant| TenantId(tenant.0)),
            class: call.class,
            remaining: call
                .timeout
                .map_or(remaining, |budget| budget.min(remaining)),
            request: Box::new(trigger),
        };
        self.admission
            .arrive(now, &self.roster.load(), arrival, &mut self.outputs);
        self.apply_outputs(now, inputs);
    }

    /// Handles the loss of a source: all its calls end.
    pub(crate) fn source_lost(&mut self, now: Time, source: SourceId, inputs: &mut Vec<Input>) {
        self.admission
            .cancel(|trigger| trigger.ticket.source == source);
        let lost: Vec<Ticket> = self
            .admitted_calls
            .keys()
            .filter(|ticket| ticket.source == source)
            .copied()
            .collect();
        for ticket in lost {
            self.finish(now, ticket, ServiceResult::Other, inputs);
        }
    }

    /// Handles the final answer of a call.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        ticket: Ticket,
        reply: &Reply,
        inputs: &mut Vec<Input>,
    ) {
        self.finish(now, ticket, service_result(reply), inputs);
    }

    /// Reports the end of an admitted call to admission, once for each call.
    fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        result: ServiceResult,
        inputs: &mut Vec<Input>,
    ) {
        let Some(call) = self.admitted_calls.remove(&ticket) else {
            return;
        };
        let completion = Completion {
            tenant: call.tenant,
            result,
            service_time: now.saturating_sub(call.admitted_at),
        };
        self.admission
            .completed(now, &self.roster.load(), completion, &mut self.outputs);
        self.apply_outputs(now, inputs);
    }

    /// Handles an event of the directories.
    pub(crate) fn handle_directory_event(
        &mut self,
        now: Time,
        event: DirectoryEvent,
        inputs: &mut Vec<Input>,
    ) {
        match event {
            DirectoryEvent::LookupFinished(user) => {
                self.admission
                    .user_updated(now, &self.roster.load(), &user, &mut self.outputs);
            }
            DirectoryEvent::UserMigrated(user) => {
                let tenant_user = self.tenant_user(&user, now);
                inputs.push(Input::UserMigrated {
                    user,
                    successor: tenant_user,
                });
            }
        }
        self.apply_outputs(now, inputs);
    }

    /// The tenant and person of a user by the newest records; `None` if the user belongs to no tenant, or to several.
    fn tenant_user(&self, user: &str, now: Time) -> Option<TenantUser> {
        match self.roster.load().resolve(user, now) {
            Resolution::Tenant { tenant, person, .. } => Some(TenantUser {
                tenant: Tenant(tenant.0),
                person: person.0,
            }),
            _ => None,
        }
    }

    /// Handles what is due by now.
    pub(crate) fn tick(&mut self, now: Time, pending_requests: usize, inputs: &mut Vec<Input>) {
        self.admission
            .tick(now, &self.roster.load(), &mut self.outputs);
        self.apply_outputs(now, inputs);
        if self.admitted_calls.len() > pending_requests + MAX_UNMATCHED_CALLS {
            self.finish_expired_calls(now, inputs);
        }
    }

    /// Finishes calls that are long past their clients' timeouts. When a message is redelivered, its request is answered
    /// under the new ticket, so that the old ticket would otherwise stay here for ever.
    fn finish_expired_calls(&mut self, now: Time, inputs: &mut Vec<Input>) {
        let longest_timeout = self.classes.iter().map(|class| class.client_timeout).max();
        let lifetime = longest_timeout.unwrap_or(0).saturating_mul(2);
        let expired: Vec<Ticket> = self
            .admitted_calls
            .iter()
            .filter(|(_, call)| now.saturating_sub(call.admitted_at) > lifetime)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.finish(now, ticket, ServiceResult::Other, inputs);
        }
    }

    fn apply_outputs(&mut self, now: Time, inputs: &mut Vec<Input>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Admit { request, admitted } => {
                    inputs.push(self.admit(now, *request, &admitted));
                }
                Output::Reject {
                    request,
                    reason,
                    retry_after,
                } => inputs.push(self.reject(*request, reason, retry_after)),
                Output::LookUp { user, urgent } => {
                    // If the queue is full, the call waits for the identity wait of the settings and is then decided by
                    // the cached records.
                    let _ = self
                        .lookups
                        .try_send(DirectoryInput::LookUp { user, urgent });
                }
            }
        }
        // Keeps the buffer's allocation for the next turn.
        self.outputs = outputs;
    }

    fn admit(&mut self, now: Time, mut trigger: Trigger, admitted: &Admitted) -> Input {
        let call = &mut trigger.call;
        call.tenant = Some(Tenant(admitted.tenant.0));
        call.person = admitted.person.map_or(0, |person| person.0);
        call.timeout = call
            .timeout
            .map(|timeout| timeout.saturating_sub(admitted.waited));
        call.waited = call.waited.saturating_add(admitted.waited);
        let admitted_call = AdmittedCall {
            tenant: admitted.tenant,
            user: call.user.clone(),
            admitted_at: now,
        };
        self.admitted_calls.insert(trigger.ticket, admitted_call);
        Input::Trigger(trigger)
    }

    fn reject(&self, trigger: Trigger, reason: RejectReason, retry_after: Time) -> Input {
        debug!(
            front_end = self.front_end,
            request = trigger.call.message_id.as_deref(),
            user = trigger.call.user.as_deref(),
            why = ?reason,
            "request rejected by admission"
        );
        Input::Reject {
            trigger,
            cause: rejection_cause(reason),
            retry_after: (retry_after > 0).then_some(retry_after),
        }
    }
}
