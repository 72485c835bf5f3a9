//! JSON-RPC 2.0 lines of clients. Every figure is checked here: what a client sends wrongly must neither reach a worker,
//! which would close its connection on it, nor the module.

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::Value;

use crate::settings::{Names, SiteSettings};
use pipithub_policy::api::{Idempotency, Time};

/// The most bytes of a call's body.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// The most bytes of a line: the body in base64 and room for all other fields.
pub const MAX_LINE_BYTES: usize = 32 << 10;
/// The most bytes of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// A call whose client states more than this many times its class's time makes no sense.
const MAX_TTL_FACTOR: f64 = 2.0;
/// The method by which a client says that it has ceased to wait.
const FORGET: &str = "forget";
/// The method that asks whether calls are taken here.
const IS_WELL: &str = "isWell";
/// Methods that are no classes.
pub const METHODS: [&str; 2] = [FORGET, IS_WELL];
/// The code of a refusal: another try is harmless.
pub const REJECTED: i64 = -32050;
/// The code of any other end without an answer: nothing is promised.
pub const FAILED: i64 = -32000;
/// The line cannot be read.
pub const PARSE_ERROR: i64 = -32700;
/// It is no request.
pub const INVALID_REQUEST: i64 = -32600;
/// Its method is no class.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Its figures cannot be used.
pub const INVALID_PARAMS: i64 = -32602;

/// A call as a client states it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientCall {
    /// The number that its answer bears.
    pub id: u64,
    /// Names it to workers: 16 hex digits, exactly as sent.
    pub name: String,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// How long the client waits: its class's time at the most.
    pub client_timeout: Time,
    /// The function: 16 hex digits, exactly as sent.
    pub function: String,
    /// Memory of one loaded copy, in MB; 0 where not told.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub replica_concurrency: u32,
    /// The usual time of a load, where told.
    pub load_time: Option<Time>,
    /// The idempotency key, exactly as sent: workers drop repeats under it.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What a client's line says.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientLine {
    /// Run this.
    Call(Box<ClientCall>),
    /// The client has ceased to wait for the call with this number, or of this name.
    Cancel {
        /// The number of the call, where given so.
        id: Option<u64>,
        /// The name of the call, where given so.
        call: Option<String>,
    },
    /// Whether this front end takes calls.
    HealthCheck {
        /// The number that the answer bears.
        id: u64,
    },
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message} ({code})")]
pub struct RequestError {
    /// The number of the request, where it could be read.
    pub id: Option<u64>,
    /// The JSON-RPC code.
    pub code: i64,
    /// Place and reason.
    pub message: String,
}

impl RequestError {
    fn new(id: Option<u64>, code: i64, message: impl Into<String>) -> Self {
        RequestError {
            id,
            code,
            message: message.into(),
        }
    }
}

/// Reads one line.
///
/// # Errors
/// [`RequestError`] where it is no request of this protocol; a fault without an id cannot be told from noise.
pub fn read_line(line: &[u8], site: &SiteSettings) -> Result<ClientLine, RequestError> {
    let all: Value = serde_json::from_slice(line)
        .map_err(|e| RequestError::new(None, PARSE_ERROR, format!("line: {e}")))?;
    let Some(all) = all.as_object() else {
        return Err(RequestError::new(
            None,
            INVALID_REQUEST,
            "line: not an object",
        ));
    };
    let id = match all.get("id") {
        None => None,
        Some(id) => match id.as_u64().filter(|id| *id > 0) {
            Some(id) => Some(id),
            None => {
                return Err(RequestError::new(
                    None,
                    INVALID_REQUEST,
                    "id: not a whole number from 1 on",
                ));
            }
        },
    };
    let bad = |code, message: &str| RequestError::new(id, code, message);
    if all.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return Err(bad(INVALID_REQUEST, "jsonrpc: not 2.0"));
    }
    let method = all
        .get("method")
        .and_then(Value::as_str)
        .ok_or_else(|| bad(INVALID_REQUEST, "method: missing"))?;
    let none = Value::Null;
    let params = all.get("params").unwrap_or(&none);
    if method == FORGET {
        let number = params.get("id").and_then(Value::as_u64).or(id);
        let call = params
            .get("call")
            .and_then(Value::as_str)
            .map(str::to_string);
        if number.is_none() && call.is_none() {
            return Err(bad(INVALID_PARAMS, "forget: names no call"));
        }
        return Ok(ClientLine::Cancel { id: number, call });
    }
    let Some(id) = id else {
        return Err(bad(INVALID_REQUEST, "id: missing"));
    };
    if method == IS_WELL {
        return Ok(ClientLine::HealthCheck { id });
    }
    let call = call(id, method, params, site).map_err(|(code, message)| bad(code, &message))?;
    Ok(ClientLine::Call(Box::new(call)))
}

