//! Each class of error by its number, and a real one of the system for each where loopback can give it.

use std::io;
use std::net::{TcpListener, TcpStream};

use pipithub_os_error::{AcceptFailure, FaultOrigin, accept_failure, fault_origin};
use rustix::io::Errno;

fn error(errno: Errno) -> io::Error {
    io::Error::from(errno)
}

#[test]
fn what_this_machine_lacks_is_not_the_peers_fault() {
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
fn what_the_peer_or_the_network_did_is_the_peers() {
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
fn a_refused_connection_of_the_system_is_the_peers() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let address = listener.local_addr().expect("has an address");
    drop(listener);
    let refused = TcpStream::connect(address).expect_err("nobody listens there");
    assert_eq!(fault_origin(&refused), FaultOrigin::Peer);
}

#[test]
fn an_aborted_connection_holds_up_no_other() {
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
fn an_unknown_accept_error_neither_ends_the_listener_nor_spins() {
    let unknown = io::Error::other("who knows");
    assert_eq!(accept_failure(&unknown), AcceptFailure::Exhausted);
}

#[test]
fn an_error_that_every_accept_may_give_makes_no_listener_spin() {
    // A listener of a kind that cannot accept gives it each time.
    assert_eq!(
        accept_failure(&error(Errno::OPNOTSUPP)),
        AcceptFailure::Exhausted
    );
}
