//! A map of workers that counts, by [`pipithub_policy::work`], each worker that is looked at.

use std::collections::btree_map::{BTreeMap, Entry};
use std::ops::Index;

use pipithub_policy::api::Worker;
use pipithub_policy::work::looked;

/// A map with the methods that the reference uses; each worker yielded or looked up counts as one.
#[derive(Debug)]
pub(crate) struct Counted<V>(BTreeMap<Worker, V>);

impl<V> Default for Counted<V> {
    fn default() -> Self {
        Counted(BTreeMap::new())
    }
}

impl<V> Counted<V> {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Worker, &V)> {
        self.0.iter().inspect(|_| looked(1))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&Worker, &mut V)> {
        self.0.iter_mut().inspect(|_| looked(1))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> {
        self.0.values().inspect(|_| looked(1))
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.0.values_mut().inspect(|_| looked(1))
    }

    pub(crate) fn get_mut(&mut self, worker: &Worker) -> Option<&mut V> {
        looked(1);
        self.0.get_mut(worker)
    }

    pub(crate) fn entry(&mut self, worker: Worker) -> Entry<'_, Worker, V> {
        looked(1);
        self.0.entry(worker)
    }

    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&Worker, &mut V) -> bool) {
        self.0.retain(|worker, node| {
            looked(1);
            keep(worker, node)
        });
    }
}

impl<V> Index<&Worker> for Counted<V> {
    type Output = V;

    fn index(&self, worker: &Worker) -> &V {
        looked(1);
        &self.0[worker]
    }
}
