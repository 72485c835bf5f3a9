//! Reads the settings that a front end is given at its start.

use pipithub_policy::api::{Class, Effect, Group, Limits, Loading, Ration, Rules, Settings};
use serde_json::Value;

use crate::wire::Names;

/// Turns the settings text into plain settings and the names that later lines use.
pub fn parse(text: &str) -> Result<(Settings, Names), String> {
    let all: Value = serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?;
    if !all.is_object() {
        return Err("settings: not an object".to_string());
    }
    let limits = &all["Limits"];
    let rules = &all["Rules"];
    let family = &all["FamilyInfo"];
    let grades = all["Grades"].as_array().map(Vec::as_slice).unwrap_or_default();
    let kinds = all["Models"].as_array().map(Vec::as_slice).unwrap_or_default();
    let memory = |i: usize| number(&family["KindMemoryMb"][i]).max(0.0);
    let names = Names {
        kinds: kinds.iter().enumerate().map(|(i, kind)| (string(kind), memory(i))).collect(),
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
            probes: flag(&limits["Probes"]) && all["Report"]["How"].as_str().is_some_and(|how| how != "none"),
            retry_after: flag(&limits["RetryAfter"]),
            max_retry_after: time(&limits["MaxRetryAfter"]),
        },
        rules: Rules {
            cold_from: rules["ColdFrom"].as_f64().unwrap_or(1.0),
            ramp: time(&rules["RampTime"]),
            fall_multiple: number(&rules["FallMultiple"]),
            fall_span: time(&rules["OverloadFor"]),
        },
        loading: Loading {
            orders: flag(&family["Orders"]),
            call_loads: family["WhenAbsent"].as_str() != Some("miss"),
            keep_alive: time(&family["StaysLoaded"]),
            tells_cold: flag(&family["MarksCold"]),
            tells_alike: flag(&family["CountsAlike"]),
            ration: (window > 0).then(|| Ration {
                window,
                base: number(&family["LoadsAnyway"]),
                share: number(&family["LoadsPerRequest"]),
            }),
        },
        list_on_request: all["RegistryMode"].as_str() == Some("on_request"),
    };
    Ok((settings, names))
}

fn class(grade: &Value) -> Result<Class, String> {
    Ok(Class {
        aim: time(&grade["Aim"]),
        aim_stretch: number(&grade["AimStretch"]),
        give_up: time(&grade["GiveUp"]),
        late_worth: number(&grade["LateWorth"]),
        effect: match grade["Effect"].as_str() {
            Some("read_like") => Effect::Safe,
            Some("idempotency_key") => Effect::Keyed,
            Some("non_idempotent") => Effect::Unsafe,
            other => return Err(format!("settings: unknown Effect {other:?}")),
        },
        group: match grade["Group"].as_str() {
            Some("all") | None => Group::All,
            Some("zone") => Group::Zone,
            Some("cell") => Group::Cell,
            other => return Err(format!("settings: unknown Group {other:?}")),
        },
        dedup_window: time(&grade["DedupWindow"]),
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
