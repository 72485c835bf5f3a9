//! The replicas of functions that a worker is assumed to hold.

use std::collections::BTreeMap;

use crate::api::{FunctionId, Time};
use crate::rebalancer::PlacementDemand;

/// The replicas of one function that a worker is assumed to hold.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    /// The number of replicas; 0 while none is assumed.
    pub(crate) count: u32,
    /// The mean number of requests of the function that other front ends have in flight at the worker.
    pub(crate) others_in_flight: f64,
    /// When the replicas are loaded; 0 while none is assumed.
    pub(crate) ready_at: Time,
    /// When the replicas were last used, or a load command for them was last sent or answered.
    pub(crate) last_used_at: Time,
    /// An answer or the reply to a load command has confirmed the replicas.
    pub(crate) confirmed: bool,
    /// The replicas were loaded by a command of this front end.
    pub(crate) loaded_by_command: bool,
    /// A load command for the replicas is in progress.
    pub(crate) load_requested: bool,
    /// The demand for the function at this worker in the current interval of rebalancing.
    pub(crate) demand: PlacementDemand,
}

/// The replicas at one worker, by function.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTable {
    by_function: BTreeMap<FunctionId, Replicas>,
    /// A load command may be in progress; never `false` while one is.
    may_have_load_commands: bool,
}

impl ReplicaTable {
    /// The entry of a function; `None` if there is none.
    pub(crate) fn get(&self, function: FunctionId) -> Option<&Replicas> {
        self.by_function.get(&function)
    }

    /// The entry of a function, for changes; `None` if there is none.
    pub(crate) fn get_mut(&mut self, function: FunctionId) -> Option<&mut Replicas> {
        self.by_function.get_mut(&function)
    }

    /// The entry of a function; an entry without replicas is added if there is none.
    pub(crate) fn get_or_add(&mut self, function: FunctionId) -> &mut Replicas {
        self.by_function.entry(function).or_default()
    }

    /// Whether there is an entry for a function.
    pub(crate) fn contains(&self, function: FunctionId) -> bool {
        self.by_function.contains_key(&function)
    }

    /// Whether there is no entry at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_function.is_empty()
    }

    /// All entries, by function.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (FunctionId, &Replicas)> {
        self.by_function
            .iter()
            .map(|(function, replicas)| (*function, replicas))
    }

    /// All entries, by function, for changes.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (FunctionId, &mut Replicas)> {
        self.by_function
            .iter_mut()
            .map(|(function, replicas)| (*function, replicas))
    }

    /// Forgets the replicas of a function.
    pub(crate) fn remove(&mut self, function: FunctionId) {
        self.by_function.remove(&function);
    }

    /// Forgets the replicas of all functions.
    pub(crate) fn clear(&mut self) {
        self.by_function.clear();
    }

    /// Forgets the entries for which `retain` returns `false`.
    pub(crate) fn retain(&mut self, retain: impl Fn(FunctionId, &Replicas) -> bool) {
        self.by_function
            .retain(|function, replicas| retain(*function, replicas));
    }

    /// Records that a load command is sent for the function's replicas.
    pub(crate) fn record_load_command(&mut self, function: FunctionId) {
        if let Some(replicas) = self.by_function.get_mut(&function) {
            replicas.load_requested = true;
            self.may_have_load_commands = true;
        }
    }

    /// Whether a load command may be in progress.
    pub(crate) fn may_have_load_commands(&self) -> bool {
        self.may_have_load_commands
    }

    /// Updates whether a load command may be in progress, as commands may have ended.
    pub(crate) fn refresh_load_commands(&mut self) {
        if self.may_have_load_commands {
            self.may_have_load_commands = self
                .by_function
                .values()
                .any(|replicas| replicas.load_requested);
        }
    }
}
