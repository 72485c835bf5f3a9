//! What the core requests from the shell, and the ids of connections.

use bytes::Bytes;
use pipithub_engine::Time;

/// Identifies a connection, to a client or to a worker, for the lifetime of the process; no id is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A request to the shell. Effects must be carried out in the order in which the core returns them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write bytes on a connection, behind the bytes of earlier writes. The shell ignores this if the connection has
    /// ended.
    Write {
        /// The connection to write on.
        connection: ConnectionId,
        /// One or more complete lines.
        bytes: Bytes,
    },
    /// Close a connection that the core has forgotten: a client's once all bytes are written, a worker's at once,
    /// because lines that are still unwritten must not run there.
    Close {
        /// The connection to close.
        connection: ConnectionId,
    },
    /// Read what a client has sent by now, pass it to the core, then call
    /// [`Core::close_client_if_idle`](crate::core::Core::close_client_if_idle): a request may come at the very moment
    /// when its connection is to be closed.
    CloseIfIdle {
        /// The client's connection.
        connection: ConnectionId,
    },
    /// Withdraw bytes of earlier writes that the operating system has not accepted yet; the bytes behind them move up.
    CancelWrite {
        /// The connection on which the bytes were written.
        connection: ConnectionId,
        /// Where the bytes begin, counted from the first byte ever written on the connection.
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
        /// The time within which the connection must be established, in nanoseconds.
        timeout: Time,
    },
}
