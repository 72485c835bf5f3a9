//! A connection that this machine cannot make for a moment is retried, and never held against the peer.

use std::cell::Cell;
use std::time::Duration;

use pipithub_gateway::connect::{ConnectFailure, connect_by};
use rustix::io::Errno;
use tokio::time::Instant;

const LOCAL: [Errno; 5] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
];

/// What comes of so many failures before a connection, and how many calls it took.
async fn play(errno: Errno, failures: usize) -> (Result<&'static str, ConnectFailure>, usize) {
    let calls = Cell::new(0);
    let connect = || {
        calls.set(calls.get() + 1);
        std::future::ready(if calls.get() <= failures {
            Err(errno.into())
        } else {
            Ok("connection")
        })
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    let connected = connect_by(deadline, connect).await;
    assert!(Instant::now() <= deadline, "{errno}: within the time given");
    (connected, calls.get())
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_this_machine_is_retried() {
    for errno in LOCAL {
        assert_eq!(play(errno, 5).await, (Ok("connection"), 6), "{errno}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_this_machine_that_stays_is_not_the_peers_and_does_not_spin() {
    for errno in LOCAL {
        let (connected, calls) = play(errno, usize::MAX).await;
        assert_eq!(connected, Err(ConnectFailure::Local), "{errno}");
        assert!(
            (2..=200).contains(&calls),
            "{errno}: {calls} calls in a second"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_the_peer_is_reported_at_once() {
    for errno in [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
    ] {
        assert_eq!(
            play(errno, usize::MAX).await,
            (Err(ConnectFailure::Peer), 1),
            "{errno}"
        );
    }
    let silent = connect_by(
        Instant::now() + Duration::from_secs(1),
        std::future::pending::<std::io::Result<()>>,
    );
    assert_eq!(silent.await, Err(ConnectFailure::Peer), "no answer in time");
}
