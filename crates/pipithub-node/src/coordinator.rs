//! Follows the coordinator: a long GET whose answer is a stream of list events. It may break off in the middle of one,
//! fall silent while it stays open, write events twice or move elsewhere; each time it is asked anew from the last
//! event that was taken.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use pipithub_platform::list::{self, ListEvent};
use pipithub_platform::settings::Names;
use pipithub_platform::sse::SseReader;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tracing::{error, info, warn};

/// A comment comes each second: after so long without a byte the stream is dead, though it may look open. What it would
/// have told counts as told 4 s after it fell silent, which leaves time for two further tries.
const SILENCE: Duration = Duration::from_millis(1_600);
/// A connection and the head of its answer must come within this: many round trips, and a small part of those 4 s.
const CONNECT: Duration = Duration::from_millis(500);
/// Each wait is stretched by a factor drawn from this: what loses its coordinator together must not ask in step.
const JITTER: std::ops::Range<f64> = 0.5..1.5;
/// How long to wait before asking again: doubled each time, up to the most, which together with a silence stays well
/// within those 4 s.
const RETRY_FIRST: Duration = Duration::from_millis(50);
const RETRY_MOST: Duration = Duration::from_millis(800);

/// What keeps the order of events, whatever the stream does to them.
#[derive(Debug, Default)]
pub struct Sequence {
    last: u64,
    /// The gap that was asked about before: what the coordinator does not have cannot be waited for.
    gap: Option<u64>,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is the next one.
    Take,
    /// It was taken before.
    Skip,
    /// Events are missing before it: ask again from the last that was taken.
    Again,
}

impl Sequence {
    /// Begins after this event.
    pub fn after(last: u64) -> Self {
        Sequence { last, gap: None }
    }

    /// The last event that was taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// What to do with the event of this number; `whole`: it holds every worker.
    pub fn step(&mut self, index: u64, whole: bool) -> Step {
        if index <= self.last {
            return Step::Skip;
        }
        if index > self.last + 1 && !whole && self.gap != Some(index) {
            self.gap = Some(index);
            return Step::Again;
        }
        (self.last, self.gap) = (index, None);
        Step::Take
    }
}

/// Follows the coordinator for as long as the front end runs; each event is handed to `take` once, in order.
pub async fn follow(
    mut address: watch::Receiver<String>,
    last: u64,
    names: Names,
    seed: u64,
    mut take: impl FnMut(ListEvent),
) {
    let mut sequence = Sequence::after(last);
    let (mut wait, mut rng) = (RETRY_FIRST, StdRng::seed_from_u64(seed));
    // Events that could not be used since the start, the same one counted each time it came.
    let mut unusable = 0u64;
    loop {
        let place = address.borrow_and_update().clone();
        let mut took = false;
        let ended = tokio::select! {
            ended = stream(&place, &mut sequence, &names, |event| { took = true; take(event) }) => ended,
            moved = address.changed() => {
                if moved.is_err() {
                    return;
                }
                info!(coordinator = &*address.borrow(), "coordinator has moved");
                wait = RETRY_FIRST;
                continue;
            }
        };
        let last = sequence.last();
        match ended {
            Ended::Stream(reason) => warn!(
                coordinator = place,
                last, reason, "coordinator stream ended"
            ),
            Ended::Unusable(reason) => {
                unusable += 1;
                error!(
                    coordinator = place,
                    last, unusable, reason, "coordinator stream ended, former list stays"
                );
            }
        }
        if took {
            wait = RETRY_FIRST;
        }
        tokio::select! {
            () = tokio::time::sleep(wait.mul_f64(rng.random_range(JITTER))) => wait = (wait * 2).min(RETRY_MOST),
            // It has moved: what was wrong with the old one says nothing of the new.
            _ = address.changed() => wait = RETRY_FIRST,
        }
    }
}

/// Why a stream ended.
enum Ended {
    /// Something was wrong with the connection, or events are missing.
    Stream(String),
    /// An event cannot be used, and nothing of it is.
    Unusable(String),
}

/// One connection, until it ends; why it did.
async fn stream(
    address: &str,
    sequence: &mut Sequence,
    names: &Names,
    mut take: impl FnMut(ListEvent),
) -> Ended {
    let head = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| format!("cannot connect: {e}"))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| format!("handshake: {e}"))?;
        let task = Connection(tokio::task::spawn_local(
            async move { drop(connection.await) },
        ));
        let request = Request::get("/v2/stream")
            .header("host", address)
            .header("accept", "text/event-stream")
            .header("last-event-id", sequence.last())
            .body(Empty::<Bytes>::new())
            .map_err(|e| format!("request: {e}"))?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| format!("request: {e}"))?;
        Ok::<_, String>((response, sender, task))
    };
    let (response, _sender, _task) = match tokio::time::timeout(CONNECT, head).await {
        Ok(Ok(up)) => up,
        Ok(Err(reason)) => return Ended::Stream(reason),
        Err(_) => return Ended::Stream("no answer".to_string()),
    };
    if !response.status().is_success() {
        return Ended::Stream(format!("status {}", response.status()));
    }
    let mut body = response.into_body();
    let (mut reader, mut events) = (SseReader::default(), Vec::new());
    loop {
        let frame = match tokio::time::timeout(SILENCE, body.frame()).await {
            Err(_) => return Ended::Stream("silent".to_string()),
            Ok(None) => return Ended::Stream("closed".to_string()),
            Ok(Some(Err(error))) => return Ended::Stream(format!("broke off: {error}")),
            Ok(Some(Ok(frame))) => frame,
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if let Err(long) = reader.push(data, &mut events) {
            return Ended::Unusable(long.to_string());
        }
        for event in events.drain(..) {
            let event = match list::parse(&event.data, names) {
                Ok(event) => event,
                Err(reason) => return Ended::Unusable(format!("event cannot be read: {reason}")),
            };
            match sequence.step(
                event.index,
                event.kind != pipithub_engine::policy::EndpointUpdate::Delta,
            ) {
                Step::Take => {
                    take(event);
                    // However many events came at once, calls and closes of clients are seen between any two.
                    tokio::task::yield_now().await;
                }
                Step::Skip => {}
                Step::Again => {
                    let last = sequence.last();
                    return Ended::Stream(format!(
                        "events between {last} and {} are missing",
                        event.index
                    ));
                }
            }
        }
    }
}

/// The task that moves a connection's bytes; it ends with its owner, so that the socket is closed.
struct Connection(tokio::task::JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
