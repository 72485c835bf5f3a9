//! A front end on loopback sockets, whose worker and coordinator fail at first, and the order of endpoint events.

mod socket_harness;

use pipithub_emulator::coordinator::{Behaviour, Coordinator};
use pipithub_node::coordinator::{Sequence, Step};
use socket_harness::{
    Peer, call_line, config, listener, one_ready_worker, run_test, served_line, start,
};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Serves every call, except that it closes its first connection without an answer to the first call.
async fn serve_after_one_break(listener: TcpListener) {
    let mut first = Peer::accept(&listener).await;
    first.expect_message().await;
    drop(first);
    loop {
        let mut peer = Peer::accept(&listener).await;
        spawn_local(async move {
            while let Some(request) = peer.receive().await {
                peer.send(&served_line(&request)).await;
            }
        });
    }
}

#[tokio::test]
async fn calls_are_served_after_a_broken_event_stream_and_a_broken_worker_connection() {
    const CALLS: u64 = 20;
    let served = run_test(async {
        let (worker, worker_address) = listener().await;
        let event = one_ready_worker(worker_address);
        // The coordinator sends its only event twice, and its first stream ends in the middle of the event.
        let coordinator = Coordinator::start(Behaviour::default()).expect("listens");
        coordinator.break_off(20);
        let text = format!("{event}\n\nid: 1\ndata: {event}");
        coordinator.publish_text(1, &event.to_string(), &text);
        let node = start(&config(coordinator.address(), &[])).await;
        spawn_local(serve_after_one_break(worker));
        let mut client = Peer::connect(node).await;
        let mut id = 1;
        while !client.is_healthy(id).await {
            id += 1;
        }
        let requests = coordinator.requests();
        assert!(requests.len() >= 2, "{requests:?}");
        assert!(requests[0].to_lowercase().contains("last-event-id: 0"));
        let mut served = 0;
        for id in id + 1..=id + CALLS {
            client.send(&call_line(id, "view", "aGVsbG8=")).await;
            let answer = client.expect_message().await;
            served += u64::from(answer["result"]["body"] == "aGVsbG8=");
        }
        served
    })
    .await;
    // The call on the broken connection may have run, and no other worker can run it. As the call is idempotent, it is
    // rejected.
    assert_eq!(served, CALLS - 1);
}

#[test]
fn endpoint_events_are_applied_once_in_order_and_a_gap_is_requested_once() {
    let mut sequence = Sequence::after(3);
    assert_eq!(
        (sequence.step(3, false), sequence.step(4, false)),
        (Step::Skip, Step::Apply)
    );
    assert_eq!(sequence.step(6, false), Step::Reconnect);
    assert_eq!(
        sequence.step(5, false),
        Step::Apply,
        "the missing event came"
    );
    assert_eq!(sequence.step(9, false), Step::Reconnect);
    assert_eq!(
        sequence.step(9, false),
        Step::Apply,
        "missing events that the coordinator does not have are not awaited"
    );
    assert_eq!(
        (sequence.step(20, true), sequence.last()),
        (Step::Apply, 20),
        "a complete list closes any gap"
    );
}