fn call(
    id: u64,
    method: &str,
    params: &Value,
    site: &SiteSettings,
) -> Result<ClientCall, (i64, String)> {
    let bad = |message: &str| (INVALID_PARAMS, message.to_string());
    let names: &Names = &site.names;
    let class = names.classes.iter().position(|n| n == method);
    let class = class.ok_or_else(|| (METHOD_NOT_FOUND, "method: no such class".to_string()))?;
    let name = |field: &str| {
        let text = params
            .get(field)
            .and_then(Value::as_str)
            .filter(|t| is_name(t));
        text.map(str::to_string)
            .ok_or_else(|| bad(&format!("{field}: not 16 hex digits")))
    };
    let give_up = site
        .policy
        .classes
        .get(class)
        .map_or(0, |c| c.client_timeout);
    let ttl = params
        .get("ttl")
        .and_then(Value::as_f64)
        .ok_or_else(|| bad("ttl: not a number"))?;
    // A client that is late by itself states somewhat more than its class's time, which holds all the same: such a call
    // must not be lost to a strict bound. Far beyond it lies nothing but nonsense.
    if !(ttl > 0.0 && ttl <= MAX_TTL_FACTOR * give_up as f64 / 1e6) {
        return Err(bad(&format!(
            "ttl: {ttl} is not above 0 and near {} at most",
            give_up as f64 / 1e6
        )));
    }
    let mut read = ClientCall {
        id,
        name: name("call")?,
        class,
        client_timeout: ((ttl * 1e6) as Time).min(give_up),
        function: name("row")?,
        memory_mb: 0.0,
        replica_concurrency: 1,
        load_time: None,
        idempotency_key: None,
        body: Bytes::new(),
    };
    match params.get("props") {
        None | Some(Value::Null) => {}
        Some(Value::String(pairs)) => props(pairs, names, &mut read).map_err(|e| bad(&e))?,
        Some(_) => return Err(bad("props: not a string")),
    }
    // A keyed call is repeated on the strength of its key: without one a repeat would be a second effect.
    let keyed = site
        .policy
        .classes
        .get(class)
        .is_some_and(|c| c.idempotency == Idempotency::WithKey);
    match params.get("dedupe") {
        None | Some(Value::Null) if keyed => {
            return Err(bad("dedupe: missing, and this class is keyed"));
        }
        None | Some(Value::Null) => {}
        Some(Value::String(key)) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => {
            read.idempotency_key = Some(key.clone());
        }
        Some(_) => return Err(bad("dedupe: not a text of 1 to 256 bytes")),
    }
    match params.get("body") {
        None | Some(Value::Null) => {}
        Some(Value::String(text)) => {
            let body = STANDARD
                .decode(text)
                .map_err(|e| bad(&format!("body: {e}")))?;
            if body.len() > MAX_BODY_BYTES {
                return Err(bad("body: too long"));
            }
            read.body = body.into();
        }
        Some(_) => return Err(bad("body: not a string")),
    }
    Ok(read)
}

/// Reads `name:figure` pairs set apart by semicolons. Unknown names are passed over: new ones may show up.
fn props(pairs: &str, names: &Names, call: &mut ClientCall) -> Result<(), String> {
    let most = names.kinds.iter().map(|k| k.1).fold(0.0, f64::max);
    for pair in pairs.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or("props: a pair without ':'")?;
        let known = matches!(name, "memory_mb" | "lanes" | "load_ms");
        let figure = value
            .parse::<f64>()
            .ok()
            .filter(|f| f.is_finite() && *f >= 0.0);
        match figure {
            None if known => return Err(format!("props: {name}: not a figure from 0 on")),
            None => {}
            Some(f) => match name {
                "memory_mb" if most > 0.0 && f > most => {
                    return Err("props: memory_mb: more than any worker has".to_string());
                }
                "memory_mb" => call.memory_mb = f,
                "lanes" if !(1.0..=1_000.0).contains(&f) || f.fract() != 0.0 => {
                    return Err("props: lanes: out of range".to_string());
                }
                "lanes" => call.replica_concurrency = f as u32,
                "load_ms" if f > 3_600_000.0 => {
                    return Err("props: load_ms: out of range".to_string());
                }
                "load_ms" => call.load_time = Some((f * 1e6) as Time),
                _ => {}
            },
        }
    }
    Ok(())
}

/// Whether a text is a name of this protocol: 16 hex digits.
pub fn is_name(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The line of an answer that a worker gave.
pub fn result_line(id: u64, body: &[u8]) -> Bytes {
    let mut line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"body\":\"");
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}}\n");
    line.into()
}

/// The line of an error; `pushback` in milliseconds, with refusals alone.
pub fn error_line(id: Option<u64>, code: i64, message: &str, pushback: Option<u64>) -> Bytes {
    let id = id.map_or_else(|| "null".to_string(), |id| id.to_string());
    let mut line =
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":");
    line.push_str(&Value::from(message).to_string());
    if let Some(pushback) = pushback {
        // Writing to a string cannot fail.
        let _ = write!(line, ",\"data\":{{\"pushback\":{pushback}}}");
    }
    line.push_str("}}\n");
    line.into()
}

/// The line that answers `isWell`.
pub fn health_line(id: u64, healthy: bool) -> Bytes {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"healthy\":{healthy}}}}}\n").into()
}
