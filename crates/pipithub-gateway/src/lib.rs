//! The front end on tokio: the I/O around the engine.
//!
//! A [`Gateway`] runs one or more front ends; each owns an engine and shares no state with the others. Tasks for the
//! sources ([`amqp`], [`cron`]), the workers ([`workers`]) and the endpoint list ([`endpoint_list`]) report events to the
//! engine and execute its outputs. All decisions are made by the engine.

mod amqp;
pub mod connect;
mod cron;
pub mod directory;
mod endpoint_list;
mod front_end;

pub mod schedule;
pub mod seed;
mod startup;
mod tenancy;
mod worker_keys;
mod workers;

pub use pipithub_baselines::Policy;
use pipithub_engine::Stats;
use pipithub_settings::Config;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::startup::FrontEndStartup;

/// The state of a front end after the last turn of its event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The engine's counters since the start.
    pub stats: Stats,
    /// Requests that are not settled yet.
    pub pending_requests: usize,
    /// Bytes of the request bodies in memory.
    pub body_bytes: usize,
    /// Workers that the endpoint list reports as ready.
    pub ready_workers: usize,
    /// Requests that wait for the look-up of their user or for their tenant's quota.
    pub pending_admissions: usize,
}

/// A running gateway. Dropping it aborts all front ends at once; [`Gateway::stop`] shuts them down gracefully.
pub struct Gateway {
    shutdown: watch::Sender<bool>,
    snapshots: Vec<watch::Receiver<Snapshot>>,
    tasks: JoinSet<()>,
}

impl Gateway {
    /// Starts all front ends that the settings configure. Must be called within a tokio runtime.
    pub fn start(config: &Config) -> Gateway {
        Self::start_with_baseline(config, None)
    }

    /// Starts all front ends with a baseline policy in place of the decision module, for comparisons in scenarios;
    /// `None` uses the decision module.
    pub fn start_with_baseline(config: &Config, baseline: Option<Policy>) -> Gateway {
        let (shutdown, shutdown_requested) = watch::channel(false);
        let mut gateway = Gateway {
            shutdown,
            snapshots: Vec::new(),
            tasks: JoinSet::new(),
        };
        for instance in 0..config.instances {
            let name = front_end_name(config, instance);
            let startup = FrontEndStartup::new(config, &name, baseline, &mut gateway.tasks);
            let snapshots = startup.start(shutdown_requested.clone());
            gateway.snapshots.push(snapshots);
        }
        gateway
    }

    /// The latest snapshot of each front end, in the order of their instance numbers.
    pub fn snapshots(&self) -> Vec<Snapshot> {
        self.snapshots
            .iter()
            .map(|snapshot| *snapshot.borrow())
            .collect()
    }

    /// Shuts down gracefully: accepts no new requests and waits until all pending ones are settled, at most for the
    /// drain time of the settings.
    pub async fn stop(mut self) {
        let _ = self.shutdown.send(true);
        for snapshot in &mut self.snapshots {
            // A front end drops its sender when it has ended.
            while snapshot.changed().await.is_ok() {}
        }
        self.tasks.shutdown().await;
    }
}

/// The front end's name in the settings, with the instance number appended where there are several instances.
fn front_end_name(config: &Config, instance: u32) -> String {
    if config.instances == 1 {
        config.name.clone()
    } else {
        format!("{}-{instance}", config.name)
    }
}
