//! The settings of front ends, and the parameters of the rules that follow from them.

use std::fmt::Write;

use pipithub_conformance::rules::{ClassRules, Idempotency, LoadRateLimit, RuleConfig};
use pipithub_settings::Config;

use super::QUEUE;
use crate::load::{SIGNING_KEY, SIGNING_KEY_ID, TENANTS};
use crate::scenario::{ClassSpec, Scenario, TenantSpec};
use crate::units::milliseconds;

/// The parts of a front end's settings that do not follow from the scenario.
pub(super) struct FrontEndSettings<'a> {
    /// The number of the front end.
    pub(super) number: usize,
    /// The address of the broker.
    pub(super) broker: &'a str,
    /// The address of the endpoint list.
    pub(super) endpoint_list: &'a str,
    /// The file in which the front end caches the endpoint list.
    pub(super) cache_file: &'a str,
    /// The addresses of the directory servers.
    pub(super) directories: &'a [String],
}

impl FrontEndSettings<'_> {
    /// The text of the settings file.
    pub(super) fn text(&self, scenario: &Scenario) -> String {
        let classes: String = scenario.classes.iter().map(class_settings).collect();
        let (tenants, identity) = match &scenario.tenants {
            None => (String::new(), ""),
            Some(spec) => (self.tenant_settings(spec), "; identity \"signed\""),
        };
        let (number, front_ends) = (self.number, scenario.front_ends);
        let (broker, list, cache) = (self.broker, self.endpoint_list, self.cache_file);
        format!(
            "front-end \"front-{number}\" peers={front_ends}\n{classes}{tenants}amqp \"broker\" {{\n    address {broker:?}\n    retry-first \"20ms\"\n    \
             retry-most \"500ms\"\n    queue \"{QUEUE}\" {{ prefetch 100; lanes 4; memory-mb 4000{identity} }}\n}}\n\
             workers {{\n    list \"http://{list}\"\n    remember {cache:?}\n}}\nlog level=\"info\"\n{}\n",
            scenario.settings
        )
    }

    fn tenant_settings(&self, spec: &TenantSpec) -> String {
        let mut servers = String::new();
        for address in self.directories {
            let _ = writeln!(servers, "    server {address:?}");
        }
        let mut tenants = String::new();
        for tenant in TENANTS {
            let _ = writeln!(
                tenants,
                "tenant {tenant:?} {{ directory \"campus\" base=\"ou={tenant},dc=example\"; function \"{tenant}-*\" }}"
            );
        }
        let max_age = milliseconds(spec.max_signature_age);
        format!(
            "signatures max-age=\"{max_age}ms\" {{ key {SIGNING_KEY_ID:?} text={SIGNING_KEY:?} }}\ndirectory \"campus\" {{\n{servers}    tls \"none\"\n    \
             base \"dc=example\"\n    mark-attribute \"contextCSN\"\n{}\n}}\n{tenants}",
            spec.settings
        )
    }
}

fn class_settings(class: &ClassSpec) -> String {
    let deduplication = match class.idempotency {
        Idempotency::WithKey => format!(
            " dedup-window=\"{}ms\"",
            milliseconds(class.deduplication_window)
        ),
        Idempotency::Idempotent | Idempotency::NonIdempotent => String::new(),
    };
    format!(
        "class {:?} worth={} effect={:?} aim=\"{}ms\" give-up=\"{}ms\" late-worth=0.3{deduplication}\n",
        class.name,
        class.priority_weight,
        class.effect(),
        milliseconds(class.latency_objective),
        milliseconds(class.client_timeout)
    )
}

/// The parameters of the rules for a scenario.
pub fn rule_config(scenario: &Scenario) -> RuleConfig {
    let class_rules = |class: &ClassSpec| ClassRules {
        idempotency: class.idempotency,
        client_timeout: class.client_timeout,
        latency_objective: class.latency_objective,
        priority_weight: class.priority_weight,
        deduplication_window: class.deduplication_window,
    };
    RuleConfig {
        classes: scenario
            .classes
            .iter()
            .map(|class| (class.name.clone(), class_rules(class)))
            .collect(),
        queue: QUEUE.into(),
        slack: scenario.slack,
        drain_grace: scenario.drain_grace,
        load_rate_limit: load_rate_limit(scenario),
        migration_grace: scenario.tenants.as_ref().map(|spec| spec.migration_grace),
        published_until: None,
    }
}

/// The rate limit on load commands in the settings of the front ends; `None` if they have none or are invalid.
fn load_rate_limit(scenario: &Scenario) -> Option<LoadRateLimit> {
    // The limit does not depend on the addresses, so any valid address will do.
    let any_address = "127.0.0.1:1";
    let settings = FrontEndSettings {
        number: 0,
        broker: any_address,
        endpoint_list: any_address,
        cache_file: "x",
        directories: &[any_address.to_string()],
    };
    let config = Config::parse("scenario", &settings.text(scenario)).ok()?;
    let limit = config.engine.policy.loading.rate_limit?;
    Some(LoadRateLimit {
        window: limit.window,
        burst: limit.burst,
        per_request: limit.per_request,
    })
}
