//! The pool of HTTP/1.1 connections to workers, and the exchanges on them.

#[cfg(test)]
mod tests;

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
    /// The worker accepted no connection, or closed a new one at once. No part of the request was sent.
    Unreachable,
    /// This machine could not make a connection, or the deadline or the time until which the request might be sent
    /// passed first. No part of the request was sent, and the error says nothing about the worker.
    NotSent,
    /// The connection broke after at least a part of the request was sent.
    Broken,
    /// The exchange did not end within its time limit. The request may have been sent.
    TimedOut,
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
            ExchangeError::TimedOut => Outcome::TimedOut,
        }
    }
}

/// The limits on the time of an exchange.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeLimits {
    /// When the response must be there; `None` if the request does not state how much time remains.
    pub(crate) deadline: Option<Time>,
    /// The time from which the request must not be sent any more; `None` if there is no limit.
    pub(crate) send_by: Option<Time>,
}

/// The response of a worker.
pub(super) struct WorkerResponse {
    pub(super) status: u16,
    headers: hyper::HeaderMap,
    pub(super) body: Bytes,
}

impl WorkerResponse {
    /// The value of a header; `None` if the header is missing or its value is not visible ASCII.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A connection and the task that drives it. Dropping it closes the connection, which shows the worker that its response
/// is no longer wanted.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
    /// Whether no request was sent on it before.
    fresh: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The result of sending a request on a connection.
enum SendResult {
    Response(Response<Incoming>),
    /// The worker had closed the pooled connection before anything was sent, so the request can be sent on another one.
    StaleConnection,
}

/// The connections of a front end to its workers.
pub(super) struct ConnectionPool {
    config: HttpConfig,
    clock: Clock,
    idle: Mutex<HashMap<Arc<str>, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(super) fn new(config: HttpConfig, clock: Clock) -> Self {
        ConnectionPool {
            config,
            clock,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Sends one request and reads its response. If the worker had closed a pooled connection before anything was sent,
    /// another connection is used; a request that may have reached the worker is never sent again here.
    ///
    /// With a deadline, the request carries the time that remains when it is written to a connection.
    pub(super) async fn exchange(
        &self,
        worker: &WorkerId,
        mut request: WorkerRequest,
        body: Bytes,
        limits: TimeLimits,
    ) -> Result<WorkerResponse, ExchangeError> {
        loop {
            let ready = tokio::select! {
                biased;
                () = self.clock.sleep_until(limits.send_by) => Err(ExchangeError::NotSent),
                ready = self.take_ready(worker) => ready,
            };
            let mut connection = ready?;
            // The timer may be late by its resolution.
            if limits.send_by.is_some_and(|end| self.clock.now() >= end) {
                return Err(ExchangeError::NotSent);
            }
            if let Some(deadline) = limits.deadline {
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

    /// Takes a connection on which a request can be sent now.
    async fn take_ready(&self, worker: &WorkerId) -> Result<Connection, ExchangeError> {
        loop {
            let mut connection = self.take(worker).await?;
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
            if connection.fresh {
                return Err(ExchangeError::Unreachable);
            }
        }
    }

    /// Takes an idle connection that is still open, or opens a new one.
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
            // hyper returns the message only if no byte of it was written.
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
        .method(if request.is_get { "GET" } else { "POST" })
        .uri(&request.path)
        .header("host", &*worker.0);
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(Full::new(body))
        .map_err(|_| ExchangeError::NotSent)
}
