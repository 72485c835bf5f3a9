//! JSON-RPC 2.0 lines of clients. Every figure is checked here: what a client sends wrongly must neither reach a worker,
//! which would close its connection on it, nor the module.

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::Value;

use pipithub_policy::api::{Class, Idempotency, Time};

use crate::settings::SiteSettings;

/// The most bytes of a call's body.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// The most bytes of a line: the body in base64 and room for all other fields.
pub const MAX_LINE_BYTES: usize = 32 << 10;
/// The most bytes of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// A call whose client states more than this many times its class's time makes no sense.
const MAX_TTL_FACTOR: f64 = 2.0;
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;
/// The most calls that one replica may be said to run at a time.
const MAX_REPLICA_CONCURRENCY: f64 = 1_000.0;
/// The longest time that a load may be said to take, in milliseconds.
const MAX_LOAD_MS: f64 = 3_600_000.0;
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
/// [`RequestError`] where it is no request of this protocol; one without an id cannot be told from noise.
pub fn read_line(line: &[u8], site: &SiteSettings) -> Result<ClientLine, RequestError> {
    let all: Value = serde_json::from_slice(line)
        .map_err(|error| RequestError::new(None, PARSE_ERROR, format!("line: {error}")))?;
    if !all.is_object() {
        let message = "line: not an object";
        return Err(RequestError::new(None, INVALID_REQUEST, message));
    }
    let id = request_id(&all)?;
    let invalid = |message: &str| RequestError::new(id, INVALID_REQUEST, message);
    if all["jsonrpc"].as_str() != Some("2.0") {
        return Err(invalid("jsonrpc: not 2.0"));
    }
    let method = all["method"]
        .as_str()
        .ok_or_else(|| invalid("method: missing"))?;
    let params = &all["params"];
    if method == FORGET {
        return cancel(id, params);
    }
    let Some(id) = id else {
        return Err(invalid("id: missing"));
    };
    if method == IS_WELL {
        return Ok(ClientLine::HealthCheck { id });
    }
    let call = call(id, method, params, site)?;
    Ok(ClientLine::Call(Box::new(call)))
}

fn request_id(all: &Value) -> Result<Option<u64>, RequestError> {
    let Some(value) = all.get("id") else {
        return Ok(None);
    };
    match value.as_u64() {
        Some(id) if id > 0 => Ok(Some(id)),
        _ => {
            let message = "id: not a whole number from 1 on";
            Err(RequestError::new(None, INVALID_REQUEST, message))
        }
    }
}

fn cancel(id: Option<u64>, params: &Value) -> Result<ClientLine, RequestError> {
    let number = params["id"].as_u64().or(id);
    let call = params["call"].as_str().map(str::to_string);
    if number.is_none() && call.is_none() {
        let message = "forget: names no call";
        return Err(RequestError::new(id, INVALID_PARAMS, message));
    }
    Ok(ClientLine::Cancel { id: number, call })
}

fn call(
    id: u64,
    method: &str,
    params: &Value,
    site: &SiteSettings,
) -> Result<ClientCall, RequestError> {
    let Some(class) = site.names.classes.iter().position(|name| name == method) else {
        let message = "method: no such class";
        return Err(RequestError::new(Some(id), METHOD_NOT_FOUND, message));
    };
    call_of_class(id, class, params, site)
        .map_err(|message| RequestError::new(Some(id), INVALID_PARAMS, message.0))
}

/// What is wrong with the parameters of a call: place and reason.
struct ParamError(String);

impl From<&str> for ParamError {
    fn from(message: &str) -> Self {
        ParamError(message.to_string())
    }
}

fn call_of_class(
    id: u64,
    class: usize,
    params: &Value,
    site: &SiteSettings,
) -> Result<ClientCall, ParamError> {
    let settings = site.policy.classes.get(class);
    let client_timeout = client_timeout(params, settings)?;
    let name = hex_name(params, "call")?;
    let function = hex_name(params, "row")?;
    let props = match &params["props"] {
        Value::Null => Props::default(),
        Value::String(pairs) => props(pairs, site.names.max_memory_mb())?,
        _ => return Err("props: not a string".into()),
    };
    let idempotency_key = idempotency_key(params, settings)?;
    let body = body(params)?;
    Ok(ClientCall {
        id,
        name,
        class,
        client_timeout,
        function,
        memory_mb: props.memory_mb,
        replica_concurrency: props.replica_concurrency,
        load_time: props.load_time,
        idempotency_key,
        body,
    })
}

