//! A front end on loopback sockets, with a worker and a coordinator of its own.

use pipithub_emulator::coordinator::{self, Behaviour, Coordinator};
use pipithub_node::coordinator::{Sequence, Step};
use pipithub_node::shell::Node;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Answers every request; breaks the first connection under its first request.
async fn worker(listener: TcpListener, breaks: bool) {
    let mut first = breaks;
    while let Ok((stream, _)) = listener.accept().await {
        let breaks = std::mem::take(&mut first);
        spawn_local(async move {
            let (read, mut write) = stream.into_split();
            let mut lines = BufReader::new(read).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let request: serde_json::Value = serde_json::from_str(&line).expect("a request");
                if breaks {
                    return;
                }
                let answer = serde_json::json!({"cmd": "ACK", "ref": request["ref"], "payload": request["payload"]});
                let _ = write.write_all(format!("{answer}\n").as_bytes()).await;
            }
        });
    }
}

#[tokio::test]
async fn calls_are_served_through_a_list_that_breaks_off_and_a_worker_that_resets() {
    let local = LocalSet::new();
    let served = local.run_until(async {
        let bind = || TcpListener::bind("127.0.0.1:0");
        let worker_at = bind().await.unwrap();
        let event = coordinator::event(1, true, &[serde_json::json!(
            {"host": "w1", "dial": worker_at.local_addr().unwrap().to_string(), "site": "a", "health": "SERVING"})]);
        // Tells of one worker, twice; breaks off in the middle of the event the first time.
        let list = Coordinator::start(Behaviour::default()).unwrap();
        list.break_off(20);
        list.publish_text(1, &event, &format!("{event}\n\nid: 1\ndata: {event}"));
        let config = serde_json::json!({
            "name": "n1", "listen": "127.0.0.1:0", "seed": "1", "coordinator": list.address().to_string(),
            "known": {"index": 0, "updates": []},
            "settings": {"PeersTotal": 1, "Granularity": 2_000_000, "Limits": {"MostTries": 4, "MayCancel": true},
                "Grades": [{"Name": "view", "Effect": "read_like", "Aim": 30_000_000_000u64, "GiveUp": 60_000_000_000u64,
                    "LateWorth": 0.5}]}
        });
        let place = std::env::temp_dir().join(format!("pipithub-node-test-{}.json", std::process::id()));
        std::fs::write(&place, config.to_string()).unwrap();
        let node = Node::bind(&place, None).await.expect("starts");
        std::fs::remove_file(&place).unwrap();
        let address = node.address().unwrap();
        spawn_local(worker(worker_at, true));
        spawn_local(node.serve());
        let (read, mut write) = TcpStream::connect(address).await.unwrap().into_split();
        let mut lines = BufReader::new(read).lines();
        // Taken in once a list has come, the second time it was asked for.
        let mut id = 1;
        loop {
            write.write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"isWell\"}}\n").as_bytes()).await.unwrap();
            if lines.next_line().await.unwrap().unwrap().contains("\"healthy\":true") {
                break;
            }
            id += 1;
            tokio::task::yield_now().await;
        }
        let asked = list.requests();
        assert!(asked.len() >= 2 && asked[0].to_lowercase().contains("last-event-id: 0"));
        let mut served = 0;
        for id in id + 1..id + 21 {
            let call = format!(
                r#"{{"jsonrpc":"2.0","id":{id},"method":"view","params":{{"call":"{id:016x}","ttl":60000,"row":"00000000000000aa","body":"aGVsbG8="}}}}"#
            );
            write.write_all(format!("{call}\n").as_bytes()).await.unwrap();
            let line = lines.next_line().await.unwrap().unwrap();
            served += usize::from(line.contains(r#""result":{"body":"aGVsbG8="}"#));
        }
        served
    });
    // The one whose connection was reset may have run there and has no other worker; it is refused, being safe.
    assert_eq!(served.await, 19);
}

#[test]
fn events_are_taken_once_and_in_order_and_a_gap_is_asked_about_once() {
    let mut sequence = Sequence::after(3);
    assert_eq!(
        (sequence.step(3, false), sequence.step(4, false)),
        (Step::Skip, Step::Take)
    );
    assert_eq!(sequence.step(6, false), Step::Reconnect);
    assert_eq!(sequence.step(5, false), Step::Take, "it was had after all");
    assert_eq!(sequence.step(9, false), Step::Reconnect);
    assert_eq!(
        sequence.step(9, false),
        Step::Take,
        "what cannot be had is not waited for"
    );
    assert_eq!(
        (sequence.step(20, true), sequence.last()),
        (Step::Take, 20),
        "a whole list fills any gap"
    );
}
