//! Reads the settings that a front end is given at its start, in the simulator and in service alike.

use pipithub_policy::api::{
    Class, Costs, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit,
    Settings, SlowStart, Time,
};
use serde_json::Value;

/// The names that the lines of one front end use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The classes, in the settings' order.
    pub classes: Vec<String>,
    /// Machine kinds, with the memory of each in MB.
    pub kinds: Vec<(String, f64)>,
}

/// What the transport is told; all times in nanoseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transport {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Time,
    /// Connections that stay idle for so long are closed; 0: never.
    pub idle_timeout: Time,
    /// Requests that one connection carries at a time.
    pub max_requests_per_connection: usize,
    /// Requests that a front end may hold open.
    pub max_pending_requests: usize,
    /// An order without an answer by then has come to nothing.
    pub load_command_timeout: Time,
}

/// All that the settings tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteSettings {
    /// For the module.
    pub policy: Settings,
    /// For reading lines.
    pub names: Names,
    /// For the transport.
    pub transport: Transport,
}

/// Reads the settings from their text.
///
/// # Errors
/// Place and reason of what is wrong.
pub fn parse(text: &str) -> Result<SiteSettings, String> {
    read(&serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?)
}

/// Reads the settings.
///
/// # Errors
/// As [`parse`].
pub fn read(all: &Value) -> Result<SiteSettings, String> {
    if !all.is_object() {
        return Err("settings: not an object".to_string());
    }
    let limits = &all["Limits"];
    let rules = &all["Rules"];
    let family = &all["FamilyInfo"];
    let grades = all["Grades"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let kinds = all["Models"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let memory = |i: usize| number(&family["KindMemoryMb"][i]).max(0.0);
    let names = Names {
        kinds: kinds
            .iter()
            .enumerate()
            .map(|(i, kind)| (string(kind), memory(i)))
            .collect(),
        classes: grades.iter().map(|g| string(&g["Name"])).collect(),
    };
    let window = time(&family["LoadSpan"]);
    let settings = Settings {
        front_ends: time(&all["PeersTotal"]).clamp(1, u64::from(u32::MAX)) as u32,
        tick: time(&all["Granularity"]),
        classes: grades.iter().map(class).collect::<Result<_, _>>()?,
        limits: Limits {
            max_attempts: time(&limits["MostTries"]).clamp(1, u64::from(u32::MAX)) as u32,
            cancel: flag(&limits["MayCancel"]),
            load_polls: flag(&limits["Probes"])
                && all["Report"]["How"]
                    .as_str()
                    .is_some_and(|how| how != "none"),
            retry_after: flag(&limits["RetryAfter"]),
            max_retry_after: time(&limits["MaxRetryAfter"]),
        },
        slow_start: SlowStart {
            initial_weight: rules["ColdFrom"].as_f64().unwrap_or(1.0),
            window: time(&rules["RampTime"]),
            overload_factor: number(&rules["FallMultiple"]),
            overload_window: time(&rules["OverloadFor"]),
        },
        loading: FunctionLoading {
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
        },
        costs: Costs {
            load_poll: number(&all["Prices"]["Probe"]).max(0.0),
        },
        zone: string(&all["Zone"]),
        watch_on_request: all["RegistryMode"].as_str() == Some("on_request"),
    };
    let or = |told: &Value, unless: Time| Some(time(told)).filter(|t| *t > 0).unwrap_or(unless);
    let transport = Transport {
        connect_timeout: or(&limits["ConnectTimeout"], 250_000_000),
        idle_timeout: time(&limits["IdleClose"]),
        max_requests_per_connection: or(&limits["StreamsPerConn"], 1) as usize,
        max_pending_requests: or(&limits["OpenCap"], 4096) as usize,
        load_command_timeout: or(&family["OrderTimeout"], 10_000_000_000),
    };
    Ok(SiteSettings {
        policy: settings,
        names,
        transport,
    })
}

fn class(grade: &Value) -> Result<Class, String> {
    Ok(Class {
        latency_objective: time(&grade["Aim"]),
        objective_per_work: number(&grade["AimStretch"]),
        client_timeout: time(&grade["GiveUp"]),
        late_answer_weight: number(&grade["LateWorth"]),
        idempotency: match grade["Effect"].as_str() {
            Some("read_like") => Idempotency::Idempotent,
            Some("idempotency_key") => Idempotency::WithKey,
            Some("non_idempotent") => Idempotency::NonIdempotent,
            other => return Err(format!("settings: unknown Effect {other:?}")),
        },
        deduplication_scope: match grade["Group"].as_str() {
            Some("all") | None => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            other => return Err(format!("settings: unknown Group {other:?}")),
        },
        deduplication_window: time(&grade["DedupWindow"]),
    })
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
