//! A day as a file: what runs, what is asked, what goes wrong.

use std::str::FromStr;

use kdl::{KdlDocument, KdlNode};
use miette::{Diagnostic, NamedSource, SourceSpan};
use pipithub_settings::duration;

/// A fault of a scenario file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct ScenarioError {
    message: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("here")]
    span: SourceSpan,
}

impl ScenarioError {
    pub(crate) fn new(message: String, source_code: NamedSource<String>, span: SourceSpan) -> Self {
        ScenarioError {
            message,
            source_code,
            span,
        }
    }
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Nanoseconds within which an answer is wanted.
    pub latency_objective: u64,
    /// Nanoseconds that a client waits.
    pub client_timeout: u64,
    /// What a served call is worth.
    pub priority_weight: f64,
    /// Its part of the calls.
    pub share: f64,
    /// Its work, in nanoseconds.
    pub work: u64,
    /// For how long workers drop repeats of a key, in nanoseconds.
    pub deduplication_window: u64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A worker dies and comes back cold.
    Crash {
        /// Which, from 0.
        worker: usize,
    },
    /// Workers are replaced one by one, each drained first.
    RollingDeploy {
        /// Nanoseconds between two.
        every: u64,
        /// How many.
        count: usize,
    },
    /// The list runs so far behind, in nanoseconds.
    DelayEndpointList {
        /// By how much.
        by: u64,
    },
    /// A worker takes calls and answers none.
    SilentWorker {
        /// Which.
        worker: usize,
    },
    /// The store is slowed by a factor.
    SlowStore {
        /// The factor.
        factor: f64,
    },
    /// The store turns every fetch away.
    RejectStoreRequests,
    /// A front end is killed outright and started again.
    KillFrontEnd {
        /// Which.
        front_end: usize,
    },
    /// The broker drops all connections.
    DropBrokerConnections,
    /// All workers of a zone die.
    ZoneOutage {
        /// Which.
        zone: usize,
    },
    /// A share of the clients has almost no time.
    ShortTimeouts {
        /// The share.
        share: f64,
    },
    /// A share of the calls is for functions that are wanted once.
    OneTimeFunctions {
        /// The share.
        share: f64,
    },
    /// A directory server does wrong, as its stand-in's line says; at the end it is good again.
    DirectoryFault {
        /// Which.
        server: usize,
        /// The line.
        fault: String,
    },
    /// A directory server hears of no moves; at the end it catches up.
    StaleDirectory {
        /// Which.
        server: usize,
    },
    /// Users move to the other tenant.
    MigrateUsers {
        /// Nanoseconds between two.
        every: u64,
    },
    /// Of the second tenant come so many times its calls.
    TenantSurge {
        /// How many times.
        times: f64,
    },
    /// A share of the calls is for one function.
    HotFunction {
        /// The share.
        share: f64,
    },
}

/// Tenants of a day: two, with their users in one directory.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Users, half of each tenant at first.
    pub users: usize,
    /// The directory's servers.
    pub servers: usize,
    /// Of the calls, those that ask for the other tenant's functions.
    pub cross_tenant_share: f64,
    /// Further lines of the directory's settings.
    pub settings: String,
    /// How long after a move a call may still reach the old side, in nanoseconds.
    pub bound: u64,
}

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Nanoseconds from the first call.
    pub at: u64,
    /// How long it lasts, in nanoseconds.
    pub duration: u64,
    /// What.
    pub fault: Fault,
}

/// A day.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long calls are published, in nanoseconds.
    pub duration: u64,
    /// Calls a second.
    pub rate: f64,
    /// Front ends, each a process.
    pub front_ends: usize,
    /// Workers, each a process.
    pub workers: usize,
    /// Zones, over which workers are dealt out.
    pub zones: usize,
    /// Functions; the first are asked for most.
    pub functions: usize,
    /// Arguments of each worker, beside its own.
    pub worker_arguments: Vec<String>,
    /// Further lines of the front ends' settings.
    pub settings: String,
    /// Nanoseconds until the list tells of a death.
    pub endpoint_list_delay: u64,
    /// Grace of the drain rule, in nanoseconds.
    pub drain_grace: u64,
    /// Slack of the checker, in nanoseconds.
    pub slack: u64,
    /// The tenants, where the day has any.
    pub tenants: Option<TenantSpec>,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// What goes wrong, by time.
    pub faults: Vec<ScheduledFault>,
}

pub(crate) struct Node<'a> {
    node: &'a KdlNode,
    text: &'a str,
    file: &'a str,
}

pub(crate) type ParseResult<T> = Result<T, Box<ScenarioError>>;

impl<'a> Node<'a> {
    pub(crate) fn new(node: &'a KdlNode, text: &'a str, file: &'a str) -> Self {
        Node { node, text, file }
    }

