//! What admission is told of requests, and what it says of them.

use pipithub_directory::{PersonId, TenantId, User};

use crate::Time;

/// A request that has come in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival<T> {
    /// The request, as its owner names it.
    pub request: T,
    /// Whose request it is; `None`: nobody has said so.
    pub user: Option<User>,
    /// The tenant that its route belongs to.
    pub route_tenant: Option<TenantId>,
    /// Its class.
    pub class: usize,
    /// What remains of its time.
    pub remaining: Time,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It does not say whose it is, and neither does its route.
    NoUser,
    /// Nobody could say in time whose user it is.
    UnknownUser,
    /// Its user is no tenant's.
    NoTenant,
    /// More than one tenant's directory has its user.
    ClaimedTwice,
    /// Its route is another tenant's.
    OtherTenant,
    /// Its tenant has no place for it.
    OverQuota,
    /// Its tenant makes more requests than it may.
    OverRate,
}

/// What an admitted request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Its tenant.
    pub tenant: TenantId,
    /// Its user's person, where its user decided.
    pub person: Option<PersonId>,
    /// How long it waited here.
    pub waited: Time,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<T> {
    /// Hand it to the module; one [`crate::Admission::completed`] is owed.
    Admit {
        /// The request.
        request: T,
        /// What it is.
        admitted: Admitted,
    },
    /// Answer that it was rejected.
    Reject {
        /// The request.
        request: T,
        /// Why.
        reason: RejectReason,
        /// For how long its client should not retry; 0: nothing is said of it.
        retry_after: Time,
    },
    /// Ask the directories.
    LookUp {
        /// Whom they are asked for.
        user: User,
        /// Whether a request waits for the answer.
        urgent: bool,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceResult {
    /// A worker answered.
    Served,
    /// The module found no worker that would answer in time.
    NoWorkerInTime,
    /// Otherwise.
    Other,
}

/// An admitted request that has had its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Its tenant.
    pub tenant: TenantId,
    /// How it ended.
    pub result: ServiceResult,
    /// The time since it was admitted.
    pub service_time: Time,
}
