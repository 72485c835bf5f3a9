//! The operators' settings file, in KDL.
//!
//! [`Config::parse`] reads a whole file and reports everything that is wrong with it at once, each with its place and
//! reason; a file with any fault gives no settings at all, so that what runs keeps running. `docs/operations.md` lists
//! every node with its default and range.

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
pub use duration::duration;
pub use fault::{Fault, Faults};
pub use fleet::FleetSettings;
pub use tenants::{
    BindCredentials, DirectoryConfig, ServerConfig, SnapshotConfig, TenantConfig, TenantsConfig,
    Tls,
};
