//! A persistent map of users: cloning shares everything, a change copies what it touches.
//!
//! `imbl`'s hash trie was used first. With a million users it took 301 bytes an entry and 698 ns a look-up: its nodes have
//! room for many more entries than they hold. Here the users are dealt out over a fixed number of tables, listed on two
//! levels; a change copies one small table, and each of the two lists once for each version that was shared. With one
//! list of 4,096 larger tables a refresh of everybody took 32 s, nearly all of it copying. See `docs/measurements.md`.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::Arc;

/// Lists of tables, and tables in a list. At a million users each holds some sixteen.
const LISTS: usize = 256;
const TABLES: usize = 256;

type Table<K, V> = HashMap<K, V, RandomState>;
type TableList<K, V> = Arc<[Arc<Table<K, V>>]>;

/// The map.
#[derive(Clone, Debug)]
pub(crate) struct PersistentMap<K, V> {
    lists: Arc<[TableList<K, V>]>,
    len: usize,
    /// Keyed by chance: nobody can choose names that all fall into one table.
    hasher: RandomState,
}

impl<K: Clone + Eq + Hash, V: Clone> PersistentMap<K, V> {
    pub(crate) fn new() -> Self {
        let hasher = RandomState::new();
        let empty = Arc::new(Table::with_hasher(hasher.clone()));
        let list: TableList<K, V> = (0..TABLES).map(|_| empty.clone()).collect();
        PersistentMap {
            lists: (0..LISTS).map(|_| list.clone()).collect(),
            len: 0,
            hasher,
        }
    }

    fn place<Q: Hash + ?Sized>(&self, key: &Q) -> (usize, usize) {
        // The tables themselves use the same hash: its highest and lowest bits sort within a table, these choose it.
        let hash = self.hasher.hash_one(key) >> 24;
        (hash as usize % LISTS, (hash >> 8) as usize % TABLES)
    }

    fn table_mut(&mut self, (list, table): (usize, usize)) -> &mut Table<K, V> {
        let list = &mut Arc::make_mut(&mut self.lists)[list];
        Arc::make_mut(&mut Arc::make_mut(list)[table])
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let (list, table) = self.place(key);
        self.lists[list][table].get(key)
    }

    pub(crate) fn contains_key<Q>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.get(key).is_some()
    }

    pub(crate) fn insert(&mut self, key: K, value: V) {
        let place = self.place(&key);
        if self.table_mut(place).insert(key, value).is_none() {
            self.len += 1;
        }
    }

    pub(crate) fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        if !self.contains_key(key) {
            return None;
        }
        let place = self.place(key);
        let removed = self.table_mut(place).remove(key);
        self.len -= usize::from(removed.is_some());
        removed
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.lists
            .iter()
            .flat_map(|list| list.iter())
            .flat_map(|table| table.iter())
    }
}

#[cfg(test)]
mod tests;
