//! On real sockets: answers that clients do not read. See `socket_harness`.
#![cfg(target_os = "linux")]

mod socket_harness;

use socket_harness::system_queues::{bytes_at_end, bytes_at_port};
use socket_harness::{FrontEnd, Peer, call_line, long_body, run_test, served_line};
use tokio::io::Interest;

/// About how many bytes of answers the front end holds for each client: well below the limit for a single client.
const UNREAD_BYTES_PER_CLIENT: usize = 700 << 10;

/// The memory of the front end in the configuration of these tests, in MB.
const MEMORY_MB: usize = 16;
/// The part of the memory that may wait for clients that do not read.
const UNREAD_MEMORY_DIVISOR: usize = 8;

/// A client that does not read, and how many calls it has sent.
struct UnreadClient {
    peer: Peer,
    sent: u64,
}

/// A client that reads its answers and sends health checks, which are answered once all earlier input is handled.
struct HealthChecker {
    peer: Peer,
    last_id: u64,
}

impl HealthChecker {
    async fn is_healthy(&mut self) -> bool {
        self.last_id += 1;
        self.peer.is_healthy(self.last_id).await
    }
}

#[tokio::test]
async fn clients_that_do_not_read_are_disconnected_once_their_answers_exceed_the_memory() {
    run_test(async {
        let limit_memory =
            |config: &mut serde_json::Value| config["limits"]["memory_mb"] = MEMORY_MB.into();
        let front_end = FrontEnd::start_with(limit_memory).await;
        let (mut at_worker, mut health_checker) = serve_first_call(&front_end).await;
        let mut clients = Vec::new();
        for number in 1..=4u64 {
            let peer = front_end.connect_client().await;
            let first_id = 1000 * number;
            clients.push(
                fill_answer_buffer(peer, first_id, &mut at_worker, &mut health_checker).await,
            );
        }
        let mut complete = 0;
        for client in &mut clients {
            complete += usize::from(has_all_answers(client).await);
        }
        assert!(
            (1..4).contains(&complete),
            "{complete} of 4 clients have all their answers"
        );
        assert!(health_checker.is_healthy().await);
    })
    .await;
}

/// Has a first call served; returns the connection of the worker and the client.
async fn serve_first_call(front_end: &FrontEnd) -> (Peer, HealthChecker) {
    let mut peer = front_end.connect_client().await;
    peer.send(&call_line(1, "view", "")).await;
    let mut at_worker = front_end.accept_at_worker().await;
    at_worker.serve_next().await;
    peer.expect_message().await;
    (at_worker, HealthChecker { peer, last_id: 1 })
}

/// Guards against clients that do not read and for each of which the operating system holds megabytes beside what the front end
/// counts: together they exceed its memory.
#[tokio::test]
async fn system_holds_little_for_a_client_that_does_not_read() {
    run_test(async {
        let limit_memory =
            |config: &mut serde_json::Value| config["limits"]["memory_mb"] = MEMORY_MB.into();
        let front_end = FrontEnd::start_with(limit_memory).await;
        let (mut at_worker, mut health_checker) = serve_first_call(&front_end).await;
        let peer = front_end.connect_client().await;
        let client = fill_answer_buffer(peer, 1000, &mut at_worker, &mut health_checker).await;
        let (client_port, front_end_port) = client.peer.ports();
        let held = bytes_at_end(front_end_port, client_port);
        let max_for_all = (MEMORY_MB << 20) / UNREAD_MEMORY_DIVISOR;
        // Sixteen such clients must fit into the part of the memory that all of them may take.
        assert!(held > 0 && held < max_for_all / 16, "{held} bytes");
    })
    .await;
}

/// Sends calls, which are served, until the front end holds about [`UNREAD_BYTES_PER_CLIENT`] for the client or has
/// disconnected it.
async fn fill_answer_buffer(
    peer: Peer,
    first_id: u64,
    at_worker: &mut Peer,
    health_checker: &mut HealthChecker,
) -> UnreadClient {
    let body = long_body();
    let (port, _) = peer.ports();
    let mut sent = 0u64;
    while !sent.is_multiple_of(16)
        || (sent as usize) * body.len() < bytes_at_port(port) + UNREAD_BYTES_PER_CLIENT
    {
        let line = call_line(first_id + sent, "view", &body);
        if peer.write.try_write(line.as_bytes()).is_err() {
            break;
        }
        sent += 1;
        // One call after the other, so that the policy module admits each of them.
        health_checker.is_healthy().await;
        let request = tokio::select! {
            biased;
            request = at_worker.expect_message() => request,
            // The client was disconnected before its call was read.
            () = disconnected(&peer) => break,
        };
        at_worker.send_without_waiting(&served_line(&request));
        health_checker.is_healthy().await;
    }
    UnreadClient { peer, sent }
}

/// Reads a client's answers; returns whether all have come.
async fn has_all_answers(client: &mut UnreadClient) -> bool {
    let mut read = 0;
    while read < client.sent && matches!(client.peer.lines.next_line().await, Ok(Some(_))) {
        read += 1;
    }
    read == client.sent
}

/// Waits until the front end has closed the connection, even if the answers that it sent before are not read.
async fn disconnected(client: &Peer) {
    let stream = client.write.as_ref();
    loop {
        let ready = stream.ready(Interest::READABLE | Interest::WRITABLE).await;
        let is_open = ready.is_ok_and(|ready| {
            !ready.is_read_closed() && !ready.is_write_closed() && !ready.is_error()
        });
        if !is_open {
            return;
        }
        tokio::task::yield_now().await;
    }
}
