//! From KDL to settings. Every node that is read is known by name; what is left over is a fault.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::str::FromStr;

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::SourceSpan;
use pipithub_amqp::Login;
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::message::{ClassName, Route};
use pipithub_consumer::{DeadLetterTarget, Qos};
use pipithub_engine::policy::{
    Class, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit, Settings,
    SlowStart,
};
use pipithub_engine::{EngineSettings, Time};

use crate::tenants::{self, Tenants};
use crate::{
    AmqpConfig, Config, CronConfig, Fault, FixedWorker, HttpConfig, LogConfig, QueueConfig,
    WorkersConfig, arc, duration,
};

pub(crate) const MS: Time = 1_000_000;
pub(crate) const SECOND: Time = 1_000 * MS;

/// Gathers faults, so that all are told at once.
#[derive(Default)]
pub(crate) struct Faulty(RefCell<Vec<Fault>>);

impl Faulty {
    pub(crate) fn add(&self, span: SourceSpan, message: impl Into<String>, help: Option<&str>) {
        let (message, help) = (message.into(), help.map(str::to_string));
        self.0.borrow_mut().push(Fault {
            message,
            span,
            help,
        });
    }
}

/// A node that is being read.
pub(crate) struct Reader<'a> {
    pub(crate) node: &'a KdlNode,
    pub(crate) faults: &'a Faulty,
    seen: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(node: &'a KdlNode, faults: &'a Faulty) -> Self {
        Reader {
            node,
            faults,
            seen: RefCell::default(),
        }
    }

    fn children(&self) -> impl Iterator<Item = &'a KdlNode> {
        self.node
            .children()
            .into_iter()
            .flat_map(kdl::KdlDocument::nodes)
    }

    fn mark(&self, name: &str) {
        self.seen.borrow_mut().insert(name.to_string());
    }

    /// All children of a name.
    pub(crate) fn all(&self, name: &str) -> Vec<Reader<'a>> {
        self.mark(name);
        let named = self.children().filter(|n| n.name().value() == name);
        named.map(|n| Reader::new(n, self.faults)).collect()
    }

    /// The child of a name; a second one is a fault.
    pub(crate) fn one(&self, name: &str) -> Option<Reader<'a>> {
        let mut all = self.all(name).into_iter();
        let first = all.next();
        for more in all {
            self.faults
                .add(more.node.span(), format!("'{name}' is given twice"), None);
        }
        first
    }

    /// The node's only argument, as a value.
    pub(crate) fn argument(&self) -> Option<(&'a KdlValue, SourceSpan)> {
        let mut entries = self.node.entries().iter().filter(|e| e.name().is_none());
        let first = entries.next();
        if let Some(more) = entries.next() {
            let text = format!("'{}' takes one value", self.node.name().value());
            self.faults.add(more.span(), text, None);
        }
        if first.is_none() {
            let text = format!("'{}' needs a value", self.node.name().value());
            self.faults.add(self.node.span(), text, None);
        }
        first.map(|e| (e.value(), e.span()))
    }

    pub(crate) fn name(&self) -> String {
        match self.argument() {
            Some((KdlValue::String(text), span)) => {
                if text.is_empty() || text.len() > 200 {
                    self.faults.add(span, "a name has 1 to 200 bytes", None);
                }
                text.clone()
            }
            Some((_, span)) => {
                self.faults.add(span, "a text is needed here", None);
                String::new()
            }
            None => String::new(),
        }
    }

    /// A value given as a child node or as a property.
    pub(crate) fn value(&self, name: &str) -> Option<(&'a KdlValue, SourceSpan)> {
        let child = self.one(name);
        let property = self
            .node
            .entries()
            .iter()
            .find(|e| e.name().is_some_and(|n| n.value() == name));
        match (child, property) {
            (Some(child), Some(property)) => {
                self.faults
                    .add(property.span(), format!("'{name}' is given twice"), None);
                child.argument()
            }
            (Some(child), None) => {
                child.finish();
                child.argument()
            }
            (None, property) => property.map(|e| (e.value(), e.span())),
        }
    }

    fn typed<T>(&self, name: &str, what: &str, take: impl Fn(&KdlValue) -> Option<T>) -> Option<T> {
        let (value, span) = self.value(name)?;
        let taken = take(value);
        if taken.is_none() {
            self.faults.add(
                span,
                format!("'{name}' cannot be {value}"),
                Some(&format!("it takes {what}")),
            );
        }
        taken
    }

    pub(crate) fn text(&self, name: &str) -> Option<String> {
        self.typed(name, "a text", |v| v.as_string().map(str::to_string))
    }

    pub(crate) fn flag(&self, name: &str, default: bool) -> bool {
        self.typed(name, "#true or #false", KdlValue::as_bool)
            .unwrap_or(default)
    }

    pub(crate) fn whole(&self, name: &str, default: u64, least: u64, most: u64) -> u64 {
        let what = format!("a whole number from {least} to {most}");
        let take = |v: &KdlValue| {
            v.as_integer()
                .and_then(|n| u64::try_from(n).ok())
                .filter(|n| (least..=most).contains(n))
        };
        self.typed(name, &what, take).unwrap_or(default)
    }

    pub(crate) fn number(&self, name: &str, default: f64, least: f64, most: f64) -> f64 {
        let what = format!("a number from {least} to {most}");
        let take = |v: &KdlValue| {
            let number = v.as_float().or(v.as_integer().map(|n| n as f64));
            number.filter(|n| (least..=most).contains(n))
        };
        self.typed(name, &what, take).unwrap_or(default)
    }

    pub(crate) fn maybe_time(&self, name: &str, least: Time, most: Time) -> Option<Time> {
        let what = format!(
            "a time from {} to {}, as \"250ms\" or \"2s\"",
            written(least),
            written(most)
        );
        let take = |v: &KdlValue| {
            v.as_string()
                .and_then(duration)
                .filter(|t| (least..=most).contains(t))
        };
        self.typed(name, &what, take)
    }

    pub(crate) fn time(&self, name: &str, default: Time, least: Time, most: Time) -> Time {
        self.maybe_time(name, least, most).unwrap_or(default)
    }

    pub(crate) fn choice<T: Copy>(&self, name: &str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(n, _)| *n).collect();
        let take = |v: &KdlValue| {
            choices
                .iter()
                .find(|(n, _)| Some(*n) == v.as_string())
                .map(|(_, t)| *t)
        };
        self.typed(name, &format!("one of {}", names.join(", ")), take)
            .unwrap_or(default)
    }

    /// Tells of everything that no one has asked for.
    fn finish_with(&self, properties: &[&str]) {
        let seen = self.seen.borrow();
        for child in self.children().filter(|n| !seen.contains(n.name().value())) {
            let name = child.name().value();
            let help = near(name, seen.iter().map(String::as_str));
            let text = format!("'{}' has no '{name}'", self.node.name().value());
            self.faults.add(child.name().span(), text, help.as_deref());
        }
        for entry in self.node.entries() {
            let Some(name) = entry.name().map(kdl::KdlIdentifier::value) else {
                continue;
            };
            if !seen.contains(name) && !properties.contains(&name) {
                let help = near(name, seen.iter().map(String::as_str));
                let text = format!("'{}' has no '{name}'", self.node.name().value());
                self.faults.add(entry.span(), text, help.as_deref());
            }
        }
    }

    pub(crate) fn finish(&self) {
        self.finish_with(&[]);
    }
}

