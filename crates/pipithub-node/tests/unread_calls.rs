//! On real sockets: calls that wait for a worker that does not read. See `socket_harness`.
#![cfg(target_os = "linux")]

mod socket_harness;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{Value, json};
use socket_harness::system_queues::{bytes_at_port, bytes_between};
use socket_harness::{
    FrontEnd, Peer, call_line, call_name, event, long_body, run_test, served_line, small_listener,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The calls of each client have a class of their own, so that the policy module admits all of them.
const CLIENTS: u64 = 8;
/// The class of the calls that are served before the worker stops reading.
const WARM_UP_CLASS: u64 = CLIENTS;
const CALLS_PER_CLIENT: u64 = 32;
const WARM_UP_CALLS: u64 = 200;
const CLIENT_TIMEOUT_MS: u64 = 3_000_000;

/// A worker that has stopped reading, and clients whose calls wait for it: more bytes than the operating system
/// buffers.
struct UnreadCalls {
    front_end: FrontEnd,
    /// The worker's end of the connection on which the worker does not read.
    at_worker: Peer,
    health_checker: Peer,
    clients: Vec<Peer>,
}

/// The id of a client's call; clients and their calls are counted from 0.
fn call_id(client: u64, number: u64) -> u64 {
    100 * (client + 1) + number
}

fn call_of_class(id: u64, class: u64, body: &str) -> String {
    let timeout = format!(":{CLIENT_TIMEOUT_MS}");
    call_line(id, &format!("c{class}"), body).replace(":60000", &timeout)
}

/// Classes whose timeout is so long that the policy module admits every call.
fn classes(effect: &str) -> Value {
    let class = |number: u64| {
        json!({"Name": format!("c{number}"), "Effect": effect, "Aim": 3_000_000_000_000u64,
            "GiveUp": 3_000_000_000_000u64, "LateWorth": 0.5})
    };
    (0..=WARM_UP_CLASS).map(class).collect()
}

/// One worker that serves and 200 that drain. The draining workers get their share of the connections, so that only one
/// connection is left for the worker that serves.
fn endpoint_list(worker: SocketAddr) -> Value {
    let names: Vec<String> = (0..200).map(|number| format!("d{number}")).collect();
    let mut workers: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), worker, "DRAINING"))
        .collect();
    workers.push(("w1", worker, "SERVING"));
    event(1, true, &workers)
}

impl UnreadCalls {
    async fn start(effect: &str) -> Self {
        let worker = small_listener(16, Some(4096));
        let list = endpoint_list(worker.local_addr().expect("bound"));
        let front_end = FrontEnd::start_with_worker(worker, |config| {
            config["known"] = json!({"index": 1, "updates": [list]});
            config["settings"]["Grades"] = classes(effect);
        })
        .await;
        let mut health_checker = front_end.connect_client().await;
        let at_worker = warm_up(&front_end, &mut health_checker).await;
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            clients.push(client_with_calls(&front_end, number).await);
        }
        health_checker.is_healthy(1).await;
        UnreadCalls {
            front_end,
            at_worker,
            health_checker,
            clients,
        }
    }
}

/// Serves calls, so that the policy module learns that the function is loaded at the worker and served quickly. Returns
/// the worker's end of the connection.
async fn warm_up(front_end: &FrontEnd, client: &mut Peer) -> Peer {
    let line = |number| call_of_class(1000 + number, WARM_UP_CLASS, "");
    client.send(&line(0)).await;
    let mut at_worker = front_end.accept_at_worker().await;
    for number in 1..WARM_UP_CALLS {
        at_worker.serve_next().await;
        client.expect_message().await;
        client.send(&line(number)).await;
    }
    at_worker.serve_next().await;
    client.expect_message().await;
    at_worker
}

async fn client_with_calls(front_end: &FrontEnd, number: u64) -> Peer {
    let mut client = front_end.connect_client().await;
    for call in 0..CALLS_PER_CLIENT {
        let line = call_of_class(call_id(number, call), number, &long_body());
        client.send(&line).await;
    }
    client.is_healthy(99).await;
    client
}

/// Calls that are still in the front end's own buffer when their clients leave must not run once the worker reads
/// again.
#[tokio::test]
async fn calls_that_the_system_did_not_accept_do_not_run_after_their_clients_left() {
    run_test(async {
        let UnreadCalls {
            front_end: _front_end,
            mut at_worker,
            mut health_checker,
            clients,
        } = UnreadCalls::start("read_like").await;
        drop(clients);
        health_checker.is_healthy(2).await;
        health_checker.is_healthy(3).await;
        let (worker_port, front_end_port) = at_worker.ports();
        let accepted = bytes_between(worker_port, front_end_port);
        let running = read_run_bytes_to_the_end(&mut at_worker).await;
        assert!(
            accepted < 200 * long_body().len(),
            "the operating system did not accept all calls: {accepted}"
        );
        assert!(
            running <= accepted,
            "{running} bytes of calls ran, {accepted} could not be withdrawn"
        );
    })
    .await;
}

/// Reads a connection to its end; returns the total length of the lines that ask the worker to run a call. Nothing may
/// follow the incomplete line of which the operating system had accepted a part.
async fn read_run_bytes_to_the_end(at_worker: &mut Peer) -> usize {
    let (mut bytes, mut is_at_incomplete_line) = (0, false);
    while let Some(line) = at_worker.lines.next_line().await.expect("no reset") {
        assert!(!is_at_incomplete_line, "a line follows an incomplete one");
        match serde_json::from_str::<Value>(&line) {
            Ok(request) if request["cmd"] == "DO" => bytes += line.len(),
            Ok(_) => {}
            Err(_) => is_at_incomplete_line = true,
        }
    }
    bytes
}

