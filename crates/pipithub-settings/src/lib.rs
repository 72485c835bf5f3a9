//! The operators' settings file, in KDL.
//!
//! [`Config::parse`] reads a whole file and tells everything that is wrong with it at once, each with its place and
//! reason; a file with any fault gives no settings at all, so that what runs keeps running. `docs/operations.md` lists
//! every node with its default and range.

mod fleet;
mod read;
mod tenants;

use std::path::PathBuf;
use std::sync::Arc;

pub use fleet::FleetSettings;
use miette::{Diagnostic, NamedSource, SourceSpan};
use pipithub_amqp::Login;
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::identity::Rule;
use pipithub_consumer::message::{ClassName, Route};
use pipithub_consumer::{DeadLetterTarget, Qos};
use pipithub_engine::{EngineSettings, Time};
pub use tenants::{
    BindCredentials, DirectoryConfig, ServerConfig, SnapshotConfig, TenantConfig, TenantsConfig,
    Tls,
};

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Fault {
    /// What is wrong.
    pub message: String,
    /// Where.
    #[label("here")]
    pub span: SourceSpan,
    /// What would be right.
    #[help]
    pub help: Option<String>,
}

/// All faults of a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{} {} in the settings", faults.len(), if faults.len() == 1 { "fault" } else { "faults" })]
pub struct Faults {
    #[source_code]
    source_code: NamedSource<String>,
    /// Each of them.
    #[related]
    pub faults: Vec<Fault>,
    text: String,
}

impl Faults {
    fn new(name: &str, text: &str, faults: Vec<Fault>) -> Self {
        let source_code = NamedSource::new(name, text.to_string());
        Faults {
            source_code,
            faults,
            text: text.to_string(),
        }
    }

    /// The line of each fault, from 1, with its message.
    pub fn lines(&self) -> Vec<(usize, String)> {
        let line = |f: &Fault| {
            let end = f.span.offset().min(self.text.len());
            self.text.as_bytes()[..end]
                .iter()
                .filter(|b| **b == b'\n')
                .count()
                + 1
        };
        self.faults
            .iter()
            .map(|f| (line(f), f.message.clone()))
            .collect()
    }
}

/// A queue to consume.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its name.
    pub name: String,
    /// Declare it where it is missing.
    pub declare: bool,
    /// Most deliveries held.
    pub prefetch: u16,
    /// How that limit is told.
    pub qos: Qos,
    /// What holds for its messages.
    pub route: Route,
    /// Where copies of unreadable messages go.
    pub dead_letter: Option<DeadLetterTarget>,
    /// How its messages prove whose they are.
    pub identity: Rule,
}

/// A broker.
#[derive(Clone, Debug, PartialEq)]
pub struct AmqpConfig {
    /// Its name, for logs.
    pub name: String,
    /// Addresses, tried in turn.
    pub addresses: Vec<String>,
    /// What to log in with.
    pub login: Login,
    /// Seconds between heartbeats.
    pub heartbeat: u16,
    /// Waits between attempts to connect.
    pub reconnect_backoff: BackoffRange,
    /// The queues.
    pub queues: Vec<QueueConfig>,
}

/// A timer.
#[derive(Clone, Debug, PartialEq)]
pub struct CronConfig {
    /// Its name.
    pub name: String,
    /// When it fires, as a cron pattern with optional seconds, in UTC.
    pub schedule: String,
    /// What holds for its calls; class and function are always given.
    pub route: Route,
    /// The body of its calls.
    pub body: String,
}

/// A worker that is listed in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct FixedWorker {
    /// `host:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its memory for functions, in MB.
    pub memory_mb: f64,
}

/// Where workers are found.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkersConfig {
    /// From `EndpointSlices`.
    EndpointSlices {
        /// `http://host:port` of the API server, or of a proxy that logs in to it.
        url: String,
        /// Namespace.
        namespace: String,
        /// Service.
        service: String,
        /// The port's name; `None`: the first.
        port: Option<String>,
        /// Where the list is cached for a restart.
        cache: Option<PathBuf>,
    },
    /// As listed.
    Fixed(Vec<FixedWorker>),
}

/// How workers are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpConfig {
    /// A connection that is not up by then counts as refused.
    pub connect_timeout: Time,
    /// Idle connections kept open to each worker.
    pub max_idle_connections: usize,
    /// Answers are taken up to this size.
    pub max_body: usize,
    /// A load or evict command without an answer by then has failed.
    pub load_command_timeout: Time,
    /// A poll of a worker's load without an answer by then has failed.
    pub load_poll_timeout: Time,
}

/// How logs are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// As JSON.
    pub json: bool,
    /// What is logged, as a filter of `tracing`.
    pub level: String,
}

/// The settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The front end's name.
    pub name: String,
    /// Front ends in this process; each shares nothing with the others.
    pub instances: u32,
    /// The classes, by their number.
    pub classes: Vec<ClassName>,
    /// The engine's settings, the module's included.
    pub engine: EngineSettings,
    /// The tenants and their directories; `None`: there are none, and every call may run every function.
    pub tenants: Option<TenantsConfig>,
    /// Brokers.
    pub amqp: Vec<AmqpConfig>,
    /// Timers.
    pub cron: Vec<CronConfig>,
    /// Where workers are found.
    pub workers: WorkersConfig,
    /// How they are reached.
    pub http: HttpConfig,
    /// Logs.
    pub log: LogConfig,
    /// Its part in a fleet; `None`: it shares nothing.
    pub fleet: Option<FleetSettings>,
    /// How long a stopped gateway waits for what it holds.
    pub drain: Time,
}

impl Config {
    /// Reads a file's text; `name` is what its errors call it.
    pub fn parse(name: &str, text: &str) -> Result<Config, Box<Faults>> {
        read::config(text).map_err(|faults| Box::new(Faults::new(name, text, faults)))
    }
}

/// A length of time as written in settings: `250ms`, `1.5s`, `10m`, `2h`.
pub fn duration(text: &str) -> Option<Time> {
    let split = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..split].trim().parse().ok()?;
    let unit = match &text[split..] {
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "m" => 60e9,
        "h" => 3600e9,
        _ => return None,
    };
    let time = number * unit;
    (time.is_finite() && (0.0..=86_400e9).contains(&time)).then_some(time as Time)
}

/// An `Arc` of a text.
pub(crate) fn arc(text: &str) -> Arc<str> {
    Arc::from(text)
}