/// How long the client waits: the class's time at the most.
fn client_timeout(params: &Value, class: Option<&Class>) -> Result<Time, ParamError> {
    let class_timeout = class.map_or(0, |class| class.client_timeout);
    let class_ms = class_timeout as f64 / NANOSECONDS_PER_MILLISECOND;
    let ttl = params["ttl"].as_f64().ok_or("ttl: not a number")?;
    // A client that is late by itself states somewhat more than its class's time, which holds all the same: such a call
    // must not be lost to a strict bound. Far beyond it lies nothing but nonsense.
    if !(ttl > 0.0 && ttl <= MAX_TTL_FACTOR * class_timeout as f64 / NANOSECONDS_PER_MILLISECOND) {
        let message = format!("ttl: {ttl} is not above 0 and near {class_ms} at most");
        return Err(ParamError(message));
    }
    Ok(((ttl * NANOSECONDS_PER_MILLISECOND) as Time).min(class_timeout))
}

fn hex_name(params: &Value, field: &str) -> Result<String, ParamError> {
    params[field]
        .as_str()
        .filter(|text| is_name(text))
        .map(str::to_string)
        .ok_or_else(|| ParamError(format!("{field}: not 16 hex digits")))
}

/// The idempotency key. A call with one is retried on its strength: without it a retry would be a second effect.
fn idempotency_key(params: &Value, class: Option<&Class>) -> Result<Option<String>, ParamError> {
    let needs_key = class.is_some_and(|class| class.idempotency == Idempotency::WithKey);
    match &params["dedupe"] {
        Value::Null if needs_key => Err("dedupe: missing, and this class is keyed".into()),
        Value::Null => Ok(None),
        Value::String(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => {
            Ok(Some(key.clone()))
        }
        _ => Err("dedupe: not a text of 1 to 256 bytes".into()),
    }
}

fn body(params: &Value) -> Result<Bytes, ParamError> {
    let text = match &params["body"] {
        Value::Null => return Ok(Bytes::new()),
        Value::String(text) => text,
        _ => return Err("body: not a string".into()),
    };
    let body = STANDARD
        .decode(text)
        .map_err(|error| ParamError(format!("body: {error}")))?;
    if body.len() > MAX_BODY_BYTES {
        return Err("body: too long".into());
    }
    Ok(body.into())
}

/// What a call states of its function.
struct Props {
    memory_mb: f64,
    replica_concurrency: u32,
    load_time: Option<Time>,
}

impl Default for Props {
    fn default() -> Self {
        Props {
            memory_mb: 0.0,
            replica_concurrency: 1,
            load_time: None,
        }
    }
}

/// Reads `name:figure` pairs set apart by semicolons. Unknown names are passed over: new ones may show up.
fn props(pairs: &str, max_memory_mb: f64) -> Result<Props, ParamError> {
    let mut props = Props::default();
    for pair in pairs.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or("props: a pair without ':'")?;
        let number = || {
            value
                .parse::<f64>()
                .ok()
                .filter(|number| number.is_finite() && *number >= 0.0)
                .ok_or_else(|| ParamError(format!("props: {name}: not a figure from 0 on")))
        };
        match name {
            "memory_mb" => props.memory_mb = memory_mb(number()?, max_memory_mb)?,
            "lanes" => props.replica_concurrency = replica_concurrency(number()?)?,
            "load_ms" => props.load_time = Some(load_time(number()?)?),
            _ => {}
        }
    }
    Ok(props)
}

fn memory_mb(stated: f64, max: f64) -> Result<f64, ParamError> {
    if max > 0.0 && stated > max {
        return Err("props: memory_mb: more than any worker has".into());
    }
    Ok(stated)
}

fn replica_concurrency(stated: f64) -> Result<u32, ParamError> {
    if !(1.0..=MAX_REPLICA_CONCURRENCY).contains(&stated) || stated.fract() != 0.0 {
        return Err("props: lanes: out of range".into());
    }
    Ok(stated as u32)
}

fn load_time(stated_ms: f64) -> Result<Time, ParamError> {
    if stated_ms > MAX_LOAD_MS {
        return Err("props: load_ms: out of range".into());
    }
    Ok((stated_ms * NANOSECONDS_PER_MILLISECOND) as Time)
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
