//! Reads the settings that a front end is given at its start, both in the simulator and in service.

use pipithub_policy::api::{
    Class, Costs, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit,
    Settings, SlowStart, Time,
};
use serde_json::Value;

/// The time in which a connection must be established if the settings do not state it, in nanoseconds.
const DEFAULT_CONNECT_TIMEOUT: Time = 250_000_000;
/// The maximum number of pending requests if the settings do not state it.
const DEFAULT_MAX_PENDING_REQUESTS: u64 = 4096;
/// The time that a load command may take if the settings do not state it, in nanoseconds.
const DEFAULT_LOAD_COMMAND_TIMEOUT: Time = 10_000_000_000;

/// The names that lines and events refer to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// The kinds of machines that workers run on.
    pub machine_kinds: Vec<MachineKind>,
}

/// A kind of machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineKind {
    /// The name of the kind in the endpoint list.
    pub name: String,
    /// The memory of a machine of this kind, in MB.
    pub memory_mb: f64,
}

impl Names {
    /// The memory of a kind of machine, in MB; 0 if the kind is unknown.
    pub fn memory_mb(&self, kind: &str) -> f64 {
        self.machine_kinds
            .iter()
            .find(|machine| machine.name == kind)
            .map_or(0.0, |machine| machine.memory_mb)
    }

    /// The memory of the largest kind of machine, in MB; 0 if no kind is known.
    pub fn max_memory_mb(&self) -> f64 {
        self.machine_kinds
            .iter()
            .map(|machine| machine.memory_mb)
            .fold(0.0, f64::max)
    }
}

/// The settings of the transport; all times in nanoseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transport {
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Time,
    /// Workers close connections that are idle for this long; 0 if they never do.
    pub idle_timeout: Time,
    /// The maximum number of requests in flight on one connection.
    pub max_requests_per_connection: usize,
    /// The maximum number of pending requests of a front end.
    pub max_pending_requests: usize,
    /// A load command that is not answered within this time has failed.
    pub load_command_timeout: Time,
}

/// All settings of a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteSettings {
    /// The settings of the decision module.
    pub policy: Settings,
    /// The names that are needed to read lines and events.
    pub names: Names,
    /// The settings of the transport.
    pub transport: Transport,
}

/// Parses the settings from their text.
///
/// # Errors
/// Returns a [`SettingsError`] if the text is not JSON, and otherwise as [`read`] does.
pub fn parse(text: &str) -> Result<SiteSettings, SettingsError> {
    read(&serde_json::from_str(text)?)
}

/// The reason why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings are not a JSON object.
    #[error("settings: not an object")]
    NotAnObject,
    /// The `Effect` of a class is missing or unknown.
    #[error("settings: unknown Effect {0:?}")]
    UnknownEffect(Option<String>),
    /// The `Group` of a class is unknown.
    #[error("settings: unknown Group {0:?}")]
    UnknownGroup(Option<String>),
}

/// Reads the settings from their JSON value.
///
/// # Errors
/// Returns a [`SettingsError`] if the value is not an object, or if the `Effect` or `Group` of a class is unknown.
pub fn read(root: &Value) -> Result<SiteSettings, SettingsError> {
    if !root.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    Ok(SiteSettings {
        policy: policy(root)?,
        names: names(root),
        transport: transport(root),
    })
}

fn policy(root: &Value) -> Result<Settings, SettingsError> {
    Ok(Settings {
        front_ends: time(&root["PeersTotal"]).clamp(1, u64::from(u32::MAX)) as u32,
        tick: time(&root["Granularity"]),
        classes: array(&root["Grades"])
            .iter()
            .map(class)
            .collect::<Result<_, _>>()?,
        limits: limits(root),
        slow_start: slow_start(&root["Rules"]),
        loading: loading(&root["FamilyInfo"]),
        costs: Costs {
            load_poll: number(&root["Prices"]["Probe"]).max(0.0),
        },
        zone: string(&root["Zone"]),
        drain_grace: Some(time(&root["Rules"]["DrainGrace"])).filter(|grace| *grace > 0),
        watch_on_request: root["RegistryMode"].as_str() == Some("on_request"),
    })
}

