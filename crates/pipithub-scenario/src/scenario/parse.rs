//! Parses scenario files.

use pipithub_conformance::rules::Idempotency;

use super::{ClassSpec, Fault, Scenario, TenantSpec};
use crate::document::{Document, Node, ParseResult};
use crate::schedule::ScheduledFault;
use crate::units::{MILLISECOND, SECOND};

/// The properties that faults of any kind may have.
const FAULT_PROPERTIES: [&str; 13] = [
    "at", "for", "worker", "front", "zone", "share", "factor", "by", "every", "count", "server",
    "fault", "times",
];

impl Scenario {
    /// Parses the text of a scenario file. `file` is the name of the file in errors, and that of the scenario if the text
    /// gives none.
    ///
    /// Fails, with the position of the first error, if the text is not KDL, or has an unknown node or property, a fault
    /// of something that does not exist, or no class.
    pub fn parse(file: &str, text: &str) -> ParseResult<Scenario> {
        let document = Document::parse(file, text)?;
        let mut scenario = Scenario::named(file);
        for node in document.nodes() {
            scenario.read_node(&node, file)?;
        }
        if scenario.classes.is_empty() {
            return document.error("a day needs a class");
        }
        scenario.faults.sort_by_key(|scheduled| scheduled.at);
        Ok(scenario)
    }

