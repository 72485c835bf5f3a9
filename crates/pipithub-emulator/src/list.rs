//! A stand-in for the Kubernetes API server's `EndpointSlices`: list and watch with `resourceVersion`, expired versions,
//! breaks, and lists that are late.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pipithub_conformance::record::Seen;
use pipithub_endpoints::object::{
    Conditions, EndpointPort, EndpointSlice, EndpointSliceList, ListMeta, ObjectMeta,
    SliceEndpoint, TargetRef,
};
use pipithub_endpoints::{MEMORY, STARTED};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use crate::accept::next_stream;
use crate::recorder::Recorder;

/// Changes that are kept for watches; older versions are gone.
const HISTORY: usize = 256;
const PATH: &str = "/apis/discovery.k8s.io/v1/namespaces/";

/// A worker as the list's owner sees it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Listed {
    /// IP address.
    pub ip: String,
    /// Port; each port has a slice of its own.
    pub port: u16,
    /// Names the process.
    pub uid: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// `live`, `draining` or `gone`.
    pub state: String,
    /// Its memory.
    #[serde(default)]
    pub memory_mb: f64,
    /// When it started, in Unix milliseconds; 0: long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl Listed {
    fn name(&self) -> String {
        format!("workers-{}-{}", self.ip.replace(['.', ':'], "-"), self.port)
    }

    fn slice(&self, version: u64) -> EndpointSlice {
        let by_uid = |value: f64| serde_json::json!({ self.uid.clone(): value }).to_string();
        let mut annotations = BTreeMap::from([(MEMORY.to_string(), by_uid(self.memory_mb))]);
        if self.started_ms > 0 {
            annotations.insert(STARTED.to_string(), by_uid(self.started_ms as f64));
        }
        let live = self.state == "live";
        let conditions = Conditions {
            ready: Some(live),
            serving: Some(true),
            terminating: Some(!live),
        };
        EndpointSlice {
            metadata: ObjectMeta {
                name: self.name(),
                resource_version: version.to_string(),
                labels: Some(BTreeMap::from([(
                    "kubernetes.io/service-name".to_string(),
                    "workers".to_string(),
                )])),
                annotations: Some(annotations),
            },
            address_type: "IPv4".into(),
            endpoints: vec![SliceEndpoint {
                addresses: vec![self.ip.clone()],
                conditions,
                zone: Some(self.zone.clone()).filter(|z| !z.is_empty()),
                target_ref: Some(TargetRef {
                    name: format!("worker-{}", self.port),
                    uid: self.uid.clone(),
                }),
            }],
            ports: vec![EndpointPort {
                name: Some("http".into()),
                port: Some(self.port),
            }],
        }
    }
}

struct State {
    version: u64,
    workers: BTreeMap<String, Listed>,
    history: VecDeque<(u64, Listed)>,
    delay: Duration,
    /// Raised to end all watches.
    breaks: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    recorder: Recorder,
    at: String,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn told(&self, front_end: &str, worker: &Listed) {
        self.recorder.note(
            &self.at,
            Seen::Told {
                front_end: front_end.to_string(),
                worker: format!("{}:{}", worker.ip, worker.port),
                state: worker.state.clone(),
                started_ms: Some(worker.started_ms).filter(|s| *s > 0),
            },
        );
    }
}

