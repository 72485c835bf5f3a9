//! A front end in the test's own thread, beside workers and a coordinator played by hand.
//!
//! Nothing of the front end runs while the test does not wait: whatever the test does on its sockets between two waits
//! lies in the system together, in that order, before the front end sees any of it. That is how crossings are forced.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use pipithub_node::shell::Node;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// A listener on a port of the system's choice, and where it is.
pub(crate) async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// An event that names these workers: with its number, and whether it holds all of them.
pub(crate) fn event(index: u64, whole: bool, hosts: &[(&str, SocketAddr, &str)]) -> Value {
    let hosts: Vec<Value> = hosts
        .iter()
        .map(
            |(id, dial, health)| json!({"host": id, "dial": dial.to_string(), "site": "a", "health": health}),
        )
        .collect();
    json!({"index": index, "endpoints": {"seq": index, "whole": whole, "hosts": hosts}})
}

/// The configuration of a front end with these workers: `view` may be repeated, `assign` must not run twice.
pub(crate) fn config(coordinator: SocketAddr, known: &[Value]) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "Aim": 30_000_000_000u64,
        "GiveUp": 60_000_000_000u64, "LateWorth": 0.5})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1", "coordinator": coordinator.to_string(),
        "limits": {"memory_mb": 512, "sockets": 256},
        "known": {"index": known.len(), "updates": known},
        "settings": {"PeersTotal": 1, "Granularity": 2_000_000,
            "Limits": {"MostTries": 4, "MayCancel": true, "StreamsPerConn": 1000, "ConnectTimeout": 10_000_000_000u64},
            "Grades": [class("view", "read_like"), class("assign", "non_idempotent")]}
    })
}

/// Starts a front end; where clients connect. Must be called within a `LocalSet`.
pub(crate) async fn start(config: &Value) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let place = std::env::temp_dir().join(format!(
        "pipithub-node-{}-{number}.json",
        std::process::id()
    ));
    std::fs::write(&place, config.to_string()).expect("written");
    let node = Node::bind(&place, None).await.expect("starts");
    std::fs::remove_file(&place).expect("removed");
    let address = node.address().expect("bound");
    tokio::task::spawn_local(node.serve());
    address
}

/// One end of a connection, by lines.
pub(crate) struct Peer {
    pub lines: Lines<BufReader<OwnedReadHalf>>,
    pub write: OwnedWriteHalf,
}

impl Peer {
    pub(crate) fn of(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        Peer {
            lines: BufReader::new(read).lines(),
            write,
        }
    }

    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Peer::of(TcpStream::connect(address).await.expect("connects"))
    }

    /// The next connection that the front end makes to this listener.
    pub(crate) async fn accept(listener: &TcpListener) -> Self {
        Peer::of(listener.accept().await.expect("a connection").0)
    }

    /// As a worker, serves the next call; returns its line.
    pub(crate) async fn serve_next(&mut self) -> Value {
        let asked = self.next().await.expect("a call");
        self.send(&served(&asked)).await;
        asked
    }

    /// The next line, as JSON; `None` at a clean end.
    pub(crate) async fn next(&mut self) -> Option<Value> {
        let line = self.lines.next_line().await.expect("no reset")?;
        Some(serde_json::from_str(&line).expect("JSON"))
    }

    /// Writes without waiting, so that the other side has not run when this returns.
    pub(crate) fn say(&mut self, text: &str) {
        assert_eq!(
            self.write.try_write(text.as_bytes()).expect("room"),
            text.len()
        );
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.write
            .write_all(text.as_bytes())
            .await
            .expect("written");
    }

    /// Waits until the front end has handled all that stood in the system before, and says whether it is healthy.
    pub(crate) async fn is_well(&mut self, id: u64) -> bool {
        self.send(&format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"isWell\"}}\n"
        ))
        .await;
        let answer = self.next().await.expect("an answer");
        answer["result"]["healthy"] == true
    }
}

