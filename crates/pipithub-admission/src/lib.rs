//! Admission control: what happens to a request before the decision module sees it, without I/O.
//!
//! An [`Admission`] finds the tenant of a request's user, lets the request wait for a bounded time if the user is not
//! known yet, and holds each tenant to its rate limit and quota, lending out quota that is idle. It admits, queues and
//! rejects requests. Where a request runs is decided by the decision module alone.

mod admission;
mod idempotency_key;
mod outputs;
mod quotas;

pub use admission::{Admission, AdmissionSettings};
pub use idempotency_key::{KeyChange, KeyDecision, KeyOwner, KeyedCall};
pub use outputs::{Admitted, Arrival, Completion, Output, RejectReason, ServiceResult};
pub use quotas::{LimitRange, QuotaSettings, RateLimit, TenantQuota};

pub use pipithub_clock::Time;

const MS: Time = 1_000_000;
const SECOND: Time = 1_000 * MS;
