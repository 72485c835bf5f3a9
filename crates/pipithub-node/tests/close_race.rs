//! A request comes just when its connection is closed to make room for another. Front end and test share one thread,
//! and the request is sent after the test has yielded that thread a given number of times. For each number, either the
//! client sees the close before it sends the request, or the request is answered.

mod socket_harness;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use socket_harness::{Peer, call_line, config, event, listener, run_test, start};
use tokio::task::yield_now;

/// The maximum number of connected clients with 44 descriptors.
const CLIENTS: usize = 12;
const MAX_YIELDS: usize = 12;

/// Connects a new client, for which the connection of another one is closed; yields the thread this many times, and
/// then sends a request on that connection. Returns whether the request was sent before the client could see the close;
/// it must be answered in that case.
async fn request_precedes_close(yields: usize) -> bool {
    let (_coordinator, coordinator_address) = listener().await;
    let mut config = config(coordinator_address, &[event(1, true, &[])]);
    config["limits"]["sockets"] = 44.into();
    let node = start(&config).await;
    // Of the clients that have sent a request, the one that has been idle for longest is closed first.
    let mut longest_idle = Peer::connect(node).await;
    assert!(longest_idle.is_healthy(1).await);
    let mut others = Vec::new();
    for _ in 1..CLIENTS {
        let mut other = Peer::connect(node).await;
        assert!(other.is_healthy(1).await);
        others.push(other);
    }
    // The operating system holds the new client's connection, and the front end has not run since.
    let _new_client = TcpStream::connect(node).expect("connects");
    for _ in 0..yields {
        yield_now().await;
    }
    let mut stream = longest_idle.into_stream().into_std().expect("a socket");
    if is_at_end(&mut stream) {
        return false;
    }
    let line = call_line(7, "view", "").replace(":60000", ":50");
    assert_eq!(stream.write(line.as_bytes()).expect("written"), line.len());
    let stream = tokio::net::TcpStream::from_std(stream).expect("a socket");
    let answer = Peer::new(stream).receive().await;
    let answer = answer.unwrap_or_else(|| panic!("closed unanswered after {yields} yields"));
    assert_eq!(answer["id"], 7);
    true
}

/// Whether the front end has closed the connection; nothing else may have come on it.
fn is_at_end(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 64]) {
        Ok(0) => true,
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn request_that_crosses_a_close_to_make_room_is_answered_or_comes_after_the_close() {
    run_test(async {
        let mut precedes = Vec::new();
        for yields in 0..MAX_YIELDS {
            precedes.push(request_precedes_close(yields).await);
        }
        assert!(
            precedes[0] && !precedes[MAX_YIELDS - 1],
            "both cases occur: {precedes:?}"
        );
    })
    .await;
}