fn written(time: Time) -> String {
    if time.is_multiple_of(SECOND) {
        format!("{}s", time / SECOND)
    } else {
        format!("{}ms", time as f64 / MS as f64)
    }
}

/// A known name that was likely meant.
fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    let distance = |a: &str, b: &str| {
        let b: Vec<char> = b.chars().collect();
        let mut row: Vec<usize> = (0..=b.len()).collect();
        for (i, ca) in a.chars().enumerate() {
            let mut last = row[0];
            row[0] = i + 1;
            for (j, cb) in b.iter().enumerate() {
                let next = (last + usize::from(ca != *cb))
                    .min(row[j] + 1)
                    .min(row[j + 1] + 1);
                last = std::mem::replace(&mut row[j + 1], next);
            }
        }
        row[b.len()]
    };
    let best = known.map(|k| (distance(name, k), k)).min()?;
    (best.0 <= 2).then(|| format!("did you mean '{}'?", best.1))
}

pub(crate) fn config(text: &str) -> Result<Config, Vec<Fault>> {
    let document = KdlDocument::from_str(text).map_err(|error| {
        let fault = |d: &kdl::KdlDiagnostic| Fault {
            message: d
                .message
                .clone()
                .unwrap_or_else(|| "this is not KDL".to_string()),
            span: d.span,
            help: d.help.clone(),
        };
        error.diagnostics.iter().map(fault).collect::<Vec<_>>()
    })?;
    let faults = Faulty::default();
    let mut root = KdlNode::new("settings");
    root.set_children(document);
    let config = whole(&Reader::new(&root, &faults));
    let faults = faults.0.into_inner();
    if faults.is_empty() {
        Ok(config)
    } else {
        Err(faults)
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
fn whole(root: &Reader<'_>) -> Config {
    let empty = KdlNode::new("default");
    let nothing = || Reader::new(&empty, root.faults);
    let front = root.one("front-end");
    let name = front
        .as_ref()
        .map_or_else(|| "front-end".to_string(), Reader::name);
    let front = front.unwrap_or_else(nothing);
    let instances = front.whole("instances", 1, 1, 64) as u32;
    let peers = front.whole("peers", u64::from(instances), 1, 1_000_000) as u32;
    let drain = front.time("drain", 10 * SECOND, 0, 600 * SECOND);
    front.finish();

    let mut classes = Vec::new();
    let mut worths = Vec::new();
    let mut names: Vec<ClassName> = Vec::new();
    for node in root.all("class") {
        let name = node.name();
        if names.iter().any(|known| known.name == name) {
            root.faults.add(
                node.node.span(),
                format!("class '{name}' is given twice"),
                None,
            );
        }
        worths.push(node.number("worth", 1.0, 0.0, 1e6));
        let class = class(&node);
        names.push(ClassName {
            name,
            needs_key: class.idempotency == Idempotency::WithKey,
        });
        classes.push(class);
        node.finish();
    }
    if classes.is_empty() {
        root.faults.add(
            (0, 0).into(),
            "no class is given",
            Some("class \"view\" { effect \"safe\" }"),
        );
        classes.push(Class::default());
        names.push(ClassName {
            name: String::new(),
            needs_key: false,
        });
        worths.push(1.0);
    }
    let longest = classes
        .iter()
        .map(|c| c.client_timeout)
        .max()
        .unwrap_or(SECOND);

    let limits_node = root.one("limits").unwrap_or_else(nothing);
    let retry_after = limits_node.maybe_time("retry-after", MS, 3_600 * SECOND);
    let limits = Limits {
        max_attempts: limits_node.whole("attempts", 4, 1, 16) as u32,
        cancel: limits_node.flag("cancel", true),
        load_polls: limits_node.flag("probes", true),
        retry_after: retry_after.is_some(),
        max_retry_after: retry_after.unwrap_or(0),
    };
    limits_node.finish();

    let cold = root.one("cold-workers").unwrap_or_else(nothing);
    let rules = SlowStart {
        initial_weight: cold.number("from", 1.0, 0.01, 1.0),
        window: cold.time("ramp", 0, 0, 3_600 * SECOND),
        overload_factor: cold.number("multiple", 0.0, 0.0, 1_000.0),
        overload_window: cold.time("span", 0, 0, 600 * SECOND),
    };
    cold.finish();

    let load = root.one("loading").unwrap_or_else(nothing);
    let ration = load.one("ration").map(|r| {
        let ration = LoadRateLimit {
            window: r.time("window", 5 * SECOND, 100 * MS, 3_600 * SECOND),
            burst: r.number("base", 3.0, 0.0, 1e6),
            per_request: r.number("share", 0.15, 0.0, 100.0),
        };
        r.finish();
        ration
    });
    let loading = FunctionLoading {
        load_commands: load.flag("orders", true),
        loads_on_request: load.flag("call-loads", true),
        keep_alive: load.time("keep-alive", 10 * SECOND, 100 * MS, 86_400 * SECOND),
        reports_cold_starts: load.flag("tells-cold", true),
        reports_concurrency: load.flag("tells-alike", true),
        rate_limit: ration,
    };
    load.finish();

    let bounds = root.one("engine").unwrap_or_else(nothing);
    let defaults = EngineSettings::default();
    let tick = bounds.time("tick", MS, MS / 10, 100 * MS);
    let settings = Settings {
        front_ends: peers,
        tick,
        classes,
        limits,
        slow_start: rules,
        loading,
        ..Settings::default()
    };
    let engine = EngineSettings {
        policy: settings,
        max_open: bounds.whole("max-open", defaults.max_open as u64, 1, 1_000_000) as usize,
        max_bytes: bounds.whole("max-mb", 256, 1, 65_536) as usize * (1 << 20),
        answer_margin: bounds.time("answer-margin", defaults.answer_margin, 0, 10 * SECOND),
        remember: bounds.whole("remember", defaults.remember as u64, 0, 10_000_000) as usize,
        remember_for: bounds.time(
            "remember-for",
            defaults.remember_for,
            longest,
            86_400 * SECOND,
        ),
        max_deliveries: bounds.whole(
            "max-deliveries",
            u64::from(defaults.max_deliveries),
            1,
            1_000_000,
        ) as u32,
        max_names: bounds.whole("max-names", defaults.max_names as u64, 16, 10_000_000) as usize,
        owners: Default::default(),
    };
    bounds.finish();

    let (tenants, owners) = tenants::read(root, &names, worths);
    let engine = EngineSettings {
        owners: owners.into(),
        ..engine
    };

    let amqp: Vec<AmqpConfig> = root
        .all("amqp")
        .iter()
        .map(|node| broker(node, &names, &engine, &tenants))
        .collect();
    let cron: Vec<CronConfig> = root
        .all("cron")
        .iter()
        .map(|node| timer(node, &names, &tenants))
        .collect();
    let workers = root.one("workers");
    if workers.is_none() {
        root.faults.add(
            (0, 0).into(),
            "no workers are given",
            Some("workers { worker \"127.0.0.1:9000\" }"),
        );
    }
    let workers = self::workers(&workers.unwrap_or_else(nothing));

    let node = root.one("http").unwrap_or_else(nothing);
    let http = HttpConfig {
        connect_timeout: node.time("connect-timeout", 250 * MS, MS, 60 * SECOND),
        max_idle_connections: node.whole("idle", 64, 0, 10_000) as usize,
        max_body: node.whole("max-mb", 64, 1, 4_096) as usize * (1 << 20),
        load_command_timeout: node.time("order-timeout", 10 * SECOND, 100 * MS, 600 * SECOND),
        load_poll_timeout: node.time("probe-timeout", 250 * MS, MS, 60 * SECOND),
    };
    node.finish();
    let fleet = crate::fleet::read(root, instances);
    let node = root.one("log").unwrap_or_else(nothing);
    let json = node.choice("format", false, &[("text", false), ("json", true)]);
    let log = LogConfig {
        json,
        level: node.text("level").unwrap_or_else(|| "info".into()),
    };
    node.finish();
    root.finish();
    Config {
        name,
        instances,
        classes: names,
        engine,
        tenants: tenants.config,
        amqp,
        cron,
        workers,
        http,
        log,
        fleet,
        drain,
    }
}

fn class(node: &Reader<'_>) -> Class {
    if node.one("effect").is_none() && node.node.get("effect").is_none() {
        let help =
            "effect \"safe\", \"keyed\" or \"unsafe\": whether a call may run twice must be said";
        node.faults
            .add(node.node.span(), "a class needs 'effect'", Some(help));
    }
    let effects = [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::WithKey),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    let effect = node.choice("effect", Idempotency::NonIdempotent, &effects);
    let aim = node.time("aim", SECOND, MS, 3_600 * SECOND);
    let give_up = node.time("give-up", 4 * aim, MS, 3_600 * SECOND);
    if give_up < aim {
        let text = format!(
            "give-up ({}) is before aim ({})",
            written(give_up),
            written(aim)
        );
        node.faults.add(node.node.span(), text, None);
    }
    let dedup = node.maybe_time("dedup-window", MS, 3_600 * SECOND);
    let group = node.choice(
        "group",
        DeduplicationScope::All,
        &[
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ],
    );
    if effect == Idempotency::WithKey && dedup.is_none() {
        let help = "for how long workers drop repeats of a key; without it no repeat is harmless";
        node.faults.add(
            node.node.span(),
            "a keyed class needs 'dedup-window'",
            Some(help),
        );
    }
    if effect != Idempotency::WithKey && dedup.is_some() {
        node.faults.add(
            node.node.span(),
            "only a keyed class has a 'dedup-window'",
            None,
        );
    }
    let late_worth = node.number("late-worth", 0.0, 0.0, 1.0);
    let aim_stretch = node.number("aim-stretch", 0.0, 0.0, 1_000.0);
    Class {
        latency_objective: aim,
        objective_per_work: aim_stretch,
        client_timeout: give_up,
        late_answer_weight: late_worth,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: dedup.unwrap_or(0),
    }
}

/// What holds for the calls of a queue or timer.
fn route(node: &Reader<'_>, classes: &[ClassName]) -> Route {
    let class = node.value("class").and_then(|(value, span)| {
        let found = value
            .as_string()
            .and_then(|name| classes.iter().position(|class| class.name == name));
        if found.is_none() {
            let known: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
            let help = format!("classes are {}", known.join(", "));
            node.faults
                .add(span, format!("there is no class {value}"), Some(&help));
        }
        found
    });
    Route {
        class,
        function: node.text("function").map(|f| arc(&f)),
        memory_mb: node.number("memory-mb", 0.0, 0.0, 1e9),
        lanes: node.whole("lanes", 1, 1, 65_536) as u32,
        load_time: node.maybe_time("load-time", MS, 3_600 * SECOND),
        expected: node.maybe_time("expected", MS / 1_000, 3_600 * SECOND),
        budget: node.maybe_time("budget", MS, 3_600 * SECOND),
        tenant: None,
    }
}

fn broker(
    node: &Reader<'_>,
    classes: &[ClassName],
    engine: &EngineSettings,
    tenants: &Tenants,
) -> AmqpConfig {
    let name = node.name();
    let addresses: Vec<String> = node
        .all("address")
        .iter()
        .map(|a| address(a, a.argument()))
        .collect();
    if addresses.is_empty() {
        node.faults.add(
            node.node.span(),
            format!("amqp '{name}' needs an 'address'"),
            None,
        );
    }
    let mut login = Login::default();
    if let Some(l) = node.one("login") {
        login.user = l.text("user").unwrap_or(login.user);
        login.password = l.text("password").unwrap_or(login.password);
        login.virtual_host = l.text("vhost").unwrap_or(login.virtual_host);
        l.finish();
    }
    let reconnect_backoff = BackoffRange {
        initial: node.time("retry-first", 100 * MS, MS, 60 * SECOND),
        max: node.time("retry-most", 5 * SECOND, 10 * MS, 600 * SECOND),
    };
    let heartbeat = node.whole("heartbeat", 10, 0, 3_600) as u16;
    let queue = |q: Reader<'_>| {
        let prefetch = q.whole("prefetch", 100, 1, 65_535) as u16;
        if usize::from(prefetch) > engine.max_open {
            let text = format!(
                "prefetch {prefetch} is more than the engine's max-open {}",
                engine.max_open
            );
            q.faults.add(q.node.span(), text, None);
        }
        let dead_letter = q.one("dead-letter").map(|d| {
            let target = DeadLetterTarget {
                exchange: d.text("exchange").unwrap_or_default(),
                routing_key: d.text("key").unwrap_or_default(),
            };
            d.finish();
            target
        });
        let config = QueueConfig {
            name: q.name(),
            declare: q.flag("declare", true),
            prefetch,
            qos: q.choice(
                "qos",
                Qos::Channel,
                &[("channel", Qos::Channel), ("consumer", Qos::Consumer)],
            ),
            route: Route {
                tenant: tenants.named(&q),
                ..route(&q, classes)
            },
            dead_letter,
            identity: tenants.identity(&q),
        };
        q.finish();
        config
    };
    let queues: Vec<QueueConfig> = node.all("queue").into_iter().map(queue).collect();
    if queues.is_empty() {
        node.faults.add(
            node.node.span(),
            format!("amqp '{name}' needs a 'queue'"),
            None,
        );
    }
    node.finish();
    AmqpConfig {
        name,
        addresses,
        login,
        heartbeat,
        reconnect_backoff,
        queues,
    }
}

pub(crate) fn address(node: &Reader<'_>, value: Option<(&KdlValue, SourceSpan)>) -> String {
    let Some((value, span)) = value else {
        return String::new();
    };
    let text = value.as_string().unwrap_or_default();
    let good = text
        .rsplit_once(':')
        .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok());
    if !good {
        node.faults.add(
            span,
            format!("{value} is no address"),
            Some("\"host:port\""),
        );
    }
    text.to_string()
}

