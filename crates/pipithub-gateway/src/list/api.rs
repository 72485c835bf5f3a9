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

/// The server is asked to end a watch after this time. A watch that lasts longer counts as dead: a connection that was
/// cut silently must not leave the list stale for ever.
const WATCH_SECONDS: u64 = 60;
/// How much longer than asked for a watch may last.
const WATCH_GRACE: Duration = Duration::from_secs(10);
/// A watch that ends this much before its limit still ended as asked for.
const WATCH_END_TOLERANCE: Duration = Duration::from_secs(15);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of a list, or of one event of a watch, at the most.
pub(super) const MAX_BODY_BYTES: usize = 64 << 20;

/// Why the endpoint list cannot be followed.
#[derive(Debug, thiserror::Error)]
pub(super) enum FollowError {
    #[error("connecting takes too long")]
    ConnectTimeout,
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("no answer")]
    ResponseTimeout,
    /// The version to watch from is too old for the server.
    #[error("410")]
    VersionExpired,
    #[error("the server answers {0}")]
    Status(StatusCode),
    #[error("the list stalls")]
    ListTimeout,
    #[error(transparent)]
    ListBody(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Unreadable(#[from] pipithub_endpoints::EndpointListError),
    #[error("the list has no resourceVersion to watch from")]
    NoVersion,
    #[error("the watch has ended")]
    WatchEndedEarly,
    #[error("a watch event is too long")]
    EventTooLong,
}

/// Fetches all endpoint slices of the service.
pub(super) async fn get_list(settings: &EndpointListSettings) -> Result<Bytes, FollowError> {
    let response = get(settings, "").await?;
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
    let collected = timeout(RESPONSE_TIMEOUT, body)
        .await
        .map_err(|_| FollowError::ListTimeout)?
        .map_err(FollowError::ListBody)?;
    Ok(collected.to_bytes())
}

/// A watch under way.
pub(super) struct Watch {
    body: Incoming,
    /// It counts as dead after this time.
    limit: Instant,
}

impl Watch {
    /// Begins a watch of all changes after this version.
    pub(super) async fn begin(
        settings: &EndpointListSettings,
        version: &str,
    ) -> Result<Self, FollowError> {
        let query = format!(
            "&watch=1&allowWatchBookmarks=true&timeoutSeconds={WATCH_SECONDS}&resourceVersion={version}"
        );
        let response = get(settings, &query).await?;
        Ok(Watch {
            body: response.into_body(),
            limit: Instant::now() + Duration::from_secs(WATCH_SECONDS) + WATCH_GRACE,
        })
    }

    /// The next part of the body; `None` where the watch has ended in its time.
    ///
    /// The next watch then continues from the version reached, at once. One that ends early points to a fault of the
    /// server, which is not asked again without a backoff.
    pub(super) async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, FollowError> {
        match timeout_at(self.limit, self.body.frame()).await {
            Ok(Some(frame)) => Ok(Some(frame?)),
            Ok(None) if Instant::now() + WATCH_END_TOLERANCE >= self.limit => Ok(None),
            Ok(None) => Err(FollowError::WatchEndedEarly),
            Err(_) => Ok(None),
        }
    }
}

async fn get(
    settings: &EndpointListSettings,
    query: &str,
) -> Result<Response<Incoming>, FollowError> {
    let host = settings
        .url
        .trim_start_matches("http://")
        .trim_end_matches('/');
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(host))
        .await
        .map_err(|_| FollowError::ConnectTimeout)??;
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
        .map_err(|_| FollowError::ResponseTimeout)??;
    match response.status() {
        StatusCode::GONE => Err(FollowError::VersionExpired),
        status if !status.is_success() => Err(FollowError::Status(status)),
        _ => Ok(response),
    }
}

fn path(settings: &EndpointListSettings, query: &str) -> String {
    format!(
        "/apis/discovery.k8s.io/v1/namespaces/{}/endpointslices?labelSelector=kubernetes.io%2Fservice-name%3D{}{query}",
        settings.namespace, settings.service
    )
}