/// The length in bytes of the line that asks the worker to run a client's call.
fn run_line_length() -> usize {
    let name = "0".repeat(16);
    let line =
        pipithub_platform::worker::run_line(&name, "c0", &name, 2_999_000_000_000, None, &[]);
    line.len() + long_body().len()
}

/// Bytes that the operating system held for the worker, split at the end of the last complete line.
struct ReadLines {
    complete: String,
    incomplete: String,
}

/// Reads about 80 lines at most of what the operating system holds for the worker.
fn read_without_waiting(at_worker: &Peer) -> ReadLines {
    let line_length = run_line_length();
    let stream = at_worker.write.as_ref();
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 1 << 16];
    while let Ok(count) = stream.try_read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..count]);
        if count == 0 || bytes.len() > 80 * line_length {
            break;
        }
    }
    let read = bytes.len();
    assert!(read > 40 * line_length, "room for some more lines: {read}");
    let last_line_feed = bytes.iter().rposition(|byte| *byte == b'\n');
    let incomplete = bytes.split_off(last_line_feed.map_or(0, |at| at + 1));
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    ReadLines {
        complete: text(bytes),
        incomplete: text(incomplete),
    }
}

/// The names of the calls that were served, and of those that were rejected as not run. A failed call is in neither
/// set: it may have run.
#[derive(Default)]
struct FinalAnswers {
    served: BTreeSet<String>,
    rejected: BTreeSet<String>,
}

async fn read_final_answers(clients: Vec<Peer>) -> FinalAnswers {
    let mut answers = FinalAnswers::default();
    for mut client in clients {
        for _ in 0..CALLS_PER_CLIENT {
            let answer = client.expect_message().await;
            let name = call_name(answer["id"].as_u64().expect("a number"));
            if answer["result"]["body"].is_string() {
                answers.served.insert(name);
            } else if answer["error"]["code"] == -32050 {
                answers.rejected.insert(name);
            }
        }
    }
    answers
}

/// The worker reads a part just before a client leaves, so that the front end learns at the same time that it can write
/// again and that the client has closed. A line that it withdraws then must not have been written in the meantime:
/// otherwise a call that runs would count as never sent.
#[tokio::test]
async fn withdrawn_calls_have_not_been_written_as_the_worker_begins_to_read_again() {
    run_test(async {
        let UnreadCalls {
            front_end,
            at_worker,
            mut health_checker,
            mut clients,
        } = UnreadCalls::start("non_idempotent").await;
        // The client whose line was accepted in part leaves, so that its later calls can be withdrawn.
        let worker_port = front_end.worker.local_addr().expect("bound").port();
        let accepted_lines = bytes_at_port(worker_port) / run_line_length();
        let leaving = accepted_lines / CALLS_PER_CLIENT as usize;
        drop(clients.remove(leaving));
        let read = read_without_waiting(&at_worker);
        health_checker.is_healthy(5).await;
        let ran = Rc::new(RefCell::new(Vec::new()));
        let answers = tokio::select! {
            answers = read_final_answers(clients) => answers,
            () = serve_all(at_worker, front_end.worker, read, ran.clone()) => unreachable!("it does not end"),
        };
        let last_call = call_name(call_id(leaving as u64, CALLS_PER_CLIENT - 1));
        check_each_call_ran_at_most_once(&ran.borrow(), &answers, &last_call);
    })
    .await;
}

/// Compares the calls that ran with the final answers. `abandoned` is a call whose client left before the call was
/// written.
fn check_each_call_ran_at_most_once(ran: &[String], answers: &FinalAnswers, abandoned: &str) {
    let distinct: BTreeSet<String> = ran.iter().cloned().collect();
    assert_eq!(distinct.len(), ran.len(), "a call ran twice: {ran:?}");
    let unseen: Vec<_> = answers.served.difference(&distinct).collect();
    assert!(unseen.is_empty(), "served by no worker: {unseen:?}");
    let both: Vec<_> = answers.rejected.intersection(&distinct).collect();
    assert!(both.is_empty(), "rejected, and ran: {both:?}");
    assert!(!distinct.contains(abandoned), "its client had left");
}

/// Serves all calls on a connection of which `read` was read before, and on all connections that follow it. Records the
/// names of the calls in the order in which they ran.
async fn serve_all(
    first: Peer,
    listener: TcpListener,
    read: ReadLines,
    ran: Rc<RefCell<Vec<String>>>,
) {
    let mut peer = first;
    for line in read.complete.lines() {
        serve_line(&mut peer, line, &ran).await;
    }
    let mut line_start = read.incomplete;
    loop {
        // The front end closes a connection on which it awaits no answer; an answer that crosses the close leads to a
        // reset.
        while let Ok(Some(line)) = peer.lines.next_line().await {
            let line = std::mem::take(&mut line_start) + &line;
            serve_line(&mut peer, &line, &ran).await;
        }
        peer = Peer::accept(&listener).await;
    }
}

async fn serve_line(peer: &mut Peer, line: &str, ran: &RefCell<Vec<String>>) {
    // A line that cannot be parsed is the incomplete one at the end of its connection.
    let Ok(request) = serde_json::from_str::<Value>(line) else {
        return;
    };
    if request["cmd"] == "DO" {
        let name = request["ref"].as_str().expect("a name").to_string();
        ran.borrow_mut().push(name);
        let _ = peer.write.write_all(served_line(&request).as_bytes()).await;
    }
}
