//! The nodes that configure how requests are handled: `class`, `limits`, `cold-workers`, `loading` and `engine`.

use pipithub_consumer::message::ClassName;
use pipithub_engine::policy::{
    Class, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit, Settings,
    SlowStart,
};
use pipithub_engine::{EngineSettings, Time};

use crate::document::MEBIBYTE;
use crate::duration::{DAY, HOUR, MS, SECOND, format_duration};
use crate::fault::start_of_file;
use crate::reader::Reader;

/// The classes of requests. The three lists have the same length and order.
pub(crate) struct Classes {
    pub(crate) names: Vec<ClassName>,
    pub(crate) settings: Vec<Class>,
    /// The priority weights of the classes in admission.
    pub(crate) weights: Vec<f64>,
}

impl Classes {
    pub(crate) fn read(root: &Reader<'_>) -> Self {
        let mut classes = Classes {
            names: Vec::new(),
            settings: Vec::new(),
            weights: Vec::new(),
        };
        for node in root.children("class") {
            classes.read_next(&node);
        }
        if classes.settings.is_empty() {
            let help = "class \"view\" { effect \"safe\" }";
            root.fault_at(start_of_file(), "no class is given", Some(help));
            classes.push(String::new(), Class::default(), 1.0);
        }
        classes
    }

    fn read_next(&mut self, node: &Reader<'_>) {
        let name = node.name();
        if self.names.iter().any(|known| known.name == name) {
            node.fault(format!("class '{name}' is given twice"));
        }
        let weight = node.number("worth", 1.0, 0.0..=1e6);
        let class = read_class(node);
        node.finish();
        self.push(name, class, weight);
    }

    fn push(&mut self, name: String, class: Class, weight: f64) {
        self.names.push(ClassName {
            name,
            needs_key: class.idempotency == Idempotency::WithKey,
        });
        self.settings.push(class);
        self.weights.push(weight);
    }

    /// The longest client timeout of all classes.
    fn max_client_timeout(&self) -> Time {
        let timeouts = self.settings.iter().map(|class| class.client_timeout);
        timeouts.max().unwrap_or(SECOND)
    }
}

fn read_class(node: &Reader<'_>) -> Class {
    if node.child("effect").is_none() && !node.has_property("effect") {
        let help =
            "effect \"safe\", \"keyed\" or \"unsafe\": it states whether a call may run twice";
        node.fault_with_help("a class needs 'effect'", help);
    }
    let effects = [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::WithKey),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    let idempotency = node.choice("effect", Idempotency::NonIdempotent, &effects);
    let latency_objective = node.duration("aim", SECOND, MS..=HOUR);
    let client_timeout = node.duration("give-up", 4 * latency_objective, MS..=HOUR);
    if client_timeout < latency_objective {
        node.fault(format!(
            "give-up ({}) is before aim ({})",
            format_duration(client_timeout),
            format_duration(latency_objective)
        ));
    }
    let deduplication_window = node.optional_duration("dedup-window", MS..=HOUR);
    let scopes = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    let deduplication_scope = node.choice("group", DeduplicationScope::All, &scopes);
    check_deduplication_window(node, idempotency, deduplication_window);
    Class {
        latency_objective,
        late_answer_weight: node.number("late-worth", 0.0, 0.0..=1.0),
        objective_per_work: node.number("aim-stretch", 0.0, 0.0..=1_000.0),
        client_timeout,
        idempotency,
        deduplication_scope,
        deduplication_window: deduplication_window.unwrap_or(0),
    }
}

/// Reports a fault if a class with keys has no deduplication window, or a class without keys has one.
fn check_deduplication_window(node: &Reader<'_>, idempotency: Idempotency, window: Option<Time>) {
    let has_key = idempotency == Idempotency::WithKey;
    if has_key && window.is_none() {
        let help = "the time for which workers drop repeated keys; without it no retry is safe";
        node.fault_with_help("a keyed class needs 'dedup-window'", help);
    }
    if !has_key && window.is_some() {
        node.fault("only a keyed class has a 'dedup-window'");
    }
}

