//! Errors of system calls while connections are accepted and made, played by a script in the system's place.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use pipithub_node::sockets::{
    ConnectError, LOCAL_RETRY, LocalFaults, Transfer, TransferEnd, accept_all, connect, read_now,
    write_now,
};
use rustix::io::Errno;
use tokio::time::Instant;

const WITHIN: Duration = Duration::from_millis(250);

/// The connections that are taken of a script of accepts, with the faults counted and the time that it took.
async fn accepted(script: &[Result<u32, Errno>]) -> (Vec<u32>, u64, Duration) {
    let (begun, faults) = (Instant::now(), LocalFaults::default());
    let (mut taken, mut script) = (Vec::new(), script.iter());
    // The listener's end is the script's.
    let accept = async || {
        script
            .next()
            .copied()
            .unwrap_or(Err(Errno::BADF))
            .map_err(io::Error::from)
    };
    accept_all(accept, |connection| taken.push(connection), &faults).await;
    (taken, faults.count(), begun.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_ends_before_it_is_accepted_holds_nobody_up() {
    for errno in [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::PROTO,
        Errno::HOSTUNREACH,
    ] {
        let (taken, faults, took) =
            accepted(&[Err(errno), Err(errno), Ok(1), Err(errno), Ok(2)]).await;
        assert_eq!(
            (taken, faults, took),
            (vec![1, 2], 0, Duration::ZERO),
            "{errno}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn accepting_waits_and_goes_on_where_this_machine_lacks_something() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        let (taken, faults, took) = accepted(&[Err(errno), Err(errno), Ok(1)]).await;
        assert_eq!((taken, faults), (vec![1], 2), "{errno}");
        assert!(took >= 2 * LOCAL_RETRY, "{errno}: it does not spin");
    }
}

/// What comes of a script of tries to connect, each of which fails at once or comes up.
async fn connected(script: &[Result<u32, Errno>]) -> (Result<u32, ConnectError>, u64) {
    let faults = LocalFaults::default();
    let mut tries = script.iter();
    let dial = async |dialled: &Cell<bool>| {
        dialled.set(true);
        match tries.next() {
            Some(end) => (*end).map_err(io::Error::from),
            None => std::future::pending().await,
        }
    };
    let end = connect(WITHIN, dial, &faults).await;
    (end, faults.count())
}

#[tokio::test(start_paused = true)]
async fn what_this_machine_lacks_for_a_moment_is_tried_again_and_the_worker_is_not_to_blame() {
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
        let (end, faults) = connected(&[Err(errno), Err(errno), Err(errno), Ok(1)]).await;
        assert!(
            matches!(end, Ok(1)) && faults == 3,
            "{errno}: {end:?}, {faults} faults"
        );
        let begun = Instant::now();
        let (end, faults) = connected(&[Err(errno); 100]).await;
        assert!(matches!(end, Err(ConnectError::Local)), "{errno}: {end:?}");
        let most = WITHIN.as_millis() / LOCAL_RETRY.as_millis();
        assert!(
            u128::from(faults) <= most + 1 && begun.elapsed() <= 2 * WITHIN,
            "{errno}: {faults} faults"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn what_the_worker_or_the_network_does_is_not_tried_again() {
    for errno in [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
    ] {
        let (end, faults) = connected(&[Err(errno), Ok(1)]).await;
        assert!(
            matches!(end, Err(ConnectError::Peer(_))) && faults == 0,
            "{errno}: {end:?}"
        );
    }
    let (end, faults) = connected(&[]).await;
    assert!(
        matches!(end, Err(ConnectError::TimedOut)) && faults == 0,
        "no answer: {end:?}"
    );
    // Nothing here was wanting in the end: it is the worker that does not answer.
    let (end, faults) = connected(&[Err(Errno::NOBUFS)]).await;
    assert!(
        matches!(end, Err(ConnectError::TimedOut)) && faults == 1,
        "no answer: {end:?}"
    );
}

/// How a series of short transfers ends that a call fails with this error, in writing and in reading: both alike.
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
    assert_eq!(count, 3, "{last}: what the system took counts");
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
fn a_connection_ends_by_the_peers_faults_alone() {
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
        "short writes go on"
    );
}
