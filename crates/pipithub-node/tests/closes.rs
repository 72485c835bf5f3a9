//! A client's close is noticed although the front end is busy with something else. Front end and test share one thread;
//! these tests count rounds of its scheduler, in which each ready task is polled, instead of measuring time.

mod socket_harness;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipithub_node::coordinator::{self, StreamUpdate};
use pipithub_platform::settings::Names;
use serde_json::json;
use socket_harness::{
    FrontEnd, STREAM_HEAD, call_line, call_name, event, listener, read_request_head, run_test,
};
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};

/// How many bytes the front end reads from a connection at a time.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Counts the scheduler's rounds, by a task that is always ready.
fn count_rounds() -> Rc<Cell<u64>> {
    let rounds = Rc::new(Cell::new(0u64));
    let counted = rounds.clone();
    spawn_local(async move {
        loop {
            counted.set(counted.get() + 1);
            yield_now().await;
        }
    });
    rounds
}

/// Follows a coordinator; returns the scheduler's round in which each event was applied.
fn record_apply_rounds(address: String, rounds: Rc<Cell<u64>>) -> Rc<RefCell<Vec<u64>>> {
    let applied_at = Rc::new(RefCell::new(Vec::new()));
    let recorded = applied_at.clone();
    spawn_local(async move {
        let (_address, followed) = watch::channel(address);
        let apply = |update| {
            if matches!(update, StreamUpdate::Event(_)) {
                recorded.borrow_mut().push(rounds.get());
            }
        };
        coordinator::follow(followed, 0, Names::default(), 1, apply).await;
    });
    applied_at
}

#[tokio::test]
async fn many_endpoint_events_at_once_do_not_starve_other_tasks() {
    const EVENTS: u64 = 200;
    // Ready tasks may be polled in another order in each round, and one of them twice in a round.
    const MAX_EVENTS_PER_ROUND: usize = 4;
    run_test(async {
        let (coordinator, address) = listener().await;
        let applied_at = record_apply_rounds(address.to_string(), count_rounds());
        let (mut stream, _) = coordinator.accept().await.expect("a request");
        read_request_head(&mut stream).await;
        let mut text = STREAM_HEAD.to_string();
        for index in 1..=EVENTS {
            let event = event(index, index == 1, &[("w1", address, "SERVING")]);
            text += &format!("id: {index}\ndata: {event}\n\n");
        }
        stream.write_all(text.as_bytes()).await.expect("written");
        while applied_at.borrow().len() < EVENTS as usize {
            yield_now().await;
        }
        let applied_at = applied_at.borrow();
        let too_many = applied_at
            .windows(MAX_EVENTS_PER_ROUND + 1)
            .filter(|events| events[0] == events[MAX_EVENTS_PER_ROUND])
            .count();
        assert_eq!(
            too_many, 0,
            "more than {MAX_EVENTS_PER_ROUND} events between two polls of another task: {applied_at:?}"
        );
    })
    .await;
}

#[cfg(target_os = "linux")]
#[tokio::test]
async fn worker_that_writes_without_end_does_not_starve_other_tasks() {
    use socket_harness::system_queues::bytes_between;
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut client = front_end.connect_client().await;
        client.send(&call_line(1, "view", "")).await;
        let mut at_worker = front_end.accept_at_worker().await;
        at_worker.serve_next().await;
        client.expect_message().await;
        // Answers to no request, until the operating system accepts no more.
        let answer = "{\"cmd\":\"ACK\",\"ref\":\"ffffffffffffffff\",\"payload\":\"\"}\n";
        let answers = answer.repeat(1000).into_bytes();
        let mut sent = 0;
        while let Ok(count) = at_worker.write.try_write(&answers[sent % answers.len()..]) {
            sent += count;
        }
        assert!(sent > 16 * READ_BUFFER_BYTES, "{sent} bytes are unread");
        let (worker_port, front_end_port) = at_worker.ports();
        let mut unread = vec![bytes_between(worker_port, front_end_port)];
        while unread.last().is_some_and(|bytes| *bytes > 0) {
            yield_now().await;
            unread.push(bytes_between(worker_port, front_end_port));
        }
        let max_read = unread
            .windows(2)
            .map(|pair| pair[0].saturating_sub(pair[1]))
            .max()
            .expect("at least two counts");
        // The front end's task may be polled more than once between two counts, as above.
        assert!(
            max_read <= 4 * READ_BUFFER_BYTES,
            "{max_read} of {sent} bytes were read in one of {} rounds",
            unread.len()
        );
    })
    .await;
}

/// After a malformed line, a client's further calls are rejected, but its cancels and its close must still be handled.
#[tokio::test]
async fn client_whose_further_calls_are_rejected_can_cancel_its_call_or_close() {
    const CANCEL_CALL_7: &str =
        "{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{\"id\":7}}\n";
    for closes in [true, false] {
        run_test(async {
            let front_end = FrontEnd::start().await;
            let mut client = front_end.connect_client().await;
            client.send(&call_line(7, "view", "")).await;
            let mut at_worker = front_end.accept_at_worker().await;
            at_worker.expect_message().await;
            client.send("noise\n").await;
            assert!(client.expect_message().await["error"].is_object());
            if closes {
                drop(client);
            } else {
                client.send_without_waiting(CANCEL_CALL_7);
                assert_eq!(client.receive().await, None, "no call is pending any more");
            }
            let cancel = at_worker.expect_message().await;
            let expected = (&json!("UNDO"), &json!(call_name(7)));
            assert_eq!((&cancel["cmd"], &cancel["ref"]), expected);
        })
        .await;
    }
}

#[cfg(target_os = "linux")]
#[tokio::test]
async fn calls_longer_than_a_read_buffer_are_not_run_if_a_close_follows_them() {
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut leaving = front_end.connect_client().await;
        let body = socket_harness::long_body();
        leaving.send(&call_line(1, "assign", &body)).await;
        let mut at_worker = front_end.accept_at_worker().await;
        // The operating system buffers more on a connection that has carried much data.
        for id in 2..=200 {
            at_worker.serve_next().await;
            leaving.expect_message().await;
            leaving.send(&call_line(id, "assign", &body)).await;
        }
        at_worker.serve_next().await;
        leaving.expect_message().await;
        // Connects only now, because a client without a request for two seconds is closed, and on a busy machine the
        // loop above takes longer.
        let mut staying = front_end.connect_client().await;
        assert!(staying.is_healthy(1).await);
        let calls: String = (301..=304)
            .map(|id| call_line(id, "assign", &body))
            .collect();
        assert!(calls.len() > READ_BUFFER_BYTES);
        leaving.send_without_waiting(&calls);
        drop(leaving);
        staying.is_healthy(2).await;
        staying.send(&call_line(256, "assign", "")).await;
        assert_eq!(
            at_worker.expect_message().await["ref"],
            call_name(256),
            "the worker gets the next call"
        );
    })
    .await;
}