    pub(crate) fn name(&self) -> &'a str {
        self.node.name().value()
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        self.node
            .get(name)
            .and_then(kdl::KdlValue::as_bool)
            .unwrap_or(false)
    }

    pub(crate) fn fault<T>(&self, message: impl Into<String>) -> ParseResult<T> {
        let source_code = NamedSource::new(self.file, self.text.to_string());
        Err(Box::new(ScenarioError {
            message: message.into(),
            source_code,
            span: self.node.span(),
        }))
    }

    pub(crate) fn text_of(&self, name: &str) -> Option<&'a str> {
        self.node.get(name).and_then(|v| v.as_string())
    }

    pub(crate) fn time(&self, name: &str, default: Option<u64>) -> ParseResult<u64> {
        match (self.node.get(name), default) {
            (None, Some(default)) => Ok(default),
            (Some(v), _) if v.as_string().and_then(duration).is_some() => {
                Ok(v.as_string().and_then(duration).unwrap_or_default())
            }
            _ => self.fault(format!(
                "'{}' needs a time '{name}', as {name}=\"2s\"",
                self.node.name().value()
            )),
        }
    }

    pub(crate) fn number(&self, name: &str, default: Option<f64>) -> ParseResult<f64> {
        let value = self.node.get(name);
        let number = value.and_then(|v| v.as_float().or(v.as_integer().map(|n| n as f64)));
        match (value, number.filter(|n| *n >= 0.0), default) {
            (None, _, Some(default)) => Ok(default),
            (Some(_), Some(number), _) => Ok(number),
            _ => self.fault(format!(
                "'{}' needs a number '{name}'",
                self.node.name().value()
            )),
        }
    }

    pub(crate) fn allow(&self, names: &[&str]) -> ParseResult<()> {
        let given = self
            .node
            .entries()
            .iter()
            .filter_map(|e| e.name().map(kdl::KdlIdentifier::value));
        for name in given {
            if !names.contains(&name) {
                return self.fault(format!(
                    "'{}' takes {}, not '{name}'",
                    self.node.name().value(),
                    names.join(", ")
                ));
            }
        }
        Ok(())
    }
}

