//! Pooled HTTP/1.1 connections to workers, and exchanges on them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pipithub_clock::Clock;
use pipithub_engine::Time;
use pipithub_engine::policy::{Outcome, WorkerId};
use pipithub_inference::WorkerRequest;
use pipithub_settings::HttpConfig;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connect::{ConnectFailure, connect_by};

/// How an exchange with a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The worker accepted no connection, or none that lasted: nothing of the request was sent.
    Unreachable,
    /// This machine could not make a connection, or the deadline was reached before: nothing of the request was sent,
    /// and nothing is known of the worker.
    NotSent,
    /// The connection broke after the request was sent, at least in part.
    Broken,
}

impl From<ConnectFailure> for ExchangeError {
    fn from(failure: ConnectFailure) -> Self {
        match failure {
            ConnectFailure::Peer => ExchangeError::Unreachable,
            ConnectFailure::Local => ExchangeError::NotSent,
        }
    }
}

impl From<ExchangeError> for Outcome {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::Unreachable => Outcome::Unreachable,
            ExchangeError::NotSent => Outcome::NotSent,
            ExchangeError::Broken => Outcome::ConnectionLost,
        }
    }
}

/// The response of a worker.
pub(super) struct WorkerResponse {
    pub(super) status: u16,
    headers: hyper::HeaderMap,
    pub(super) body: Bytes,
}

impl WorkerResponse {
    /// A header's value, where it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A connection and the task that moves its bytes; when dropped it is closed, so that a worker sees when nobody waits.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
    /// Not used before.
    fresh: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What sending a request on a connection came to.
enum SendResult {
    Response(Response<Incoming>),
    /// A pooled connection had been closed before anything was sent: another one is tried.
    StaleConnection,
}

/// The connections of a front end to its workers.
pub(super) struct ConnectionPool {
    config: HttpConfig,
    clock: Clock,
    idle: Mutex<HashMap<Arc<str>, Vec<Connection>>>,
}

impl ConnectionPool {
    /// A pool without connections.
    pub(super) fn new(config: HttpConfig, clock: Clock) -> Self {
        ConnectionPool {
            config,
            clock,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Sends one request and reads its response. A pooled connection that its worker had closed before anything was
    /// sent is passed over; what may have been sent is never sent again here.
    ///
    /// Where there is a deadline, the worker is sent the remaining time as of when the request is put on a connection.
    pub(super) async fn exchange(
        &self,
        worker: &WorkerId,
        mut request: WorkerRequest,
        body: Bytes,
        deadline: Option<Time>,
    ) -> Result<WorkerResponse, ExchangeError> {
        loop {
            let mut connection = self.take(worker).await?;
            if connection.sender.ready().await.is_err() {
                if connection.fresh {
                    return Err(ExchangeError::Unreachable);
                }
                continue;
            }
            if let Some(deadline) = deadline {
                let remaining = deadline.saturating_sub(self.clock.now());
                request
                    .set_timeout(remaining)
                    .map_err(|_| ExchangeError::NotSent)?;
            }
            let http_request = to_http(worker, &request, body.clone())?;
            match connection.send(http_request).await? {
                SendResult::Response(response) => {
                    let response = self.read(response).await?;
                    self.put_idle(worker, connection);
                    return Ok(response);
                }
                SendResult::StaleConnection => {}
            }
        }
    }

    /// An idle connection that is still up, else a new one.
    async fn take(&self, worker: &WorkerId) -> Result<Connection, ExchangeError> {
        match self.take_idle(worker) {
            Some(connection) => Ok(connection),
            None => self.connect(worker).await,
        }
    }

    async fn connect(&self, worker: &WorkerId) -> Result<Connection, ExchangeError> {
        let deadline = Instant::now() + Duration::from_nanos(self.config.connect_timeout);
        let stream = connect_by(deadline, || TcpStream::connect(&*worker.0)).await?;
        stream
            .set_nodelay(true)
            .map_err(|_| ExchangeError::Unreachable)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ExchangeError::Unreachable)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection {
            sender,
            task,
            fresh: true,
        })
    }

    async fn read(&self, response: Response<Incoming>) -> Result<WorkerResponse, ExchangeError> {
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.config.max_body)
            .collect()
            .await
            .map_err(|_| ExchangeError::Broken)?
            .to_bytes();
        Ok(WorkerResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, worker: &WorkerId) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&worker.0)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        idle.remove(&worker.0);
        None
    }

    fn put_idle(&self, worker: &WorkerId, mut connection: Connection) {
        connection.fresh = false;
        let mut idle = self.idle();
        let connections = idle.entry(worker.0.clone()).or_default();
        if connections.len() < self.config.max_idle_connections && !connection.sender.is_closed() {
            connections.push(connection);
        }
    }
}

impl Connection {
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<SendResult, ExchangeError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(SendResult::Response(response)),
            // The message comes back only where no byte of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) if self.fresh => Err(ExchangeError::Unreachable),
                Some(_) => Ok(SendResult::StaleConnection),
                None => Err(ExchangeError::Broken),
            },
        }
    }
}

fn to_http(
    worker: &WorkerId,
    request: &WorkerRequest,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let mut builder = Request::builder()
        .method(if request.get { "GET" } else { "POST" })
        .uri(&request.path)
        .header("host", &*worker.0);
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(Full::new(body))
        .map_err(|_| ExchangeError::NotSent)
}
