//! The server's HTTP interface: lists and watches for front ends, and `/control/` for tests.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use pipithub_endpoints::object::{EndpointSliceList, ListMeta};

use super::watch::watch;
use super::{ListedWorker, Shared};

const SLICES_PREFIX: &str = "/apis/discovery.k8s.io/v1/namespaces/";
const SLICES_SUFFIX: &str = "/endpointslices";

pub(super) type HttpResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

pub(super) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let (parts, body) = request.into_parts();
    let query = parts.uri.query().unwrap_or_default();
    Ok(match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/control/worker") => set_worker(&shared, body).await,
        (&Method::POST, "/control/delay") => {
            let ms = parameter(query, "ms").and_then(|value| value.parse().ok());
            shared.lock().delay = Duration::from_millis(ms.unwrap_or(0));
            empty(StatusCode::OK)
        }
        (&Method::POST, "/control/break") => {
            shared.break_watches(false);
            empty(StatusCode::OK)
        }
        (&Method::POST, "/control/forget") => {
            shared.break_watches(true);
            empty(StatusCode::OK)
        }
        (&Method::GET, path) if is_slices_path(path) => {
            let front_end = front_end(&parts);
            match parameter(query, "watch") {
                Some("1" | "true") => watch(shared, front_end, resource_version(query)),
                _ => list(&shared, &front_end).await,
            }
        }
        _ => empty(StatusCode::NOT_FOUND),
    })
}

fn is_slices_path(path: &str) -> bool {
    path.starts_with(SLICES_PREFIX) && path.ends_with(SLICES_SUFFIX)
}

/// The name of the front end, which is its user agent.
fn front_end(parts: &Parts) -> String {
    let agent = parts
        .headers
        .get("user-agent")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    agent.strip_prefix("pipithub/").unwrap_or(agent).to_string()
}

async fn set_worker(shared: &Shared, body: Incoming) -> HttpResponse {
    let body = body
        .collect()
        .await
        .map(Collected::to_bytes)
        .unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(worker) => {
            shared.set(worker);
            empty(StatusCode::OK)
        }
        Err(error) => full(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// Answers with the complete list. It is built before the delay, so that a delayed list shows an old state.
async fn list(shared: &Shared, front_end: &str) -> HttpResponse {
    let (list, workers, delay) = {
        let state = shared.lock();
        let slices = state
            .workers
            .values()
            .map(|worker| worker.slice(state.version));
        let list = EndpointSliceList {
            metadata: ListMeta {
                resource_version: state.version.to_string(),
            },
            items: slices.collect(),
        };
        let workers: Vec<ListedWorker> = state.workers.values().cloned().collect();
        (list, workers, state.delay)
    };
    tokio::time::sleep(delay).await;
    for worker in &workers {
        shared.record_sent(front_end, worker);
    }
    let body = serde_json::to_string(&list).unwrap_or_default();
    full(StatusCode::OK, body)
}

/// The version after which a watch begins; 0 if it is missing or invalid.
fn resource_version(query: &str) -> u64 {
    parameter(query, "resourceVersion")
        .and_then(|version| version.parse().ok())
        .unwrap_or(0)
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn empty(status: StatusCode) -> HttpResponse {
    full(status, String::new())
}

fn full(status: StatusCode, body: String) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)).boxed_unsync());
    *response.status_mut() = status;
    response
}
