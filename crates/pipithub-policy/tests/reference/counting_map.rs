//! A map of workers that counts each access to a worker with [`pipithub_policy::work`].

use std::collections::btree_map::{BTreeMap, Entry};
use std::ops::Index;

use pipithub_policy::api::WorkerId;
use pipithub_policy::work::record_examined;

/// A map with the methods that the reference uses. Each worker that is yielded or looked up counts
/// as one.
#[derive(Debug)]
pub(crate) struct CountingMap<V>(BTreeMap<WorkerId, V>);

impl<V> Default for CountingMap<V> {
    fn default() -> Self {
        CountingMap(BTreeMap::new())
    }
}

impl<V> CountingMap<V> {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &V)> {
        self.0.iter().inspect(|_| record_examined(1))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut V)> {
        self.0.iter_mut().inspect(|_| record_examined(1))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> {
        self.0.values().inspect(|_| record_examined(1))
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.0.values_mut().inspect(|_| record_examined(1))
    }

    pub(crate) fn get(&self, worker: &WorkerId) -> Option<&V> {
        record_examined(1);
        self.0.get(worker)
    }

    pub(crate) fn get_mut(&mut self, worker: &WorkerId) -> Option<&mut V> {
        record_examined(1);
        self.0.get_mut(worker)
    }

    pub(crate) fn entry(&mut self, worker: WorkerId) -> Entry<'_, WorkerId, V> {
        record_examined(1);
        self.0.entry(worker)
    }

    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&WorkerId, &mut V) -> bool) {
        self.0.retain(|worker, state| {
            record_examined(1);
            keep(worker, state)
        });
    }
}

impl<V> Index<&WorkerId> for CountingMap<V> {
    type Output = V;

    fn index(&self, worker: &WorkerId) -> &V {
        record_examined(1);
        &self.0[worker]
    }
}
