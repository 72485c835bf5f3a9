//! What the core requests from the shell, and the ids of connections.

use bytes::Bytes;
use pipithub_engine::Time;

/// Identifies a connection, to a client or to a worker, for the lifetime of the process; no id is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A request to the shell. Effects must be carried out in the order in which the core returns them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write bytes on a connection, behind those of earlier writes. It is ignored if the connection has ended.
    Write {
        /// The connection to write on.
        connection: ConnectionId,
        /// One or more complete lines.
        bytes: Bytes,
    },
    /// Close a connection: a client's once all is written, a worker's at once, as lines that are still unwritten must
    /// not run there. The core has forgotten the connection.
    Close {
        /// The connection to close.
        connection: ConnectionId,
    },
    /// Read what a client has sent by now, pass it to the core, then call
    /// [`Core::close_client_if_idle`](crate::core::Core::close_client_if_idle): a request may come in the very moment
    /// in which its connection is to be closed.
    CloseIfIdle {
        /// The client's connection.
        connection: ConnectionId,
    },
    /// Withdraw bytes of earlier writes that the system has not accepted yet; those behind them move up.
    CancelWrite {
        /// The connection that they were written on.
        connection: ConnectionId,
        /// Where they begin, in bytes from the first ever written on the connection.
        offset: u64,
        /// The number of bytes.
        length: u64,
    },
    /// Open a connection to a worker, and report the result by
    /// [`Core::worker_connected`](crate::core::Core::worker_connected) or
    /// [`Core::worker_failed`](crate::core::Core::worker_failed).
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The worker's address, as the endpoint list states it.
        address: String,
        /// The attempt has failed if the connection is not established within this time, in nanoseconds.
        timeout: Time,
    },
}