pub(crate) async fn within<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new()
        .run_until(tokio::time::timeout(Duration::from_secs(60), test))
        .await
        .expect("it ends")
}

/// A front end with one worker, whose list says no more.
pub(crate) async fn one_worker() -> (TcpListener, TcpListener, SocketAddr) {
    let ((worker, at), (list, list_at)) = (listener().await, listener().await);
    let node = start(&config(
        list_at,
        &[event(1, true, &[("w1", at, "SERVING")])],
    ))
    .await;
    (worker, list, node)
}

/// The line of a call.
pub(crate) fn call(id: u64, class: &str, body: &str) -> String {
    let call = json!({"jsonrpc": "2.0", "id": id, "method": class, "params":
        {"call": format!("{id:016x}"), "ttl": 60_000, "row": "00000000000000aa", "props": "memory_mb:1;lanes:1000", "body": body}});
    format!("{call}\n")
}

/// The line with which a worker serves what this line asked for.
pub(crate) fn served(asked: &Value) -> String {
    let answer = json!({"cmd": "ACK", "ref": asked["ref"], "payload": asked["payload"]});
    format!("{answer}\n")
}

/// What the system holds between these two ports: bytes that are not sent yet, and unread ones. A segment that has come
/// and is not acknowledged yet stands in both queues, so the table is read until no segment is on its way and two
/// readings agree.
#[cfg(target_os = "linux")]
pub(crate) fn held_by_the_system(one: u16, other: u16) -> usize {
    let mut before = None;
    loop {
        let queues = queues_between(one, other);
        let is_settled = queues.iter().all(|queue| !queue.has_unacknowledged);
        let held = queues.iter().map(|queue| queue.bytes).sum();
        if is_settled && before == Some(held) {
            return held;
        }
        before = Some(held).filter(|_| is_settled);
    }
}

/// One end of a connection in the system's table.
#[cfg(target_os = "linux")]
struct Queue {
    /// Bytes that are not acknowledged or not read.
    bytes: usize,
    /// Its retransmission timer runs: a segment is on its way.
    has_unacknowledged: bool,
}

#[cfg(target_os = "linux")]
fn queues_between(one: u16, other: u16) -> Vec<Queue> {
    /// The timer's kind in the table, see `proc_pid_net(5)`.
    const RETRANSMISSION_TIMER: &str = "01";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table");
    let queue = |line: &str| -> Option<Queue> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port_of = |field: &str| u16::from_str_radix(field.split(':').nth(1)?, 16).ok();
        let ports = (port_of(fields.get(1)?)?, port_of(fields.get(2)?)?);
        let (unacknowledged, unread) = fields.get(4)?.split_once(':')?;
        let (timer, _) = fields.get(5)?.split_once(':')?;
        let bytes = |hex: &str| usize::from_str_radix(hex, 16).ok();
        let queue = Queue {
            bytes: bytes(unacknowledged)? + bytes(unread)?,
            has_unacknowledged: timer == RETRANSMISSION_TIMER,
        };
        Some(queue).filter(|_| ports == (one, other) || ports == (other, one))
    };
    table.lines().filter_map(queue).collect()
}

/// What the system holds of the connections with this port: unacknowledged and unread bytes, from its tables.
#[cfg(target_os = "linux")]
pub(crate) fn held_at_port(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table");
    let of = |line: &str| -> Option<usize> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port_of = |field: &str| u16::from_str_radix(field.split(':').nth(1)?, 16).ok();
        let ports = (port_of(fields.get(1)?)?, port_of(fields.get(2)?)?);
        let (tx, rx) = fields.get(4)?.split_once(':')?;
        let bytes = |hex: &str| usize::from_str_radix(hex, 16).ok();
        // Established alone: a listener's figures mean something else.
        let ours = fields.get(3) == Some(&"01") && (ports.0 == port || ports.1 == port);
        Some(bytes(tx)? + bytes(rx)?).filter(|_| ours)
    };
    table.lines().filter_map(of).sum()
}
