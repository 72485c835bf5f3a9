//! The settings file, in KDL.
//!
//! [`Config::parse`] parses a complete file and reports all of its faults at once, each with its location and reason. A
//! file with any fault is rejected completely, so that a running process keeps its previous settings.
//! `docs/operations.md` lists every node with its defaults and ranges.

mod address;
mod amqp;
mod config;
mod cron;
mod document;
mod duration;
mod fault;
mod fleet;
mod policy;
mod reader;
mod route;
mod suggestion;
mod tenants;
mod workers;

pub use config::{
    AmqpConfig, Config, CronConfig, FixedWorker, HttpConfig, LogConfig, QueueConfig, WorkersConfig,
};
pub use duration::parse_duration;
pub use fault::{Fault, FaultLine, Faults};
pub use fleet::FleetSettings;
pub use tenants::{
    BindCredentials, DirectoryConfig, ServerConfig, SnapshotConfig, TenantConfig, TenantsConfig,
    Tls,
};
