//! Watches: streams of the changes since a version of the list.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_core::Stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::api::HttpResponse;
use super::{Shared, VersionedWorker};

/// How many events are queued for a slow client.
const MAX_QUEUED_EVENTS: usize = 64;

/// The response that streams all changes after a version as they happen.
pub(super) fn watch(shared: Arc<Shared>, front_end: String, version: u64) -> HttpResponse {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    tokio::spawn(async move {
        let breaks = shared.lock().breaks;
        let watch = Watch {
            shared,
            front_end,
            version,
            breaks,
            sender,
        };
        watch.run().await;
    });
    Response::new(StreamBody::new(Events(receiver)).boxed_unsync())
}

/// The next step of a watch.
enum Update {
    /// The watch must end.
    Broken,
    /// The changes after the watch's version are no longer kept.
    Expired,
    Changes {
        changes: Vec<VersionedWorker>,
        /// The delay after which they are sent.
        delay: Duration,
    },
}

struct Watch {
    shared: Arc<Shared>,
    front_end: String,
    /// The last version that was sent.
    version: u64,
    /// The value of [`State::breaks`](super::State) when the watch started.
    breaks: u64,
    sender: mpsc::Sender<Bytes>,
}

impl Watch {
    async fn run(mut self) {
        let shared = self.shared.clone();
        loop {
            let changed = shared.changed.notified();
            match self.next_update() {
                Update::Broken => return,
                Update::Expired => {
                    self.send(&expired(self.version)).await;
                    return;
                }
                Update::Changes { changes, .. } if changes.is_empty() => {
                    tokio::select! {
                        () = changed => {}
                        () = self.sender.closed() => return,
                    }
                }
                Update::Changes { changes, delay } => {
                    tokio::time::sleep(delay).await;
                    if !self.send_changes(changes).await {
                        return;
                    }
                }
            }
        }
    }

    fn next_update(&self) -> Update {
        let state = self.shared.lock();
        if state.breaks != self.breaks {
            return Update::Broken;
        }
        let oldest = state
            .history
            .front()
            .map_or(state.version + 1, |change| change.version);
        if self.version + 1 < oldest && self.version < state.version {
            return Update::Expired;
        }
        let changes = state
            .history
            .iter()
            .filter(|change| change.version > self.version)
            .cloned()
            .collect();
        Update::Changes {
            changes,
            delay: state.delay,
        }
    }

    /// Sends changes; false if the client has disconnected.
    async fn send_changes(&mut self, changes: Vec<VersionedWorker>) -> bool {
        for VersionedWorker { version, worker } in changes {
            self.version = version;
            let kind = if worker.is_removed() {
                "DELETED"
            } else {
                "MODIFIED"
            };
            let event = json!({"type": kind, "object": worker.slice(version)});
            // Recorded before it is written: the front end cannot have known it earlier.
            self.shared.record_sent(&self.front_end, &worker);
            if !self.send(&event).await {
                return false;
            }
        }
        true
    }

    /// Sends an event; false if the client has disconnected.
    async fn send(&self, event: &Value) -> bool {
        let line = Bytes::from(format!("{event}\n"));
        self.sender.send(line).await.is_ok()
    }
}

fn expired(version: u64) -> Value {
    json!({"type": "ERROR", "object": {"kind": "Status", "code": 410, "reason": "Expired",
        "message": format!("too old resource version: {version}")}})
}

/// The events as the frames of a response body. This avoids a dependency on another crate for streams.
struct Events(mpsc::Receiver<Bytes>);

impl Stream for Events {
    type Item = Result<Frame<Bytes>, std::convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let event = self.0.poll_recv(context);
        event.map(|event| event.map(|bytes| Ok(Frame::data(bytes))))
    }
}
