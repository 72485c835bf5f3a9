//! Admission of calls: whether a trigger that joins no pending request starts one or is answered at once.

use pipithub_policy::api::Time;

use crate::call::{Call, Trigger};
use crate::pending::PendingRequests;
use crate::redelivery::{RedeliveryDecision, decide_unknown};
use crate::reply::{Cause, FinalAnswer};
use crate::settings::EngineSettings;

/// The number of ticks of the decision module that may pass until the last attempt of a request is sent. Workers must
/// still deduplicate the call at that time.
const TICKS_UNTIL_LAST_ATTEMPT: Time = 4;

/// What to do with a trigger.
#[derive(Debug)]
pub(super) enum AdmissionDecision {
    /// Start a request that must be answered within `timeout`, in nanoseconds.
    Start { timeout: Time },
    /// Give this final answer without starting a request.
    Answer(FinalAnswer),
}

/// The state of the engine that admission decisions depend on. Making a decision does not change it.
#[derive(Debug)]
pub(super) struct Admission<'a> {
    pub(super) settings: &'a EngineSettings,
    pub(super) pending: &'a PendingRequests,
    pub(super) draining: bool,
}

impl Admission<'_> {
    /// Decides what to do with a trigger. `rejection` is the answer to a call that must not run; `None` if it may run.
    ///
    /// Whether a redelivered call may have run elsewhere is decided first even if there is a rejection, which tells the
    /// client that a retry is harmless.
    pub(super) fn decide(
        &self,
        trigger: &Trigger,
        rejection: Option<FinalAnswer>,
    ) -> AdmissionDecision {
        let run_within = match self.decide_redelivery(trigger) {
            RedeliveryDecision::Fail => {
                return AdmissionDecision::Answer(FinalAnswer::failed(Cause::MayHaveRunBefore));
            }
            RedeliveryDecision::Run { within } => within,
        };
        if trigger.redelivered && trigger.deliveries > self.settings.max_deliveries {
            return AdmissionDecision::Answer(FinalAnswer::failed(Cause::TooManyDeliveries));
        }
        match rejection.or_else(|| self.reject(&trigger.call)) {
            Some(rejection) => AdmissionDecision::Answer(rejection),
            None => match self.time_to_answer(&trigger.call, run_within) {
                Some(timeout) => AdmissionDecision::Start { timeout },
                None => AdmissionDecision::Answer(FinalAnswer::rejected(Cause::TooLate)),
            },
        }
    }

    fn decide_redelivery(&self, trigger: &Trigger) -> RedeliveryDecision {
        if !trigger.redelivered {
            return RedeliveryDecision::Run { within: None };
        }
        let call = &trigger.call;
        let policy = &self.settings.policy;
        let margin = self.settings.answer_margin + TICKS_UNTIL_LAST_ATTEMPT * policy.tick;
        let has_key = call.idempotency_key.is_some();
        decide_unknown(&policy.classes[call.class], call.age, has_key, margin)
    }

    /// The rejection of a call that this engine must not or cannot run; `None` if it can run.
    fn reject(&self, call: &Call) -> Option<FinalAnswer> {
        let cause = if !self.settings.owners.allow(call.tenant, &call.function) {
            Cause::OtherTenant
        } else if self.draining {
            Cause::Draining
        } else if !self.has_capacity_for(call.body.len()) {
            Cause::AtCapacity
        } else {
            return None;
        };
        Some(FinalAnswer::rejected(cause))
    }

    fn has_capacity_for(&self, body_bytes: usize) -> bool {
        self.pending.len() < self.settings.max_pending
            && self.pending.body_bytes() + body_bytes <= self.settings.max_body_bytes
    }

    /// The time from now within which a call must be answered, in nanoseconds; `None` if none is left. The time that
    /// the message waited in its queue counts, whether the client or the class states the timeout.
    fn time_to_answer(&self, call: &Call, run_within: Option<Time>) -> Option<Time> {
        let class = &self.settings.policy.classes[call.class];
        let remaining_class_timeout = class.client_timeout.saturating_sub(call.waited);
        let mut timeout = call
            .timeout
            .unwrap_or(remaining_class_timeout)
            .min(remaining_class_timeout);
        if let Some(run_within) = run_within {
            timeout = timeout.min(run_within);
        }
        timeout
            .checked_sub(self.settings.answer_margin)
            .filter(|time| *time > 0)
    }
}
