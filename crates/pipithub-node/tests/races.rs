//! Race conditions on real sockets: a close, an end of file, a reset or an answer comes at the same time as a call. See
//! `socket_harness` for how the races are forced.

mod socket_harness;

use std::cell::Cell;
use std::rc::Rc;

use socket_harness::{FrontEnd, Peer, call_line, call_name, run_test, served_line, small_listener};
use tokio::net::TcpStream;

#[tokio::test]
async fn call_is_not_forwarded_if_its_client_closes_right_behind_it() {
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut leaving = front_end.connect_client().await;
        let mut staying = front_end.connect_client().await;
        assert!(leaving.is_healthy(1).await && staying.is_healthy(1).await);
        // With a connection to the worker established, nothing delays a forward.
        staying.send(&call_line(6, "assign", "")).await;
        let mut at_worker = front_end.accept_at_worker().await;
        at_worker.serve_next().await;
        staying.expect_message().await;
        // The operating system holds both the call and the close before the front end reads any of them.
        leaving.send_without_waiting(&call_line(7, "assign", ""));
        drop(leaving);
        staying.is_healthy(2).await;
        staying.send(&call_line(8, "assign", "")).await;
        assert_eq!(
            at_worker.expect_message().await["ref"],
            call_name(8),
            "the worker gets the next call"
        );
    })
    .await;
}

/// The worker closes an idle connection just when a call comes.
#[tokio::test]
async fn call_is_not_written_on_a_connection_that_the_worker_has_closed() {
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut client = front_end.connect_client().await;
        client.send(&call_line(7, "assign", "")).await;
        let mut idle = front_end.accept_at_worker().await;
        idle.serve_next().await;
        assert!(client.expect_message().await["result"].is_object());
        // The call is handled first. By then, the operating system has the end of file, which the front end has not
        // read.
        client.send_without_waiting(&call_line(8, "assign", ""));
        drop(idle);
        let mut second = front_end.accept_at_worker().await;
        assert_eq!(second.serve_next().await["ref"], call_name(8));
        assert!(
            client.expect_message().await["result"].is_object(),
            "it is not idempotent, and ran once"
        );
    })
    .await;
}

/// A close with unread input is a reset, which destroys answers that the client has not read yet.
#[tokio::test]
async fn client_that_sent_a_malformed_line_gets_its_answers_and_a_clean_close() {
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut client = front_end.connect_client().await;
        client.send(&call_line(7, "assign", "d29ybGQ=")).await;
        let mut at_worker = front_end.accept_at_worker().await;
        let request = at_worker.expect_message().await;
        client.send("noise\n").await;
        assert!(client.expect_message().await["error"].is_object());
        // The worker's answer leads to the close of the client's connection, on which more input is unread by then.
        at_worker.send_without_waiting(&served_line(&request));
        client.send_without_waiting(&"more noise\n".repeat(1000));
        assert_eq!(client.expect_message().await["result"]["body"], "d29ybGQ=");
        assert_eq!(client.receive().await, None, "a close without a reset");
    })
    .await;
}

#[tokio::test]
async fn incomplete_answer_before_a_reset_fails_a_non_idempotent_call_without_a_retry() {
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut client = front_end.connect_client().await;
        client.send(&call_line(7, "assign", "d29ybGQ=")).await;
        let mut at_worker = front_end.accept_at_worker().await;
        let answer = served_line(&at_worker.expect_message().await);
        at_worker.send_without_waiting(&answer[..answer.len() - 9]);
        at_worker.close_with_reset();
        let answer = client.expect_message().await;
        assert_eq!(answer["error"]["code"], -32000, "it may have run: {answer}");
        // The next call runs, on a new connection.
        client.send(&call_line(8, "view", "")).await;
        let mut second = front_end.accept_at_worker().await;
        assert_eq!(second.expect_message().await["ref"], call_name(8));
    })
    .await;
}

#[tokio::test]
async fn duplicate_answer_is_not_taken_for_the_answer_to_a_later_call_of_the_same_name() {
    run_test(async {
        let front_end = FrontEnd::start().await;
        let mut client = front_end.connect_client().await;
        client.send(&call_line(7, "view", "Zmlyc3Q=")).await;
        let mut first = front_end.accept_at_worker().await;
        let first_request = first.serve_next().await;
        client.expect_message().await;
        client.send(&call_line(7, "view", "c2Vjb25k")).await;
        let mut second = front_end.accept_at_worker().await;
        let second_request = second.expect_message().await;
        first.send_without_waiting(&served_line(&first_request));
        second.send_without_waiting(&served_line(&second_request));
        assert_eq!(client.expect_message().await["result"]["body"], "c2Vjb25k");
    })
    .await;
}

/// The worker's machine answers late: the connection is established after the front end has given up waiting for it.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn call_is_not_written_on_a_connection_that_is_established_after_its_timeout() {
    run_test(async {
        // The worker's accept queue has room for one connection, which is taken: other connections are established only
        // once the worker accepts.
        let worker = small_listener(0, None);
        let address = worker.local_addr().expect("bound");
        let filler = TcpStream::connect(address)
            .await
            .expect("the only place in the queue");
        let set_timeout = |config: &mut serde_json::Value| {
            config["settings"]["Limits"]["ConnectTimeout"] = 250_000_000u64.into();
        };
        let front_end = FrontEnd::start_with_worker(worker, set_timeout).await;
        let mut client = front_end.connect_client().await;
        client.send(&call_line(7, "assign", "")).await;
        let answer = client.expect_message().await;
        assert_eq!(answer["error"]["code"], -32050, "never sent: {answer}");
        drop(filler);
        drop(
            front_end
                .worker
                .accept()
                .await
                .expect("the connection that fills the queue"),
        );
        let late_call_ran = Rc::new(Cell::new(false));
        tokio::select! {
            () = call_until_served(&mut client, 8) => {}
            () = serve_all(&front_end, late_call_ran.clone()) => {}
        }
        assert!(!late_call_ran.get(), "call 7 was rejected before");
    })
    .await;
}

/// Calls again and again, under a new name each time, until a call is served.
async fn call_until_served(client: &mut Peer, first_id: u64) {
    let mut id = first_id;
    loop {
        client.send(&call_line(id, "assign", "")).await;
        if client.expect_message().await["result"].is_object() {
            return;
        }
        id += 1;
    }
}

/// Serves all calls on all connections, and records whether call 7 is among them.
async fn serve_all(front_end: &FrontEnd, ran_call_7: Rc<Cell<bool>>) {
    loop {
        let mut peer = front_end.accept_at_worker().await;
        let ran_call_7 = ran_call_7.clone();
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = peer.lines.next_line().await {
                let request: serde_json::Value = serde_json::from_str(&line).expect("JSON");
                ran_call_7.set(ran_call_7.get() || request["ref"] == call_name(7));
                peer.send(&served_line(&request)).await;
            }
        });
    }
}
