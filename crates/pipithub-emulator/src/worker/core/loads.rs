//! Loads and unloads of replicas, by requests and by the commands of the repository extension.

use std::collections::VecDeque;

use pipithub_amqp::Time;

use super::function::LoadCommand;
use super::requests::WaitingRequest;
use super::{FunctionState, Load, Rejection, WorkerCore, WorkerEvent};

/// A load command that asks for more replicas than this gets this many.
const MAX_REPLICAS: u32 = 16;

impl WorkerCore {
    /// Executes a command to load a model until it has a number of replicas.
    pub(in crate::worker) fn load(&mut self, now: Time, id: u64, function: &str, replicas: u32) {
        self.on_time(now);
        if self.overloaded {
            return self.finish_command(id, 0, Err(Rejection::Overloaded));
        }
        let settings = &self.settings;
        let (replica_mb, replica_concurrency) = (settings.replica_mb, settings.replica_concurrency);
        let state = self
            .functions
            .entry(function.to_string())
            .or_insert_with(|| FunctionState {
                replica_concurrency,
                replica_mb,
                ..FunctionState::default()
            });
        state.idle_since = now;
        let replicas = replicas.min(MAX_REPLICAS);
        while self.functions[function].replicas() < replicas {
            if !self.queue_load(function) {
                let ready = self.functions[function].ready;
                self.remove_unused();
                return self.finish_command(id, ready, Err(Rejection::OutOfMemory));
            }
        }
        if let Some(state) = self.functions.get_mut(function) {
            state.commands.push(LoadCommand { id, replicas });
        }
        self.finish_commands(function);
    }

    /// Executes a command to unload the idle replicas of a model.
    pub(in crate::worker) fn unload(&mut self, now: Time, id: u64, function: &str) {
        self.on_time(now);
        if self.overloaded {
            return self.finish_command(id, 0, Err(Rejection::Overloaded));
        }
        let mut ready = 0;
        if let Some(state) = self.functions.get_mut(function) {
            state.ready = state.used_replicas().min(state.ready);
            ready = state.ready;
        }
        self.remove_unused();
        self.finish_command(id, ready, Ok(()));
    }

    /// Handles the store's answer to a fetch of a model.
    pub(in crate::worker) fn fetched(&mut self, now: Time, function: &str, succeeded: bool) {
        self.on_time(now);
        let end = now + self.settings.load;
        let Some(state) = self.functions.get_mut(function) else {
            return;
        };
        let fetching = |load: &Load| *load == Load::Fetching;
        let Some(position) = state.loads.iter().position(fetching) else {
            return;
        };
        if succeeded {
            state.loads[position] = Load::Until(end);
            return;
        }
        state.loads.remove(position);
        if state.replicas() == 0 {
            self.fail_load(function);
        }
        self.begin_loads();
    }

    /// Rejects all requests and commands that wait for the model; the worker does not retry a load.
    fn fail_load(&mut self, function: &str) {
        let (failed, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.request.function == function);
        self.waiting = waiting;
        let failed: VecDeque<WaitingRequest> = failed;
        for waiting in failed {
            self.events.push(WorkerEvent::Finished {
                id: waiting.request.id,
                result: Err(Rejection::LoadFailed),
                concurrency: waiting.concurrency,
            });
        }
        let commands = self
            .functions
            .get_mut(function)
            .map(|state| std::mem::take(&mut state.commands))
            .unwrap_or_default();
        for command in commands {
            self.finish_command(command.id, 0, Err(Rejection::LoadFailed));
        }
    }

    /// Queues a load of a model. To make room, idle replicas of other models are unloaded, the longest idle first.
    /// False if that does not free enough memory.
    pub(super) fn queue_load(&mut self, name: &str) -> bool {
        let needed = self
            .functions
            .get(name)
            .map_or(self.settings.replica_mb, |function| function.replica_mb);
        while self.used_memory_mb() + needed > self.settings.memory_mb {
            let longest_idle = self
                .functions
                .iter_mut()
                .filter(|(other, function)| other.as_str() != name && function.has_idle_replica())
                .min_by_key(|(_, function)| function.idle_since);
            let Some((_, function)) = longest_idle else {
                return false;
            };
            function.ready -= 1;
        }
        if let Some(function) = self.functions.get_mut(name) {
            function.queued_loads += 1;
        }
        self.begin_loads();
        true
    }

    pub(super) fn used_memory_mb(&self) -> f64 {
        self.functions.values().map(FunctionState::memory_mb).sum()
    }

    /// Begins queued loads, up to the limit on concurrent loads.
    pub(super) fn begin_loads(&mut self) {
        let functions = self.functions.values();
        let mut active_loads: usize = functions.map(|function| function.loads.len()).sum();
        let end = self.now + self.settings.load;
        for (name, function) in &mut self.functions {
            while function.queued_loads > 0 && active_loads < self.settings.max_concurrent_loads {
                function.queued_loads -= 1;
                active_loads += 1;
                if self.has_store {
                    function.loads.push(Load::Fetching);
                    self.events.push(WorkerEvent::Fetch(name.clone()));
                } else {
                    function.loads.push(Load::Until(end));
                }
            }
        }
    }

    /// Finishes the load commands of a model whose requested replicas are ready.
    pub(super) fn finish_commands(&mut self, name: &str) {
        let Some(function) = self.functions.get_mut(name) else {
            return;
        };
        let ready = function.ready;
        for command in function.take_completed_commands() {
            self.finish_command(command.id, ready, Ok(()));
        }
    }

    fn finish_command(&mut self, id: u64, replicas: u32, result: Result<(), Rejection>) {
        self.events.push(WorkerEvent::CommandFinished {
            id,
            replicas,
            result,
        });
    }

    fn remove_unused(&mut self) {
        self.functions.retain(|_, function| !function.is_unused());
    }
}
