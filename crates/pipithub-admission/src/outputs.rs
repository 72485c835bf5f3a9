//! The inputs and outputs of admission control.

use pipithub_directory::{PersonId, TenantId, User};

use crate::Time;

/// A request that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival<T> {
    /// Identifies the request to the caller.
    pub request: T,
    /// The user who made the request; `None` if it does not state one.
    pub user: Option<User>,
    /// The tenant that the route of the request belongs to; `None` if it belongs to none.
    pub route_tenant: Option<TenantId>,
    /// The number of its class, as in the settings of the quotas.
    pub class: usize,
    /// The time that is left until its deadline, in nanoseconds.
    pub remaining: Time,
}

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The request states no user, and its route belongs to no tenant.
    NoUser,
    /// No directory answered in time which tenant the user belongs to.
    UnknownUser,
    /// The user belongs to no tenant.
    NoTenant,
    /// The user is found in more than one tenant.
    AmbiguousTenant,
    /// The route belongs to a different tenant than the user.
    OtherTenant,
    /// The tenant has used up its quota, and its queue is full or the request waited in it for too long.
    OverQuota,
    /// The tenant exceeds its rate limit.
    OverRate,
}

/// What admission control determined about an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The tenant that the request belongs to.
    pub tenant: TenantId,
    /// The person that the user name refers to; `None` if the request states no user.
    pub person: Option<PersonId>,
    /// The time that the request waited for admission, in nanoseconds.
    pub waited: Time,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<T> {
    /// Pass the request on. [`crate::Admission::completed`] must be called once when it has its final answer.
    Admit {
        /// The request to pass on.
        request: T,
        /// The tenant and the person of the request, and how long it waited.
        admitted: Admitted,
    },
    /// Answer the request with a rejection.
    Reject {
        /// The request to answer.
        request: T,
        /// The reason for the rejection.
        reason: RejectReason,
        /// How long the client should wait before it retries, in nanoseconds; 0 for no recommendation.
        retry_after: Time,
    },
    /// Look up a user in the directories. [`crate::Admission::user_updated`] is called when more is known of the user.
    LookUp {
        /// The user to look up.
        user: User,
        /// Whether a request waits for the result.
        urgent: bool,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceResult {
    /// A worker ran the request and answered.
    Served,
    /// The decision module found no worker that could answer in time.
    NoWorkerInTime,
    /// The request ended in another way.
    Other,
}

/// The end of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The tenant that the request belongs to.
    pub tenant: TenantId,
    /// How the request ended.
    pub result: ServiceResult,
    /// The time since the request was admitted, in nanoseconds.
    pub service_time: Time,
}
