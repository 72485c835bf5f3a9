//! The worker list over HTTP: list, then watch, and again.

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

/// A watch is asked to end after so many seconds, and taken for dead a little later: a connection that was cut without
/// a word must not leave the list stale for ever.
const WATCH_SECONDS: u64 = 60;
const BODY_MOST: usize = 64 << 20;
const MS: u64 = 1_000_000;

pub(crate) struct ListSettings {
    pub(crate) url: String,
    pub(crate) namespace: String,
    pub(crate) service: String,
    pub(crate) port: Option<String>,
    pub(crate) remember: Option<PathBuf>,
    pub(crate) front_end: String,
}

/// The list as it was when the process last ran.
pub(crate) fn recall(
    settings: &ListSettings,
    clock: Clock,
) -> Option<(EndpointUpdate, Vec<Endpoint>)> {
    let path = settings.remember.as_ref()?;
    let text = std::fs::read_to_string(path).ok()?;
    match pipithub_endpoints::recall(&text, clock.now(), wall_ms()) {
        Ok(recalled) => Some(recalled),
        Err(error) => {
            warn!(path = %path.display(), %error, "the remembered list is not read");
            None
        }
    }
}

/// Saves the remembered list. All front ends of a process write the same file, each by a temporary file of its own.
fn start_saver(settings: &ListSettings) -> Option<Saver> {
    let path = settings.remember.as_ref()?;
    let target = Target::shared(path, &settings.front_end, Durability::Synced);
    Some(Saver::start(Arc::new(SystemFiles), target))
}

async fn get(settings: &ListSettings, query: &str) -> Result<Response<Incoming>, String> {
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
    let answer = tokio::time::timeout(Duration::from_secs(30), sender.send_request(request)).await;
    let answer = answer
        .map_err(|_| "no answer".to_string())?
        .map_err(|e| e.to_string())?;
    if answer.status() == 410 {
        return Err("410".into());
    }
    if !answer.status().is_success() {
        return Err(format!("the server answers {}", answer.status()));
    }
    Ok(answer)
}

/// Follows the list for ever. What is known stays while the server cannot be reached.
pub(crate) async fn run(
    settings: ListSettings,
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
            list(&settings, &mut watcher, &inputs, saver, clock).await
        } else {
            backoff.up(clock.now());
            watch(&settings, &mut watcher, &inputs, saver, clock).await
        };
        if inputs.is_closed() {
            return;
        }
        if let Err(why) = ended {
            let wait = backoff.down(clock.now());
            warn!(
                front_end = settings.front_end,
                why,
                wait_ms = wait / MS,
                "worker list not followed"
            );
            tokio::time::sleep(Duration::from_nanos(wait)).await;
        }
    }
}

async fn list(
    settings: &ListSettings,
    watcher: &mut Watcher,
    inputs: &mpsc::Sender<Input>,
    saver: Option<&Saver>,
    clock: Clock,
) -> Result<(), String> {
    let answer = get(settings, "").await?;
    let read = tokio::time::timeout(
        Duration::from_secs(30),
        Limited::new(answer.into_body(), BODY_MOST).collect(),
    );
    let body = read
        .await
        .map_err(|_| "the list stalls".to_string())?
        .map_err(|e| e.to_string())?
        .to_bytes();
    let entries = watcher
        .list(clock.now(), wall_ms(), &body)
        .map_err(|e| e.to_string())?;
    if watcher.version().is_none() {
        return Err("the list has no resourceVersion to watch from".into());
    }
    info!(
        front_end = settings.front_end,
        workers = entries.len(),
        live = watcher.live(),
        "worker list"
    );
    told(
        watcher,
        inputs,
        saver,
        clock,
        EndpointUpdate::Snapshot,
        entries,
    )
    .await;
    Ok(())
}

async fn told(
    watcher: &Watcher,
    inputs: &mpsc::Sender<Input>,
    saver: Option<&Saver>,
    clock: Clock,
    kind: EndpointUpdate,
    entries: Vec<Endpoint>,
) {
    let _ = inputs
        .send(Input::Endpoints {
            update: kind,
            endpoints: entries,
        })
        .await;
    if let Some(saver) = saver {
        saver.save(
            clock.now(),
            watcher.remembered(clock.now(), wall_ms()).into_bytes(),
        );
    }
}

async fn watch(
    settings: &ListSettings,
    watcher: &mut Watcher,
    inputs: &mpsc::Sender<Input>,
    saver: Option<&Saver>,
    clock: Clock,
) -> Result<(), String> {
    let version = watcher.version().unwrap_or_default();
    let query = format!(
        "&watch=1&allowWatchBookmarks=true&timeoutSeconds={WATCH_SECONDS}&resourceVersion={version}"
    );
    let answer = match get(settings, &query).await {
        Err(why) if why == "410" => {
            watcher.forget_version();
            return Ok(());
        }
        other => other?,
    };
    let mut body = answer.into_body();
    let mut buffer = BytesMut::new();
    let end = tokio::time::Instant::now() + Duration::from_secs(WATCH_SECONDS + 10);
    loop {
        let frame = match tokio::time::timeout_at(end, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|e| e.to_string())?,
            // Its time is over, as asked: the next one goes on from the version reached, at once. One that ends
            // early is a server in trouble, not to be asked without a pause.
            Ok(None) if tokio::time::Instant::now() + Duration::from_secs(15) >= end => {
                return Ok(());
            }
            Ok(None) => return Err("the watch has ended".into()),
            Err(_) => return Ok(()),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.len() + data.len() > BODY_MOST {
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
                    told(
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
                    // A line that is not understood may have been a drain: all is asked anew.
                    watcher.forget_version();
                    return Err(error.to_string());
                }
            }
        }
    }
}
