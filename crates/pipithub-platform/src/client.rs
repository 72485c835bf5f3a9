//! JSON-RPC 2.0 lines of clients. Every value is checked here, because an invalid value must reach neither the decision
//! module nor a worker, which would close its connection because of it.

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::Value;

use pipithub_policy::api::{Class, Idempotency, Time};

use crate::settings::SiteSettings;

/// The maximum size of a call's body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// The maximum size of a line, in bytes: enough for the body in base64 and all other fields.
pub const MAX_LINE_BYTES: usize = 32 << 10;
/// The maximum size of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// A call is invalid if it states a timeout of more than this many times the client timeout of its class.
const MAX_TTL_FACTOR: f64 = 2.0;
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;
/// The highest concurrency of a replica that a call may state.
const MAX_REPLICA_CONCURRENCY: f64 = 1_000.0;
/// The longest load time that a call may state, in milliseconds.
const MAX_LOAD_MS: f64 = 3_600_000.0;
/// The method that cancels a call.
const CANCEL_METHOD: &str = "forget";
/// The method of a health check.
const HEALTH_CHECK_METHOD: &str = "isWell";
/// The methods that do not name a class; no class may have these names.
pub const RESERVED_METHODS: [&str; 2] = [CANCEL_METHOD, HEALTH_CHECK_METHOD];
/// The error code of a rejection: the call did not run and may be retried.
pub const REJECTED: i64 = -32050;
/// The error code of a failure: the call may have run.
pub const FAILED: i64 = -32000;
/// The error code of a line that is not JSON or too long.
pub const PARSE_ERROR: i64 = -32700;
/// The error code of a line that is JSON but not a valid request.
pub const INVALID_REQUEST: i64 = -32600;
/// The error code of a request whose method is unknown.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The error code of a request with invalid parameters.
pub const INVALID_PARAMS: i64 = -32602;

/// A valid call of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientCall {
    /// The JSON-RPC id of the call, which the answer repeats.
    pub id: u64,
    /// The name by which workers identify the call: 16 hexadecimal digits, exactly as sent.
    pub name: String,
    /// The class of the call, as an index into the classes of the settings.
    pub class: usize,
    /// How long the client waits for the answer, in nanoseconds: at most the client timeout of the class.
    pub client_timeout: Time,
    /// The name of the function: 16 hexadecimal digits, exactly as sent.
    pub function: String,
    /// The memory that a replica of the function takes, in MB; 0 if not stated.
    pub memory_mb: f64,
    /// The number of calls that a replica of the function runs at the same time; 1 if not stated.
    pub replica_concurrency: u32,
    /// The usual time to load the function, in nanoseconds; `None` if not stated.
    pub load_time: Option<Time>,
    /// The idempotency key, exactly as sent, by which workers recognize retries; `None` if not stated.
    pub idempotency_key: Option<String>,
    /// The decoded body, of at most [`MAX_BODY_BYTES`].
    pub body: Bytes,
}

/// A valid line of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientLine {
    /// A call to run.
    Call(Box<ClientCall>),
    /// The client no longer waits for a call. At least one of the two fields is given.
    Cancel {
        /// The JSON-RPC id of the call; `None` if not stated.
        id: Option<u64>,
        /// The name of the call; `None` if not stated.
        call: Option<String>,
    },
    /// A health check, which asks whether this front end accepts calls.
    HealthCheck {
        /// The JSON-RPC id of the health check, which the answer repeats.
        id: u64,
    },
}

/// The reason why a line of a client is not a valid request, with the contents of the answer to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message} ({code})")]
pub struct RequestError {
    /// The JSON-RPC id of the request; `None` if it could not be read.
    pub id: Option<u64>,
    /// The JSON-RPC error code.
    pub code: i64,
    /// Which field is wrong and why.
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

/// Parses one line of a client.
///
/// # Errors
/// Returns a [`RequestError`] if the line is not a valid request. If the error has no id, the client may not speak this
/// protocol, and its further lines should not be read.
pub fn read_line(line: &[u8], site: &SiteSettings) -> Result<ClientLine, RequestError> {
    let root: Value = serde_json::from_slice(line)
        .map_err(|error| RequestError::new(None, PARSE_ERROR, format!("line: {error}")))?;
    if !root.is_object() {
        let message = "line: not an object";
        return Err(RequestError::new(None, INVALID_REQUEST, message));
    }
    let id = request_id(&root)?;
    let invalid = |message: &str| RequestError::new(id, INVALID_REQUEST, message);
    if root["jsonrpc"].as_str() != Some("2.0") {
        return Err(invalid("jsonrpc: not 2.0"));
    }
    let method = root["method"]
        .as_str()
        .ok_or_else(|| invalid("method: missing"))?;
    let params = &root["params"];
    if method == CANCEL_METHOD {
        return cancel(id, params);
    }
    let Some(id) = id else {
        return Err(invalid("id: missing"));
    };
    if method == HEALTH_CHECK_METHOD {
        return Ok(ClientLine::HealthCheck { id });
    }
    let call = call(id, method, params, site)?;
    Ok(ClientLine::Call(Box::new(call)))
}

fn request_id(root: &Value) -> Result<Option<u64>, RequestError> {
    let Some(value) = root.get("id") else {
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

/// An error in the parameters of a call, as a text that names the field and the reason.
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

/// The client timeout that a call states, in nanoseconds, limited by the client timeout of its class.
fn client_timeout(params: &Value, class: Option<&Class>) -> Result<Time, ParamError> {
    let class_timeout = class.map_or(0, |class| class.client_timeout);
    let class_ms = class_timeout as f64 / NANOSECONDS_PER_MILLISECOND;
    let ttl = params["ttl"].as_f64().ok_or("ttl: not a number")?;
    // A client that is late itself may state slightly more than the timeout of its class. Such a call is valid, and the
    // timeout of the class applies; much larger values are client errors.
    if !(ttl > 0.0 && ttl <= MAX_TTL_FACTOR * class_timeout as f64 / NANOSECONDS_PER_MILLISECOND) {
        let message = format!("ttl: {ttl} is not above 0 and near {class_ms} at most");
        return Err(ParamError(message));
    }
    Ok(((ttl * NANOSECONDS_PER_MILLISECOND) as Time).min(class_timeout))
}

fn hex_name(params: &Value, field: &str) -> Result<String, ParamError> {
    params[field]
        .as_str()
        .filter(|text| is_hex_name(text))
        .map(str::to_string)
        .ok_or_else(|| ParamError(format!("{field}: not 16 hex digits")))
}

/// The idempotency key of a call; `None` if it has none. A class with keys requires one, because its calls are retried,
/// and a retry without a key would take effect again.
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

/// The properties of its function that a call states.
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

/// Parses `name:number` pairs that are separated by semicolons. Unknown names are ignored, because new ones may be
/// added.
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

/// Whether a text is a valid name of a call or function in this protocol: 16 hexadecimal digits.
pub fn is_hex_name(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The line of a successful answer with the body that a worker returned.
pub fn result_line(id: u64, body: &[u8]) -> Bytes {
    let mut line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"body\":\"");
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}}\n");
    line.into()
}

/// The line of an error. `id` is `None` if the id of the request could not be read. `pushback` is the time after which
/// the client may retry, in milliseconds; only rejections state it.
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

/// The line that answers a health check.
pub fn health_line(id: u64, healthy: bool) -> Bytes {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"healthy\":{healthy}}}}}\n").into()
}
