//! Emulates discovery. Each front end reaches it at addresses of its own, so it can be out of reach for single front ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::history::Recorder;
use super::listener::ReopenableListener;
use super::plan::OutageKind;

const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
const COMMENT: &[u8] = b":\n\n";
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// How long an address keeps its open streams after its front end was given another one.
const CLOSE_AFTER_MIGRATION: Duration = Duration::from_millis(1_500);

/// How an address of discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Reachable,
    Outage(OutageKind),
    /// The front end was given another address. This one sends nothing new, refuses connections, and ends its streams
    /// after [`CLOSE_AFTER_MIGRATION`].
    Retired,
}

/// The list of workers, as a growing sequence of events with the indexes 1, 2 and so on.
#[derive(Debug)]
pub(super) struct EndpointList {
    events: watch::Sender<Vec<Value>>,
    hosts: Mutex<Vec<Value>>,
}

impl EndpointList {
    /// A list of these workers, which are all in the first event.
    pub(super) fn new(hosts: Vec<Value>) -> Arc<Self> {
        let first = event(1, true, &hosts);
        Arc::new(EndpointList {
            events: watch::Sender::new(vec![first]),
            hosts: Mutex::new(hosts),
        })
    }

    /// Calls `change` for each of these workers, and publishes the changed workers as one event.
    pub(super) fn change(&self, workers: &[usize], change: impl Fn(&mut Value)) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        for worker in workers {
            change(&mut hosts[*worker]);
        }
        let changed: Vec<Value> = workers
            .iter()
            .map(|worker| hosts[*worker].clone())
            .collect();
        self.events.send_modify(|events| {
            let index = events.len() as u64 + 1;
            events.push(event(index, false, &changed));
        });
    }

    /// The endpoint list in the configuration of a front end at its start: one event with all workers that are not deleted,
    /// under the index of the last change.
    pub(super) fn known(&self) -> Value {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let present: Vec<Value> = hosts
            .iter()
            .filter(|host| host["health"] != "DELETED")
            .cloned()
            .collect();
        let index = self.events.borrow().len() as u64;
        json!({"index": index, "updates": [event(index, true, &present)]})
    }
}

fn event(index: u64, complete: bool, hosts: &[Value]) -> Value {
    json!({"index": index, "endpoints": {"seq": index, "whole": complete, "hosts": hosts}})
}

/// What an address of discovery serves, and to whom.
#[derive(Clone)]
pub(super) struct DiscoveryService {
    /// The index of the front end that uses the address.
    pub(super) node: usize,
    pub(super) list: Arc<EndpointList>,
    pub(super) recorder: Arc<Recorder>,
}

/// One address at which a front end reaches discovery.
pub(super) struct DiscoveryAddress {
    pub(super) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl DiscoveryAddress {
    /// Listens at this address and serves the list there. Fails if the address is not free.
    pub(super) async fn start(
        address: SocketAddr,
        service: DiscoveryService,
    ) -> std::io::Result<Self> {
        let listener = ReopenableListener::bind(address).await?;
        let address = listener.address();
        let mode = watch::Sender::new(Mode::Reachable);
        tokio::spawn(serve_address(listener, mode.subscribe(), service));
        Ok(DiscoveryAddress { address, mode })
    }

    /// Begins an outage at this address.
    pub(super) fn begin_outage(&self, kind: OutageKind) {
        self.mode.send_replace(Mode::Outage(kind));
    }

    /// Ends an outage, so that the address serves the list again.
    pub(super) fn end_outage(&self) {
        self.mode.send_replace(Mode::Reachable);
    }

    /// Stops serving the list, because the front end was given another address.
    pub(super) fn retire(&self) {
        self.mode.send_replace(Mode::Retired);
    }
}

fn is_closed(mode: Mode) -> bool {
    matches!(mode, Mode::Outage(OutageKind::Refused) | Mode::Retired)
}

/// Accepts connections while the mode allows them, and serves each in a task of its own.
async fn serve_address(
    mut listener: ReopenableListener,
    mut mode: watch::Receiver<Mode>,
    service: DiscoveryService,
) {
    loop {
        let present = *mode.borrow_and_update();
        listener.set_open(!is_closed(present)).await;
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return },
            stream = listener.accept() => if let Some(stream) = stream {
                tokio::spawn(serve_stream(stream, mode.clone(), service.clone()));
            },
        }
    }
}

