//! A request comes at the moment at which its connection is closed to make room for another: at each turn of the one
//! thread that the front end and the test share, it is either too late, as the close has been told, or answered.

mod socket_harness;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket_harness::{Peer, call, config, event, listener, start};
use tokio::task::{LocalSet, yield_now};

/// Clients that may be connected with 44 descriptors.
const CLIENTS: usize = 12;
const TURNS: usize = 12;

/// Whether the request came before its connection's end was told; it has its answer then.
async fn asks_after(turns: usize) -> bool {
    let (_list, list_at) = listener().await;
    let mut config = config(list_at, &[event(1, true, &[])]);
    config["limits"]["sockets"] = 44.into();
    let node = start(&config).await;
    let mut quiet = Peer::connect(node).await;
    // The longest idle of those that have asked for something goes first.
    assert!(quiet.is_well(1).await);
    let mut others = Vec::new();
    for _ in 1..CLIENTS {
        let mut other = Peer::connect(node).await;
        assert!(other.is_well(1).await);
        others.push(other);
    }
    // The newcomer for which the quiet one has to go; it is in the system, and the front end has not run since.
    let _newcomer = TcpStream::connect(node).expect("connects");
    for _ in 0..turns {
        yield_now().await;
    }
    let quiet = quiet
        .lines
        .into_inner()
        .into_inner()
        .reunite(quiet.write)
        .expect("both halves");
    let mut quiet = quiet.into_std().expect("a socket");
    match quiet.read(&mut [0; 64]) {
        Ok(0) => return false,
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        other => panic!("{other:?}"),
    }
    let line = call(7, "view", "").replace(":60000", ":50");
    assert_eq!(quiet.write(line.as_bytes()).expect("written"), line.len());
    let mut quiet = Peer::of(tokio::net::TcpStream::from_std(quiet).expect("a socket"));
    let answer = quiet
        .next()
        .await
        .unwrap_or_else(|| panic!("closed without an answer, after {turns} turns"));
    assert_eq!(answer["id"], 7);
    true
}

#[tokio::test]
async fn a_request_that_comes_as_its_connection_makes_room_is_answered_or_too_late() {
    let test = async {
        let mut answered = Vec::new();
        for turns in 0..TURNS {
            answered.push(asks_after(turns).await);
        }
        assert!(
            answered[0] && !answered[TURNS - 1],
            "both come about: {answered:?}"
        );
    };
    LocalSet::new()
        .run_until(tokio::time::timeout(Duration::from_secs(60), test))
        .await
        .expect("it ends");
}
