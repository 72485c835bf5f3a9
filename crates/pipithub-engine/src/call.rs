//! Calls and the triggers that deliver them.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_policy::api::{FunctionId, RequestId, Time};

/// A source of triggers, such as one queue at one broker or a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u32);

/// Identifies a trigger to its source, which needs it to settle the trigger. A source never uses a ticket twice.
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

/// A call, with the parameters that its trigger states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The function or model to run.
    pub function: Arc<str>,
    /// The class of the call, as an index into the classes of the settings.
    pub class: usize,
    /// What is left of the client's timeout, in nanoseconds; `None` if the client states none, so that the timeout of
    /// the class applies.
    pub timeout: Option<Time>,
    /// The minimum time that the message has already waited, in nanoseconds. It counts towards the timeout of the class
    /// and is already subtracted from [`Call::timeout`].
    pub waited: Time,
    /// The maximum age of the message, in nanoseconds; `None` if its source knows no bound.
    pub age: Option<Time>,
    /// The expected run time of the call, in nanoseconds; `None` if it is not stated.
    pub expected_work: Option<Time>,
    /// The memory that one loaded replica of the function takes, in MB.
    pub memory_mb: f64,
    /// The number of calls that one replica runs at a time.
    pub replica_concurrency: u32,
    /// The usual time to load a replica, in nanoseconds; `None` if it is not stated.
    pub load_time: Option<Time>,
    /// The id of the message, which identifies the call to workers and in logs; `None` if it has none.
    pub message_id: Option<Arc<str>>,
    /// The key by which workers deduplicate the call; `None` if the call has none.
    pub idempotency_key: Option<Arc<str>>,
    /// The MIME type of the body; `None` if it is not stated.
    pub content_type: Option<Arc<str>>,
    /// The body, which is passed to the worker unchanged.
    pub body: Bytes,
    /// The tenant that the call belongs to; `None` if it belongs to none, as when no tenants are configured.
    pub tenant: Option<Tenant>,
    /// The name of the user who made the call; `None` if no user is known.
    pub user: Option<Arc<str>>,
    /// Distinguishes the user from other persons with the same user name; 0 if that is not known.
    pub person: u64,
}

/// Identifies a message across its deliveries by one source.
///
/// It must cover everything that the client determines: the user, the id, the address of the answer and the content.
/// Messages with one identity are then copies of each other, and an answer to one of them is right for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageIdentity(pub u128);

/// A message of one source, as far as the source can identify it. Sources may stand for different brokers, so equal
/// identities at two of them say nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceMessage {
    pub(crate) source: SourceId,
    pub(crate) identity: MessageIdentity,
}

/// A call that has arrived, as one delivery of its message.
#[derive(Clone, Debug, PartialEq)]
pub struct Trigger {
    /// The ticket by which the trigger is settled.
    pub ticket: Ticket,
    /// Identifies the message across its deliveries; `None` if its source cannot identify it.
    pub identity: Option<MessageIdentity>,
    /// Whether the message may have been delivered before, here or to another front end.
    pub redelivered: bool,
    /// The number of earlier deliveries; 0 if the source does not count them.
    pub deliveries: u32,
    /// The call that the message asks for.
    pub call: Call,
}

impl Trigger {
    /// The message that this is a delivery of; `None` if its source cannot identify it.
    pub(crate) fn message(&self) -> Option<SourceMessage> {
        self.identity.map(|identity| SourceMessage {
            source: self.ticket.source,
            identity,
        })
    }
}

/// Identifies an attempt among all attempts of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt is made for.
    pub request: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub number: u32,
}
