//! A request comes in the moment in which its connection is closed to make room for another: after each number of turns
//! of the thread that front end and test share, the client has either been told of the close, or gets its answer.

mod socket_harness;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use socket_harness::{Peer, call_line, config, event, listener, run_test, start};
use tokio::task::yield_now;

/// Clients that may be connected with 44 descriptors.
const CLIENTS: usize = 12;
const MAX_YIELDS: usize = 12;

/// Sends a request that many turns after a newcomer has connected, for which the client's connection is closed; returns
/// whether the request came before the client was told of the close. It must be answered then.
async fn request_precedes_close(yields: usize) -> bool {
    let (_coordinator, coordinator_address) = listener().await;
    let mut config = config(coordinator_address, &[event(1, true, &[])]);
    config["limits"]["sockets"] = 44.into();
    let node = start(&config).await;
    // Of the clients that have sent a request, the one that is idle for longest is closed first.
    let mut longest_idle = Peer::connect(node).await;
    assert!(longest_idle.is_healthy(1).await);
    let mut others = Vec::new();
    for _ in 1..CLIENTS {
        let mut other = Peer::connect(node).await;
        assert!(other.is_healthy(1).await);
        others.push(other);
    }
    // The system holds the newcomer's connection, and the front end has not run since.
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

/// Whether the other side has closed; nothing else may have come.
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
