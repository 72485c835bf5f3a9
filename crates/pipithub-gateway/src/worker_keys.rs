//! Gives calls the idempotency keys that workers see.

use pipithub_admission::{KeyChange, KeyDecision, KeyOwner, KeyedCall};
use pipithub_clock::Reading;
use pipithub_engine::policy::{Class, Idempotency};
use pipithub_engine::{Call, Cause, Input, Time, Trigger};
use pipithub_settings::Config;

/// Applies the decisions on keys to calls on their way to the engine.
pub(crate) struct WorkerKeys {
    change: KeyChange,
    classes: Vec<Class>,
    /// The names of the tenants, by their indexes.
    tenants: Vec<String>,
}

impl WorkerKeys {
    pub(crate) fn new(config: &Config, started_at: Reading) -> Self {
        let tenants = config.tenants.iter().flat_map(|config| &config.tenants);
        WorkerKeys {
            change: KeyChange::new(config.scoped_keys_since_ms, started_at),
            classes: config.engine.policy.classes.clone(),
            tenants: tenants.map(|tenant| tenant.name.clone()).collect(),
        }
    }

    /// Gives the call of a trigger the key that workers see; other inputs stay as they are.
    pub(crate) fn apply(&self, now: Time, input: Input) -> Input {
        match input {
            Input::Trigger(trigger) => self.apply_to_trigger(now, trigger),
            other => other,
        }
    }

    fn apply_to_trigger(&self, now: Time, mut trigger: Trigger) -> Input {
        let Some(scoped_key) = self.scoped_key(&trigger.call) else {
            return Input::Trigger(trigger);
        };
        match self.change.decide(now, self.keyed_call(&trigger)) {
            KeyDecision::SendPlain => {}
            KeyDecision::SendScoped => trigger.call.idempotency_key = Some(scoped_key.into()),
            // The engine fails a redelivered call of unknown age, as nothing says that workers still deduplicate it.
            KeyDecision::Fail => trigger.call.age = None,
            KeyDecision::Reject { retry_after } => {
                return Input::Reject {
                    trigger,
                    cause: Cause::KeysChanging,
                    retry_after: Some(retry_after),
                };
            }
        }
        Input::Trigger(trigger)
    }

    /// The key of a call with its owner; `None` if the call has no key, or neither a user nor a tenant.
    fn scoped_key(&self, call: &Call) -> Option<String> {
        let key = call.idempotency_key.as_deref()?;
        let owner = self.key_owner(call)?;
        Some(owner.scoped_key(key))
    }

    fn key_owner<'a>(&'a self, call: &'a Call) -> Option<KeyOwner<'a>> {
        if let Some(user) = &call.user {
            return Some(KeyOwner::User(user));
        }
        let tenant = self.tenants.get(usize::from(call.tenant?.0))?;
        Some(KeyOwner::Tenant(tenant))
    }

    fn keyed_call(&self, trigger: &Trigger) -> KeyedCall {
        let class = self.classes.get(trigger.call.class);
        let lifetime = class.map_or(0, |class| {
            class
                .client_timeout
                .saturating_add(class.deduplication_window)
        });
        KeyedCall {
            needs_key: class.is_some_and(|class| class.idempotency == Idempotency::WithKey),
            redelivered: trigger.redelivered,
            lifetime,
        }
    }
}
