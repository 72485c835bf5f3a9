//! On real sockets: a coordinator whose stream falls silent at various points while its connection stays open.

mod socket_harness;

use std::net::SocketAddr;

use socket_harness::{
    Peer, STREAM_HEAD, call_line, config, event, listener, read_request_head, run_test, start,
};
use tokio::net::{TcpListener, TcpStream};

/// What the coordinator expects and does on one connection.
struct ScriptedConnection {
    /// The index that the front end must state as that of the last event it has applied.
    last_event: u64,
    /// What the coordinator writes before the stream falls silent.
    text: String,
}

fn silent_connections(worker: SocketAddr) -> [ScriptedConnection; 6] {
    let event = |index: u64, is_complete| {
        let event = event(index, is_complete, &[("w1", worker, "SERVING")]);
        format!("id: {index}\ndata: {event}\n\n")
    };
    let connection = |last_event, text: &str| ScriptedConnection {
        last_event,
        text: text.to_string(),
    };
    let complete = event(1, true);
    let (second, third) = (event(2, false), event(3, false));
    [
        connection(0, ""),
        connection(0, &STREAM_HEAD[..20]),
        connection(0, &format!("{STREAM_HEAD}: ping\n\n")),
        connection(0, &format!("{STREAM_HEAD}{}", &complete[..30])),
        // Event 2 is missing: the front end requests it at once, and only once.
        connection(0, &format!("{STREAM_HEAD}{complete}{third}")),
        connection(1, &format!("{STREAM_HEAD}{complete}{second}{third}")),
    ]
}

/// Accepts one connection and serves it as scripted; returns the open connection.
async fn serve_connection(coordinator: &TcpListener, connection: ScriptedConnection) -> TcpStream {
    let (mut stream, _) = coordinator.accept().await.expect("a request");
    let request = read_request_head(&mut stream).await;
    let last_event = format!("last-event-id: {}", connection.last_event);
    assert!(request.contains(&last_event), "{request}");
    let written = stream.try_write(connection.text.as_bytes()).unwrap_or(0);
    assert_eq!(written, connection.text.len());
    stream
}

#[tokio::test]
async fn front_end_gets_the_endpoint_list_from_a_coordinator_that_falls_silent_in_every_way() {
    run_test(async {
        let (worker, worker_address) = listener().await;
        let (coordinator, coordinator_address) = listener().await;
        let node = start(&config(coordinator_address, &[])).await;
        let mut open = Vec::new();
        for connection in silent_connections(worker_address) {
            open.push(serve_connection(&coordinator, connection).await);
        }
        let mut client = Peer::connect(node).await;
        let mut id = 1;
        while !client.is_healthy(id).await {
            id += 1;
        }
        client.send(&call_line(id + 1, "view", "")).await;
        let mut at_worker = Peer::accept(&worker).await;
        at_worker.serve_next().await;
        assert!(client.expect_message().await["result"].is_object());
    })
    .await;
}
