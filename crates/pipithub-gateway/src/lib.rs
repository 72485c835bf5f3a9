//! The front end on tokio: thin shells around the engine.
//!
//! A [`Gateway`] runs one or more front ends; each owns an engine and shares nothing with the others. Sources
//! ([`amqp`], [`cron`]), workers ([`workers`]) and the worker list ([`list`]) are tasks that hand the engine what
//! happened and carry out what it says. They decide nothing.

mod amqp;
pub mod connect;
mod cron;
pub mod directory;
mod front;
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

/// What a front end holds and has done, as last looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Counters.
    pub stats: Stats,
    /// Requests that are not settled.
    pub open: usize,
    /// Bytes of bodies held.
    pub bytes: usize,
    /// Live workers, as told.
    pub workers: usize,
    /// Calls that wait for their user to be known or for their tenant's turn.
    pub waiting: usize,
}

/// A running gateway. Dropped, it ends at once, as if killed.
pub struct Gateway {
    stop: watch::Sender<bool>,
    snapshots: Vec<watch::Receiver<Snapshot>>,
    tasks: JoinSet<()>,
}

impl Gateway {
    /// Starts all front ends of the settings.
    pub fn start(config: &Config) -> Gateway {
        Self::start_deciding_by(config, None)
    }

    /// Starts all front ends with a textbook policy in the module's place: for comparison in drills alone.
    pub fn start_deciding_by(config: &Config, baseline: Option<Policy>) -> Gateway {
        let (stop, stopped) = watch::channel(false);
        let mut gateway = Gateway {
            stop,
            snapshots: Vec::new(),
            tasks: JoinSet::new(),
        };
        for instance in 0..config.instances {
            let name = if config.instances == 1 {
                config.name.clone()
            } else {
                format!("{}-{instance}", config.name)
            };
            gateway.start_front(config, &name, &stopped, baseline);
        }
        gateway
    }

    fn start_front(
        &mut self,
        config: &Config,
        name: &str,
        stopped: &watch::Receiver<bool>,
        baseline: Option<Policy>,
    ) {
        let clock = Clock::default();
        let pool = Arc::new(workers::Pool::new(name, config.http, clock));
        let seed = seed::random_seed();
        let (mut front, inputs) =
            front::Front::new(name, config, clock, seed, pool.clone(), baseline);
        if let Some(tenants) = &config.tenants {
            let tenants = Arc::new(tenants.clone());
            let handle = directory::start(tenants.clone(), name, clock, seed, &mut self.tasks);
            front.keep_tenants(tenancy::Tenancy::new(
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
                let handle = front.add_source(id);
                let consumer = amqp::settings(config, broker, queue, id, name);
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
            let handle = front.add_source(id);
            let timers = cron::CronSource::new(config.cron.clone(), id, handle, inputs.clone());
            self.tasks.spawn(timers.run());
        }
        match &config.workers {
            WorkersConfig::Fixed(workers) => front.fixed_workers(workers),
            WorkersConfig::EndpointSlices {
                url,
                namespace,
                service,
                port,
                cache: remember,
            } => {
                let settings = list::ListSettings {
                    url: url.clone(),
                    namespace: namespace.clone(),
                    service: service.clone(),
                    port: port.clone(),
                    remember: remember.clone(),
                    front_end: name.to_string(),
                };
                if let Some(remembered) = list::recall(&settings, clock) {
                    front.first(Input::Endpoints {
                        update: remembered.0,
                        endpoints: remembered.1,
                    });
                }
                self.tasks
                    .spawn(list::run(settings, inputs.clone(), clock, seed));
            }
        }
        self.snapshots.push(front.snapshot());
        self.tasks.spawn(front.run(stopped.clone()));
    }

    /// How each front end stands.
    pub fn snapshots(&self) -> Vec<Snapshot> {
        self.snapshots.iter().map(|s| *s.borrow()).collect()
    }

    /// Takes nothing new, waits until all that is held is settled, or as long as the settings give.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        for snapshot in &mut self.snapshots {
            // A front end that is done drops its sender.
            while snapshot.changed().await.is_ok() {}
        }
        self.tasks.shutdown().await;
    }
}
