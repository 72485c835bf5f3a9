//! A coordinator that hands the worker list to thousands of front ends, on one thread of its own.
//!
//! `GET /v2/stream` is answered with server-sent events: first what was missed since `last-event-id`, or every worker
//! where that is not known any more; then each event, and a comment each second. It counts connections, bytes, messages
//! and its own CPU time, and can be cut off, slow, forgetful or break off. It is ours and not the users' coordinator:
//! its figures are a stand-in's.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};

use crate::accept::next_stream;

/// Events kept for those who missed them; who missed more gets every worker.
const HISTORY_MOST: usize = 1024;
/// The most bytes of a request.
const REQUEST_MOST: usize = 4096;
/// Requests kept for comparison.
const REQUESTS_MOST: usize = 16_384;
/// Connections that may wait to be accepted: all of a site may come at once.
const BACKLOG: u32 = 4096;
/// A slow coordinator writes so often.
const SLOW_STEP: Duration = Duration::from_millis(50);
const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

/// The workers of a site, as the list names them.
#[derive(Clone, Debug)]
pub struct Tier {
    hosts: Vec<Value>,
    born: u64,
}

impl Tier {
    /// So many workers, in zones by turns.
    pub fn new(workers: usize, zones: usize) -> Self {
        let mut tier = Tier {
            hosts: Vec::new(),
            born: 0,
        };
        for at in 0..workers {
            let host = tier.host(at, at % zones.max(1));
            tier.hosts.push(host);
        }
        tier
    }

    /// A new worker, with a name and a birth of its own, at this place.
    fn host(&mut self, at: usize, zone: usize) -> Value {
        self.born += 1;
        let (born, [a, b, c]) = (self.born, [at >> 14 & 63, at >> 7 & 127, at & 127]);
        json!({"host": format!("worker-{at:05}-{born:06}"), "dial": format!("10.{a}.{b}.{c}:30012"),
            "site": format!("zone-{zone}"), "block": at / 16, "class": "big", "health": "SERVING", "share": 1.0,
            "born_ms": 1_790_000_000_000 + born})
    }

    /// Every worker.
    pub fn hosts(&self) -> &[Value] {
        &self.hosts
    }

    /// Replaces a worker by a new one; what changed.
    pub fn replace(&mut self, at: usize) -> Vec<Value> {
        let Some(old) = self.hosts.get(at).cloned() else {
            return Vec::new();
        };
        let mut fresh = self.host(at, 0);
        fresh["site"] = old["site"].clone();
        self.hosts[at] = fresh.clone();
        vec![gone(&old), fresh]
    }

    /// Takes away one zone's workers; what changed.
    pub fn lose(&mut self, zone: usize) -> Vec<Value> {
        let name = format!("zone-{zone}");
        let (lost, left): (Vec<Value>, Vec<Value>) = self
            .hosts
            .drain(..)
            .partition(|h| h["site"].as_str() == Some(&name));
        self.hosts = left;
        lost.iter().map(gone).collect()
    }
}

fn gone(host: &Value) -> Value {
    let mut host = host.clone();
    host["health"] = "DELETED".into();
    host
}

/// The text of a list event.
pub fn event(index: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"index": index, "endpoints": {"seq": index, "whole": whole, "hosts": hosts}}).to_string()
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted, those turned away during a cut not included.
    pub connections: u64,
    /// Connections closed unanswered during a cut.
    pub rejected: u64,
    /// Streams that are open now.
    pub open: u64,
    /// Bytes that front ends sent.
    pub received_bytes: u64,
    /// Bytes that front ends were sent.
    pub sent_bytes: u64,
    /// Events that were written whole.
    pub events: u64,
    /// Comments.
    pub comments: u64,
}

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

/// How it behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How often a comment comes; `None`: never by itself.
    pub comments: Option<Duration>,
    /// Bytes a second on each stream; `None`: as fast as they go.
    pub rate: Option<u64>,
    /// Every stream ends, and new connections are closed unanswered, so that tries are counted.
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

