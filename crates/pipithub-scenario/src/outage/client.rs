//! Clients that keep a few connections to one front end and send calls at a steady rate.
//!
//! Clients use an open connection until it ends, also while the front end shuts down.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;

use super::history::{AnswerKind, CallRecord, ClientEnd, Recorder};
use super::plan::Rates;
use super::worker::UNSAFE_CLASS;
use crate::random::SplitMix64;

/// The number of connections to each front end.
const CONNECTIONS: u64 = 4;
/// The platform's limit on unanswered calls on one connection.
const MAX_PENDING_CALLS: usize = 32;
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The error code of answers that reject a call.
const REJECTED_CODE: i64 = -32050;
/// The body of all calls, in base64; workers return it.
const BODY: &str = "aGVsbG8=";
/// One call in this many, on average, is of the class that must not run twice.
const UNSAFE_EVERY: usize = 4;

/// The load of a run, which all its clients share.
#[derive(Debug)]
pub(super) struct Load {
    pub(super) rates: Rates,
    pub(super) timeout: Duration,
    /// The current load, in percent of the planned one.
    pub(super) percent: AtomicU32,
    pub(super) ended: AtomicBool,
}

/// The clients of one front end.
pub(super) struct Clients {
    node: usize,
    address: SocketAddr,
    load: Arc<Load>,
    recorder: Arc<Recorder>,
    random: Mutex<SplitMix64>,
}

impl Clients {
    /// Starts the clients of a front end, which connect as soon as it listens. Each task ends once the load has ended and
    /// its connection is closed; it has recorded its calls by then.
    pub(super) fn start(
        node: usize,
        address: SocketAddr,
        seed: u64,
        load: Arc<Load>,
        recorder: Arc<Recorder>,
    ) -> Vec<JoinHandle<()>> {
        let clients = Arc::new(Clients {
            node,
            address,
            load,
            recorder,
            random: Mutex::new(SplitMix64::new(seed ^ (node as u64) << 32)),
        });
        (0..CONNECTIONS)
            .map(|_| tokio::spawn(clients.clone().reconnect_until_end()))
            .collect()
    }

    fn random(&self) -> MutexGuard<'_, SplitMix64> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn reconnect_until_end(self: Arc<Self>) {
        while !self.load.ended.load(Relaxed) {
            if let Ok(stream) = TcpStream::connect(self.address).await {
                self.use_connection(stream).await;
            }
            tokio::time::sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Sends calls on a connection until it ends, and records them.
    async fn use_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let connection = Connection::default();
        tokio::select! {
            () = self.send_calls(write, &connection) => {}
            () = self.read_answers(read, &connection) => {}
        }
        let at = self.recorder.now();
        let open = std::mem::take(&mut *connection.pending_calls());
        for mut call in open.into_values() {
            if call.end == ClientEnd::Pending {
                call.end = ClientEnd::Closed { at };
            }
            self.recorder.record(|history| history.calls.push(call));
        }
    }

    async fn send_calls(&self, mut write: OwnedWriteHalf, connection: &Connection) {
        let mut id = 0u64;
        loop {
            tokio::time::sleep(self.next_gap()).await;
            let is_at_bound = connection.unanswered() >= MAX_PENDING_CALLS;
            if is_at_bound || self.load.ended.load(Relaxed) {
                continue;
            }
            id += 1;
            let (call, line) = self.next_call(id);
            connection.pending_calls().insert(id, call);
            if write.write_all(line.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Draws the time to the next call of a connection: half to one and a half times the mean.
    fn next_gap(&self) -> Duration {
        let percent = f64::from(self.load.percent.load(Relaxed));
        let rate = f64::from(self.load.rates.calls) * percent / 100.0 / CONNECTIONS as f64;
        let factor = 0.5 + self.random().unit();
        Duration::from_secs_f64(factor / rate.max(0.1))
    }

    fn next_call(&self, id: u64) -> (CallRecord, String) {
        let mut random = self.random();
        let call = format!("{:016x}", random.next_u64());
        // The square of the draw makes the first functions the most popular.
        let function = (random.unit().powi(2) * self.load.rates.functions as f64) as usize;
        let class = if random.below(UNSAFE_EVERY) == 0 {
            UNSAFE_CLASS
        } else {
            "view"
        };
        let line = json!({"jsonrpc": "2.0", "id": id, "method": class, "params": {
            "call": call, "ttl": self.load.timeout.as_millis() as u64, "row": function_name(function),
            "props": "memory_mb:64;lanes:8", "body": BODY}});
        let record = CallRecord {
            node: self.node,
            call,
            sent: self.recorder.now(),
            timeout: self.load.timeout,
            further_answers: 0,
            end: ClientEnd::Pending,
        };
        (record, format!("{line}\n"))
    }

    async fn read_answers(&self, read: OwnedReadHalf, connection: &Connection) {
        let mut lines = BufReader::new(read).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let at = self.recorder.now();
            let Ok(answer) = serde_json::from_str::<Value>(&line) else {
                return;
            };
            let mut pending_calls = connection.pending_calls();
            let id = answer["id"].as_u64().unwrap_or(0);
            let Some(call) = pending_calls.get_mut(&id) else {
                continue;
            };
            if call.end == ClientEnd::Pending {
                let kind = answer_kind(&answer);
                call.end = ClientEnd::Answered { at, kind };
            } else {
                call.further_answers += 1;
            }
        }
    }
}

/// The calls of one connection, by the ids of their requests.
#[derive(Debug, Default)]
struct Connection {
    pending_calls: Mutex<BTreeMap<u64, CallRecord>>,
}

impl Connection {
    fn pending_calls(&self) -> MutexGuard<'_, BTreeMap<u64, CallRecord>> {
        self.pending_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn unanswered(&self) -> usize {
        let is_open = |call: &&CallRecord| call.end == ClientEnd::Pending;
        self.pending_calls().values().filter(is_open).count()
    }
}

fn answer_kind(answer: &Value) -> AnswerKind {
    if answer["result"]["body"] == BODY {
        AnswerKind::Served
    } else if answer["error"]["code"].as_i64() == Some(REJECTED_CODE) {
        AnswerKind::Rejected
    } else {
        AnswerKind::Failed
    }
}

/// The name of a function by its number.
pub(super) fn function_name(number: usize) -> String {
    format!("{:016x}", 0xf000_0000 + number as u64)
}
