//! The worker's HTTP interface: Open Inference Protocol, repository extension, ORCA load reports.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response::Builder;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use pipithub_amqp::Time;
use pipithub_conformance::record::Seen;
use pipithub_inference::{header, unescape};
use serde_json::{Value, json};

use super::core::{InferenceRequest, Placement, Rejection};
use super::server::{CancelGuard, PendingReply, QueuedName, Reply, Shared};
use super::settings::NANOS_PER_MS;

/// The maximum size of a request body; larger ones are rejected.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The maximum work of a request, in milliseconds; a request that states more has this.
const MAX_WORK_MS: f64 = 600_000.0;

type HttpResponse = Response<Full<Bytes>>;

/// Answers a request; an error ends the connection without an answer.
pub(super) async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<HttpResponse> {
    let (parts, body) = request.into_parts();
    let context = RequestContext {
        shared,
        headers: parts.headers,
    };
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(context.empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
    match (&parts.method, &path[..]) {
        (&Method::GET, ["v2", "health", "ready" | "live"]) => Ok(context.health()),
        (&Method::POST, ["v2", "repository", "index"]) => Ok(context.index()),
        (&Method::POST, ["v2", "repository", "models", model, "load"]) => {
            let replicas = (context.number(header::REPLICAS) as u32).max(1);
            context.command(model, replicas).await
        }
        (&Method::POST, ["v2", "repository", "models", model, "unload"]) => {
            context.command(model, 0).await
        }
        (&Method::POST, ["v2", "models", model, "infer"]) => {
            context.infer(model, body.to_bytes()).await
        }
        _ => Ok(context.empty_response(StatusCode::NOT_FOUND)),
    }
}

/// The headers of a request, and the worker that answers it.
struct RequestContext {
    shared: Arc<Shared>,
    headers: HeaderMap,
}

impl RequestContext {
    fn text(&self, name: &str) -> Option<String> {
        let value = self.headers.get(name)?.to_str().ok()?;
        Some(value.to_string())
    }

    /// The value of a numeric header; 0 if it is missing, not a number or negative.
    fn number(&self, name: &str) -> f64 {
        self.text(name)
            .and_then(|value| value.parse::<f64>().ok())
            .filter(|number| *number >= 0.0)
            .unwrap_or(0.0)
    }

    fn front_end(&self) -> String {
        self.text(header::FRONT_END).unwrap_or_default()
    }

    /// Begins a response, with the current load report.
    fn response(&self, status: StatusCode) -> Builder {
        Response::builder()
            .status(status)
            .header(header::LOAD_REPORT, self.shared.load_report())
    }

    fn empty_response(&self, status: StatusCode) -> HttpResponse {
        finish(self.response(status), Bytes::new())
    }

    fn health(&self) -> HttpResponse {
        let front_end = self.front_end();
        self.shared.record(Seen::LoadPoll { front_end });
        self.empty_response(StatusCode::OK)
    }

    fn index(&self) -> HttpResponse {
        let entries = self.shared.lock().core.index();
        let body = serde_json::to_vec(&entries).unwrap_or_default();
        finish(self.response(StatusCode::OK), Bytes::from(body))
    }

    /// Executes a command to load replicas of a model, or with 0 replicas to unload its idle ones.
    async fn command(&self, escaped_model: &str, replicas: u32) -> io::Result<HttpResponse> {
        let Some(model) = unescape(escaped_model) else {
            return Ok(self.empty_response(StatusCode::BAD_REQUEST));
        };
        self.shared.record(Seen::LoadCommand {
            front_end: self.front_end(),
            function: model.clone(),
            replicas,
        });
        let pending = self.shared.act(|state, now| {
            let pending = state.register();
            if replicas == 0 {
                state.core.unload(now, pending.id, &model);
            } else {
                state.core.load(now, pending.id, &model, replicas);
            }
            pending
        });
        let Some(Reply::Command { replicas, result }) = self.reply(pending).await else {
            return Err(io::ErrorKind::Other.into());
        };
        let status = match result {
            Ok(()) => StatusCode::OK,
            Err(Rejection::LoadFailed) => StatusCode::SERVICE_UNAVAILABLE,
            Err(_) => StatusCode::TOO_MANY_REQUESTS,
        };
        let mut response = self
            .response(status)
            .header(header::REPLICAS, replicas)
            .header(header::HAS_RUN, "no");
        if result == Err(Rejection::LoadFailed) {
            response = response.header(header::REPLICA_STATUS, "failed");
        }
        Ok(finish(response, Bytes::new()))
    }

    async fn infer(&self, escaped_model: &str, body: Bytes) -> io::Result<HttpResponse> {
        let Some(model) = unescape(escaped_model) else {
            return Ok(self.empty_response(StatusCode::BAD_REQUEST));
        };
        let document: Option<Value> = serde_json::from_slice(&body).ok();
        let request = stated_name(document.as_ref())
            .or_else(|| self.text(header::REQUEST_ID))
            .unwrap_or_default();
        let key = self.text(header::IDEMPOTENCY_KEY);
        let attempt = self.number(header::ATTEMPT) as u32;
        self.shared.record(Seen::Call {
            front_end: self.front_end(),
            request: request.clone(),
            attempt,
            function: model.clone(),
            key: key.clone(),
        });
        let claimed = self.claim(key.as_deref()).await;
        let inference = InferenceRequest {
            id: 0,
            function: model.clone(),
            key: key.clone(),
            replica_mb: self.number(header::REPLICA_MEMORY),
            replica_concurrency: self.number(header::REPLICA_CONCURRENCY) as u32,
            work: stated_work(document.as_ref()),
            is_duplicate: !claimed,
        };
        let reply = self.run(inference, request.clone()).await;
        let Some(Reply::Inference {
            result,
            concurrency,
        }) = reply
        else {
            return Err(io::ErrorKind::Other.into());
        };
        if result.is_err() && claimed {
            self.release(key.as_deref()).await;
        }
        if self.shared.is_silent() {
            // The request has ended, but its answer is never sent.
            std::future::pending::<()>().await;
        }
        let status = inference_status(result);
        self.shared.record(Seen::Replied {
            front_end: self.front_end(),
            request,
            attempt,
            status: status.as_u16(),
            not_run: result.is_err(),
        });
        let response = self.inference_response(status, result, concurrency);
        if result.is_err() {
            let response = response.header(header::HAS_RUN, "no");
            return Ok(finish(response, Bytes::new()));
        }
        Ok(finish(response, echo(&model, document, body)))
    }

    /// Claims the key of a request at the store before the request may run, so that the workers of one store drop each
    /// other's duplicates. False if the key is already claimed.
    async fn claim(&self, key: Option<&str>) -> bool {
        match (&self.shared.store, key) {
            (Some(store), Some(key)) => {
                crate::store::claim(store, key, self.shared.deduplication_window).await
            }
            _ => true,
        }
    }

    /// Releases the key of a request that did not run, so that a retry can run.
    async fn release(&self, key: Option<&str>) {
        if let (Some(store), Some(key)) = (&self.shared.store, key) {
            crate::store::release(store, key).await;
        }
    }

    /// Hands a request to the core and waits for the reply. `name` is the name of the request in records.
    async fn run(&self, inference: InferenceRequest, name: String) -> Option<Reply> {
        let pending = self.shared.act(|state, now| {
            let pending = state.register();
            let id = pending.id;
            let queued = QueuedName {
                request: name,
                key: inference.key.clone(),
            };
            state.queued_names.insert(id, queued);
            state
                .core
                .receive(now, InferenceRequest { id, ..inference });
            pending
        });
        self.reply(pending).await
    }

    /// Waits for the core's reply. If the client disconnects meanwhile, its request is cancelled.
    async fn reply(&self, pending: PendingReply) -> Option<Reply> {
        let guard = CancelGuard::new(self.shared.clone(), pending.id);
        let reply = pending.receiver.await.ok();
        guard.disarm();
        reply
    }

    fn inference_response(
        &self,
        status: StatusCode,
        result: Result<Placement, Rejection>,
        concurrency: u32,
    ) -> Builder {
        let mut response = self
            .response(status)
            .header(header::FUNCTION_CONCURRENCY, concurrency);
        if let Some(placement) = placement_header(result) {
            response = response.header(header::REPLICA_STATUS, placement);
        }
        let content_type = self.headers.get("content-type");
        if let Some(content_type) = content_type.filter(|_| result.is_ok()) {
            response = response.header("content-type", content_type);
        }
        response
    }
}

fn inference_status(result: Result<Placement, Rejection>) -> StatusCode {
    match result {
        Ok(_) => StatusCode::OK,
        Err(Rejection::LoadFailed) => StatusCode::SERVICE_UNAVAILABLE,
        Err(Rejection::QueueFull | Rejection::OutOfMemory | Rejection::Overloaded) => {
            StatusCode::TOO_MANY_REQUESTS
        }
    }
}

/// The value of the response header that states how the request found a replica.
fn placement_header(result: Result<Placement, Rejection>) -> Option<&'static str> {
    match result {
        Ok(Placement::Warm) => Some("warm"),
        Ok(Placement::BeganLoad) => Some("began"),
        Ok(Placement::AwaitedLoad) => Some("waited"),
        Err(Rejection::LoadFailed) => Some("failed"),
        Err(Rejection::QueueFull | Rejection::OutOfMemory | Rejection::Overloaded) => None,
    }
}

/// The name that a request states among its parameters, under which it is recorded. Clients may choose equal message ids,
/// so that the id of the request does not tell which one it is.
fn stated_name(document: Option<&Value>) -> Option<String> {
    let name = document?["parameters"]["call"].as_str()?;
    Some(name.to_string())
}

/// The work that a request states among its parameters, in nanoseconds.
fn stated_work(document: Option<&Value>) -> Option<Time> {
    let ms = document?["parameters"]["work_ms"].as_f64()?;
    (ms >= 0.0).then(|| (ms.min(MAX_WORK_MS) * NANOS_PER_MS as f64) as Time)
}

/// The body of a response: the inputs of a V2 request as its outputs, or any other body unchanged.
fn echo(model: &str, document: Option<Value>, body: Bytes) -> Bytes {
    match document {
        Some(document) if document.get("inputs").is_some() => {
            let mut answer = json!({"model_name": model, "outputs": document["inputs"]});
            if let Some(id) = document.get("id") {
                answer["id"] = id.clone();
            }
            Bytes::from(answer.to_string())
        }
        _ => body,
    }
}

fn finish(response: Builder, body: Bytes) -> HttpResponse {
    response.body(Full::new(body)).unwrap_or_else(|_| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
