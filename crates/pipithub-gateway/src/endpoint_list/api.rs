//! Requests to the Kubernetes API for the `EndpointSlice` objects of one service.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::EndpointListSettings;

/// The duration after which the server is requested to end a watch, in seconds. The limit detects connections that were
/// cut silently, which would otherwise leave the list stale for ever.
const WATCH_SECONDS: u64 = 60;
/// How much longer than requested a watch may last before its connection counts as dead.
const WATCH_GRACE: Duration = Duration::from_secs(10);
/// A watch that ends at most this long before its deadline counts as ended on request.
const WATCH_END_TOLERANCE: Duration = Duration::from_secs(15);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a list, or of one watch event, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 << 20;

/// Why the endpoint list cannot be fetched or watched.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    #[error("connection timed out")]
    ConnectTimeout,
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("response timed out")]
    ResponseTimeout,
    /// The server no longer has the version to watch from.
    #[error("the version to watch from has expired (status 410)")]
    VersionExpired,
    #[error("the server responded with status {0}")]
    Status(StatusCode),
    #[error("reading the list timed out")]
    ListTimeout,
    #[error(transparent)]
    ListBody(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Unreadable(#[from] pipithub_endpoints::EndpointListError),
    #[error("the list has no resourceVersion to watch from")]
    NoVersion,
    #[error("the server ended the watch early")]
    WatchEndedEarly,
    #[error("a watch event is longer than {MAX_BODY_BYTES} bytes")]
    EventTooLong,
}

/// Fetches all endpoint slices of the service.
pub(super) async fn get_list(settings: &EndpointListSettings) -> Result<Bytes, WatchError> {
    let response = get(settings, "").await?;
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
    let collected = timeout(RESPONSE_TIMEOUT, body)
        .await
        .map_err(|_| WatchError::ListTimeout)?
        .map_err(WatchError::ListBody)?;
    Ok(collected.to_bytes())
}

/// A watch in progress.
pub(super) struct Watch {
    body: Incoming,
    /// When the connection counts as dead.
    deadline: Instant,
}

impl Watch {
    /// Begins a watch of all changes after a version.
    pub(super) async fn begin(
        settings: &EndpointListSettings,
        version: &str,
    ) -> Result<Self, WatchError> {
        let query = format!(
            "&watch=1&allowWatchBookmarks=true&timeoutSeconds={WATCH_SECONDS}&resourceVersion={version}"
        );
        let response = get(settings, &query).await?;
        Ok(Watch {
            body: response.into_body(),
            deadline: Instant::now() + Duration::from_secs(WATCH_SECONDS) + WATCH_GRACE,
        })
    }

    /// The next part of the body; `None` if the watch has ended on time, so that the next watch may begin at once from
    /// the version reached.
    ///
    /// A watch that ends early is an error, as it points to a fault of the server: the next request needs a backoff.
    pub(super) async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, WatchError> {
        match timeout_at(self.deadline, self.body.frame()).await {
            Ok(Some(frame)) => Ok(Some(frame?)),
            Ok(None) if Instant::now() + WATCH_END_TOLERANCE >= self.deadline => Ok(None),
            Ok(None) => Err(WatchError::WatchEndedEarly),
            Err(_) => Ok(None),
        }
    }
}

async fn get(
    settings: &EndpointListSettings,
    query: &str,
) -> Result<Response<Incoming>, WatchError> {
    let host = settings
        .url
        .trim_start_matches("http://")
        .trim_end_matches('/');
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(host))
        .await
        .map_err(|_| WatchError::ConnectTimeout)??;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::get(path(settings, query))
        .header("host", host)
        .header("accept", "application/json")
        .header("user-agent", format!("pipithub/{}", settings.front_end))
        .body(Empty::<Bytes>::new())?;
    let response = timeout(RESPONSE_TIMEOUT, sender.send_request(request))
        .await
        .map_err(|_| WatchError::ResponseTimeout)??;
    match response.status() {
        StatusCode::GONE => Err(WatchError::VersionExpired),
        status if !status.is_success() => Err(WatchError::Status(status)),
        _ => Ok(response),
    }
}

fn path(settings: &EndpointListSettings, query: &str) -> String {
    format!(
        "/apis/discovery.k8s.io/v1/namespaces/{}/endpointslices?labelSelector=kubernetes.io%2Fservice-name%3D{}{query}",
        settings.namespace, settings.service
    )
}
