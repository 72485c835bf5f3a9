//! The worker on sockets: Open Inference Protocol, repository extension, ORCA reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming as Body;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pipithub_conformance::record::Seen;
use pipithub_inference::orca::Report;
use pipithub_inference::{IndexEntry, header, unescape};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tracing::debug;

use super::core::{Happened, Incoming, Met, Refused, WorkerCore, WorkerSettings};
use crate::accept::next_stream;
use crate::clock::Clock;
use crate::recorder::Recorder;

/// Bodies are taken up to this size.
const BODY_MOST: usize = 64 << 20;

enum Reply {
    Call(Result<Met, Refused>, u32),
    Order {
        copies: u32,
        result: Result<(), Refused>,
    },
}

struct State {
    core: WorkerCore,
    next: u64,
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
    /// Of calls that have not begun to run: their names and keys, for the records.
    names: HashMap<u64, (String, Option<String>)>,
    swallow: bool,
}

struct Shared {
    state: Mutex<State>,
    clock: Clock,
    timer: Notify,
    fell: Notify,
    recorder: Recorder,
    at: String,
    store: Option<String>,
    deduplication_window: std::time::Duration,
}

/// A worker that is running; it ends when dropped.
pub struct WorkerServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: tokio::task::JoinSet<()>,
}