/// Serves one connection until the front end closes it or the mode changes.
async fn serve_stream(
    mut stream: TcpStream,
    mut mode: watch::Receiver<Mode>,
    service: DiscoveryService,
) {
    let list = &service.list;
    let _ = stream.set_nodelay(true);
    let Some(last) = read_request(&mut stream).await else {
        return;
    };
    service.recorder.list_request(service.node);
    let present = *mode.borrow_and_update();
    match present {
        Mode::Reachable => {}
        Mode::Outage(OutageKind::Unanswered | OutageKind::BrokenEventUnanswered) => {
            return stay_silent(stream, mode).await;
        }
        Mode::Outage(_) => {
            let _ = stream.write_all(HEAD).await;
            return stay_silent(stream, mode).await;
        }
        Mode::Retired => return,
    }
    if stream.write_all(HEAD).await.is_err() {
        return;
    }
    let mut events = list.events.subscribe();
    let mut comments = tokio::time::interval(COMMENT_INTERVAL);
    comments.tick().await;
    let mut sent = last;
    let mut unread = [0; 64];
    loop {
        if !send_events(&mut stream, &mut events, &mut sent).await {
            return;
        }
        tokio::select! {
            biased;
            _ = mode.changed() => return end_stream(stream, mode, list, sent).await,
            changed = events.changed() => if changed.is_err() { return },
            _ = comments.tick() => if stream.write_all(COMMENT).await.is_err() { return },
            read = stream.read(&mut unread) => if read.unwrap_or(0) == 0 { return },
        }
    }
}

/// Sends the events after the index `sent` and raises it; returns whether the stream is still open.
async fn send_events(
    stream: &mut TcpStream,
    events: &mut watch::Receiver<Vec<Value>>,
    sent: &mut u64,
) -> bool {
    let missing: Vec<String> = events
        .borrow_and_update()
        .iter()
        .skip(*sent as usize)
        .map(event_text)
        .collect();
    for text in missing {
        *sent += 1;
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
    }
    true
}

fn event_text(event: &Value) -> String {
    format!("id: {}\ndata: {event}\n\n", event["index"])
}

/// Ends an open stream in the way of the new mode.
async fn end_stream(
    mut stream: TcpStream,
    mode: watch::Receiver<Mode>,
    list: &EndpointList,
    sent: u64,
) {
    let present = *mode.borrow();
    match present {
        Mode::Outage(OutageKind::Refused) | Mode::Reachable => {}
        Mode::Outage(OutageKind::HalfEvent) => {
            send_half_event(&mut stream, list, sent).await;
            stay_silent(stream, mode).await;
        }
        Mode::Outage(OutageKind::BrokenEvent | OutageKind::BrokenEventUnanswered) => {
            send_half_event(&mut stream, list, sent).await;
        }
        Mode::Outage(_) => stay_silent(stream, mode).await,
        Mode::Retired => tokio::time::sleep(CLOSE_AFTER_MIGRATION).await,
    }
}

/// Sends the first half of the event after the index `sent`, or of a made-up one if there is none.
async fn send_half_event(stream: &mut TcpStream, list: &EndpointList, sent: u64) {
    let next = list.events.borrow().get(sent as usize).map(event_text);
    let text = next.unwrap_or_else(|| "id: 1000\ndata: {\"index\":".to_string());
    // It fails only if the front end has closed the stream.
    let _ = stream.write_all(&text.as_bytes()[..text.len() / 2]).await;
}

/// Keeps a connection open and writes nothing on it until the mode changes or the front end closes it.
async fn stay_silent(mut stream: TcpStream, mut mode: watch::Receiver<Mode>) {
    let mut unread = [0; 64];
    loop {
        tokio::select! {
            _ = mode.changed() => return,
            read = stream.read(&mut unread) => if read.unwrap_or(0) == 0 { return },
        }
    }
}

/// Reads a request and returns the index of the last event that the front end has; `None` if the request is incomplete or
/// has no valid `Last-Event-ID`.
async fn read_request(stream: &mut TcpStream) -> Option<u64> {
    const MAX_REQUEST_BYTES: usize = 4096;
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if request.len() >= MAX_REQUEST_BYTES || stream.read_buf(&mut request).await.ok()? == 0 {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let last = text
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id:"));
    last.and_then(|last| last.trim().parse().ok())
}
