//! The types of the parsed settings.

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
    /// The name of the queue at the broker.
    pub name: String,
    /// Whether the queue is declared if it does not exist.
    pub declare: bool,
    /// The maximum number of unacknowledged deliveries.
    pub prefetch: u16,
    /// Whether the prefetch limit is set for the channel or for the consumer.
    pub qos: Qos,
    /// The defaults for messages that do not specify these values.
    pub route: Route,
    /// Where copies of invalid messages are published; `None` publishes none.
    pub dead_letter: Option<DeadLetterTarget>,
    /// How the messages prove which user they are from.
    pub identity: Rule,
}

/// A broker to connect to.
#[derive(Clone, Debug, PartialEq)]
pub struct AmqpConfig {
    /// The name of the broker in the settings.
    pub name: String,
    /// The addresses of the broker as `host:port`, which are tried in turn.
    pub addresses: Vec<String>,
    /// The credentials and the virtual host.
    pub login: Login,
    /// The interval between heartbeats in seconds; 0 disables them.
    pub heartbeat: u16,
    /// The backoff between attempts to connect.
    pub reconnect_backoff: BackoffRange,
    /// The queues to consume at this broker, at least one.
    pub queues: Vec<QueueConfig>,
}

/// A cron timer.
#[derive(Clone, Debug, PartialEq)]
pub struct CronConfig {
    /// The name of the timer, which is part of the idempotency keys of its requests.
    pub name: String,
    /// The schedule as a cron pattern with optional seconds, in UTC.
    pub schedule: String,
    /// The properties of the timer's requests. The class and the function are always `Some`.
    pub route: Route,
    /// The body of the timer's requests.
    pub body: String,
}

/// A worker that is listed in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct FixedWorker {
    /// The address of the worker as `host:port`.
    pub address: String,
    /// The zone in which the worker runs; empty if it is not given.
    pub zone: String,
    /// The worker's memory for functions in MB; 0 if it is not known.
    pub memory_mb: f64,
}

/// How workers are discovered.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkersConfig {
    /// The workers are the endpoints of a Kubernetes service, from its `EndpointSlice` objects.
    EndpointSlices {
        /// The address of the API server, or of a proxy that authenticates to it, as `http://host:port`.
        url: String,
        /// The namespace of the service.
        namespace: String,
        /// The name of the service.
        service: String,
        /// The name of the port; `None` uses the first port.
        port: Option<String>,
        /// The file in which the list is cached for a restart; `None` caches nothing.
        cache: Option<PathBuf>,
    },
    /// The workers are listed in the settings.
    Fixed(Vec<FixedWorker>),
}

/// The settings of the HTTP client for requests to workers. Times are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpConfig {
    /// The time after which a connection that was not accepted counts as refused.
    pub connect_timeout: Time,
    /// The maximum number of idle connections to each worker.
    pub max_idle_connections: usize,
    /// The maximum size of a response body in bytes.
    pub max_body: usize,
    /// The time after which a load or evict command without a response has failed.
    pub load_command_timeout: Time,
    /// The time after which a load poll without a response has failed.
    pub load_poll_timeout: Time,
}

/// The format and the level of logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Whether logs are written as JSON; otherwise they are written as text.
    pub json: bool,
    /// The filter that selects what is logged, in the syntax of `tracing`.
    pub level: String,
}

/// The settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The name of the front end.
    pub name: String,
    /// The number of front ends in this process, which share no state.
    pub instances: u32,
    /// The names of the classes; requests refer to classes by their indexes here.
    pub classes: Vec<ClassName>,
    /// The settings of the engine, including those of the decision module.
    pub engine: EngineSettings,
    /// The tenants and their directories; `None` if there are no tenants, and every request may run every function.
    pub tenants: Option<TenantsConfig>,
    /// Since when idempotency keys are sent to workers with their user, in Unix milliseconds; `None` if they always were.
    pub scoped_keys_since_ms: Option<u64>,
    /// The brokers whose queues are consumed.
    pub amqp: Vec<AmqpConfig>,
    /// The cron timers.
    pub cron: Vec<CronConfig>,
    /// How workers are discovered.
    pub workers: WorkersConfig,
    /// The settings of the HTTP client for requests to workers.
    pub http: HttpConfig,
    /// The format and the level of logs.
    pub log: LogConfig,
    /// The front end's membership in a fleet; `None` if it exchanges nothing with other front ends.
    pub fleet: Option<FleetSettings>,
    /// How long a graceful shutdown waits for pending requests, in nanoseconds.
    pub drain_timeout: Time,
}

impl Config {
    /// Parses the text of a settings file; `name` identifies the file in errors.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file if there are any.
    pub fn parse(name: &str, text: &str) -> Result<Config, Box<Faults>> {
        read_config(text).map_err(|faults| Box::new(Faults::new(name, text, faults)))
    }
}