impl WorkerServer {
    /// Starts one; `store`: where models are fetched.
    pub async fn start(
        listen: SocketAddr,
        settings: WorkerSettings,
        store: Option<String>,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let clock = Clock::default();
        let up = Seen::WorkerUp {
            capacity: settings.capacity(),
            cold_from: settings.initial_weight,
            ramp_ms: settings.slow_start_window / 1_000_000,
        };
        recorder.note(&address.to_string(), up);
        let deduplication_window = std::time::Duration::from_nanos(settings.deduplication_window);
        let core = WorkerCore::new(settings, store.is_some(), clock.now());
        let state = State {
            core,
            next: 1,
            waiting: HashMap::new(),
            names: HashMap::new(),
            swallow: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            clock,
            timer: Notify::new(),
            fell: Notify::new(),
            recorder,
            at: address.to_string(),
            store,
            deduplication_window,
        });
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(accept(listener, shared.clone()));
        tasks.spawn(timer(shared.clone()));
        Ok(WorkerServer {
            address,
            shared,
            tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes requests and answers none, or answers again.
    pub fn set_silent(&self, silent: bool) {
        self.shared.lock().swallow = silent;
    }

    /// Waits until it falls over.
    pub async fn overloaded(&self) {
        self.shared.fell.notified().await;
    }

    /// Calls that it holds.
    pub fn in_flight(&self) -> usize {
        self.shared.lock().core.in_flight()
    }

    /// Ends it and all its connections at once.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn act<T>(self: &Arc<Self>, what: impl FnOnce(&mut State, u64) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let result = what(&mut state, now);
        for happened in state.core.take() {
            match happened {
                Happened::Ran { id, dropped } => {
                    if let Some((request, key)) = state.names.remove(&id) {
                        self.recorder.note(
                            &self.at,
                            Seen::Ran {
                                request,
                                key,
                                dropped,
                            },
                        );
                    }
                }
                Happened::Done { id, result, alike } => {
                    state.names.remove(&id);
                    if let Some(sender) = state.waiting.remove(&id) {
                        let _ = sender.send(Reply::Call(result, alike));
                    }
                }
                Happened::Ordered { id, copies, result } => {
                    if let Some(sender) = state.waiting.remove(&id) {
                        let _ = sender.send(Reply::Order { copies, result });
                    }
                }
                Happened::Fetch(model) => {
                    tokio::spawn(fetch(self.clone(), model));
                }
                Happened::FellOver { sent, bound } => {
                    self.recorder.note(&self.at, Seen::FellOver { sent, bound });
                    self.fell.notify_one();
                }
            }
        }
        drop(state);
        self.timer.notify_one();
        result
    }

    fn report(&self) -> String {
        let state = self.lock();
        let mut report = Report::default();
        report.set("cpu_utilization", state.core.busy());
        report.set("mem_utilization", state.core.memory_tied());
        report.set("named_metrics.inflight", state.core.in_flight() as f64);
        report.set("named_metrics.loading", state.core.loads() as f64);
        report.to_text()
    }
}

async fn fetch(shared: Arc<Shared>, model: String) {
    let came = match &shared.store {
        Some(store) => crate::store::fetch(store, &model).await,
        None => true,
    };
    shared.act(|state, now| state.core.fetched(now, &model, came));
}

async fn timer(shared: Arc<Shared>) {
    loop {
        let due = shared.lock().core.next_due();
        tokio::select! {
            () = shared.clock.sleep_until(due) => shared.act(|state, now| state.core.on_time(now)),
            () = shared.timer.notified() => {}
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Connections end with the worker: a dead process keeps none.
    let mut connections = tokio::task::JoinSet::new();
    while let Some(stream) = next_stream(&listener).await {
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let shared = shared.clone();
        connections.spawn(async move {
            let service = service_fn(|request| serve(shared.clone(), request));
            let served = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                debug!(%error, "connection over");
            }
        });
    }
}

/// Withdraws a call whose caller has gone.
struct Guard {
    shared: Arc<Shared>,
    id: u64,
    armed: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.armed {
            let id = self.id;
            self.shared.act(|state, now| {
                state.core.withdraw(now, id);
                state.waiting.remove(&id);
            });
        }
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
async fn serve(
    shared: Arc<Shared>,
    request: Request<Body>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let told = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::to_string)
    };
    let number = |name: &str| {
        told(name)
            .and_then(|v| v.parse::<f64>().ok())
            .filter(|n| *n >= 0.0)
            .unwrap_or(0.0)
    };
    let front_end = told(header::FRONT_END).unwrap_or_default();
    let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
    let reply = |status: StatusCode| {
        Response::builder()
            .status(status)
            .header(header::LOAD, shared.report())
    };
    let body = match Limited::new(body, BODY_MOST).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(finish(reply(StatusCode::PAYLOAD_TOO_LARGE), Bytes::new())),
    };
    match (&parts.method, &path[..]) {
        (&Method::GET, ["v2", "health", "ready" | "live"]) => {
            shared.recorder.note(&shared.at, Seen::Probe { front_end });
            Ok(finish(reply(StatusCode::OK), Bytes::new()))
        }
        (&Method::POST, ["v2", "repository", "index"]) => {
            let index = shared.lock().core.index();
            let entry = |(name, state): (String, &str)| IndexEntry {
                name,
                state: state.into(),
                reason: String::new(),
            };
            let all: Vec<IndexEntry> = index.into_iter().map(entry).collect();
            Ok(finish(
                reply(StatusCode::OK),
                Bytes::from(serde_json::to_vec(&all).unwrap_or_default()),
            ))
        }
        (
            &Method::POST,
            [
                "v2",
                "repository",
                "models",
                model,
                verb @ ("load" | "unload"),
            ],
        ) => {
            let Some(model) = unescape(model) else {
                return Ok(finish(reply(StatusCode::BAD_REQUEST), Bytes::new()));
            };
            let copies = if *verb == "load" {
                (number(header::COPIES) as u32).max(1)
            } else {
                0
            };
            shared.recorder.note(
                &shared.at,
                Seen::Order {
                    front_end,
                    function: model.clone(),
                    copies,
                },
            );
            let (sender, receiver) = oneshot::channel();
            let id = shared.act(|state, now| {
                let id = state.next;
                state.next += 1;
                state.waiting.insert(id, sender);
                state.core.order(now, id, &model, copies);
                id
            });
            let mut guard = Guard {
                shared: shared.clone(),
                id,
                armed: true,
            };
            let told = receiver.await;
            guard.armed = false;
            let Ok(Reply::Order { copies, result }) = told else {
                return Err(std::io::ErrorKind::Other.into());
            };
            let status = match result {
                Ok(()) => StatusCode::OK,
                Err(Refused::LoadFailed) => StatusCode::SERVICE_UNAVAILABLE,
                Err(_) => StatusCode::TOO_MANY_REQUESTS,
            };
            let mut response = reply(status)
                .header(header::COPIES, copies)
                .header(header::RAN, "no");
            if result == Err(Refused::LoadFailed) {
                response = response.header(header::COPY, "failed");
            }
            Ok(finish(response, Bytes::new()))
        }
        (&Method::POST, ["v2", "models", model, "infer"]) => {
            let Some(model) = unescape(model) else {
                return Ok(finish(reply(StatusCode::BAD_REQUEST), Bytes::new()));
            };
            let name = told(header::REQUEST).unwrap_or_default();
            let (key, attempt) = (told(header::KEY), number(header::ATTEMPT) as u32);
            shared.recorder.note(
                &shared.at,
                Seen::Call {
                    front_end: front_end.clone(),
                    request: name.clone(),
                    attempt,
                    function: model.clone(),
                    key: key.clone(),
                },
            );
            let json: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
            let work = json
                .as_ref()
                .and_then(|j| j["parameters"]["work_ms"].as_f64())
                .filter(|w| *w >= 0.0);
            // The workers of one store drop each other's repeats: the key is claimed there before the call may run.
            let claimed = match (&shared.store, &key) {
                (Some(store), Some(key)) => {
                    crate::store::claim(store, key, shared.deduplication_window).await
                }
                _ => true,
            };
            let incoming = Incoming {
                repeat: !claimed,
                id: 0,
                function: model.clone(),
                key: key.clone(),
                replica_mb: number(header::MEMORY),
                replica_concurrency: number(header::LANES) as u32,
                work: work.map(|ms| (ms.min(600_000.0) * 1e6) as u64),
            };
            let told_key = key.clone();
            let (sender, receiver) = oneshot::channel();
            let id = shared.act(|state, now| {
                let id = state.next;
                state.next += 1;
                state.waiting.insert(id, sender);
                state.names.insert(id, (name.clone(), key));
                state.core.call(now, Incoming { id, ..incoming });
                id
            });
            let mut guard = Guard {
                shared: shared.clone(),
                id,
                armed: true,
            };
            let told = receiver.await;
            guard.armed = false;
            let Ok(Reply::Call(result, alike)) = told else {
                return Err(std::io::ErrorKind::Other.into());
            };
            if let (Err(_), true, Some(store), Some(key)) =
                (&result, claimed, &shared.store, told_key)
            {
                crate::store::give_back(store, &key).await;
            }
            if shared.lock().swallow {
                // The work is done, the answer never leaves.
                std::future::pending::<()>().await;
            }
            let (status, note) = match result {
                Ok(Met::Warm) => (StatusCode::OK, Some("warm")),
                Ok(Met::Began) => (StatusCode::OK, Some("began")),
                Ok(Met::Waited) => (StatusCode::OK, Some("waited")),
                Err(Refused::LoadFailed) => (StatusCode::SERVICE_UNAVAILABLE, Some("failed")),
                Err(Refused::Full | Refused::NoMemory | Refused::Fallen) => {
                    (StatusCode::TOO_MANY_REQUESTS, None)
                }
            };
            let not_run = result.is_err();
            let status_code = status.as_u16();
            let replied = Seen::Replied {
                front_end,
                request: name,
                attempt,
                status: status_code,
                not_run,
            };
            shared.recorder.note(&shared.at, replied);
            let mut response = reply(status).header(header::ALIKE, alike);
            if let Some(note) = note {
                response = response.header(header::COPY, note);
            }
            if not_run {
                return Ok(finish(response.header(header::RAN, "no"), Bytes::new()));
            }
            if let Some(kind) = parts.headers.get("content-type") {
                response = response.header("content-type", kind);
            }
            Ok(finish(response, echo(&model, json, body)))
        }
        _ => Ok(finish(reply(StatusCode::NOT_FOUND), Bytes::new())),
    }
}

/// A V2 request's inputs as outputs; any other body as it is.
fn echo(model: &str, json: Option<serde_json::Value>, body: Bytes) -> Bytes {
    match json {
        Some(json) if json.get("inputs").is_some() => {
            let mut answer = serde_json::json!({"model_name": model, "outputs": json["inputs"]});
            if let Some(id) = json.get("id") {
                answer["id"] = id.clone();
            }
            Bytes::from(answer.to_string())
        }
        _ => body,
    }
}

fn finish(response: hyper::http::response::Builder, body: Bytes) -> Response<Full<Bytes>> {
    response.body(Full::new(body)).unwrap_or_else(|_| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
