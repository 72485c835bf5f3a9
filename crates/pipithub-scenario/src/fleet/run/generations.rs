//! Records which run used which generation, from the datagrams on the links.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pipithub_clock::wall_ns;
use pipithub_conformance::fleet::{GenerationUse, Time};
use pipithub_membership::sender_identity;

/// Collects the uses of generations. Clones share what they collect.
#[derive(Clone)]
pub(super) struct GenerationObserver {
    cluster_name: &'static str,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// The current run of each slot; `None` before its first run.
    current_runs: Vec<Option<usize>>,
    /// The run that each boot id was first seen from.
    run_of_boot: BTreeMap<u64, usize>,
    first_seen: BTreeMap<RunGeneration, Time>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunGeneration {
    run: usize,
    generation: u64,
}

impl GenerationObserver {
    /// An observer of this many slots.
    pub(super) fn new(cluster_name: &'static str, slots: usize) -> Self {
        let state = State {
            current_runs: vec![None; slots],
            ..State::default()
        };
        GenerationObserver {
            cluster_name,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records that a slot has a new run.
    pub(super) fn set_run(&self, slot: usize, run: usize) {
        self.lock().current_runs[slot] = Some(run);
    }

    /// Reads the identity of the sender from a datagram that was sent by a slot.
    pub(super) fn observe(&self, slot: usize, datagram: &[u8]) {
        let Some(sender) = sender_identity(datagram, self.cluster_name) else {
            return;
        };
        let mut state = self.lock();
        // A datagram that waited in a buffer belongs to the run that chose its boot id, not to the current run of the slot.
        let known = state.run_of_boot.get(&sender.boot_id).copied();
        let Some(run) = known.or(state.current_runs[slot]) else {
            return;
        };
        state.run_of_boot.insert(sender.boot_id, run);
        let generation = sender.generation;
        state
            .first_seen
            .entry(RunGeneration { run, generation })
            .or_insert_with(wall_ns);
    }

    /// Takes the uses of generations recorded so far.
    pub(super) fn take(&self) -> Vec<GenerationUse> {
        std::mem::take(&mut self.lock().first_seen)
            .into_iter()
            .map(|(used, first_seen)| GenerationUse {
                run: used.run,
                generation: used.generation,
                first_seen,
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
