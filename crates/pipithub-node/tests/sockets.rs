//! A front end on loopback sockets, with a worker and a coordinator of its own.

use std::cell::RefCell;
use std::rc::Rc;

use pipithub_node::coordinator::{Sequence, Step};
use pipithub_node::shell::Node;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
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
                let answer =
                    serde_json::json!({"cmd": "ACK", "ref": request["ref"], "payload": request["payload"]});
                let _ = write.write_all(format!("{answer}\n").as_bytes()).await;
            }
        });
    }
}

/// Tells of one worker; breaks off in the middle of the event the first time. Notes what it was asked.
async fn coordinator(listener: TcpListener, event: String, asked: Rc<RefCell<Vec<String>>>) {
    let mut whole = false;
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = vec![0; 4096];
        let n = stream.read(&mut request).await.unwrap_or(0);
        asked.borrow_mut().push(String::from_utf8_lossy(&request[..n]).to_lowercase());
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
        let event = format!("{head}id: 1\ndata: {event}\n\nid: 1\ndata: {event}\n\n");
        let part = if whole { event.len() } else { head.len() + 20 };
        let _ = stream.write_all(&event.as_bytes()[..part]).await;
        if std::mem::replace(&mut whole, true) {
            spawn_local(async move {
                // Stays open until the front end ends.
                let _ = stream.read(&mut [0; 1]).await;
            });
        }
    }
}

#[tokio::test]
async fn calls_are_served_through_a_list_that_breaks_off_and_a_worker_that_resets() {
    let local = LocalSet::new();
    let served = local.run_until(async {
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (worker_at, list_at) = (bind().await.unwrap(), bind().await.unwrap());
        let event = serde_json::json!({"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": [
            {"host": "w1", "dial": worker_at.local_addr().unwrap().to_string(), "site": "a", "health": "SERVING"}]}});
        let config = serde_json::json!({
            "name": "n1", "listen": "127.0.0.1:0", "seed": "1", "coordinator": list_at.local_addr().unwrap().to_string(),
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
        let asked = Rc::new(RefCell::new(Vec::new()));
        spawn_local(worker(worker_at, true));
        spawn_local(coordinator(list_at, event.to_string(), asked.clone()));
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
        assert!(asked.borrow().len() >= 2 && asked.borrow()[0].contains("last-event-id: 0"));
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
    assert_eq!((sequence.step(3, false), sequence.step(4, false)), (Step::Skip, Step::Take));
    assert_eq!(sequence.step(6, false), Step::Again);
    assert_eq!(sequence.step(5, false), Step::Take, "it was had after all");
    assert_eq!(sequence.step(9, false), Step::Again);
    assert_eq!(sequence.step(9, false), Step::Take, "what cannot be had is not waited for");
    assert_eq!((sequence.step(20, true), sequence.last()), (Step::Take, 20), "a whole list fills any gap");
}
