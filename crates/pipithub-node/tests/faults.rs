//! Errors of system calls while connections are accepted, established, read and written. Scripts replace the system
//! calls.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use pipithub_node::sockets::{
    ConnectError, LOCAL_RETRY_DELAY, LocalFaults, Transfer, TransferEnd, accept_all, connect,
    read_now, write_now,
};
use rustix::io::Errno;
use tokio::time::Instant;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of a script of accepts.
struct Accepted {
    connections: Vec<u32>,
    local_faults: u64,
    elapsed: Duration,
}

async fn run_accepts(script: &[Result<u32, Errno>]) -> Accepted {
    let (started, faults) = (Instant::now(), LocalFaults::default());
    let (mut connections, mut script) = (Vec::new(), script.iter());
    // The listener fails at the end of the script.
    let accept = async || {
        script
            .next()
            .copied()
            .unwrap_or(Err(Errno::BADF))
            .map_err(io::Error::from)
    };
    accept_all(accept, |connection| connections.push(connection), &faults).await;
    Accepted {
        connections,
        local_faults: faults.count(),
        elapsed: started.elapsed(),
    }
}

#[tokio::test(start_paused = true)]
async fn connection_that_ends_before_accept_delays_no_other() {
    for errno in [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::PROTO,
        Errno::HOSTUNREACH,
    ] {
        let accepted = run_accepts(&[Err(errno), Err(errno), Ok(1), Err(errno), Ok(2)]).await;
        assert_eq!(accepted.connections, [1, 2], "{errno}");
        assert_eq!(accepted.local_faults, 0, "{errno}");
        assert_eq!(accepted.elapsed, Duration::ZERO, "{errno}");
    }
}

#[tokio::test(start_paused = true)]
async fn accept_waits_and_retries_when_local_resources_are_exhausted() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        let accepted = run_accepts(&[Err(errno), Err(errno), Ok(1)]).await;
        assert_eq!(accepted.connections, [1], "{errno}");
        assert_eq!(accepted.local_faults, 2, "{errno}");
        assert!(
            accepted.elapsed >= 2 * LOCAL_RETRY_DELAY,
            "{errno}: it waits between retries"
        );
    }
}

/// The result of a script of attempts to connect, and how many local faults were counted.
async fn run_connects(script: &[Result<u32, Errno>]) -> (Result<u32, ConnectError>, u64) {
    let faults = LocalFaults::default();
    let mut attempts = script.iter();
    let dial = async |dialled: &Cell<bool>| {
        dialled.set(true);
        match attempts.next() {
            Some(end) => (*end).map_err(io::Error::from),
            None => std::future::pending().await,
        }
    };
    let end = connect(CONNECT_TIMEOUT, dial, &faults).await;
    (end, faults.count())
}

#[tokio::test(start_paused = true)]
async fn connect_is_retried_after_local_faults_which_are_not_the_workers() {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::INTR,
    ];
    for errno in local {
        let (end, faults) = run_connects(&[Err(errno), Err(errno), Err(errno), Ok(1)]).await;
        assert!(
            matches!(end, Ok(1)) && faults == 3,
            "{errno}: {end:?}, {faults} faults"
        );
        let started = Instant::now();
        let (end, faults) = run_connects(&[Err(errno); 100]).await;
        assert!(matches!(end, Err(ConnectError::Local)), "{errno}: {end:?}");
        let max_attempts = CONNECT_TIMEOUT.as_millis() / LOCAL_RETRY_DELAY.as_millis();
        assert!(
            u128::from(faults) <= max_attempts + 1 && started.elapsed() <= 2 * CONNECT_TIMEOUT,
            "{errno}: {faults} faults"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn connect_is_not_retried_after_faults_of_worker_or_network() {
    for errno in [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
    ] {
        let (end, faults) = run_connects(&[Err(errno), Ok(1)]).await;
        assert!(
            matches!(end, Err(ConnectError::Peer(_))) && faults == 0,
            "{errno}: {end:?}"
        );
    }
    let (end, faults) = run_connects(&[]).await;
    assert!(
        matches!(end, Err(ConnectError::TimedOut)) && faults == 0,
        "no answer: {end:?}"
    );
    // The local fault is over, and it is the worker that does not answer.
    let (end, faults) = run_connects(&[Err(Errno::NOBUFS)]).await;
    assert!(
        matches!(end, Err(ConnectError::TimedOut)) && faults == 1,
        "no answer: {end:?}"
    );
}

/// How a series of short writes ends if the last system call fails with this error. A series of reads must end in the
/// same way.
fn transfer_end(last: Errno) -> TransferEnd {
    let script = [Ok(2), Err(Errno::INTR), Ok(1), Err(last)];
    let mut calls = script.iter();
    let mut next = || {
        calls
            .next()
            .copied()
            .expect("no call after the last")
            .map_err(io::Error::from)
    };
    let Transfer { count, end } = write_now(b"hello", |_| next());
    assert_eq!(count, 3, "{last}: the accepted bytes are counted");
    let mut calls = script.iter();
    let mut next = || {
        calls
            .next()
            .copied()
            .expect("no call after the last")
            .map_err(io::Error::from)
    };
    let read = read_now(&mut [0; 5], |_| next());
    assert_eq!(read, Transfer { count: 3, end }, "{last}");
    end
}

#[test]
fn transfer_ends_a_connection_only_for_faults_of_the_peer() {
    assert_eq!(transfer_end(Errno::AGAIN), TransferEnd::Blocked);
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(transfer_end(errno), TransferEnd::Exhausted, "{errno}");
    }
    for errno in [
        Errno::PIPE,
        Errno::CONNRESET,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
    ] {
        assert_eq!(transfer_end(errno), TransferEnd::Ended, "{errno}");
    }
    let mut calls = 0;
    let written = write_now(b"hello", |bytes| {
        calls += 1;
        Ok(bytes.len().min(2))
    });
    assert_eq!(
        (written.count, written.end, calls),
        (5, TransferEnd::Complete, 3),
        "short writes are continued"
    );
}
