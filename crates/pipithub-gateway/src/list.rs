//! The endpoint list from the Kubernetes API over HTTP: one list request, then watches from its version on.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::backoff::Backoff;
use pipithub_endpoints::{Step, Watcher};
use pipithub_engine::Input;
use pipithub_engine::policy::{Endpoint, EndpointUpdate};
use pipithub_storage::{Durability, Saver, SystemFiles, Target};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// The server is asked to end a watch after this time. A watch that lasts longer counts as dead: a connection that was cut
/// silently must not leave the list stale for ever.
const WATCH_SECONDS: u64 = 60;
const MAX_BODY_BYTES: usize = 64 << 20;
const MS: u64 = 1_000_000;

pub(crate) struct EndpointListSettings {
    pub(crate) url: String,
    pub(crate) namespace: String,
    pub(crate) service: String,
    pub(crate) port: Option<String>,
    pub(crate) cache: Option<PathBuf>,
    pub(crate) front_end: String,
}

/// Reads the cached list of an earlier run.
pub(crate) fn load_cached(
    settings: &EndpointListSettings,
    clock: Clock,
) -> Option<(EndpointUpdate, Vec<Endpoint>)> {
    let path = settings.cache.as_ref()?;
    let text = std::fs::read_to_string(path).ok()?;
    match pipithub_endpoints::recall(&text, clock.now(), wall_ms()) {
        Ok(recalled) => Some(recalled),
        Err(error) => {
            warn!(path = %path.display(), %error, "the cached endpoint list cannot be read");
            None
        }
    }
}

/// Starts the saver of the cached list. All front ends of a process write the same file, each by a temporary file of its
/// own.
fn start_saver(settings: &EndpointListSettings) -> Option<Saver> {
    let path = settings.cache.as_ref()?;
    let target = Target::shared(path, &settings.front_end, Durability::Synced);
    Some(Saver::start(Arc::new(SystemFiles), target))
}

async fn get(settings: &EndpointListSettings, query: &str) -> Result<Response<Incoming>, String> {
    let host = settings
        .url
        .trim_start_matches("http://")
        .trim_end_matches('/');
    let connect = tokio::time::timeout(Duration::from_secs(5), TcpStream::connect(host)).await;
    let stream = connect
        .map_err(|_| "connecting takes too long".to_string())?
        .map_err(|e| e.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(connection);
    let path = format!(
        "/apis/discovery.k8s.io/v1/namespaces/{}/endpointslices?labelSelector=kubernetes.io%2Fservice-name%3D{}{query}",
        settings.namespace, settings.service
    );
    let request = Request::get(path)
        .header("host", host)
        .header("accept", "application/json")
        .header("user-agent", format!("pipithub/{}", settings.front_end))
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let response =
        tokio::time::timeout(Duration::from_secs(30), sender.send_request(request)).await;
    let response = response
        .map_err(|_| "no answer".to_string())?
        .map_err(|e| e.to_string())?;
    if response.status() == 410 {
        return Err("410".into());
    }
    if !response.status().is_success() {
        return Err(format!("the server answers {}", response.status()));
    }
    Ok(response)
}

/// Follows the list for ever. The last known list stays in force while the server cannot be reached.
pub(crate) async fn run(
    settings: EndpointListSettings,
    inputs: mpsc::Sender<Input>,
    clock: Clock,
    seed: u64,
) {
    let mut watcher = Watcher::new(settings.port.clone());
    let saver = start_saver(&settings);
    let saver = saver.as_ref();
    let mut backoff = Backoff::new(100 * MS, 5_000 * MS, 2_000 * MS, seed);
    loop {
        let ended = if watcher.version().is_none() {
            fetch_endpoints(&settings, &mut watcher, &inputs, saver, clock).await
        } else {
            backoff.up(clock.now());
            watch_endpoints(&settings, &mut watcher, &inputs, saver, clock).await
        };
        if inputs.is_closed() {
            return;
        }
        if let Err(why) = ended {
            let pause = backoff.down(clock.now());
            warn!(
                front_end = settings.front_end,
                why,
                wait_ms = pause / MS,
                "worker list not followed"
            );
            tokio::time::sleep(Duration::from_nanos(pause)).await;
        }
    }
}

async fn fetch_endpoints(
    settings: &EndpointListSettings,
    watcher: &mut Watcher,
    inputs: &mpsc::Sender<Input>,
    saver: Option<&Saver>,
    clock: Clock,
) -> Result<(), String> {
    let response = get(settings, "").await?;
    let read = tokio::time::timeout(
        Duration::from_secs(30),
        Limited::new(response.into_body(), MAX_BODY_BYTES).collect(),
    );
    let body = read
        .await
        .map_err(|_| "the list stalls".to_string())?
        .map_err(|e| e.to_string())?
        .to_bytes();
    let endpoints = watcher
        .list(clock.now(), wall_ms(), &body)
        .map_err(|e| e.to_string())?;
    if watcher.version().is_none() {
        return Err("the list has no resourceVersion to watch from".into());
    }
    info!(
        front_end = settings.front_end,
        workers = endpoints.len(),
        ready = watcher.live(),
        "worker list"
    );
    publish(
        watcher,
        inputs,
        saver,
        clock,
        EndpointUpdate::Snapshot,
        endpoints,
    )
    .await;
    Ok(())
}

async fn publish(
    watcher: &Watcher,
    inputs: &mpsc::Sender<Input>,
    saver: Option<&Saver>,
    clock: Clock,
    update: EndpointUpdate,
    endpoints: Vec<Endpoint>,
) {
    let _ = inputs.send(Input::Endpoints { update, endpoints }).await;
    if let Some(saver) = saver {
        saver.save(
            clock.now(),
            watcher.remembered(clock.now(), wall_ms()).into_bytes(),
        );
    }
}

async fn watch_endpoints(
    settings: &EndpointListSettings,
    watcher: &mut Watcher,
    inputs: &mpsc::Sender<Input>,
    saver: Option<&Saver>,
    clock: Clock,
) -> Result<(), String> {
    let version = watcher.version().unwrap_or_default();
    let query = format!(
        "&watch=1&allowWatchBookmarks=true&timeoutSeconds={WATCH_SECONDS}&resourceVersion={version}"
    );
    let response = match get(settings, &query).await {
        Err(why) if why == "410" => {
            watcher.forget_version();
            return Ok(());
        }
        other => other?,
    };
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    let end = tokio::time::Instant::now() + Duration::from_secs(WATCH_SECONDS + 10);
    loop {
        let frame = match tokio::time::timeout_at(end, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|e| e.to_string())?,
            // The watch ended after the time that was asked for: the next one continues from the version reached, at
            // once. One that ends early points to a fault of the server, which is not asked again without a backoff.
            Ok(None) if tokio::time::Instant::now() + Duration::from_secs(15) >= end => {
                return Ok(());
            }
            Ok(None) => return Err("the watch has ended".into()),
            Err(_) => return Ok(()),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_BODY_BYTES {
            return Err("a watch event is too long".into());
        }
        buffer.extend_from_slice(data);
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match watcher.line(clock.now(), wall_ms(), &line) {
                Ok(Step::Changes(changes)) => {
                    publish(
                        watcher,
                        inputs,
                        saver,
                        clock,
                        EndpointUpdate::Delta,
                        changes,
                    )
                    .await;
                }
                Ok(Step::Nothing) => {}
                Ok(Step::Expired) => return Ok(()),
                Err(error) => {
                    // A line that cannot be read may have been a drain: the list is fetched anew.
                    watcher.forget_version();
                    return Err(error.to_string());
                }
            }
        }
    }
}
