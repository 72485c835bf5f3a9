//! A model on the worker: its replicas, their loads, and the commands that wait for them.

use pipithub_amqp::Time;

/// A load command that waits for a number of replicas to be ready.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadCommand {
    pub(super) id: u64,
    pub(super) replicas: u32,
}

/// A load in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Load {
    /// The model is being fetched from the store.
    Fetching,
    /// The replica will be ready at this time.
    Until(Time),
}

/// The state of a model.
#[derive(Debug, Default)]
pub(super) struct FunctionState {
    /// The number of replicas that are ready.
    pub(super) ready: u32,
    pub(super) loads: Vec<Load>,
    /// The number of loads that have not started yet.
    pub(super) queued_loads: u32,
    /// The number of running requests.
    pub(super) running: u32,
    pub(super) replica_concurrency: u32,
    /// The memory of a replica, in MB.
    pub(super) replica_mb: f64,
    /// When the model was last used: a request or a load ended, or a load command arrived.
    pub(super) idle_since: Time,
    pub(super) commands: Vec<LoadCommand>,
}

impl FunctionState {
    /// The number of replicas that are ready, being loaded or queued to be loaded.
    pub(super) fn replicas(&self) -> u32 {
        self.ready + self.loading()
    }

    /// The number of replicas that are being loaded or queued to be loaded.
    pub(super) fn loading(&self) -> u32 {
        self.loads.len() as u32 + self.queued_loads
    }

    /// The fewest replicas that could run the running requests.
    pub(super) fn used_replicas(&self) -> u32 {
        self.running.div_ceil(self.replica_concurrency.max(1))
    }

    pub(super) fn has_idle_replica(&self) -> bool {
        self.ready > self.used_replicas()
    }

    /// Whether another request can run now.
    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.ready * self.replica_concurrency
    }

    pub(super) fn memory_mb(&self) -> f64 {
        f64::from(self.replicas()) * self.replica_mb
    }

    /// The memory of replicas that cannot be unloaded now, in MB.
    pub(super) fn pinned_memory_mb(&self) -> f64 {
        let pinned = self.used_replicas() + self.loads.len() as u32;
        f64::from(pinned) * self.replica_mb
    }

    /// Whether the model has neither replicas nor running requests.
    pub(super) fn is_unused(&self) -> bool {
        self.replicas() == 0 && self.running == 0
    }

    /// Ends loads that are due and unloads replicas that were idle for too long.
    pub(super) fn on_time(&mut self, now: Time, keep_alive: Time) {
        let before = self.loads.len();
        self.loads.retain(|load| !load.is_due(now));
        let loaded = (before - self.loads.len()) as u32;
        if loaded > 0 {
            self.ready += loaded;
            self.idle_since = now;
        }
        if self.has_idle_replica() && now >= self.idle_since + keep_alive {
            self.ready = self.used_replicas();
        }
    }

    /// Takes the commands whose requested replicas are ready.
    pub(super) fn take_completed_commands(&mut self) -> Vec<LoadCommand> {
        let ready = self.ready;
        let (completed, waiting) = std::mem::take(&mut self.commands)
            .into_iter()
            .partition(|command| command.replicas <= ready);
        self.commands = waiting;
        completed
    }
}

impl Load {
    fn is_due(self, now: Time) -> bool {
        matches!(self, Load::Until(end) if end <= now)
    }

    pub(super) fn end(self) -> Option<Time> {
        match self {
            Load::Fetching => None,
            Load::Until(end) => Some(end),
        }
    }
}
