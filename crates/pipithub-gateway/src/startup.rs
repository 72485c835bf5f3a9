//! Starts a front end: the task of its engine, and the tasks of its sources, directories and endpoint list.

use std::sync::Arc;

use pipithub_baselines::Policy;
use pipithub_clock::Clock;
use pipithub_engine::SourceId;
use pipithub_settings::{AmqpConfig, Config, QueueConfig, WorkersConfig};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::endpoint_list::{EndpointListSettings, EndpointListTask};
use crate::front_end::{FrontEndTask, SourceHandle};
use crate::tenancy::Tenancy;
use crate::{Snapshot, amqp, cron, directory, endpoint_list, seed};

/// A front end that is being assembled.
pub(crate) struct FrontEndStartup<'a> {
    config: &'a Config,
    name: &'a str,
    clock: Clock,
    seed: u64,
    tasks: &'a mut JoinSet<()>,
    front_end: FrontEndTask,
    /// The number of the last source; sources are numbered from 1.
    last_source: u32,
}

impl<'a> FrontEndStartup<'a> {
    /// Prepares a front end of this name whose tasks will be spawned on `tasks`.
    pub(crate) fn new(
        config: &'a Config,
        name: &'a str,
        baseline: Option<Policy>,
        tasks: &'a mut JoinSet<()>,
    ) -> Self {
        let clock = Clock::default();
        let seed = seed::random_seed();
        FrontEndStartup {
            config,
            name,
            clock,
            seed,
            tasks,
            front_end: FrontEndTask::new(name, config, clock, seed, baseline),
            last_source: 0,
        }
    }

    /// Starts all tasks, and returns the receiver of the front end's snapshots.
    pub(crate) fn start(
        mut self,
        shutdown_requested: watch::Receiver<bool>,
    ) -> watch::Receiver<Snapshot> {
        self.start_directories();
        self.start_consumers();
        self.start_timers();
        self.start_endpoint_list();
        let snapshots = self.front_end.snapshots();
        self.tasks.spawn(self.front_end.run(shutdown_requested));
        snapshots
    }

    fn start_directories(&mut self) {
        let Some(tenants) = &self.config.tenants else {
            return;
        };
        let tenants = Arc::new(tenants.clone());
        let directories = directory::start(
            tenants.clone(),
            self.name,
            self.clock,
            self.seed,
            self.tasks,
        );
        let classes = &self.config.engine.policy.classes;
        let tenancy = Tenancy::new(tenants, directories, classes, self.name);
        self.front_end.set_tenancy(tenancy);
    }

    fn start_consumers(&mut self) {
        for broker in &self.config.amqp {
            for queue in &broker.queues {
                self.start_consumer(broker, queue);
            }
        }
    }

    fn start_consumer(&mut self, broker: &AmqpConfig, queue: &QueueConfig) {
        let (source, handle) = self.add_source();
        let settings = amqp::consumer_settings(self.config, broker, queue, source, self.name);
        // With a shared seed, all consumers would reconnect at the same time.
        let seed = self.seed ^ u64::from(source.0);
        let inputs = self.front_end.inputs();
        let consumer = amqp::ConsumerTask::new(settings, handle, inputs, self.clock, seed);
        self.tasks.spawn(consumer.run(broker.addresses.clone()));
    }

    fn start_timers(&mut self) {
        if self.config.cron.is_empty() {
            return;
        }
        let (source, handle) = self.add_source();
        let inputs = self.front_end.inputs();
        let timers = cron::CronSource::new(self.config.cron.clone(), source, handle, inputs);
        self.tasks.spawn(timers.run());
    }

    fn start_endpoint_list(&mut self) {
        let settings = match &self.config.workers {
            WorkersConfig::Fixed(workers) => return self.front_end.set_fixed_workers(workers),
            WorkersConfig::EndpointSlices {
                url,
                namespace,
                service,
                port,
                cache,
            } => EndpointListSettings {
                url: url.clone(),
                namespace: namespace.clone(),
                service: service.clone(),
                port: port.clone(),
                cache: cache.clone(),
                front_end: self.name.to_string(),
            },
        };
        if let Some(cached) = endpoint_list::load_cached(&settings, self.clock) {
            self.front_end.handle_before_start(cached);
        }
        let inputs = self.front_end.inputs();
        let endpoints = EndpointListTask::new(settings, inputs, self.clock, self.seed);
        self.tasks.spawn(endpoints.run());
    }

    fn add_source(&mut self) -> (SourceId, SourceHandle) {
        self.last_source += 1;
        let source = SourceId(self.last_source);
        (source, self.front_end.add_source(source))
    }
}