fn read_limits(root: &Reader<'_>) -> Limits {
    let node = root.child_or_missing("limits");
    let max_retry_after = node.optional_duration("retry-after", MS..=HOUR);
    let probes = node.flag("probes", true);
    let limits = Limits {
        max_attempts: node.integer("attempts", 4, 1..=16) as u32,
        cancel: node.flag("cancel", true),
        load_polls: probes,
        health_checks: probes,
        retry_after: max_retry_after.is_some(),
        max_retry_after: max_retry_after.unwrap_or(0),
    };
    node.finish();
    limits
}

fn read_slow_start(root: &Reader<'_>) -> SlowStart {
    let node = root.child_or_missing("cold-workers");
    let slow_start = SlowStart {
        initial_weight: node.number("from", 1.0, 0.01..=1.0),
        window: node.duration("ramp", 0, 0..=HOUR),
        overload_factor: node.number("multiple", 0.0, 0.0..=1_000.0),
        overload_window: node.duration("span", 0, 0..=600 * SECOND),
    };
    node.finish();
    slow_start
}

fn read_loading(root: &Reader<'_>) -> FunctionLoading {
    let node = root.child_or_missing("loading");
    let rate_limit = node.child("ration").map(|limit| read_rate_limit(&limit));
    let loading = FunctionLoading {
        load_commands: node.flag("orders", true),
        loads_on_request: node.flag("call-loads", true),
        keep_alive: node.duration("keep-alive", 10 * SECOND, 100 * MS..=DAY),
        reports_cold_starts: node.flag("tells-cold", true),
        reports_concurrency: node.flag("tells-alike", true),
        rate_limit,
    };
    node.finish();
    loading
}

fn read_rate_limit(node: &Reader<'_>) -> LoadRateLimit {
    let rate_limit = LoadRateLimit {
        window: node.duration("window", 5 * SECOND, 100 * MS..=HOUR),
        burst: node.number("base", 3.0, 0.0..=1e6),
        per_request: node.number("share", 0.15, 0.0..=100.0),
    };
    node.finish();
    rate_limit
}

/// Reads the engine's settings except for the owners of functions, which are known only once tenants are read.
pub(crate) fn read_engine(root: &Reader<'_>, classes: &Classes, peers: u32) -> EngineSettings {
    let limits = read_limits(root);
    let slow_start = read_slow_start(root);
    let loading = read_loading(root);
    let node = root.child_or_missing("engine");
    let policy = Settings {
        front_ends: peers,
        tick: node.duration("tick", MS, MS / 10..=100 * MS),
        classes: classes.settings.clone(),
        limits,
        slow_start,
        loading,
        ..Settings::default()
    };
    let engine = read_engine_bounds(&node, policy, classes.max_client_timeout());
    node.finish();
    engine
}

fn read_engine_bounds(
    node: &Reader<'_>,
    policy: Settings,
    max_client_timeout: Time,
) -> EngineSettings {
    let defaults = EngineSettings::default();
    let count =
        |name: &str, default: usize, range| node.integer(name, default as u64, range) as usize;
    let default_deliveries = u64::from(defaults.max_deliveries);
    read_settings_without_effect(node, max_client_timeout);
    EngineSettings {
        policy,
        max_pending: count("max-open", defaults.max_pending, 1..=1_000_000),
        max_body_bytes: count("max-mb", 256, 1..=65_536) * MEBIBYTE,
        answer_margin: node.duration("answer-margin", defaults.answer_margin, 0..=10 * SECOND),
        max_deliveries: node.integer("max-deliveries", default_deliveries, 1..=1_000_000) as u32,
        max_function_names: count("max-names", defaults.max_function_names, 16..=10_000_000),
        owners: Default::default(),
    }
}

/// Reads settings that had an effect in earlier versions, so that their files remain valid.
fn read_settings_without_effect(engine: &Reader<'_>, max_client_timeout: Time) {
    engine.integer("remember", 0, 0..=10_000_000);
    engine.duration("remember-for", max_client_timeout, max_client_timeout..=DAY);
}
