//! An emulated coordinator that streams the endpoint list to thousands of front ends, on one thread of its own.
//!
//! `GET /v2/stream` is answered with server-sent events: first the events since `last-event-id`, or a snapshot of all
//! workers if those are no longer known; then each new event, and a comment each second. The coordinator counts
//! connections, bytes, messages and its own CPU time. It can reject connections, limit their bandwidth, discard its
//! history or break off streams. Measurements of it do not apply to the coordinator that users run, which is another
//! program.

mod stream;
mod tier;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Runtime;
use tokio::sync::{oneshot, watch};

pub use self::tier::{Tier, event};

/// The number of past events that are kept; a front end that missed more gets a snapshot.
const MAX_HISTORY: usize = 1024;
/// The number of requests kept for [`Coordinator::requests`]; later ones are not kept.
const MAX_REQUESTS: usize = 16_384;
/// The backlog of the listener, as all front ends of a site may connect at once.
const BACKLOG: u32 = 4096;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted, except those rejected during a cut.
    pub connections: u64,
    /// Connections closed unanswered during a cut.
    pub rejected: u64,
    /// Streams that are currently open.
    pub open: u64,
    /// Bytes received from front ends.
    pub received_bytes: u64,
    /// Bytes sent to front ends.
    pub sent_bytes: u64,
    /// Events that were written completely.
    pub events: u64,
    /// Comments that were written.
    pub comments: u64,
}

/// The counters behind [`Counts`].
#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    rejected: AtomicU64,
    open: AtomicU64,
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
    events: AtomicU64,
    comments: AtomicU64,
}

/// How the coordinator behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The interval of comments; `None` for comments on request only.
    pub comments: Option<Duration>,
    /// The bandwidth of each stream in bytes per second; `None` for no limit.
    pub rate: Option<u64>,
    /// Whether all streams are ended, and new connections are counted and closed without an answer.
    pub cut: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            comments: Some(Duration::from_secs(1)),
            rate: None,
            cut: false,
        }
    }
}

/// An event as it is written to the streams.
#[derive(Clone, Debug)]
struct FramedEvent {
    index: u64,
    bytes: Bytes,
}

impl FramedEvent {
    fn new(index: u64, text: &str) -> Self {
        FramedEvent {
            index,
            bytes: Bytes::from(format!("id: {index}\ndata: {text}\n\n")),
        }
    }
}

/// The events and comments that streams send.
#[derive(Default)]
struct EventLog {
    /// The index of the last event.
    last: u64,
    /// The event `last` as one that lists all workers.
    snapshot: Bytes,
    /// The last events, oldest first.
    history: VecDeque<FramedEvent>,
    /// The number of comments requested by [`Coordinator::comment`].
    comments: u64,
    /// The number of bytes after the response head at which the next stream breaks off; `None` if it does not.
    break_off: Option<usize>,
    /// The heads of the first requests, as received.
    requests: Vec<String>,
}

impl EventLog {
    fn append(&mut self, event: FramedEvent, snapshot: FramedEvent) {
        self.last = event.index;
        self.snapshot = snapshot.bytes;
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }

    /// The events after the index `last`. They are replaced by one snapshot if some of them are no longer kept, or if a
    /// new stream starts at index 0.
    fn since(&self, last: u64, is_new: bool) -> Vec<FramedEvent> {
        if last >= self.last {
            return Vec::new();
        }
        let oldest = self.history.front().map_or(u64::MAX, |event| event.index);
        if is_new && last == 0 || oldest > last + 1 {
            return vec![FramedEvent {
                index: self.last,
                bytes: self.snapshot.clone(),
            }];
        }
        self.history
            .iter()
            .filter(|event| event.index > last)
            .cloned()
            .collect()
    }
}

/// The state that the coordinator's tasks share.
struct Shared {
    counters: Counters,
    log: Mutex<EventLog>,
    behaviour: watch::Sender<Behaviour>,
    /// A counter that is incremented with each change of the log, to wake the streams.
    changes: watch::Sender<u64>,
}

