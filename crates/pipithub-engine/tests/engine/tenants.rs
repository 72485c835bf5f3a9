//! Calls of tenants: function owners, migrated users and rejected redeliveries.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use pipithub_engine::policy::Outcome;
use pipithub_engine::{
    Cause, EngineSettings, Input, MessageIdentity, Output, Owner, Owners, Tenant, TenantUser,
    Trigger, Verdict,
};

use crate::harness::{
    Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, forwarded, only_answer, only_forwarded, settings,
    verdicts,
};

fn settings_with_owners() -> EngineSettings {
    let mut owners = Owners::default();
    owners.insert("north-*", Owner::Tenant(Tenant(0)));
    owners.insert("south-*", Owner::Tenant(Tenant(1)));
    EngineSettings {
        owners: Arc::new(owners),
        ..settings()
    }
}

/// An identity that differs between the calls of these tests.
fn identity_of(function: &str, tenant: u16, user: &str) -> MessageIdentity {
    let mut hasher = DefaultHasher::new();
    (function, tenant, user).hash(&mut hasher);
    MessageIdentity(hasher.finish().into())
}

fn call_of(function: &str, tenant: u16, user: &str) -> impl FnOnce(&mut Trigger) {
    move |trigger| {
        trigger.identity = Some(identity_of(function, tenant, user));
        trigger.call.function = function.into();
        trigger.call.tenant = Some(Tenant(tenant));
        trigger.call.user = Some(user.into());
    }
}

#[test]
fn call_may_only_run_functions_of_its_own_tenant() {
    let mut harness = Harness::new(settings_with_owners());
    let (_, out) = harness.trigger(IDEMPOTENT, call_of("south-map", 0, "mai"));
    assert_eq!(verdicts(&out), [(Verdict::Rejected, Cause::OtherTenant)]);
    let (_, out) = harness.trigger(IDEMPOTENT, call_of("unnamed", 0, "mai"));
    assert_eq!(verdicts(&out), [(Verdict::Rejected, Cause::OtherTenant)]);
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| {
        trigger.call.function = "north-map".into();
    });
    assert_eq!(
        verdicts(&out),
        [(Verdict::Rejected, Cause::OtherTenant)],
        "a call without a tenant"
    );
    let (_, out) = harness.trigger(IDEMPOTENT, call_of("north-map", 0, "mai"));
    only_forwarded(&out);
}

/// The answer of the former tenant's worker must not reach a user who belongs to another tenant by then, and the call
/// must not be retried.
#[test]
fn pending_calls_of_a_migrated_user_fail_at_once_and_are_not_retried() {
    let mut harness = Harness::new(settings_with_owners());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, call_of("north-map", 0, "mai"));
    let attempt = only_forwarded(&out);
    let (_, other) = harness.trigger(IDEMPOTENT, call_of("north-map", 0, "lan"));
    only_forwarded(&other);
    // A call of the new tenant that arrived before the migration was handled is not ended.
    let (_, new) = harness.trigger(IDEMPOTENT, call_of("south-map", 1, "mai"));
    only_forwarded(&new);
    let out = harness.input(Input::UserMigrated {
        user: "mai".into(),
        successor: Some(TenantUser {
            tenant: Tenant(1),
            person: 0,
        }),
    });
    assert_eq!(
        verdicts(&out),
        [(Verdict::Failed, Cause::UserMigrated)],
        "the call may have run"
    );
    assert!(out.contains(&Output::Cancel(attempt)), "{out:?}");
    let out = harness.finish_attempt(attempt, Outcome::Served);
    assert_eq!(verdicts(&out), [], "there is only one answer");
    let out = harness.advance(5_000 * MS);
    assert!(
        forwarded(&out)
            .iter()
            .all(|retry| retry.request != attempt.request)
    );
}

/// A pending message is redelivered while its tenant is over its quota. Its request continues and is answered once.
#[test]
fn rejected_redelivery_of_a_pending_message_only_replaces_its_ticket() {
    let mut harness = Harness::new(settings_with_owners());
    let (_, out) = harness.trigger(IDEMPOTENT, call_of("north-map", 0, "mai"));
    let attempt = only_forwarded(&out);
    harness.lose_source();
    let redelivery = |trigger: &mut Trigger| {
        call_of("north-map", 0, "mai")(trigger);
        trigger.redelivered = true;
        trigger.deliveries = 1;
    };
    let known = harness.new_trigger(IDEMPOTENT, redelivery);
    assert!(harness.engine.joins_pending_request(&known));
    let (ticket, out) = harness.reject(IDEMPOTENT, redelivery);
    assert_eq!(verdicts(&out), []);
    let out = harness.finish_attempt(attempt, Outcome::Served);
    assert_eq!(only_answer(&out).0, ticket);
    assert_eq!(verdicts(&out), [(Verdict::Served, Cause::Answered)]);
}

/// A rejection would tell the client that a retry is harmless, but the call may have run at another front end.
#[test]
fn rejected_redelivery_of_an_unknown_non_idempotent_message_fails() {
    let mut harness = Harness::new(settings_with_owners());
    let (_, out) = harness.reject(NON_IDEMPOTENT, |trigger| {
        call_of("north-map", 0, "mai")(trigger);
        trigger.redelivered = true;
        trigger.deliveries = 1;
    });
    assert_eq!(verdicts(&out), [(Verdict::Failed, Cause::MayHaveRunBefore)]);
}