/// A list server that is running; it ends when dropped.
pub struct ListServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for ListServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ListServer {
    /// Starts one, with nothing listed. `POST /control/worker` with a [`Listed`] in JSON sets a worker, `POST
    /// /control/delay?ms=N` holds back changes, `POST /control/break` ends all watches, `POST /control/forget` drops
    /// the history.
    pub async fn start(listen: SocketAddr, recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = State {
            version: 1,
            workers: BTreeMap::new(),
            history: VecDeque::new(),
            delay: Duration::ZERO,
            breaks: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Notify::new(),
            recorder,
            at: address.to_string(),
        });
        let all = shared.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Some(stream) = next_stream(&listener).await {
                let _ = stream.set_nodelay(true);
                while connections.try_join_next().is_some() {}
                let shared = all.clone();
                connections.spawn(async move {
                    let service = service_fn(|request| serve(shared.clone(), request));
                    let http = hyper::server::conn::http1::Builder::new();
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(ListServer {
            address,
            shared,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how a worker stands; `gone` removes it.
    pub fn set(&self, worker: Listed) {
        set(&self.shared, worker);
    }

    /// Holds changes back for so long.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Ends all watches; `forget` makes all their versions too old.
    pub fn break_watches(&self, forget: bool) {
        break_watches(&self.shared, forget);
    }
}

fn set(shared: &Shared, worker: Listed) {
    let mut state = shared.lock();
    state.version += 1;
    let version = state.version;
    if worker.state == "gone" {
        state.workers.remove(&worker.name());
    } else {
        state.workers.insert(worker.name(), worker.clone());
    }
    state.history.push_back((version, worker));
    while state.history.len() > HISTORY {
        state.history.pop_front();
    }
    drop(state);
    shared.changed.notify_waiters();
}

fn break_watches(shared: &Shared, forget: bool) {
    let mut state = shared.lock();
    state.breaks += 1;
    if forget {
        state.version += 1;
        state.history.clear();
    }
    drop(state);
    shared.changed.notify_waiters();
}

type Reply = Response<UnsyncBoxBody<Bytes, Infallible>>;

fn full(status: StatusCode, body: String) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(body)).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let (parts, body) = request.into_parts();
    let query = parts.uri.query().unwrap_or_default().to_string();
    let agent = parts
        .headers
        .get("user-agent")
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let front_end = agent.strip_prefix("pipithub/").unwrap_or(agent).to_string();
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/control/worker") => {
            let body = body
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes)
                .unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(worker) => set(&shared, worker),
                Err(error) => return Ok(full(StatusCode::BAD_REQUEST, error.to_string())),
            }
            Ok(full(StatusCode::OK, String::new()))
        }
        (&Method::POST, "/control/delay") => {
            let ms = parameter(&query, "ms")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            shared.lock().delay = Duration::from_millis(ms);
            Ok(full(StatusCode::OK, String::new()))
        }
        (&Method::POST, "/control/break") => {
            break_watches(&shared, false);
            Ok(full(StatusCode::OK, String::new()))
        }
        (&Method::POST, "/control/forget") => {
            break_watches(&shared, true);
            Ok(full(StatusCode::OK, String::new()))
        }
        (&Method::GET, path) if path.starts_with(PATH) && path.ends_with("/endpointslices") => {
            if parameter(&query, "watch").is_some_and(|w| w == "1" || w == "true") {
                return Ok(watch(shared, front_end, &query));
            }
            // A list that is late shows how things stood then: it is made now and sent later.
            let (list, workers, delay) = {
                let state = shared.lock();
                let items = state
                    .workers
                    .values()
                    .map(|w| w.slice(state.version))
                    .collect();
                let metadata = ListMeta {
                    resource_version: state.version.to_string(),
                };
                let workers: Vec<Listed> = state.workers.values().cloned().collect();
                (EndpointSliceList { metadata, items }, workers, state.delay)
            };
            tokio::time::sleep(delay).await;
            workers.iter().for_each(|w| shared.told(&front_end, w));
            Ok(full(
                StatusCode::OK,
                serde_json::to_string(&list).unwrap_or_default(),
            ))
        }
        _ => Ok(full(StatusCode::NOT_FOUND, String::new())),
    }
}

fn watch(shared: Arc<Shared>, front_end: String, query: &str) -> Reply {
    let mut from: u64 = parameter(query, "resourceVersion")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let (sender, mut receiver) = mpsc::channel::<Bytes>(64);
    tokio::spawn(async move {
        let breaks = shared.lock().breaks;
        loop {
            let changed = shared.changed.notified();
            let (expired, news, delay) = {
                let state = shared.lock();
                if state.breaks != breaks {
                    return;
                }
                let oldest = state.history.front().map_or(state.version + 1, |(v, _)| *v);
                let expired = from + 1 < oldest && from < state.version;
                let news: Vec<_> = state
                    .history
                    .iter()
                    .filter(|(v, _)| *v > from)
                    .cloned()
                    .collect();
                (expired, news, state.delay)
            };
            if expired {
                let status = serde_json::json!({"type": "ERROR", "object": {"kind": "Status", "code": 410,
                    "reason": "Expired", "message": format!("too old resource version: {from}")}});
                let _ = sender.send(Bytes::from(format!("{status}\n"))).await;
                return;
            }
            if news.is_empty() {
                tokio::select! {
                    () = changed => {}
                    () = sender.closed() => return,
                }
                continue;
            }
            tokio::time::sleep(delay).await;
            for (version, worker) in news {
                from = version;
                let kind = if worker.state == "gone" {
                    "DELETED"
                } else {
                    "MODIFIED"
                };
                let event = serde_json::json!({"type": kind, "object": worker.slice(version)});
                // Noted before it is written: the front end cannot have been told earlier.
                shared.told(&front_end, &worker);
                if sender
                    .send(Bytes::from(format!("{event}\n")))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        }
    });
    let stream = futures_stream(move |cx| {
        receiver
            .poll_recv(cx)
            .map(|b| b.map(|b| Ok(Frame::data(b))))
    });
    Response::new(StreamBody::new(stream).boxed_unsync())
}

/// A stream from a poll function, so that no further crate is needed for one.
fn futures_stream<T>(
    poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<T>> + Unpin,
) -> impl futures_core::Stream<Item = T> {
    struct PollStream<F>(F);
    impl<T, F: FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<T>> + Unpin>
        futures_core::Stream for PollStream<F>
    {
        type Item = T;
        fn poll_next(
            mut self: std::pin::Pin<&mut Self>,
            cx: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<T>> {
            (self.0)(cx)
        }
    }
    PollStream(poll)
}
