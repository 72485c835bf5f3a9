//! The names of functions, for load and evict commands.
//!
//! The decision module knows a function only by its id, but commands to workers need its name.

use std::collections::BTreeMap;
use std::sync::Arc;

use pipithub_policy::api::{FunctionId, Time};

#[derive(Debug)]
struct KnownFunction {
    name: Arc<str>,
    last_called: Time,
}

/// The names of the functions that were called most recently, bounded in number.
#[derive(Debug)]
pub(crate) struct FunctionNames {
    max: usize,
    functions: BTreeMap<FunctionId, KnownFunction>,
}

impl FunctionNames {
    pub(crate) fn new(max: usize) -> Self {
        FunctionNames {
            max,
            functions: BTreeMap::new(),
        }
    }

    pub(crate) fn get(&self, function: FunctionId) -> Option<&Arc<str>> {
        self.functions.get(&function).map(|known| &known.name)
    }

    /// Records that a function was called.
    pub(crate) fn record_call(&mut self, now: Time, function: FunctionId, name: &Arc<str>) {
        if let Some(known) = self.functions.get_mut(&function) {
            known.last_called = now;
            return;
        }
        if self.functions.len() >= self.max {
            self.evict_older_half();
        }
        let known = KnownFunction {
            name: name.clone(),
            last_called: now,
        };
        self.functions.insert(function, known);
    }

    /// Evicts the half of the functions that were called least recently. Evicting half of them at a time keeps the cost
    /// of a call low when most functions are called only once.
    fn evict_older_half(&mut self) {
        let mut times: Vec<Time> = self
            .functions
            .values()
            .map(|known| known.last_called)
            .collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.functions.retain(|_, known| known.last_called > median);
    }
}
