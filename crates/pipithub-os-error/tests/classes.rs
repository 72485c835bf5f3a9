//! The class of each error number, and of an error that the system itself reports.

use std::io;
use std::net::{TcpListener, TcpStream};

use pipithub_os_error::{AcceptFailure, FaultOrigin, accept_failure, fault_origin};
use rustix::io::Errno;

fn error(errno: Errno) -> io::Error {
    io::Error::from(errno)
}

#[test]
fn lack_of_local_resources_has_a_local_origin() {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::AGAIN,
        Errno::INTR,
    ];
    for errno in local {
        assert_eq!(fault_origin(&error(errno)), FaultOrigin::Local, "{errno}");
    }
}

#[test]
fn failures_of_peer_or_network_have_the_peer_as_origin() {
    let peer = [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::PIPE,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
    ];
    for errno in peer {
        assert_eq!(fault_origin(&error(errno)), FaultOrigin::Peer, "{errno}");
    }
    let without_number = io::Error::new(io::ErrorKind::UnexpectedEof, "ended early");
    assert_eq!(fault_origin(&without_number), FaultOrigin::Peer);
}

#[test]
fn connection_to_a_closed_port_fails_with_the_peer_as_origin() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to listen on loopback");
    let address = listener
        .local_addr()
        .expect("failed to get the listener's address");
    drop(listener);
    let refused = TcpStream::connect(address).expect_err("connected to a closed port");
    assert_eq!(fault_origin(&refused), FaultOrigin::Peer);
}

#[test]
fn accept_errors_are_classified_by_what_they_concern() {
    for errno in [
        Errno::CONNABORTED,
        Errno::PROTO,
        Errno::HOSTUNREACH,
        Errno::INTR,
    ] {
        assert_eq!(
            accept_failure(&error(errno)),
            AcceptFailure::Connection,
            "{errno}"
        );
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(
            accept_failure(&error(errno)),
            AcceptFailure::Exhausted,
            "{errno}"
        );
    }
    for errno in [Errno::BADF, Errno::NOTSOCK] {
        assert_eq!(
            accept_failure(&error(errno)),
            AcceptFailure::Fatal,
            "{errno}"
        );
    }
}

#[test]
fn unknown_accept_error_counts_as_exhaustion() {
    let unknown = io::Error::other("unknown");
    assert_eq!(accept_failure(&unknown), AcceptFailure::Exhausted);
}

#[test]
fn unlisted_accept_error_number_counts_as_exhaustion() {
    // Every call of a listener that does not support `accept` fails with this error, so there must be a pause between
    // the calls.
    assert_eq!(
        accept_failure(&error(Errno::OPNOTSUPP)),
        AcceptFailure::Exhausted
    );
}
