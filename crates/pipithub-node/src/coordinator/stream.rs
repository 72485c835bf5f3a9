//! One connection to the coordinator, from the request to the end of its stream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use pipithub_platform::list::{self, EndpointEvent};
use pipithub_platform::settings::Names;
use pipithub_platform::sse::SseReader;
use tokio::net::TcpStream;

use super::sequence::{Sequence, Step};

/// A comment comes each second: after so long without a byte the stream is dead, though it may look open. What it would
/// have told counts as told 4 s after it fell silent, which leaves time for two further tries.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// A connection and the head of its answer must come within this: many round trips, and a small part of those 4 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a stream ended.
pub(super) enum Ended {
    /// Something was wrong with the connection, or events are missing.
    Stream(String),
    /// An event cannot be used, and nothing of it is.
    Unusable(String),
}

/// One connection, until it ends; why it did.
pub(super) async fn stream(
    address: &str,
    sequence: &mut Sequence,
    names: &Names,
    mut take: impl FnMut(EndpointEvent),
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
    let (response, _sender, _task) = match tokio::time::timeout(CONNECT_TIMEOUT, head).await {
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
        let frame = match tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await {
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
                event.update != pipithub_engine::policy::EndpointUpdate::Delta,
            ) {
                Step::Take => {
                    take(event);
                    // However many events came at once, calls and closes of clients are seen between any two.
                    tokio::task::yield_now().await;
                }
                Step::Skip => {}
                Step::Reconnect => {
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
