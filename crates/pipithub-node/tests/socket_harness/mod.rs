//! A front end on the test's own thread. The test acts as its clients, workers and coordinator on real sockets.
//!
//! The front end runs only while the test waits. Whatever the test does on its sockets between two waits is held by the
//! operating system, in the same order, before the front end sees any of it. This is how races are forced.
#![allow(dead_code)]

#[cfg(target_os = "linux")]
pub(crate) mod system_queues;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use pipithub_node::shell::Node;
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// The head of a coordinator's response, which precedes its events.
pub(crate) const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// A drain grace that no test outlasts, in nanoseconds.
const LONG_DRAIN_GRACE_NS: u64 = 3_600_000_000_000;

/// A call's body that makes the call's line about 21 KiB long.
pub(crate) fn long_body() -> String {
    "A".repeat(21_844)
}

/// Runs a test that shares its thread with a front end; it fails after a minute.
pub(crate) async fn run_test<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new()
        .run_until(tokio::time::timeout(Duration::from_secs(60), test))
        .await
        .expect("the test ends in time")
}

/// A listener on a port of the system's choice, and its address.
pub(crate) async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A listener with an accept queue of this length, and with a receive buffer of this many bytes, or the default if
/// `None`.
pub(crate) fn small_listener(backlog: i32, receive_buffer: Option<usize>) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    if let Some(bytes) = receive_buffer {
        socket
            .set_recv_buffer_size(bytes)
            .expect("the socket option is set");
    }
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&address.into()).expect("bound");
    socket.listen(backlog).expect("listens");
    socket
        .set_nonblocking(true)
        .expect("the socket option is set");
    TcpListener::from_std(socket.into()).expect("listens")
}

/// An event of the endpoint list with these workers, each with its id, address and health. `is_complete` tells whether
/// the list holds no other workers.
pub(crate) fn event(index: u64, is_complete: bool, workers: &[(&str, SocketAddr, &str)]) -> Value {
    let host = |(id, address, health): &(&str, SocketAddr, &str)| json!({"host": id, "dial": address.to_string(), "site": "a", "health": health});
    let hosts: Vec<Value> = workers.iter().map(host).collect();
    json!({"index": index, "endpoints": {"seq": index, "whole": is_complete, "hosts": hosts}})
}

/// A complete list with one ready worker.
pub(crate) fn one_ready_worker(address: SocketAddr) -> Value {
    event(1, true, &[("w1", address, "SERVING")])
}

/// The configuration of a front end with these events: `view` is idempotent, `assign` is not.
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
            // No coordinator confirms the list in most tests: it is relied on for as long as a test can last.
            "Rules": {"DrainGrace": LONG_DRAIN_GRACE_NS},
            "Grades": [class("view", "read_like"), class("assign", "non_idempotent")]}
    })
}

/// Starts a front end within a `LocalSet`; returns the address at which clients connect.
pub(crate) async fn start(config: &Value) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pipithub-node-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).expect("written");
    let node = Node::bind(&path, None).await.expect("starts");
    std::fs::remove_file(&path).expect("removed");
    let address = node.address().expect("bound");
    tokio::task::spawn_local(node.serve());
    address
}

/// A front end, its only worker's listener, and a coordinator that does not answer.
pub(crate) struct FrontEnd {
    pub(crate) worker: TcpListener,
    address: SocketAddr,
    _coordinator: TcpListener,
}

impl FrontEnd {
    pub(crate) async fn start() -> Self {
        FrontEnd::start_with(|_| {}).await
    }

    /// Starts a front end with a configuration that `change` has modified.
    pub(crate) async fn start_with(change: impl FnOnce(&mut Value)) -> Self {
        let (worker, _) = listener().await;
        FrontEnd::start_with_worker(worker, change).await
    }

