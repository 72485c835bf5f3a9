//! The front end on tokio: thin shells around the engine.
//!
//! A [`Gateway`] runs one or more front ends; each owns an engine and shares nothing with the others. Sources
//! ([`amqp`], [`cron`]), workers ([`workers`]) and the worker list ([`list`]) are tasks that hand the engine what
//! happened and execute its outputs. They decide nothing.

mod amqp;
pub mod connect;
mod cron;
pub mod directory;
mod front_end;
mod list;
pub mod schedule;
pub mod seed;
mod tenancy;
mod workers;

use std::sync::Arc;

pub use pipithub_baselines::Policy;
use pipithub_clock::Clock;
use pipithub_engine::{Input, SourceId, Stats};
use pipithub_settings::{Config, WorkersConfig};
use tokio::sync::watch;
use tokio::task::JoinSet;

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
            let name = if config.instances == 1 {
                config.name.clone()
            } else {
                format!("{}-{instance}", config.name)
            };
            gateway.start_front_end(config, &name, &shutdown_asked, baseline);
        }
        gateway
    }

    fn start_front_end(
        &mut self,
        config: &Config,
        name: &str,
        shutdown_asked: &watch::Receiver<bool>,
        baseline: Option<Policy>,
    ) {
        let clock = Clock::default();
        let workers = Arc::new(workers::WorkerClient::new(name, config.http, clock));
        let seed = seed::random_seed();
        let (mut front_end, inputs) =
            front_end::FrontEnd::new(name, config, clock, seed, workers.clone(), baseline);
        if let Some(tenants) = &config.tenants {
            let tenants = Arc::new(tenants.clone());
            let handle = directory::start(tenants.clone(), name, clock, seed, &mut self.tasks);
            front_end.set_tenancy(tenancy::Tenancy::new(
                tenants,
                handle,
                &config.engine.policy.classes,
                name,
            ));
        }
        let mut number = 0;
        let mut source = || {
            number += 1;
            SourceId(number)
        };
        for broker in &config.amqp {
            for queue in &broker.queues {
                let id = source();
                let handle = front_end.add_source(id);
                let consumer = amqp::consumer_settings(config, broker, queue, id, name);
                let addresses = broker.addresses.clone();
                let task = amqp::run(
                    consumer,
                    addresses,
                    handle,
                    inputs.clone(),
                    clock,
                    seed ^ u64::from(id.0),
                );
                self.tasks.spawn(task);
            }
        }
        if !config.cron.is_empty() {
            let id = source();
            let handle = front_end.add_source(id);
            let timers = cron::CronSource::new(config.cron.clone(), id, handle, inputs.clone());
            self.tasks.spawn(timers.run());
        }
        match &config.workers {
            WorkersConfig::Fixed(fixed) => front_end.set_fixed_workers(fixed),
            WorkersConfig::EndpointSlices {
                url,
                namespace,
                service,
                port,
                cache,
            } => {
                let settings = list::EndpointListSettings {
                    url: url.clone(),
                    namespace: namespace.clone(),
                    service: service.clone(),
                    port: port.clone(),
                    cache: cache.clone(),
                    front_end: name.to_string(),
                };
                if let Some(cached) = list::load_cached(&settings, clock) {
                    front_end.handle_before_start(Input::Endpoints {
                        update: cached.0,
                        endpoints: cached.1,
                    });
                }
                self.tasks
                    .spawn(list::run(settings, inputs.clone(), clock, seed));
            }
        }
        self.snapshots.push(front_end.snapshots());
        self.tasks.spawn(front_end.run(shutdown_asked.clone()));
    }

    /// The latest snapshot of each front end.
    pub fn snapshots(&self) -> Vec<Snapshot> {
        self.snapshots.iter().map(|s| *s.borrow()).collect()
    }

    /// Shuts down gracefully: takes no new requests and waits until all pending ones are settled, for the drain time of
    /// the settings at most.
    pub async fn stop(mut self) {
        let _ = self.shutdown.send(true);
        for snapshot in &mut self.snapshots {
            // A front end that is done drops its sender.
            while snapshot.changed().await.is_ok() {}
        }
        self.tasks.shutdown().await;
    }
}