/// What there is to tell.
#[derive(Default)]
struct Book {
    last: u64,
    whole: Bytes,
    history: VecDeque<(u64, Bytes)>,
    /// Comments said by hand.
    comments: u64,
    /// The next stream breaks off after so many bytes behind its head.
    break_off: Option<usize>,
    requests: Vec<String>,
}

struct Shared {
    counters: Counters,
    book: Mutex<Book>,
    behaviour: watch::Sender<Behaviour>,
    /// Counts changes of the book.
    news: watch::Sender<u64>,
    /// Where the system tells the CPU time of the thread.
    schedstat: Mutex<String>,
}

impl Shared {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A coordinator; it ends when dropped.
pub struct Coordinator {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Coordinator {
    /// Listens on loopback at a port of the system's choice.
    ///
    /// # Errors
    /// As the system says.
    pub fn start(behaviour: Behaviour) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _in = runtime.enter();
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            socket.listen(BACKLOG)?
        };
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            counters: Counters::default(),
            book: Mutex::default(),
            behaviour: watch::Sender::new(behaviour),
            news: watch::Sender::new(0),
            schedstat: Mutex::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let (ready, up) = std::sync::mpsc::channel();
        let serving = shared.clone();
        let thread = std::thread::Builder::new()
            .name("coordinator".into())
            .spawn(move || {
                let own = std::fs::read_link("/proc/thread-self").unwrap_or_default();
                let place = std::path::Path::new("/proc").join(own).join("schedstat");
                *serving
                    .schedstat
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = place.display().to_string();
                let _ = ready.send(());
                runtime.block_on(async {
                    tokio::select! {
                        () = accept(listener, serving) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        let _ = up.recv();
        Ok(Coordinator {
            shared,
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands out an event with these workers, beside the list that it leaves; its number.
    pub fn publish(&self, whole: bool, hosts: &[Value], tier: &Tier) -> u64 {
        let index = self.shared.book().last + 1;
        self.publish_text(
            index,
            &event(index, whole, hosts),
            &event(index, true, tier.hosts()),
        );
        index
    }

    /// Hands out an event by its text; `all` is the event with every worker, for those who missed too much.
    pub fn publish_text(&self, index: u64, text: &str, all: &str) {
        let framed = |text: &str| Bytes::from(format!("id: {index}\ndata: {text}\n\n"));
        let mut book = self.shared.book();
        book.last = index;
        book.whole = framed(all);
        if book.history.len() >= HISTORY_MOST {
            book.history.pop_front();
        }
        book.history.push_back((index, framed(text)));
        drop(book);
        self.shared.news.send_modify(|n| *n += 1);
    }

    /// Forgets past events, as after a restart: who asks anew gets every worker.
    pub fn forget(&self) {
        self.shared.book().history.clear();
    }

    /// Says a comment on every stream, now.
    pub fn comment(&self) {
        self.shared.book().comments += 1;
        self.shared.news.send_modify(|n| *n += 1);
    }

    /// The next stream breaks off after so many bytes behind its head.
    pub fn break_off(&self, after: usize) {
        self.shared.book().break_off = Some(after);
    }

    /// Changes how it behaves.
    pub fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        self.shared.behaviour.send_modify(change);
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        let c = &self.shared.counters;
        Counts {
            connections: c.connections.load(Relaxed),
            rejected: c.rejected.load(Relaxed),
            open: c.open.load(Relaxed),
            received_bytes: c.received_bytes.load(Relaxed),
            sent_bytes: c.sent_bytes.load(Relaxed),
            events: c.events.load(Relaxed),
            comments: c.comments.load(Relaxed),
        }
    }

    /// The requests that came, as they were sent, in their order; the first 16,384 of them.
    pub fn requests(&self) -> Vec<String> {
        self.shared.book().requests.clone()
    }

    /// CPU time of its thread, in nanoseconds; 0 where the system does not tell.
    pub fn cpu_ns(&self) -> u64 {
        let place = self
            .shared
            .schedstat
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let told = std::fs::read_to_string(&*place).unwrap_or_default();
        told.split_whitespace()
            .next()
            .and_then(|n| n.parse().ok())
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

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Some(stream) = next_stream(&listener).await {
        if shared.behaviour.borrow().cut {
            shared.counters.rejected.fetch_add(1, Relaxed);
            continue;
        }
        shared.counters.connections.fetch_add(1, Relaxed);
        let shared = shared.clone();
        tokio::spawn(async move {
            shared.counters.open.fetch_add(1, Relaxed);
            let mut behaviour = shared.behaviour.subscribe();
            tokio::select! {
                _ = serve(stream, &shared) => {}
                _ = behaviour.wait_for(|b| b.cut) => {}
            }
            shared.counters.open.fetch_sub(1, Relaxed);
        });
    }
}

/// One stream, until its front end goes or it breaks off.
async fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if request.len() >= REQUEST_MOST || stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    shared
        .counters
        .received_bytes
        .fetch_add(request.len() as u64, Relaxed);
    let text = String::from_utf8_lossy(&request).into_owned();
    let id = text.lines().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("last-event-id:")?
            .trim()
            .parse()
            .ok()
    });
    let mut last: u64 = id.unwrap_or(0);
    let (mut news, mut said, mut left);
    {
        let mut book = shared.book();
        if book.requests.len() < REQUESTS_MOST {
            book.requests.push(text);
        }
        (said, left) = (book.comments, book.break_off.take());
        news = shared.news.subscribe();
    }
    let interval = shared.behaviour.borrow().comments;
    let mut comments = tokio::time::interval(interval.unwrap_or(Duration::from_secs(3600)));
    comments.tick().await;
    let (mut read, mut write) = stream.split();
    write.write_all(HEAD.as_bytes()).await?;
    shared
        .counters
        .sent_bytes
        .fetch_add(HEAD.len() as u64, Relaxed);
    let mut first = true;
    let mut waste = [0; 512];
    loop {
        let (events, spoken) = {
            let book = shared.book();
            (missed(&book, last, first), book.comments)
        };
        first = false;
        for (index, bytes) in events {
            if let Some(left) = left.as_mut().filter(|l| **l < bytes.len()) {
                tell(&mut write, &bytes[..*left], shared).await?;
                return Ok(());
            }
            left = left.map(|l| l - bytes.len());
            tell(&mut write, &bytes, shared).await?;
            shared.counters.events.fetch_add(1, Relaxed);
            last = last.max(index);
        }
        for _ in said..spoken {
            comment(&mut write, shared).await?;
        }
        said = spoken;
        tokio::select! {
            changed = news.changed() => if changed.is_err() { return Ok(()) },
            _ = comments.tick() => if interval.is_some() { comment(&mut write, shared).await? },
            got = read.read(&mut waste) => match got? {
                0 => return Ok(()),
                n => { shared.counters.received_bytes.fetch_add(n as u64, Relaxed); }
            },
        }
    }
}

/// What a front end does not have that has this event; `first`: it has just asked.
fn missed(book: &Book, last: u64, first: bool) -> Vec<(u64, Bytes)> {
    if last >= book.last {
        return Vec::new();
    }
    let oldest = book.history.front().map_or(u64::MAX, |(index, _)| *index);
    if first && last == 0 || oldest > last + 1 {
        return vec![(book.last, book.whole.clone())];
    }
    book.history
        .iter()
        .filter(|(index, _)| *index > last)
        .cloned()
        .collect()
}

async fn comment(write: &mut (impl AsyncWriteExt + Unpin), shared: &Shared) -> io::Result<()> {
    shared.counters.comments.fetch_add(1, Relaxed);
    tell(write, b":\n\n", shared).await
}

async fn tell(
    write: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    shared: &Shared,
) -> io::Result<()> {
    let rate = shared.behaviour.borrow().rate;
    let step = rate.map_or(usize::MAX, |r| {
        (r as usize * SLOW_STEP.as_millis() as usize / 1000).max(1)
    });
    for piece in bytes.chunks(step.min(bytes.len().max(1))) {
        write.write_all(piece).await?;
        shared
            .counters
            .sent_bytes
            .fetch_add(piece.len() as u64, Relaxed);
        if rate.is_some() {
            tokio::time::sleep(SLOW_STEP).await;
        }
    }
    Ok(())
}
