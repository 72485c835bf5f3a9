//! Calls, and the triggers that bring them.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{FunctionId, RequestId, Time};

/// A source of triggers, such as one queue at one broker or a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u32);

/// What a source needs in order to settle a trigger. A source never uses a ticket twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The source that issued the ticket.
    pub source: SourceId,
    /// The number that the source gave to the trigger.
    pub number: u64,
}

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// An odd constant that spreads the bits of the hash. FNV-1a alone gives similar names similar hashes.
const MIX_FACTOR: u64 = 0xd6e8_feb8_6659_fd93;

/// The id under which the decision module knows a function. It depends on the name alone, so that all front ends agree.
///
/// Two functions whose ids collide share their preferred workers and their averages. They are not confused otherwise,
/// because calls carry the name.
pub fn function_id(name: &str) -> FunctionId {
    let hash = name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(MIX_FACTOR);
    FunctionId(mixed ^ (mixed >> 32))
}

/// A tenant, by its index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenant(pub u16);

/// A call, with what its trigger states about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The function or model to run.
    pub function: Arc<str>,
    /// The class of the call, as an index into the classes of the settings.
    pub class: usize,
    /// What is left of the client's timeout, in nanoseconds; `None` if the client states none, and then the class's
    /// timeout applies.
    pub timeout: Option<Time>,
    /// The minimum time that the message has waited already, in nanoseconds. It counts towards the class's timeout;
    /// [`Call::timeout`] is what is left after it.
    pub waited: Time,
    /// The maximum age of the message, in nanoseconds; `None` if its source knows no bound.
    pub age: Option<Time>,
    /// The expected run time of the call, in nanoseconds, if the client states it.
    pub expected_work: Option<Time>,
    /// The memory that one loaded replica of the function takes, in MB.
    pub memory_mb: f64,
    /// The number of calls that one replica runs at a time.
    pub replica_concurrency: u32,
    /// The usual time to load a replica, in nanoseconds, if the client states it.
    pub load_time: Option<Time>,
    /// The id of the message, if it has one. It identifies the call to workers and in logs.
    pub message_id: Option<Arc<str>>,
    /// The key by which workers deduplicate the call; `None` if they cannot.
    pub idempotency_key: Option<Arc<str>>,
    /// MIME type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body, which is passed to the worker unchanged.
    pub body: Bytes,
    /// The tenant that the call belongs to; `None` if it belongs to none, as where no tenants are configured.
    pub tenant: Option<Tenant>,
    /// The user who made the call; `None` if no user did.
    pub user: Option<Arc<str>>,
    /// Distinguishes the user from other persons of the same name; 0 if that is not known.
    pub person: u64,
}

/// A call that has arrived, as one delivery of its message.
#[derive(Clone, Debug, PartialEq)]
pub struct Trigger {
    /// The ticket by which the trigger is settled.
    pub ticket: Ticket,
    /// Identifies the message across its deliveries; `None` if its source cannot tell.
    pub identity: Option<Arc<str>>,
    /// Whether the message may have been delivered before, here or to another front end.
    pub redelivered: bool,
    /// The number of earlier deliveries; 0 if the source does not count them.
    pub deliveries: u32,
    /// The call that the message asks for.
    pub call: Call,
}

/// Identifies an attempt among all attempts of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt is made for.
    pub request: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub number: u32,
}
