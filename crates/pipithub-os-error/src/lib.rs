//! Classifies errors of socket calls in one place: whose fault an error is decides whether a call may be retried
//! and whether the peer counts as an outlier for it.
//!
//! The error numbers are those of POSIX and Linux (`accept(2)`, `connect(2)`, `socket(2)`, `ip(7)`, `tcp(7)`).

use std::io;

use rustix::io::Errno;

/// Errors that only say what this machine lacks at the moment: descriptors, memory, ports or a route. They tell
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

/// Errors of `accept(2)` that belong to the one connection that was to be accepted: the peer left before, or its
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

/// Errors of `accept(2)` after which the listener itself cannot be used any more.
const FATAL_ACCEPT_ERRORS: [Errno; 4] = [Errno::BADF, Errno::INVAL, Errno::NOTSOCK, Errno::FAULT];

/// Whose fault an error on the way to a peer, or on a connection with it, is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultOrigin {
    /// The peer, or the network between: it refused, reset, fell silent or cannot be reached.
    Peer,
    /// This machine, for a moment: the call may be retried and says nothing about the peer.
    Local,
}

/// What a listener does after an error of `accept(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection was lost: accept the next at once.
    Connection,
    /// This machine lacks descriptors or memory: wait for a moment before the next.
    Exhausted,
    /// The listener is of no use any more.
    Fatal,
}

/// Classifies an error of `socket`, `connect`, `read` or `write`. Errors without a number (a name that does not
/// resolve, a stream that ended early) are the peer's.
pub fn fault_origin(error: &io::Error) -> FaultOrigin {
    match errno(error) {
        Some(errno) if LOCAL_ERRORS.contains(&errno) => FaultOrigin::Local,
        _ => FaultOrigin::Peer,
    }
}

/// Classifies an error of `accept`. Whatever is not known counts as exhaustion, so that a listener neither spins nor
/// ends.
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