impl Scenario {
    /// Reads a file.
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Box<ScenarioError>> {
        let source = || NamedSource::new(file, text.to_string());
        let document = KdlDocument::from_str(text).map_err(|error| {
            let first = error.diagnostics.first();
            let message = first
                .and_then(|d| d.message.clone())
                .unwrap_or_else(|| "this is not KDL".into());
            let span = first.map_or((0, 0).into(), |d| d.span);
            Box::new(ScenarioError {
                message,
                source_code: source(),
                span,
            })
        })?;
        let mut scenario = Scenario {
            name: file.to_string(),
            duration: 20_000_000_000,
            rate: 50.0,
            front_ends: 2,
            workers: 6,
            zones: 2,
            functions: 12,
            worker_arguments: Vec::new(),
            settings: String::new(),
            endpoint_list_delay: 300_000_000,
            drain_grace: 1_000_000_000,
            slack: 300_000_000,
            tenants: None,
            classes: Vec::new(),
            faults: Vec::new(),
        };
        for node in document.nodes() {
            let n = Node { node, text, file };
            match node.name().value() {
                "day" => {
                    n.allow(&[
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
                    scenario.name = n.text_of("name").unwrap_or(file).to_string();
                    scenario.duration = n.time("length", Some(scenario.duration))?;
                    scenario.rate = n.number("rate", Some(scenario.rate))?.clamp(0.1, 100_000.0);
                    scenario.front_ends = (n.number("fronts", Some(2.0))? as usize).clamp(1, 64);
                    scenario.workers = (n.number("workers", Some(6.0))? as usize).clamp(1, 256);
                    scenario.zones = (n.number("zones", Some(2.0))? as usize).clamp(1, 16);
                    scenario.functions =
                        (n.number("functions", Some(12.0))? as usize).clamp(1, 10_000);
                    scenario.endpoint_list_delay =
                        n.time("list-lag", Some(scenario.endpoint_list_delay))?;
                    scenario.drain_grace = n.time("drain-grace", Some(scenario.drain_grace))?;
                    scenario.slack = n.time("slack", Some(scenario.slack))?;
                }
                "class" => {
                    n.allow(&[
                        "effect",
                        "aim",
                        "give-up",
                        "worth",
                        "share",
                        "work",
                        "dedup-window",
                    ])?;
                    let Some(name) = node.get(0).and_then(|v| v.as_string()) else {
                        return n.fault("a class needs a name");
                    };
                    let effect = n.text_of("effect").unwrap_or_default().to_string();
                    if !["safe", "keyed", "unsafe"].contains(&effect.as_str()) {
                        return n.fault("a class needs effect=\"safe\", \"keyed\" or \"unsafe\"");
                    }
                    scenario.classes.push(ClassSpec {
                        name: name.to_string(),
                        effect,
                        latency_objective: n.time("aim", Some(1_000_000_000))?,
                        client_timeout: n.time("give-up", Some(4_000_000_000))?,
                        priority_weight: n.number("worth", Some(1.0))?,
                        share: n.number("share", Some(1.0))?,
                        work: n.time("work", Some(50_000_000))?,
                        deduplication_window: n.time("dedup-window", Some(5_000_000_000))?,
                    });
                }
                "worker" => {
                    scenario.worker_arguments = node
                        .entries()
                        .iter()
                        .filter_map(|e| e.value().as_string().map(str::to_string))
                        .collect();
                }
                "settings" => {
                    scenario.settings = node
                        .children()
                        .map(std::string::ToString::to_string)
                        .unwrap_or_default();
                }
                "tenants" => {
                    n.allow(&["users", "servers", "spies", "bound"])?;
                    scenario.tenants = Some(TenantSpec {
                        users: (n.number("users", Some(60.0))? as usize).clamp(2, 1_000_000),
                        servers: (n.number("servers", Some(2.0))? as usize).clamp(1, 8),
                        cross_tenant_share: n.number("spies", Some(0.05))?.min(1.0),
                        settings: node
                            .children()
                            .map(std::string::ToString::to_string)
                            .unwrap_or_default(),
                        bound: n.time("bound", None)?,
                    });
                }
                name => {
                    let fault = match name {
                        "directory" => Fault::DirectoryFault {
                            server: n.number("server", Some(0.0))? as usize,
                            fault: match n.text_of("fault") {
                                Some(fault) => fault.to_string(),
                                None => {
                                    return n
                                        .fault("'directory' needs a 'fault', as \"silent on\"");
                                }
                            },
                        },
                        "stale-directory" => Fault::StaleDirectory {
                            server: n.number("server", Some(0.0))? as usize,
                        },
                        "move-users" => Fault::MigrateUsers {
                            every: n.time("every", Some(200_000_000))?.max(1_000_000),
                        },
                        "storm" => Fault::TenantSurge {
                            times: n.number("times", Some(10.0))?.clamp(1.0, 1_000.0),
                        },
                        "crash" => Fault::Crash {
                            worker: n.number("worker", None)? as usize,
                        },
                        "deploy" => Fault::RollingDeploy {
                            every: n.time("every", Some(1_500_000_000))?,
                            count: n.number("count", Some(3.0))? as usize,
                        },
                        "late-list" => Fault::DelayEndpointList {
                            by: n.time("by", None)?,
                        },
                        "silent" => Fault::SilentWorker {
                            worker: n.number("worker", None)? as usize,
                        },
                        "slow-store" => Fault::SlowStore {
                            factor: n.number("factor", None)?,
                        },
                        "halt-store" => Fault::RejectStoreRequests,
                        "kill-front" => Fault::KillFrontEnd {
                            front_end: n.number("front", None)? as usize,
                        },
                        "cut-broker" => Fault::DropBrokerConnections,
                        "lose-zone" => Fault::ZoneOutage {
                            zone: n.number("zone", None)? as usize,
                        },
                        "little-time" => Fault::ShortTimeouts {
                            share: n.number("share", None)?,
                        },
                        "one-off" => Fault::OneTimeFunctions {
                            share: n.number("share", None)?,
                        },
                        "hot" => Fault::HotFunction {
                            share: n.number("share", None)?,
                        },
                        other => return n.fault(format!("a day has no '{other}'")),
                    };
                    n.allow(&[
                        "at", "for", "worker", "front", "zone", "share", "factor", "by", "every",
                        "count", "server", "fault", "times",
                    ])?;
                    match fault {
                        Fault::Crash { worker } | Fault::SilentWorker { worker }
                            if worker >= scenario.workers =>
                        {
                            return n.fault(format!(
                                "there are only {} workers, counted from 0",
                                scenario.workers
                            ));
                        }
                        Fault::DirectoryFault { server, .. } | Fault::StaleDirectory { server }
                            if scenario
                                .tenants
                                .as_ref()
                                .is_none_or(|t| server >= t.servers) =>
                        {
                            return n
                                .fault("there is no such directory server; 'tenants' comes first");
                        }
                        Fault::MigrateUsers { .. } | Fault::TenantSurge { .. }
                            if scenario.tenants.is_none() =>
                        {
                            return n.fault("this needs 'tenants', before it");
                        }
                        Fault::KillFrontEnd { front_end } if front_end >= scenario.front_ends => {
                            return n.fault(format!(
                                "there are only {} front ends, counted from 0",
                                scenario.front_ends
                            ));
                        }
                        _ => {}
                    }
                    scenario.faults.push(ScheduledFault {
                        at: n.time("at", None)?,
                        duration: n.time("for", Some(2_000_000_000))?,
                        fault,
                    });
                }
            }
        }
        if scenario.classes.is_empty() {
            let message = "a day needs a class".to_string();
            return Err(Box::new(ScenarioError {
                message,
                source_code: source(),
                span: (0, 0).into(),
            }));
        }
        scenario.faults.sort_by_key(|s| s.at);
        Ok(scenario)
    }
}