fn timer(node: &Reader<'_>, classes: &[ClassName], tenants: &Tenants) -> CronConfig {
    let name = node.name();
    let schedule = node.value("schedule").map(|(value, span)| {
        let text = value.as_string().unwrap_or_default();
        if let Err(error) = croner::parser::CronParser::builder()
            .seconds(croner::parser::Seconds::Optional)
            .build()
            .parse(text)
        {
            node.faults.add(
                span,
                format!("{value} is no schedule: {error}"),
                Some("as \"*/5 * * * *\""),
            );
        }
        text.to_string()
    });
    if schedule.is_none() {
        node.faults.add(
            node.node.span(),
            format!("cron '{name}' needs a 'schedule'"),
            None,
        );
    }
    let mut route = route(node, classes);
    route.tenant = tenants.named(node);
    if !tenants.is_empty() && route.tenant.is_none() {
        let help = "a timer has no user: say whose it is";
        node.faults.add(
            node.node.span(),
            format!("cron '{name}' needs 'tenant'"),
            Some(help),
        );
    }
    if route.class.is_none() || route.function.is_none() {
        node.faults.add(
            node.node.span(),
            format!("cron '{name}' needs 'class' and 'function'"),
            None,
        );
    }
    let body = node.text("body").unwrap_or_default();
    node.finish();
    CronConfig {
        name,
        schedule: schedule.unwrap_or_default(),
        route,
        body,
    }
}

