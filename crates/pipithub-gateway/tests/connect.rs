//! Tests of connecting: local faults are retried and never reported as faults of the peer.

use std::cell::Cell;
use std::time::Duration;

use pipithub_gateway::connect::{ConnectFailure, connect_by};
use rustix::io::Errno;
use tokio::time::Instant;

const LOCAL_FAULTS: [Errno; 5] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
];

/// The result of connecting with a deadline of one second.
#[derive(Debug, PartialEq)]
struct Connected {
    result: Result<&'static str, ConnectFailure>,
    /// How often the connection was attempted.
    attempts: usize,
}

/// Connects while the first attempts fail with an error.
async fn connect_after(errno: Errno, failures: usize) -> Connected {
    let attempts = Cell::new(0);
    let connect = || {
        attempts.set(attempts.get() + 1);
        std::future::ready(if attempts.get() <= failures {
            Err(errno.into())
        } else {
            Ok("connection")
        })
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    let result = connect_by(deadline, connect).await;
    assert!(
        Instant::now() <= deadline,
        "{errno}: ended after the deadline"
    );
    Connected {
        result,
        attempts: attempts.get(),
    }
}

#[tokio::test(start_paused = true)]
async fn local_fault_is_retried_until_the_connection_succeeds() {
    for errno in LOCAL_FAULTS {
        let expected = Connected {
            result: Ok("connection"),
            attempts: 6,
        };
        assert_eq!(connect_after(errno, 5).await, expected, "{errno}");
    }
}

#[tokio::test(start_paused = true)]
async fn lasting_local_fault_is_reported_as_local_after_a_bounded_number_of_attempts() {
    for errno in LOCAL_FAULTS {
        let Connected { result, attempts } = connect_after(errno, usize::MAX).await;
        assert_eq!(result, Err(ConnectFailure::Local), "{errno}");
        assert!(
            (2..=200).contains(&attempts),
            "{errno}: {attempts} attempts in a second"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn fault_of_the_peer_is_reported_without_a_retry() {
    for errno in [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
    ] {
        let expected = Connected {
            result: Err(ConnectFailure::Peer),
            attempts: 1,
        };
        assert_eq!(connect_after(errno, usize::MAX).await, expected, "{errno}");
    }
    let silent = connect_by(
        Instant::now() + Duration::from_secs(1),
        std::future::pending::<std::io::Result<()>>,
    );
    assert_eq!(silent.await, Err(ConnectFailure::Peer), "no answer in time");
}
