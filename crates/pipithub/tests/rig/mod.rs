//! Test support: front ends as processes, and emulated workers and coordinators.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Lines, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

/// Kills and reaps a process when dropped.
pub(crate) struct ProcessGuard(pub Child);

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs a worker that answers every request as served, until the test ends.
pub(crate) fn run_worker(listener: TcpListener) {
    for stream in listener.incoming().map_while(Result::ok) {
        std::thread::spawn(move || {
            let mut write = stream.try_clone().expect("a second handle");
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                let request: serde_json::Value = serde_json::from_str(&line).expect("a request");
                let answer = serde_json::json!({"cmd": "ACK", "ref": request["ref"], "payload": request["payload"]});
                if write.write_all(format!("{answer}\n").as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Binds a listener to a free port; returns it with its address.
pub(crate) fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// The path of a temporary file, which is removed when dropped.
pub(crate) struct TempFile(pub PathBuf);

impl TempFile {
    pub(crate) fn new(name: &str) -> Self {
        TempFile(std::env::temp_dir().join(format!("pipithub-{name}-{}", std::process::id())))
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The configuration of a front end that knows one worker. Calls of class `view` are idempotent, calls of class `assign` are
/// not.
pub(crate) fn config(coordinator: SocketAddr, worker: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "Aim": 30_000_000_000u64,
        "GiveUp": 60_000_000_000u64})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1", "coordinator": coordinator.to_string(),
        "limits": {"memory_mb": 64, "sockets": 64},
        "known": {"index": 1, "updates": [event(1, worker)]},
        "settings": {"PeersTotal": 1, "Granularity": 2_000_000, "Limits": {"MostTries": 4},
            // The list is relied on for as long as a test can last, whether or not a coordinator confirms it.
            "Rules": {"DrainGrace": 3_600_000_000_000u64},
            "Grades": [class("view", "read_like"), class("assign", "non_idempotent")]}
    })
}

/// An endpoint list event with this worker only.
pub(crate) fn event(index: u64, worker: SocketAddr) -> Value {
    json!({"index": index, "endpoints": {"seq": index, "whole": true, "hosts": [
        {"host": format!("w{}", worker.port()), "dial": worker.to_string(), "site": "a", "health": "SERVING"}]}})
}

/// A front end as a process, with the lines of its log.
pub(crate) struct FrontEndProcess {
    pub process: ProcessGuard,
    pub log: Lines<BufReader<ChildStderr>>,
}

impl FrontEndProcess {
    /// Starts a front end, with a limit on file descriptors if one is given.
    pub(crate) fn spawn(config: &Path, descriptors: Option<u32>) -> Self {
        let mut command = match descriptors {
            None => Command::new(BINARY),
            Some(limit) => {
                // As on the platform, the shell replaces itself with the program by `exec`.
                let mut shell = Command::new("/bin/sh");
                shell.args([
                    "-c",
                    &format!("ulimit -n {limit}; exec {BINARY} \"$@\""),
                    "sh",
                ]);
                shell
            }
        };
        command
            .arg("node")
            .env("LB_CONFIG", config)
            .env("RUST_LOG", "info")
            .env("NO_COLOR", "1");
        let child = command
            .env_remove("LB_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        let mut process = ProcessGuard(child);
        let log = BufReader::new(process.0.stderr.take().expect("piped")).lines();
        FrontEndProcess { process, log }
    }

    /// Waits for a line of the log that contains this message, and returns the line.
    pub(crate) fn wait_for_log(&mut self, message: &str) -> String {
        let mut lines = self.log.by_ref().map_while(Result::ok);
        lines
            .find(|line| line.contains(message))
            .unwrap_or_else(|| panic!("the front end ended without logging {message:?}"))
    }

    /// Waits until the front end is up; returns its address for clients.
    pub(crate) fn wait_until_up(&mut self) -> SocketAddr {
        let line = self.wait_for_log("front end up");
        let address = line
            .split_whitespace()
            .find_map(|w| w.strip_prefix("address="))
            .expect("the log names the address");
        address.trim_matches('"').parse().expect("an address")
    }

    /// Sends a signal to the front end.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.process.0.id().to_string();
        let done = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .expect("runs");
        assert!(done.success(), "{name}");
    }
}

/// One end of a connection whose messages are lines of JSON.
pub(crate) struct Peer {
    lines: Lines<BufReader<TcpStream>>,
    write: TcpStream,
}

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let write = stream.try_clone().expect("a second handle");
        Peer {
            lines: BufReader::new(stream).lines(),
            write,
        }
    }

    pub(crate) fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).expect("connects"))
    }

    /// Reads the next line, as JSON; `None` if the other end has closed the connection.
    pub(crate) fn receive(&mut self) -> Option<Value> {
        let line = self.lines.next()?.expect("no reset");
        Some(serde_json::from_str(&line).expect("JSON"))
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.write.write_all(text.as_bytes()).expect("written");
    }

    /// Asks the front end whether it is healthy, in a request with this id.
    pub(crate) fn is_healthy(&mut self, id: u64) -> bool {
        self.send(&format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"isWell\"}}\n"
        ));
        self.receive().expect("an answer")["result"]["healthy"] == true
    }

    /// Answers a request as a worker that has served it.
    pub(crate) fn serve(&mut self, request: &Value) {
        let answer = json!({"cmd": "ACK", "ref": request["ref"], "payload": request["payload"]});
        self.send(&format!("{answer}\n"));
    }
}

/// The line that a client sends for a call.
pub(crate) fn call_line(id: u64, class: &str) -> String {
    let call = json!({"jsonrpc": "2.0", "id": id, "method": class, "params":
        {"call": format!("{id:016x}"), "ttl": 60_000, "row": "00000000000000aa", "props": "memory_mb:1;lanes:1000", "body": "aGVsbG8="}});
    format!("{call}\n")
}

/// Accepts the next connection to a coordinator and sends these events; returns the open connection and the request in
/// lower case.
pub(crate) fn serve_events(list: &TcpListener, events: &[Value]) -> (TcpStream, String) {
    let (mut stream, _) = list.accept().expect("the front end connects");
    let (mut request, mut byte) = (Vec::new(), [0]);
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        request.push(byte[0]);
    }
    let mut response = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_string();
    for event in events {
        response += &format!("id: {}\ndata: {event}\n\n", event["index"]);
    }
    stream.write_all(response.as_bytes()).expect("written");
    (stream, String::from_utf8_lossy(&request).to_lowercase())
}
