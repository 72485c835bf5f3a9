//! What a settings file says, as types.

use std::path::PathBuf;

use pipithub_amqp::Login;
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::identity::Rule;
use pipithub_consumer::message::{ClassName, Route};
use pipithub_consumer::{DeadLetterTarget, Qos};
use pipithub_engine::{EngineSettings, Time};

use crate::document::read_config;
use crate::{Faults, FleetSettings, TenantsConfig};

/// A queue to consume.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its name.
    pub name: String,
    /// Declare it where it is missing.
    pub declare: bool,
    /// Most deliveries in flight.
    pub prefetch: u16,
    /// How that limit is set at the broker.
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
    /// What holds for its requests; class and function are always given.
    pub route: Route,
    /// The body of its requests.
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
    /// The tenants and their directories; `None`: there are none, and every request may run every function.
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
    /// How long a gateway that shuts down waits for its requests in flight.
    pub drain: Time,
}

impl Config {
    /// Reads a file's text; `name` is what its errors call it.
    pub fn parse(name: &str, text: &str) -> Result<Config, Box<Faults>> {
        read_config(text).map_err(|faults| Box::new(Faults::new(name, text, faults)))
    }
}
