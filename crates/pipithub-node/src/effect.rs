//! What the core asks the shell to do, and the numbers that connections bear.

use bytes::Bytes;
use pipithub_engine::Time;

/// Names one connection, to a client or to a worker; never used twice.
pub type ConnectionId = u64;

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write on a connection.
    Write {
        /// The connection.
        connection: ConnectionId,
        /// What.
        bytes: Bytes,
    },
    /// Close a connection: a client's once all is written, a worker's at once, for what is left unwritten must not
    /// begin there any more. The core has forgotten it.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Hand over what a client has sent by now, then say
    /// [`Core::close_client_if_idle`](crate::core::Core::close_client_if_idle): a request may come in the very moment
    /// in which its connection is to be closed.
    Retire {
        /// The connection.
        connection: ConnectionId,
    },
    /// Take back bytes that the system has not taken yet.
    CancelWrite {
        /// The connection.
        connection: ConnectionId,
        /// Where they begin, in bytes from the connection's first.
        offset: u64,
        /// How many they are.
        length: u64,
    },
    /// Open a connection to a worker; [`Core::worker_connected`](crate::core::Core::worker_connected) or
    /// [`Core::worker_failed`](crate::core::Core::worker_failed) is owed.
    Connect {
        /// The new connection.
        connection: ConnectionId,
        /// Where to.
        address: String,
        /// It has failed if it is not up by then.
        within: Time,
    },
}