fn workers(node: &Reader<'_>) -> WorkersConfig {
    let fixed: Vec<_> = node.all("worker");
    let list = node.one("list");
    let remember = node.text("remember").map(PathBuf::from);
    node.finish();
    if let Some(list) = list {
        if let Some(worker) = fixed.first() {
            node.faults.add(
                worker.node.span(),
                "workers are given twice: by 'list' and by 'worker'",
                None,
            );
        }
        let (url, span) = list
            .argument()
            .map_or((String::new(), list.node.span()), |(v, s)| {
                (v.as_string().unwrap_or_default().to_string(), s)
            });
        let host = url.strip_prefix("http://").map(|h| h.trim_end_matches('/'));
        if host.is_none_or(|h| h.is_empty() || h.contains('/')) {
            let help = "\"http://host:port\"; TLS and logins are a local proxy's matter";
            list.faults.add(
                span,
                format!("\"{url}\" is no address of a list"),
                Some(help),
            );
        }
        let config = WorkersConfig::EndpointSlices {
            url,
            namespace: list.text("namespace").unwrap_or_else(|| "default".into()),
            service: list.text("service").unwrap_or_else(|| "workers".into()),
            port: list.text("port"),
            cache: remember,
        };
        list.finish();
        config
    } else {
        let read = |w: &Reader<'_>| {
            let worker = FixedWorker {
                address: address(w, w.argument()),
                zone: w.text("zone").unwrap_or_default(),
                memory_mb: w.number("memory-mb", 0.0, 0.0, 1e9),
            };
            w.finish();
            worker
        };
        WorkersConfig::Fixed(fixed.iter().map(read).collect())
    }
}
