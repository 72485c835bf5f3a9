//! Workers over HTTP/1.1: pooled connections, attempts with their deadlines, load commands and load polls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pipithub_clock::Clock;
use pipithub_engine::policy::{FunctionId, LoadReport, Outcome, WorkerId};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, LoadCommandResult, LoadPollResult, Served, Time,
};
use pipithub_inference::{WorkerRequest, header};
use pipithub_settings::HttpConfig;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::connect::{ConnectFailure, connect_by};

/// A connection and the task that moves its bytes; dropped, it is closed, so that a worker sees when nobody waits.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends requests to the workers of a front end, over pooled connections.
pub(crate) struct WorkerClient {
    front_end: String,
    config: HttpConfig,
    clock: Clock,
    idle: Mutex<HashMap<Arc<str>, Vec<Connection>>>,
}

/// How an exchange with a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeError {
    /// The worker accepted no connection, or none that lasted: nothing of the request was sent.
    Unreachable,
    /// This machine could not make a connection, or the deadline was reached before: nothing of the request was sent, and
    /// nothing is known of the worker.
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

/// The response of a worker.
struct WorkerResponse {
    status: u16,
    headers: hyper::HeaderMap,
    body: Bytes,
}

impl WorkerResponse {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

impl WorkerClient {
    pub(crate) fn new(front_end: &str, config: HttpConfig, clock: Clock) -> Self {
        WorkerClient {
            front_end: front_end.to_string(),
            config,
            clock,
            idle: Mutex::new(HashMap::new()),
        }
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

    fn put_idle(&self, worker: &WorkerId, connection: Connection) {
        let mut idle = self.idle();
        let connections = idle.entry(worker.0.clone()).or_default();
        if connections.len() < self.config.max_idle_connections && !connection.sender.is_closed() {
            connections.push(connection);
        }
    }

    async fn connect(&self, worker: &WorkerId) -> Result<Connection, ExchangeError> {
        let timeout = std::time::Duration::from_nanos(self.config.connect_timeout);
        let deadline = tokio::time::Instant::now() + timeout;
        let stream = connect_by(deadline, || TcpStream::connect(&*worker.0)).await?;
        stream
            .set_nodelay(true)
            .map_err(|_| ExchangeError::Unreachable)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ExchangeError::Unreachable)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, task })
    }

    /// Sends one request and reads its response. A pooled connection that its worker had closed before anything was sent is passed over; what may
    /// have been sent is never sent again here.
    ///
    /// Where there is a deadline, the worker is told what is left of it when the request is put on a connection.
    async fn exchange(
        &self,
        worker: &WorkerId,
        mut request: WorkerRequest,
        body: Bytes,
        deadline: Option<Time>,
    ) -> Result<WorkerResponse, ExchangeError> {
        loop {
            let pooled = self.take_idle(worker);
            let fresh = pooled.is_none();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(worker).await?,
            };
            if connection.sender.ready().await.is_err() {
                if fresh {
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
            let mut builder = Request::builder()
                .method(if request.get { "GET" } else { "POST" })
                .uri(&request.path);
            builder = builder.header("host", &*worker.0);
            for (name, value) in &request.headers {
                builder = builder.header(*name, value);
            }
            let built = builder
                .body(Full::new(body.clone()))
                .map_err(|_| ExchangeError::NotSent)?;
            let reply: Response<hyper::body::Incoming> =
                match connection.sender.try_send_request(built).await {
                    Ok(reply) => reply,
                    // The message comes back only where no byte of it was written.
                    Err(mut error) => match error.take_message() {
                        Some(_) if fresh => return Err(ExchangeError::Unreachable),
                        Some(_) => continue,
                        None => return Err(ExchangeError::Broken),
                    },
                };
            let (parts, incoming) = reply.into_parts();
            let limited = Limited::new(incoming, self.config.max_body);
            let body = limited
                .collect()
                .await
                .map_err(|_| ExchangeError::Broken)?
                .to_bytes();
            self.put_idle(worker, connection);
            return Ok(WorkerResponse {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            });
        }
    }

    /// Makes an attempt; it ends with the worker's response, at its deadline or when it is cancelled.
    pub(crate) async fn attempt(
        &self,
        id: AttemptId,
        worker: &WorkerId,
        call: &Call,
        deadline: Time,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let started = self.clock.now();
        let request = pipithub_inference::infer(call, id, &self.front_end);
        let exchange = self.exchange(worker, request, call.body.clone(), Some(deadline));
        let ended = tokio::select! {
            biased;
            response = exchange => match response {
                Ok(response) => Ok(response),
                Err(ExchangeError::Unreachable) => Err(Outcome::Unreachable),
                Err(ExchangeError::NotSent) => Err(Outcome::NotSent),
                Err(ExchangeError::Broken) => Err(Outcome::ConnectionLost),
            },
            () = self.clock.sleep_until(Some(deadline)) => Err(Outcome::TimedOut),
            _ = cancelled => Err(Outcome::Cancelled),
        };
        let elapsed = self.clock.now() - started;
        match ended {
            Ok(response) => {
                let reply =
                    pipithub_inference::outcome(response.status, |name| response.header(name));
                let content_type = response.header("content-type").map(Arc::from);
                let served = (reply.outcome == Outcome::Served).then(|| Served {
                    status: response.status,
                    content_type,
                    body: response.body.clone(),
                });
                let (outcome, note, alike, load) =
                    (reply.outcome, reply.note, reply.alike, reply.load);
                AttemptResult {
                    id,
                    outcome,
                    elapsed,
                    replica_status: note,
                    function_concurrency: alike,
                    load_report: load,
                    served,
                }
            }
            Err(outcome) => AttemptResult {
                id,
                outcome,
                elapsed,
                replica_status: None,
                function_concurrency: None,
                load_report: LoadReport::default(),
                served: None,
            },
        }
    }

    /// Has a worker load replicas of a function.
    pub(crate) async fn load_function(
        &self,
        worker: WorkerId,
        function: FunctionId,
        name: &str,
        replicas: u32,
    ) -> LoadCommandResult {
        let started = self.clock.now();
        let request = pipithub_inference::order(name, replicas, &self.front_end);
        let timeout = std::time::Duration::from_nanos(self.config.load_command_timeout);
        let response =
            tokio::time::timeout(timeout, self.exchange(&worker, request, Bytes::new(), None))
                .await;
        let (outcome, replicas) = match response {
            Err(_) => (Outcome::TimedOut, 0),
            Ok(Err(ExchangeError::Unreachable)) => (Outcome::Unreachable, 0),
            Ok(Err(ExchangeError::NotSent)) => (Outcome::NotSent, 0),
            Ok(Err(ExchangeError::Broken)) => (Outcome::ConnectionLost, 0),
            Ok(Ok(response)) => {
                pipithub_inference::order_outcome(response.status, |name| response.header(name))
            }
        };
        LoadCommandResult {
            worker,
            function,
            outcome,
            elapsed: self.clock.now() - started,
            replicas,
        }
    }

    /// Has a worker evict idle replicas of a function; nobody waits for the reply.
    pub(crate) async fn evict_function(&self, worker: WorkerId, name: &str) {
        let request = pipithub_inference::order(name, 0, &self.front_end);
        let timeout = std::time::Duration::from_nanos(self.config.load_command_timeout);
        let _ = tokio::time::timeout(timeout, self.exchange(&worker, request, Bytes::new(), None))
            .await;
    }

    /// Polls a worker for its load report.
    pub(crate) async fn poll_load(&self, worker: WorkerId) -> LoadPollResult {
        let timeout = std::time::Duration::from_nanos(self.config.load_poll_timeout);
        let request = pipithub_inference::probe(&self.front_end);
        let response =
            tokio::time::timeout(timeout, self.exchange(&worker, request, Bytes::new(), None))
                .await;
        match response {
            Ok(Ok(response)) if response.status == 200 => {
                let load = response
                    .header(header::LOAD)
                    .map(pipithub_inference::load)
                    .unwrap_or_default();
                LoadPollResult {
                    worker,
                    answered: true,
                    load_report: load,
                }
            }
            _ => LoadPollResult {
                worker,
                answered: false,
                load_report: LoadReport::default(),
            },
        }
    }
}
