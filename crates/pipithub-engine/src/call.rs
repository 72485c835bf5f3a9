//! Calls, and the triggers that bring them.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{FunctionId, RequestId, Time};

/// A source of triggers: a queue at one broker, a timer table, or whatever else hands in calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u32);

/// What a source needs in order to settle a trigger; a source never uses one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The source.
    pub source: SourceId,
    /// The source's own number for the trigger.
    pub number: u64,
}

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// An odd constant that spreads the bits of the hash; FNV-1a alone leaves similar names close to each other.
const MIX_FACTOR: u64 = 0xd6e8_feb8_6659_fd93;

/// The id under which the decision module knows a function: the same at every front end, on every machine.
///
/// Two functions whose ids collide share their preferred workers and their averages; calls always carry the name.
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

/// A call as its trigger states it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The function or model to run.
    pub function: Arc<str>,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// What is left of the client's timeout; `None`: as long as the class allows.
    pub timeout: Option<Time>,
    /// How long the message has certainly waited already. The class's timeout began then, while [`Call::timeout`] is
    /// what is left after the wait.
    pub waited: Time,
    /// The maximum age of the message, where its source knows one.
    pub age: Option<Time>,
    /// The work that it is expected to take, where the client states it.
    pub expected_work: Option<Time>,
    /// Memory of one loaded replica, in MB.
    pub memory_mb: f64,
    /// Calls that one replica runs at a time.
    pub replica_concurrency: u32,
    /// How long a load usually takes, where the client states it.
    pub load_time: Option<Time>,
    /// Identifies the call to workers and in logs: the id of the message, where it has one.
    pub label: Option<Arc<str>>,
    /// The key by which workers deduplicate the call.
    pub idempotency_key: Option<Arc<str>>,
    /// MIME type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body, which the worker gets unchanged.
    pub body: Bytes,
    /// The tenant whose call it is; `None` where there are no tenants.
    pub tenant: Option<Tenant>,
    /// The user who made the call, where one did.
    pub user: Option<Arc<str>>,
    /// Tells that user from another person of the same name; 0 if it is not known.
    pub person: u64,
}

/// A call that has arrived, as one delivery of its message.
#[derive(Clone, Debug, PartialEq)]
pub struct Trigger {
    /// How to settle it.
    pub ticket: Ticket,
    /// Identifies the message across its deliveries, where its source can.
    pub identity: Option<Arc<str>>,
    /// The message may have been delivered before, here or elsewhere.
    pub redelivered: bool,
    /// The number of earlier deliveries, where the source counts them.
    pub deliveries: u32,
    /// The call.
    pub call: Call,
}

/// Identifies one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The engine's id of the request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u32,
}
