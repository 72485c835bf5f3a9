//! Non-idempotent calls that may have run, remembered so that they are not run again.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// The maximum number of remembered calls; each takes about 100 bytes.
const MAX_EXECUTED_CALLS: usize = 32_768;

/// Names of calls that may have run; the oldest are forgotten first.
///
/// They are forgotten for lack of room alone: however much later a name comes again, running its call would repeat its effect.
#[derive(Debug, Default)]
pub(crate) struct ExecutedCalls {
    names: HashSet<Arc<str>>,
    by_age: VecDeque<Arc<str>>,
}

impl ExecutedCalls {
    /// Remembers that the call of this name may have run.
    pub(crate) fn record(&mut self, name: &str) {
        if self.names.contains(name) {
            return;
        }
        if self.by_age.len() >= MAX_EXECUTED_CALLS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.names.remove(&oldest);
        }
        let name: Arc<str> = name.into();
        self.names.insert(name.clone());
        self.by_age.push_back(name);
    }

    /// Whether a call of this name is remembered as one that may have run.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
