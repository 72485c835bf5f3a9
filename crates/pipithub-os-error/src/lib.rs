//! Classification of socket errors by their origin, which decides whether a call may be retried and whether the error
//! counts against the peer in outlier detection.
//!
//! The error numbers are those of POSIX and Linux (`accept(2)`, `connect(2)`, `socket(2)`, `ip(7)`, `tcp(7)`).

use std::io;

use rustix::io::Errno;

/// Errors that mean that this machine lacks a resource at the moment: descriptors, memory, ports or a route. They say
/// nothing about the peer.
const LOCAL_ERRORS: [Errno; 10] = [
    Errno::AGAIN,
    Errno::NFILE,
    Errno::MFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::INTR,
];

/// Errors of `accept(2)` that concern only the connection to be accepted: the peer has closed it already, or the
/// network reported an error. The next connection may be accepted at once.
const CONNECTION_ERRORS: [Errno; 12] = [
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::NONET,
    Errno::HOSTUNREACH,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::TIMEDOUT,
    Errno::INTR,
    Errno::PERM,
];

/// Errors of `accept(2)` after which the listener cannot be used any more.
const FATAL_ACCEPT_ERRORS: [Errno; 4] = [Errno::BADF, Errno::INVAL, Errno::NOTSOCK, Errno::FAULT];

/// The origin of an error while connecting to a peer or on a connection with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultOrigin {
    /// The peer or the network: the connection was refused or reset, timed out, or the peer is unreachable.
    Peer,
    /// A temporary condition of this machine: the call may be retried, and the error says nothing about the peer.
    Local,
}

/// How a listener must react to an error of `accept(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection was lost: accept the next one at once.
    Connection,
    /// This machine lacks descriptors or memory: pause before the next call.
    Exhausted,
    /// The listener cannot be used any more: stop accepting.
    Fatal,
}

/// Classifies an error of `socket`, `connect`, `read` or `write`. Errors without an error number, such as a name that
/// does not resolve or a stream that ended early, are attributed to the peer.
pub fn fault_origin(error: &io::Error) -> FaultOrigin {
    match errno(error) {
        Some(errno) if LOCAL_ERRORS.contains(&errno) => FaultOrigin::Local,
        _ => FaultOrigin::Peer,
    }
}

/// Classifies an error of `accept`. Unknown errors count as [`AcceptFailure::Exhausted`], so that a listener neither
/// stops nor calls `accept` in a busy loop.
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match errno(error) {
        Some(errno) if CONNECTION_ERRORS.contains(&errno) => AcceptFailure::Connection,
        Some(errno) if FATAL_ACCEPT_ERRORS.contains(&errno) => AcceptFailure::Fatal,
        _ => AcceptFailure::Exhausted,
    }
}

fn errno(error: &io::Error) -> Option<Errno> {
    Errno::from_io_error(error)
}
