//! Non-idempotent calls that may have run, remembered so that they are not run again.

use std::collections::{HashSet, VecDeque};

use pipithub_engine::Time;

/// The maximum number of remembered calls: as many as a front end can serve in some seconds.
const MAX_EXECUTED_CALLS: usize = 4096;

/// A remembered call, and the time after which it may be forgotten.
#[derive(Debug)]
struct ExecutedCall {
    expires_at: Time,
    name: String,
}

/// Names of calls that may have run; the oldest are forgotten first.
#[derive(Debug, Default)]
pub(crate) struct ExecutedCalls {
    names: HashSet<String>,
    by_age: VecDeque<ExecutedCall>,
}

impl ExecutedCalls {
    /// Remembers until `expires_at` that the call of this name may have run.
    pub(crate) fn record(&mut self, expires_at: Time, name: &str) {
        if self.by_age.len() >= MAX_EXECUTED_CALLS {
            self.forget_oldest();
        }
        if self.names.insert(name.to_string()) {
            let name = name.to_string();
            self.by_age.push_back(ExecutedCall { expires_at, name });
        }
    }

    /// Whether a call of this name is remembered as one that may have run.
    pub(crate) fn contains(&mut self, now: Time, name: &str) -> bool {
        while self
            .by_age
            .front()
            .is_some_and(|oldest| oldest.expires_at < now)
        {
            self.forget_oldest();
        }
        self.names.contains(name)
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.names.remove(&oldest.name);
        }
    }
}
