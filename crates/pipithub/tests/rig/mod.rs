//! The program as processes, with workers and coordinators played by the test.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Lines, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

/// A process that is ended when dropped.
pub(crate) struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Answers every line of a worker's protocol; ends with the test.
pub(crate) fn worker(listener: TcpListener) {
    for stream in listener.incoming().map_while(Result::ok) {
        std::thread::spawn(move || {
            let mut write = stream.try_clone().expect("a second handle");
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                let asked: serde_json::Value = serde_json::from_str(&line).expect("a request");
                let answer = serde_json::json!({"cmd": "ACK", "ref": asked["ref"], "payload": asked["payload"]});
                if write.write_all(format!("{answer}\n").as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// A listener on a port of the system's choice, and where it is.
pub(crate) fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A file that is removed with the test, and is nobody else's.
pub(crate) struct Place(pub PathBuf);

impl Place {
    pub(crate) fn new(name: &str) -> Self {
        Place(std::env::temp_dir().join(format!("pipithub-{name}-{}", std::process::id())))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The configuration of a front end that knows one worker: `view` may be repeated, `assign` must not run twice.
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
            "Grades": [class("view", "read_like"), class("assign", "non_idempotent")]}
    })
}

/// An event that names this worker alone.
pub(crate) fn event(index: u64, worker: SocketAddr) -> Value {
    json!({"index": index, "endpoints": {"seq": index, "whole": true, "hosts": [
        {"host": format!("w{}", worker.port()), "dial": worker.to_string(), "site": "a", "health": "SERVING"}]}})
}

/// A front end as a process.
pub(crate) struct FrontEndProcess {
    pub process: Running,
    pub log: Lines<BufReader<ChildStderr>>,
}

impl FrontEndProcess {
    /// Starts it, with at most so many descriptors where that is told.
    pub(crate) fn spawn(config: &Path, descriptors: Option<u32>) -> Self {
        let mut command = match descriptors {
            None => Command::new(BINARY),
            Some(most) => {
                // As the platform does it: the shell becomes the program.
                let mut shell = Command::new("/bin/sh");
                shell.args([
                    "-c",
                    &format!("ulimit -n {most}; exec {BINARY} \"$@\""),
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
        let mut process = Running(child);
        let log = BufReader::new(process.0.stderr.take().expect("piped")).lines();
        FrontEndProcess { process, log }
    }

    /// Waits for a line of its log that holds these words.
    pub(crate) fn says(&mut self, words: &str) -> String {
        let mut lines = self.log.by_ref().map_while(Result::ok);
        lines
            .find(|line| line.contains(words))
            .unwrap_or_else(|| panic!("it ended and never said {words:?}"))
    }

    /// Waits until it is up; where clients connect.
    pub(crate) fn up(&mut self) -> SocketAddr {
        let line = self.says("front end up");
        let address = line
            .split_whitespace()
            .find_map(|w| w.strip_prefix("address="))
            .expect("told");
        address.trim_matches('"').parse().expect("an address")
    }

    /// Sends it a signal, by its own id.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.process.0.id().to_string();
        let done = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .expect("runs");
        assert!(done.success(), "{name}");
    }
}

/// One end of a connection, by lines.
pub(crate) struct Peer {
    lines: Lines<BufReader<TcpStream>>,
    write: TcpStream,
}

impl Peer {
    pub(crate) fn of(stream: TcpStream) -> Self {
        let write = stream.try_clone().expect("a second handle");
        Peer {
            lines: BufReader::new(stream).lines(),
            write,
        }
    }

    pub(crate) fn connect(address: SocketAddr) -> Self {
        Peer::of(TcpStream::connect(address).expect("connects"))
    }

    /// The next line, as JSON; `None` at a clean end.
    pub(crate) fn next(&mut self) -> Option<Value> {
        let line = self.lines.next()?.expect("no reset");
        Some(serde_json::from_str(&line).expect("JSON"))
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.write.write_all(text.as_bytes()).expect("written");
    }

    /// Whether the front end says that it is well.
    pub(crate) fn is_well(&mut self, id: u64) -> bool {
        self.send(&format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"isWell\"}}\n"
        ));
        self.next().expect("an answer")["result"]["healthy"] == true
    }

    /// Answers what this asked for, as a worker that served it.
    pub(crate) fn serve(&mut self, asked: &Value) {
        let answer = json!({"cmd": "ACK", "ref": asked["ref"], "payload": asked["payload"]});
        self.send(&format!("{answer}\n"));
    }
}

/// The line of a call.
pub(crate) fn call(id: u64, class: &str) -> String {
    let call = json!({"jsonrpc": "2.0", "id": id, "method": class, "params":
        {"call": format!("{id:016x}"), "ttl": 60_000, "row": "00000000000000aa", "props": "memory_mb:1;lanes:1000", "body": "aGVsbG8="}});
    format!("{call}\n")
}

/// Takes a coordinator's next connection and answers with these events, and stays open.
pub(crate) fn tell(list: &TcpListener, events: &[Value]) -> (TcpStream, String) {
    let (mut stream, _) = list.accept().expect("it asks");
    let (mut request, mut byte) = (Vec::new(), [0]);
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        request.push(byte[0]);
    }
    let mut says = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_string();
    for event in events {
        says += &format!("id: {}\ndata: {event}\n\n", event["index"]);
    }
    stream.write_all(says.as_bytes()).expect("written");
    (stream, String::from_utf8_lossy(&request).to_lowercase())
}
