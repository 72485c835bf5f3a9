//! One connection to the coordinator, from the request to the end of its stream.

use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pipithub_engine::policy::EndpointUpdate;
use pipithub_platform::list::{self, EndpointEvent, EndpointEventError};
use pipithub_platform::settings::Names;
use pipithub_platform::sse::{EventTooLong, SseReader};
use tokio::net::TcpStream;

use super::sequence::{Sequence, Step};

/// The coordinator sends a comment each second: a stream without a byte for this long is dead, even if its connection
/// is open. An update counts as delivered 4 s after it was published, which leaves time for two reconnects.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Connecting and receiving the head of the response must take less than this together: it allows for many round trips,
/// and is a small part of the 4 s after which an update counts as delivered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the front end learns from the coordinator's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamUpdate {
    /// A request for the stream is about to be written on a connection that was established. Nothing may ever answer it.
    Requested,
    /// The next event.
    Event(EndpointEvent),
    /// A comment or an event was received completely, and all events before it were passed on: the list was current
    /// when the coordinator sent that comment or event.
    Current,
    /// The connection to the coordinator has ended, or its stream cannot be followed any further.
    Disconnected,
}

/// Why a stream ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum StreamError {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The HTTP handshake failed.
    #[error("handshake: {0}")]
    Handshake(hyper::Error),
    /// No request can be created for the address.
    #[error("request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The request failed.
    #[error("request: {0}")]
    Request(hyper::Error),
    /// The connection or the head of the response did not come within [`CONNECT_TIMEOUT`].
    #[error("no answer")]
    NoAnswer,
    /// The status of the response is not a success.
    #[error("status {0}")]
    Status(StatusCode),
    /// Nothing came for [`SILENCE_TIMEOUT`].
    #[error("silent")]
    Silent,
    /// The coordinator has ended the stream.
    #[error("closed")]
    Closed,
    /// The connection failed in the middle of the stream.
    #[error("stream failed: {0}")]
    Broken(hyper::Error),
    /// The events after `last` and before `next` are missing.
    #[error("events between {last} and {next} are missing")]
    MissingEvents {
        /// The index of the last event that was applied.
        last: u64,
        /// The index of the event that came instead of the one after `last`.
        next: u64,
    },
    /// An event exceeds the length limit.
    #[error(transparent)]
    EventTooLong(#[from] EventTooLong),
    /// An event is not valid.
    #[error("event cannot be read: {0}")]
    InvalidEvent(EndpointEventError),
}

impl StreamError {
    /// Whether the connection broke, or was given up because of what came on it. A connection that is given up because
    /// nothing came on it is not broken: the coordinator fell silent earlier.
    pub(super) fn is_disconnect(&self) -> bool {
        match self {
            StreamError::Closed
            | StreamError::Broken(_)
            | StreamError::MissingEvents { .. }
            | StreamError::EventTooLong(_)
            | StreamError::InvalidEvent(_) => true,
            StreamError::Connect(_)
            | StreamError::Handshake(_)
            | StreamError::InvalidRequest(_)
            | StreamError::Request(_)
            | StreamError::NoAnswer
            | StreamError::Status(_)
            | StreamError::Silent => false,
        }
    }

    /// Whether the stream ended because of an event that cannot be used. No part of such an event is applied.
    pub(super) fn is_unusable_event(&self) -> bool {
        matches!(
            self,
            StreamError::EventTooLong(_) | StreamError::InvalidEvent(_)
        )
    }
}

/// Connects to the coordinator and follows the stream until it ends; returns why it ended.
pub(super) async fn follow_stream(
    address: &str,
    sequence: &mut Sequence,
    names: &Names,
    mut on_update: impl FnMut(StreamUpdate),
) -> StreamError {
    match try_stream(address, sequence, names, &mut on_update).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn try_stream(
    address: &str,
    sequence: &mut Sequence,
    names: &Names,
    on_update: &mut impl FnMut(StreamUpdate),
) -> Result<Infallible, StreamError> {
    let opening = open(address, sequence.last(), on_update);
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
    let mut stream = opened.map_err(|_| StreamError::NoAnswer)??;
    if !stream.response.status().is_success() {
        return Err(StreamError::Status(stream.response.status()));
    }
    let body = stream.response.body_mut();
    let mut reader = SseReader::default();
    loop {
        let data = next_data(body).await?;
        for event in reader.push(&data)? {
            let event = list::parse(&event.data, names).map_err(StreamError::InvalidEvent)?;
            let is_complete = event.update != EndpointUpdate::Delta;
            match sequence.step(event.index, is_complete) {
                Step::Apply => {
                    on_update(StreamUpdate::Event(event));
                    // Lets other tasks run after each event, so that calls and closes of clients do not wait for many
                    // events.
                    tokio::task::yield_now().await;
                }
                Step::Skip => {}
                Step::Reconnect => {
                    return Err(StreamError::MissingEvents {
                        last: sequence.last(),
                        next: event.index,
                    });
                }
            }
        }
        if reader.take_completed() {
            on_update(StreamUpdate::Current);
        }
    }
}

/// A stream of which the head of the response was received. Dropping it closes the connection.
struct OpenStream {
    response: Response<Incoming>,
    /// Kept because the request ends when its sender is dropped.
    _sender: SendRequest<Empty<Bytes>>,
    _connection: ConnectionTask,
}

/// Connects to the coordinator and requests the events after the event `last`.
async fn open(
    address: &str,
    last: u64,
    on_update: &mut impl FnMut(StreamUpdate),
) -> Result<OpenStream, StreamError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(StreamError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(StreamError::Handshake)?;
    let connection = ConnectionTask(tokio::task::spawn_local(async move {
        drop(connection.await);
    }));
    let request = Request::get("/v2/stream")
        .header("host", address)
        .header("accept", "text/event-stream")
        .header("last-event-id", last)
        .body(Empty::<Bytes>::new())?;
    on_update(StreamUpdate::Requested);
    let response = sender
        .send_request(request)
        .await
        .map_err(StreamError::Request)?;
    Ok(OpenStream {
        response,
        _sender: sender,
        _connection: connection,
    })
}

/// Waits for the next bytes of a stream.
async fn next_data(body: &mut Incoming) -> Result<Bytes, StreamError> {
    loop {
        let frame = match tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await {
            Err(_) => return Err(StreamError::Silent),
            Ok(None) => return Err(StreamError::Closed),
            Ok(Some(frame)) => frame.map_err(StreamError::Broken)?,
        };
        // Trailers contain no events.
        if let Ok(data) = frame.into_data() {
            return Ok(data);
        }
    }
}

/// The task that drives a connection. Dropping this aborts the task, which closes the socket.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
