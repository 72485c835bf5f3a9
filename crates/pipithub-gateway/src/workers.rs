//! Workers over HTTP/1.1: pooled connections, attempts with their deadlines, orders and probes.

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

/// All connections of a front end to its workers.
pub(crate) struct Pool {
    front_end: String,
    config: HttpConfig,
    clock: Clock,
    idle: Mutex<HashMap<Arc<str>, Vec<Connection>>>,
}

/// How an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failed {
    /// The worker took no connection, or none that lasted: nothing of it was sent.
    Unreachable,
    /// This machine could not make a connection, or the deadline was reached before: nothing of it was sent, and nothing
    /// is known of the worker.
    NotSent,
    /// It was sent, at least in part.
    Broken,
}

impl From<ConnectFailure> for Failed {
    fn from(failure: ConnectFailure) -> Self {
        match failure {
            ConnectFailure::Peer => Failed::Unreachable,
            ConnectFailure::Local => Failed::NotSent,
        }
    }
}

struct Answer {
    status: u16,
    headers: hyper::HeaderMap,
    body: Bytes,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

impl Pool {
    pub(crate) fn new(front_end: &str, config: HttpConfig, clock: Clock) -> Self {
        Pool {
            front_end: front_end.to_string(),
            config,
            clock,
            idle: Mutex::new(HashMap::new()),
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, worker: &WorkerId) -> Option<Connection> {
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

    fn put(&self, worker: &WorkerId, connection: Connection) {
        let mut idle = self.idle();
        let connections = idle.entry(worker.0.clone()).or_default();
        if connections.len() < self.config.max_idle_connections && !connection.sender.is_closed() {
            connections.push(connection);
        }
    }

    async fn connect(&self, worker: &WorkerId) -> Result<Connection, Failed> {
        let most = std::time::Duration::from_nanos(self.config.connect_timeout);
        let give_up = tokio::time::Instant::now() + most;
        let stream = connect_by(give_up, || TcpStream::connect(&*worker.0)).await?;
        stream.set_nodelay(true).map_err(|_| Failed::Unreachable)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Failed::Unreachable)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, task })
    }

    /// One exchange. A pooled connection that its worker had closed before anything was sent is passed over; what may
    /// have been sent is never sent again here.
    ///
    /// Where there is a deadline, the worker is told what is left of it when the request is put on a connection.
    async fn exchange(
        &self,
        worker: &WorkerId,
        mut request: WorkerRequest,
        body: Bytes,
        deadline: Option<Time>,
    ) -> Result<Answer, Failed> {
        loop {
            let pooled = self.take(worker);
            let fresh = pooled.is_none();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(worker).await?,
            };
            if connection.sender.ready().await.is_err() {
                if fresh {
                    return Err(Failed::Unreachable);
                }
                continue;
            }
            if let Some(deadline) = deadline {
                let left = deadline.saturating_sub(self.clock.now());
                request.set_timeout(left).map_err(|_| Failed::NotSent)?;
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
                .map_err(|_| Failed::NotSent)?;
            let response: Response<hyper::body::Incoming> =
                match connection.sender.try_send_request(built).await {
                    Ok(response) => response,
                    // The message comes back only where no byte of it was written.
                    Err(mut error) => match error.take_message() {
                        Some(_) if fresh => return Err(Failed::Unreachable),
                        Some(_) => continue,
                        None => return Err(Failed::Broken),
                    },
                };
            let (parts, incoming) = response.into_parts();
            let limited = Limited::new(incoming, self.config.max_body);
            let body = limited
                .collect()
                .await
                .map_err(|_| Failed::Broken)?
                .to_bytes();
            self.put(worker, connection);
            return Ok(Answer {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            });
        }
    }

    /// Makes an attempt; it ends by its answer, its deadline or its withdrawal.
    pub(crate) async fn attempt(
        &self,
        id: AttemptId,
        worker: &WorkerId,
        call: &Call,
        deadline: Time,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let began = self.clock.now();
        let request = pipithub_inference::infer(call, id, &self.front_end);
        let exchange = self.exchange(worker, request, call.body.clone(), Some(deadline));
        let ended = tokio::select! {
            biased;
            answer = exchange => match answer {
                Ok(answer) => Ok(answer),
                Err(Failed::Unreachable) => Err(Outcome::Unreachable),
                Err(Failed::NotSent) => Err(Outcome::NotSent),
                Err(Failed::Broken) => Err(Outcome::ConnectionLost),
            },
            () = self.clock.sleep_until(Some(deadline)) => Err(Outcome::TimedOut),
            _ = cancelled => Err(Outcome::Cancelled),
        };
        let took = self.clock.now() - began;
        match ended {
            Ok(answer) => {
                let told = pipithub_inference::outcome(answer.status, |name| answer.header(name));
                let content_type = answer.header("content-type").map(Arc::from);
                let served = (told.outcome == Outcome::Served).then(|| Served {
                    status: answer.status,
                    content_type,
                    body: answer.body.clone(),
                });
                let (outcome, note, alike, load) = (told.outcome, told.note, told.alike, told.load);
                AttemptResult {
                    id,
                    outcome,
                    elapsed: took,
                    replica_status: note,
                    function_concurrency: alike,
                    load_report: load,
                    served,
                }
            }
            Err(outcome) => AttemptResult {
                id,
                outcome,
                elapsed: took,
                replica_status: None,
                function_concurrency: None,
                load_report: LoadReport::default(),
                served: None,
            },
        }
    }

    /// Has a worker hold copies.
    pub(crate) async fn order(
        &self,
        worker: WorkerId,
        function: FunctionId,
        name: &str,
        copies: u32,
    ) -> LoadCommandResult {
        let began = self.clock.now();
        let request = pipithub_inference::order(name, copies, &self.front_end);
        let most = std::time::Duration::from_nanos(self.config.load_command_timeout);
        let answer =
            tokio::time::timeout(most, self.exchange(&worker, request, Bytes::new(), None)).await;
        let (outcome, copies) = match answer {
            Err(_) => (Outcome::TimedOut, 0),
            Ok(Err(Failed::Unreachable)) => (Outcome::Unreachable, 0),
            Ok(Err(Failed::NotSent)) => (Outcome::NotSent, 0),
            Ok(Err(Failed::Broken)) => (Outcome::ConnectionLost, 0),
            Ok(Ok(answer)) => {
                pipithub_inference::order_outcome(answer.status, |name| answer.header(name))
            }
        };
        LoadCommandResult {
            worker,
            function,
            outcome,
            elapsed: self.clock.now() - began,
            replicas: copies,
        }
    }

    /// Has a worker unload idle copies; nobody waits for the reply.
    pub(crate) async fn unload(&self, worker: WorkerId, name: &str) {
        let request = pipithub_inference::order(name, 0, &self.front_end);
        let most = std::time::Duration::from_nanos(self.config.load_command_timeout);
        let _ =
            tokio::time::timeout(most, self.exchange(&worker, request, Bytes::new(), None)).await;
    }

    /// Asks a worker for its load.
    pub(crate) async fn probe(&self, worker: WorkerId) -> LoadPollResult {
        let most = std::time::Duration::from_nanos(self.config.load_poll_timeout);
        let request = pipithub_inference::probe(&self.front_end);
        let answer =
            tokio::time::timeout(most, self.exchange(&worker, request, Bytes::new(), None)).await;
        match answer {
            Ok(Ok(answer)) if answer.status == 200 => {
                let load = answer
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
