//! A scripted scenario for a node without sockets: its inputs are bytes, endpoint lists and time, its outputs are effects.
//!
//! Clients call, retry, cancel, disconnect, send invalid data or nothing. Workers send every kind of response, late, twice,
//! in pieces or not at all. Connections fail, break and block, and the endpoint list changes. At the end the node is shut
//! down.

mod clients;
mod configuration;
mod workers;
mod world;

pub use world::run;

/// An effect of the node on its connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write bytes to a connection.
    Write {
        /// The number of the connection.
        connection: u64,
        /// The bytes to write.
        bytes: Vec<u8>,
    },
    /// Close a connection.
    Close {
        /// The number of the connection.
        connection: u64,
    },
    /// Deliver all bytes that a client has sent so far, then report this with [`Node::client_retired`].
    Retire {
        /// The number of the connection.
        connection: u64,
    },
    /// Discard written bytes that the system has not accepted.
    CancelWrite {
        /// The number of the connection.
        connection: u64,
        /// The offset of the first discarded byte among all bytes written to the connection.
        at: u64,
        /// The number of discarded bytes.
        length: u64,
    },
    /// Connect to a worker.
    Connect {
        /// The number of the new connection.
        connection: u64,
        /// The address of the worker.
        address: String,
        /// The connect timeout in nanoseconds.
        within: u64,
    },
}

impl Effect {
    /// The kind under which the effect is counted.
    fn kind(&self) -> &'static str {
        match self {
            Effect::Write { .. } => "write",
            Effect::Close { .. } => "close",
            Effect::Retire { .. } => "retire",
            Effect::CancelWrite { .. } => "unwrite",
            Effect::Connect { .. } => "connect",
        }
    }

    /// The text of the effect in a transcript.
    fn text(&self) -> String {
        let kind = self.kind();
        match self {
            Effect::Write { connection, bytes } => {
                format!("{kind} {connection} {}", bytes.escape_ascii())
            }
            Effect::Close { connection } | Effect::Retire { connection } => {
                format!("{kind} {connection}")
            }
            Effect::CancelWrite {
                connection,
                at,
                length,
            } => format!("{kind} {connection} {at} {length}"),
            Effect::Connect {
                connection,
                address,
                within,
            } => format!("{kind} {connection} {address} {within}"),
        }
    }
}

/// The program under test. All times are in nanoseconds.
pub trait Node {
    /// When [`Node::tick`] is due next.
    fn next_due(&self) -> u64;
    /// Reports that the time is now `now`.
    fn tick(&mut self, now: u64);
    /// Reports that a client has connected; returns the number of its connection.
    fn client_connected(&mut self, now: u64) -> u64;
    /// Reports bytes from a client.
    fn client_bytes(&mut self, now: u64, connection: u64, bytes: &[u8]);
    /// Reports that a client's connection has ended.
    fn client_closed(&mut self, now: u64, connection: u64);
    /// Reports that all bytes a client had sent have been delivered, after [`Effect::Retire`].
    fn client_retired(&mut self, now: u64, connection: u64);
    /// Reports that a connection to a worker is established.
    fn worker_connected(&mut self, now: u64, connection: u64);
    /// Reports that a connection to a worker failed; `local_cause` is true if a resource of the local
    /// machine was exhausted.
    fn worker_failed(&mut self, now: u64, connection: u64, local_cause: bool);
    /// Reports that a worker does not read, with the number of bytes that the operating system has accepted so far; `None`
    /// reports that the worker reads again.
    fn worker_blocked(&mut self, now: u64, connection: u64, written: Option<u64>);
    /// Reports that a connection to a worker has ended, with the number of bytes that the operating system has accepted.
    fn worker_closed(&mut self, now: u64, connection: u64, written: u64);
    /// Reports bytes from a worker.
    fn worker_bytes(&mut self, now: u64, connection: u64, bytes: &[u8]);
    /// Reports an event of the endpoint list, as text.
    fn update_endpoints(&mut self, now: u64, event: &str);
    /// Starts a graceful shutdown.
    fn stop(&mut self, now: u64);
    /// Whether the shutdown is complete.
    fn stopped(&self, now: u64) -> bool;
    /// Whether the time limit of the shutdown has passed.
    fn deadline_passed(&self, now: u64) -> bool;
    /// The node's counters, as a line of text.
    fn statistics(&self) -> String;
    /// Takes the effects since the last call.
    fn effects(&mut self) -> Vec<Effect>;
}

/// Kinds of inputs and effects, each of which must occur in the scenarios at least once.
pub const KINDS: &[&str] = &[
    "client answer failed",
    "client answer health",
    "client answer other error",
    "client answer refused with a time",
    "client answer refused without a time",
    "client answer served",
    "scenario stopped in time",
    "in call",
    "in call and forget at once",
    "in call beyond those that may be open",
    "in call in two pieces",
    "in call repeated",
    "in client closed",
    "in client connected",
    "in client retired",
    "in forget by id",
    "in forget by name",
    "in half a line",
    "in isWell",
    "in list change",
    "in list whole",
    "in long line",
    "in noise",
    "in stop",
    "in worker ACK",
    "in worker AGAIN",
    "in worker AILING",
    "in worker EIO",
    "in worker NOENT",
    "in worker READY",
    "in worker STALE",
    "in worker answer in two pieces",
    "in worker answer to nothing",
    "in worker blocked",
    "in worker closed",
    "in worker closed within a line",
    "in worker connected",
    "in worker failed by itself",
    "in worker failed for own want",
    "in worker noise",
    "in worker second answer",
    "in worker unblocked",
    "out close",
    "out connect",
    "out retire",
    "out unwrite",
    "out write",
    "worker asked DO",
    "worker asked METER",
    "worker asked PIN",
    "worker asked UNDO",
    "worker asked UNPIN",
];

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;
