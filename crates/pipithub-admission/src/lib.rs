//! What happens to a request before the decision module sees it, without I/O.
//!
//! An [`Admission`] ties a request to its user's tenant, has it wait a bounded time where nobody knows the user yet, and
//! holds each tenant to its rate and quota, lending what others leave idle. It rejects, delays and admits; it never sends,
//! and where a request runs is the module's matter alone.

mod admission;
mod outputs;
mod quotas;

pub use admission::{Admission, AdmissionSettings};
pub use outputs::{Admitted, Arrival, Completion, Output, RejectReason, ServiceResult};
pub use quotas::{LimitRange, QuotaSettings, RateLimit, TenantQuota};

pub use pipithub_clock::Time;

const MS: Time = 1_000_000;
const SECOND: Time = 1_000 * MS;