fn limits(root: &Value) -> Limits {
    let limits = &root["Limits"];
    let workers_report_load = root["Report"]["How"]
        .as_str()
        .is_some_and(|how| how != "none");
    Limits {
        max_attempts: time(&limits["MostTries"]).clamp(1, u64::from(u32::MAX)) as u32,
        cancel: flag(&limits["MayCancel"]),
        load_polls: flag(&limits["Probes"]) && workers_report_load,
        health_checks: flag(&limits["Probes"]),
        retry_after: flag(&limits["RetryAfter"]),
        max_retry_after: time(&limits["MaxRetryAfter"]),
    }
}

fn slow_start(rules: &Value) -> SlowStart {
    SlowStart {
        initial_weight: rules["ColdFrom"].as_f64().unwrap_or(1.0),
        window: time(&rules["RampTime"]),
        overload_factor: number(&rules["FallMultiple"]),
        overload_window: time(&rules["OverloadFor"]),
    }
}

fn loading(family: &Value) -> FunctionLoading {
    let window = time(&family["LoadSpan"]);
    FunctionLoading {
        load_commands: flag(&family["Orders"]),
        loads_on_request: family["WhenAbsent"].as_str() != Some("miss"),
        keep_alive: time(&family["StaysLoaded"]),
        reports_cold_starts: flag(&family["MarksCold"]),
        reports_concurrency: flag(&family["CountsAlike"]),
        rate_limit: (window > 0).then(|| LoadRateLimit {
            window,
            burst: number(&family["LoadsAnyway"]),
            per_request: number(&family["LoadsPerRequest"]),
        }),
    }
}

fn names(root: &Value) -> Names {
    let memory_mb = &root["FamilyInfo"]["KindMemoryMb"];
    let machine_kind = |(index, name): (usize, &Value)| MachineKind {
        name: string(name),
        memory_mb: number(&memory_mb[index]).max(0.0),
    };
    Names {
        classes: array(&root["Grades"])
            .iter()
            .map(|class| string(&class["Name"]))
            .collect(),
        machine_kinds: array(&root["Models"])
            .iter()
            .enumerate()
            .map(machine_kind)
            .collect(),
    }
}

fn transport(root: &Value) -> Transport {
    let limits = &root["Limits"];
    let positive = |value: &Value, default: Time| match time(value) {
        0 => default,
        stated => stated,
    };
    Transport {
        connect_timeout: positive(&limits["ConnectTimeout"], DEFAULT_CONNECT_TIMEOUT),
        idle_timeout: time(&limits["IdleClose"]),
        max_requests_per_connection: positive(&limits["StreamsPerConn"], 1) as usize,
        max_pending_requests: positive(&limits["OpenCap"], DEFAULT_MAX_PENDING_REQUESTS) as usize,
        load_command_timeout: positive(
            &root["FamilyInfo"]["OrderTimeout"],
            DEFAULT_LOAD_COMMAND_TIMEOUT,
        ),
    }
}

fn class(grade: &Value) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: time(&grade["Aim"]),
        objective_per_work: number(&grade["AimStretch"]),
        client_timeout: time(&grade["GiveUp"]),
        late_answer_weight: number(&grade["LateWorth"]),
        idempotency: match grade["Effect"].as_str() {
            Some("read_like") => Idempotency::Idempotent,
            Some("idempotency_key") => Idempotency::WithKey,
            Some("non_idempotent") => Idempotency::NonIdempotent,
            other => return Err(SettingsError::UnknownEffect(other.map(str::to_string))),
        },
        deduplication_scope: match grade["Group"].as_str() {
            Some("all") | None => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            other => return Err(SettingsError::UnknownGroup(other.map(str::to_string))),
        },
        deduplication_window: time(&grade["DedupWindow"]),
    })
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

fn string(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_string()
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn time(value: &Value) -> u64 {
    value.as_u64().unwrap_or_else(|| number(value) as u64)
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}
