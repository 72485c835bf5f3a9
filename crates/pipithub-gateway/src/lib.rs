//! The front end on tokio: thin shells around the engine.
//!
//! A [`Gateway`] runs one or more front ends; each owns an engine and shares nothing with the others. Sources
//! ([`amqp`], [`cron`]), workers ([`workers`]) and the endpoint list ([`list`]) are tasks that hand the engine what
//! happened and execute its outputs. They decide nothing.

mod amqp;
pub mod connect;
mod cron;
pub mod directory;
mod front_end;
mod list;
pub mod schedule;
pub mod seed;
mod startup;
mod tenancy;
mod workers;

pub use pipithub_baselines::Policy;
use pipithub_engine::Stats;
use pipithub_settings::Config;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::startup::FrontEndStartup;

/// The state of a front end at its last turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Counters.
    pub stats: Stats,
    /// Requests that are not settled.
    pub pending_requests: usize,
    /// Bytes of the request bodies in memory.
    pub body_bytes: usize,
    /// Ready workers of the endpoint list.
    pub ready_workers: usize,
    /// Requests that wait for the look-up of their user or for their tenant's quota.
    pub pending_admissions: usize,
}

/// A running gateway. When dropped it ends at once, as if killed.
pub struct Gateway {
    shutdown: watch::Sender<bool>,
    snapshots: Vec<watch::Receiver<Snapshot>>,
    tasks: JoinSet<()>,
}

impl Gateway {
    /// Starts all front ends of the settings.
    pub fn start(config: &Config) -> Gateway {
        Self::start_deciding_by(config, None)
    }

    /// Starts all front ends with a textbook policy in place of the decision module, for comparison in scenarios alone.
    pub fn start_deciding_by(config: &Config, baseline: Option<Policy>) -> Gateway {
        let (shutdown, shutdown_asked) = watch::channel(false);
        let mut gateway = Gateway {
            shutdown,
            snapshots: Vec::new(),
            tasks: JoinSet::new(),
        };
        for instance in 0..config.instances {
            let name = front_end_name(config, instance);
            let startup = FrontEndStartup::new(config, &name, baseline, &mut gateway.tasks);
            let snapshots = startup.start(shutdown_asked.clone());
            gateway.snapshots.push(snapshots);
        }
        gateway
    }

    /// The latest snapshot of each front end.
    pub fn snapshots(&self) -> Vec<Snapshot> {
        self.snapshots
            .iter()
            .map(|snapshot| *snapshot.borrow())
            .collect()
    }

    /// Shuts down gracefully: takes no new requests and waits until all pending ones are settled, for the drain time of
    /// the settings at most.
    pub async fn stop(mut self) {
        let _ = self.shutdown.send(true);
        for snapshot in &mut self.snapshots {
            // A front end that has ended drops its sender.
            while snapshot.changed().await.is_ok() {}
        }
        self.tasks.shutdown().await;
    }
}

/// The name of the settings, numbered where there are several front ends.
fn front_end_name(config: &Config, instance: u32) -> String {
    if config.instances == 1 {
        config.name.clone()
    } else {
        format!("{}-{instance}", config.name)
    }
}