    /// A scenario with the default of each setting, and without classes and faults.
    fn named(name: &str) -> Scenario {
        Scenario {
            name: name.to_string(),
            duration: 20 * SECOND,
            rate: 50.0,
            front_ends: 2,
            workers: 6,
            zones: 2,
            functions: 12,
            worker_arguments: Vec::new(),
            settings: String::new(),
            endpoint_list_delay: 300 * MILLISECOND,
            drain_grace: SECOND,
            slack: 300 * MILLISECOND,
            tenants: None,
            classes: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn read_node(&mut self, node: &Node<'_>, file: &str) -> ParseResult<()> {
        match node.name() {
            "day" => self.read_head(node, file)?,
            "class" => self.classes.push(parse_class(node)?),
            "worker" => self.worker_arguments = node.string_values(),
            "settings" => self.settings = node.children_text(),
            "tenants" => self.tenants = Some(parse_tenants(node)?),
            _ => self.faults.push(parse_scheduled_fault(node, self)?),
        }
        Ok(())
    }

    fn read_head(&mut self, node: &Node<'_>, file: &str) -> ParseResult<()> {
        node.allow(&[
            "name",
            "length",
            "rate",
            "fronts",
            "workers",
            "zones",
            "functions",
            "list-lag",
            "drain-grace",
            "slack",
        ])?;
        self.name = node.string("name").unwrap_or(file).to_string();
        self.duration = node.duration("length", Some(self.duration))?;
        self.rate = node.number("rate", Some(self.rate))?.clamp(0.1, 100_000.0);
        self.front_ends = node.count("fronts", Some(2))?.clamp(1, 64);
        self.workers = node.count("workers", Some(6))?.clamp(1, 256);
        self.zones = node.count("zones", Some(2))?.clamp(1, 16);
        self.functions = node.count("functions", Some(12))?.clamp(1, 10_000);
        self.endpoint_list_delay = node.duration("list-lag", Some(self.endpoint_list_delay))?;
        self.drain_grace = node.duration("drain-grace", Some(self.drain_grace))?;
        self.slack = node.duration("slack", Some(self.slack))?;
        Ok(())
    }
}

fn parse_class(node: &Node<'_>) -> ParseResult<ClassSpec> {
    node.allow(&[
        "effect",
        "aim",
        "give-up",
        "worth",
        "share",
        "work",
        "dedup-window",
    ])?;
    let Some(name) = node.argument() else {
        return node.error("a class needs a name");
    };
    let idempotency = match node.string("effect") {
        Some("safe") => Idempotency::Idempotent,
        Some("keyed") => Idempotency::WithKey,
        Some("unsafe") => Idempotency::NonIdempotent,
        _ => return node.error("a class needs effect=\"safe\", \"keyed\" or \"unsafe\""),
    };
    Ok(ClassSpec {
        name: name.to_string(),
        idempotency,
        latency_objective: node.duration("aim", Some(SECOND))?,
        client_timeout: node.duration("give-up", Some(4 * SECOND))?,
        priority_weight: node.number("worth", Some(1.0))?,
        share: node.number("share", Some(1.0))?,
        work: node.duration("work", Some(50 * MILLISECOND))?,
        deduplication_window: node.duration("dedup-window", Some(5 * SECOND))?,
    })
}

fn parse_tenants(node: &Node<'_>) -> ParseResult<TenantSpec> {
    node.allow(&["users", "servers", "spies", "bound", "max-age", "equal-ids"])?;
    Ok(TenantSpec {
        users: node.count("users", Some(60))?.clamp(2, 1_000_000),
        servers: node.count("servers", Some(2))?.clamp(1, 8),
        cross_tenant_share: node.number("spies", Some(0.05))?.min(1.0),
        settings: node.children_text(),
        has_equal_ids: node.flag("equal-ids"),
        max_signature_age: node.duration("max-age", Some(300 * SECOND))?,
        migration_grace: node.duration("bound", None)?,
    })
}

fn parse_scheduled_fault(
    node: &Node<'_>,
    scenario: &Scenario,
) -> ParseResult<ScheduledFault<Fault>> {
    let fault = parse_fault(node)?;
    node.allow(&FAULT_PROPERTIES)?;
    check_target(node, scenario, &fault)?;
    Ok(ScheduledFault {
        at: node.duration("at", None)?,
        duration: node.duration("for", Some(2 * SECOND))?,
        fault,
    })
}

fn parse_fault(node: &Node<'_>) -> ParseResult<Fault> {
    Ok(match node.name() {
        "directory" => parse_directory_fault(node)?,
        "stale-directory" => Fault::StaleDirectory {
            server: node.count("server", Some(0))?,
        },
        "move-users" => Fault::MigrateUsers {
            every: node
                .duration("every", Some(200 * MILLISECOND))?
                .max(MILLISECOND),
        },
        "storm" => Fault::TenantSurge {
            times: node.number("times", Some(10.0))?.clamp(1.0, 1_000.0),
        },
        "crash" => Fault::Crash {
            worker: node.count("worker", None)?,
        },
        "deploy" => Fault::RollingDeploy {
            every: node.duration("every", Some(1_500 * MILLISECOND))?,
            count: node.count("count", Some(3))?,
        },
        "late-list" => Fault::DelayEndpointList {
            by: node.duration("by", None)?,
        },
        "silent" => Fault::SilentWorker {
            worker: node.count("worker", None)?,
        },
        "slow-store" => Fault::SlowStore {
            factor: node.number("factor", None)?,
        },
        "halt-store" => Fault::RejectStoreRequests,
        "kill-front" => Fault::KillFrontEnd {
            front_end: node.count("front", None)?,
        },
        "cut-broker" => Fault::DropBrokerConnections,
        "lose-zone" => Fault::ZoneOutage {
            zone: node.count("zone", None)?,
        },
        "little-time" => Fault::ShortTimeouts {
            share: node.number("share", None)?,
        },
        "one-off" => Fault::OneTimeFunctions {
            share: node.number("share", None)?,
        },
        "hot" => Fault::HotFunction {
            share: node.number("share", None)?,
        },
        other => return node.error(format!("a day has no '{other}'")),
    })
}

fn parse_directory_fault(node: &Node<'_>) -> ParseResult<Fault> {
    let server = node.count("server", Some(0))?;
    match node.string("fault") {
        Some(fault) => Ok(Fault::DirectoryFault {
            server,
            fault: fault.to_string(),
        }),
        None => node.error("'directory' needs a 'fault', as \"silent on\""),
    }
}

/// Fails if a fault names a worker, front end, server or tenant that the scenario does not have.
fn check_target(node: &Node<'_>, scenario: &Scenario, fault: &Fault) -> ParseResult<()> {
    let tenants = scenario.tenants.as_ref();
    match *fault {
        Fault::Crash { worker } | Fault::SilentWorker { worker } if worker >= scenario.workers => {
            let workers = scenario.workers;
            node.error(format!("there are only {workers} workers, counted from 0"))
        }
        Fault::DirectoryFault { server, .. } | Fault::StaleDirectory { server }
            if tenants.is_none_or(|spec| server >= spec.servers) =>
        {
            node.error("there is no such directory server; 'tenants' comes first")
        }
        Fault::MigrateUsers { .. } | Fault::TenantSurge { .. } if tenants.is_none() => {
            node.error("this needs 'tenants', before it")
        }
        Fault::KillFrontEnd { front_end } if front_end >= scenario.front_ends => {
            let front_ends = scenario.front_ends;
            node.error(format!(
                "there are only {front_ends} front ends, counted from 0"
            ))
        }
        _ => Ok(()),
    }
}
