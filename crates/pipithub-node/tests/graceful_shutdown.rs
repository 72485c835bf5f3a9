//! SIGTERM to a front end whose worker does not answer, while a client goes on calling. The test is alone in its
//! process, because the process gets the signal.

mod socket_harness;

use std::process::Command;

use serde_json::Value;
use socket_harness::{FrontEnd, Peer, call_line, run_test};

fn shorten_timeouts(config: &mut Value) {
    let classes = config["settings"]["Grades"].as_array_mut();
    for class in classes.expect("classes") {
        class["Aim"] = 25_000_000.into();
        class["GiveUp"] = 50_000_000.into();
    }
}

fn send_sigterm_to_this_process() {
    let status = Command::new("kill")
        .args(["-TERM", &std::process::id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}

/// Sends two calls in one write, which the operating system does not split; returns the ids of the answers. There are
/// none if the calls crossed the close of the connection. A reset fails the test.
async fn call_twice(client: &mut Peer, id: u64) -> Vec<u64> {
    let calls = call_line(id, "assign", "") + &call_line(id + 1, "assign", "");
    client.send_without_waiting(&calls.replace(":60000", ":50"));
    let mut answered = Vec::new();
    for _ in 0..2 {
        let answer = client.receive().await;
        answered.extend(answer.and_then(|answer| answer["id"].as_u64()));
    }
    answered.sort_unstable();
    answered
}

#[tokio::test]
async fn client_that_calls_during_a_shutdown_gets_every_answer_and_a_clean_close() {
    run_test(async {
        let front_end = FrontEnd::start_with(shorten_timeouts).await;
        let mut client = front_end.connect_client().await;
        let mut idle = front_end.connect_client().await;
        assert!(client.is_healthy(1).await && idle.is_healthy(1).await);
        send_sigterm_to_this_process();
        let mut id = 2;
        loop {
            let answered = call_twice(&mut client, id).await;
            if answered.is_empty() {
                break;
            }
            assert_eq!(answered, [id, id + 1], "both are answered");
            id += 2;
        }
        assert!(id > 4, "calls were answered after the signal");
        assert_eq!(idle.receive().await, None, "a close without a reset");
    })
    .await;
}