impl Shared {
    fn log(&self) -> MutexGuard<'_, EventLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

/// A running coordinator. Dropping it ends the coordinator and its streams.
pub struct Coordinator {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// The file in which the kernel reports the CPU time of the thread.
    schedstat: String,
}

impl Coordinator {
    /// Starts a coordinator on a free loopback port.
    ///
    /// # Errors
    /// Fails if the runtime, the socket or the thread cannot be created.
    pub fn start(behaviour: Behaviour) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = listen(&runtime)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            counters: Counters::default(),
            log: Mutex::default(),
            behaviour: watch::Sender::new(behaviour),
            changes: watch::Sender::new(0),
        });
        let (stop, stopped) = oneshot::channel();
        let (ready, started) = std::sync::mpsc::channel();
        let serving = shared.clone();
        let thread = std::thread::Builder::new()
            .name("coordinator".into())
            .spawn(move || {
                let _ = ready.send(own_schedstat());
                runtime.block_on(async {
                    tokio::select! {
                        () = stream::accept(listener, serving) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        Ok(Coordinator {
            shared,
            address,
            stop: Some(stop),
            thread: Some(thread),
            schedstat: started.recv().unwrap_or_default(),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes an event with these workers and returns its index. `complete` states whether the event lists all
    /// workers; `tier` holds all workers as they are after the event.
    pub fn publish(&self, complete: bool, hosts: &[Value], tier: &Tier) -> u64 {
        let index = self.shared.log().last + 1;
        let text = event(index, complete, hosts);
        let snapshot = event(index, true, tier.hosts());
        self.publish_text(index, &text, &snapshot);
        index
    }

    /// Publishes an event with this text. `snapshot` is the text of the event that lists all workers, for front ends
    /// that missed events that are no longer kept.
    pub fn publish_text(&self, index: u64, text: &str, snapshot: &str) {
        let event = FramedEvent::new(index, text);
        let snapshot = FramedEvent::new(index, snapshot);
        self.shared.log().append(event, snapshot);
        self.shared.announce_change();
    }

    /// Drops past events, as a restart does. A front end that has missed events gets a snapshot when it reconnects.
    pub fn clear_history(&self) {
        self.shared.log().history.clear();
    }

    /// Sends a comment on all streams at once.
    pub fn comment(&self) {
        self.shared.log().comments += 1;
        self.shared.announce_change();
    }

    /// Makes the next stream break off when this number of bytes has been sent after the response head.
    pub fn break_off(&self, after: usize) {
        self.shared.log().break_off = Some(after);
    }

    /// Changes the behaviour, for open streams as well. Only their interval of comments stays as it was.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        self.shared.behaviour.send_modify(change);
    }

    /// The current counts.
    pub fn counts(&self) -> Counts {
        let counters = &self.shared.counters;
        Counts {
            connections: counters.connections.load(Relaxed),
            rejected: counters.rejected.load(Relaxed),
            open: counters.open.load(Relaxed),
            received_bytes: counters.received_bytes.load(Relaxed),
            sent_bytes: counters.sent_bytes.load(Relaxed),
            events: counters.events.load(Relaxed),
            comments: counters.comments.load(Relaxed),
        }
    }

    /// The heads of the first 16,384 requests, as received.
    pub fn requests(&self) -> Vec<String> {
        self.shared.log().requests.clone()
    }

    /// The CPU time of the coordinator's thread, in nanoseconds; 0 if the system does not report it.
    pub fn cpu_ns(&self) -> u64 {
        std::fs::read_to_string(&self.schedstat)
            .unwrap_or_default()
            .split_whitespace()
            .next()
            .and_then(|nanoseconds| nanoseconds.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(runtime: &Runtime) -> io::Result<TcpListener> {
    let _in_runtime = runtime.enter();
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(BACKLOG)
}

/// The file in which the kernel reports the CPU time of the calling thread.
fn own_schedstat() -> String {
    let thread = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    let file = Path::new("/proc").join(thread).join("schedstat");
    file.display().to_string()
}