    /// Starts a front end with this worker, and with a configuration that `change` has modified.
    pub(crate) async fn start_with_worker(
        worker: TcpListener,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let worker_address = worker.local_addr().expect("bound");
        let (coordinator, coordinator_address) = listener().await;
        let mut config = config(coordinator_address, &[one_ready_worker(worker_address)]);
        change(&mut config);
        FrontEnd {
            worker,
            address: start(&config).await,
            _coordinator: coordinator,
        }
    }

    pub(crate) async fn connect_client(&self) -> Peer {
        Peer::connect(self.address).await
    }

    /// Accepts the next connection that the front end opens to its worker.
    pub(crate) async fn accept_at_worker(&self) -> Peer {
        Peer::accept(&self.worker).await
    }
}

/// The test's end of a connection, which is read line by line.
pub(crate) struct Peer {
    pub(crate) lines: Lines<BufReader<OwnedReadHalf>>,
    pub(crate) write: OwnedWriteHalf,
}

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        Peer {
            lines: BufReader::new(read).lines(),
            write,
        }
    }

    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).await.expect("connects"))
    }

    pub(crate) async fn accept(listener: &TcpListener) -> Self {
        Peer::new(listener.accept().await.expect("a connection").0)
    }

    /// The ports of the test's end and of the front end's end.
    pub(crate) fn ports(&self) -> (u16, u16) {
        let local = self.write.local_addr().expect("bound");
        let remote = self.write.peer_addr().expect("connected");
        (local.port(), remote.port())
    }

    /// Waits for the next line and parses it as JSON; `None` if the connection is closed without a reset.
    pub(crate) async fn receive(&mut self) -> Option<Value> {
        let line = self.lines.next_line().await.expect("no reset")?;
        Some(serde_json::from_str(&line).expect("JSON"))
    }

    /// Waits for the next line, and fails if the connection is closed instead.
    pub(crate) async fn expect_message(&mut self) -> Value {
        self.receive().await.expect("a message, not a close")
    }

    /// Writes without waiting, so that the front end has not run when this returns.
    pub(crate) fn send_without_waiting(&mut self, text: &str) {
        let written = self
            .write
            .try_write(text.as_bytes())
            .expect("room in the send buffer");
        assert_eq!(written, text.len());
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.write
            .write_all(text.as_bytes())
            .await
            .expect("written");
    }

    /// As a worker, serves the next call; returns its request.
    pub(crate) async fn serve_next(&mut self) -> Value {
        let request = self.expect_message().await;
        self.send(&served_line(&request)).await;
        request
    }

    /// As a client, sends a health check and returns its result. By then, the front end has handled all input that the
    /// operating system held before.
    pub(crate) async fn is_healthy(&mut self, id: u64) -> bool {
        let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"isWell\"}}\n");
        self.send(&line).await;
        self.expect_message().await["result"]["healthy"] == true
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        let read = self.lines.into_inner().into_inner();
        read.reunite(self.write)
            .expect("both halves are of one stream")
    }

    pub(crate) fn close_with_reset(self) {
        let stream = self.into_stream();
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("the socket option is set");
        drop(stream);
    }
}

/// The line of a client's call.
pub(crate) fn call_line(id: u64, class: &str, body: &str) -> String {
    let call = json!({"jsonrpc": "2.0", "id": id, "method": class, "params":
        {"call": call_name(id), "ttl": 60_000, "row": "00000000000000aa", "props": "memory_mb:1;lanes:1000", "body": body}});
    format!("{call}\n")
}

/// The name of a call, which is also the reference in requests to workers.
pub(crate) fn call_name(id: u64) -> String {
    format!("{id:016x}")
}

/// The line with which a worker serves a request.
pub(crate) fn served_line(request: &Value) -> String {
    let answer = json!({"cmd": "ACK", "ref": request["ref"], "payload": request["payload"]});
    format!("{answer}\n")
}

/// Reads the head of a request for the endpoint list.
pub(crate) async fn read_request_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    String::from_utf8_lossy(&head).to_lowercase()
}
