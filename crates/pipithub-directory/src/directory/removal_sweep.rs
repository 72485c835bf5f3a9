//! Removes users that were not part of a full refresh of a followed directory, as they have no entry any more.
//!
//! A sweep removes a limited number of users in each tick. Until then, a user keeps the old record.

use compact_str::CompactString;

use crate::directory::{Directory, MAX_USERS_PER_TICK};
use crate::messages::Output;
use crate::persistent_map::PersistentMap;
use crate::record::{LookupRecord, LookupRecords, User};
use crate::roster::Roster;
use crate::time::Time;

/// An incomplete sweep, which removes the missing users of one directory.
pub(super) struct RemovalSweep {
    pub(super) directory: usize,
    /// When the refresh started, in milliseconds on the caller's clock.
    refresh_started_ms: i64,
    /// All cached users as of the end of the refresh; `None` once the users to remove were selected from them.
    candidates: Option<PersistentMap<CompactString, LookupRecords>>,
    /// The selected users that were not removed yet.
    to_remove: Vec<User>,
}

impl RemovalSweep {
    /// Creates the sweep after a refresh that started at `refresh_started_ms`. The roster's map is shared, not copied.
    pub(super) fn new(directory: usize, refresh_started_ms: i64, roster: &Roster) -> Self {
        RemovalSweep {
            directory,
            refresh_started_ms,
            candidates: Some(roster.users.clone()),
            to_remove: Vec::new(),
        }
    }

    /// Whether a record was last confirmed before the refresh.
    fn is_older(&self, record: &LookupRecord) -> bool {
        record.confirmed_at_ms < self.refresh_started_ms
    }

    /// Selects the users to remove, at the first call.
    fn select_users(&mut self) {
        let Some(candidates) = self.candidates.take() else {
            return;
        };
        self.to_remove = candidates
            .iter()
            .filter(|(_, records)| {
                records
                    .of_directory(self.directory)
                    .is_some_and(|record| self.is_older(record) && record.result.is_tenant())
            })
            .map(|(user, _)| user.as_str().into())
            .collect();
    }

    /// Takes the users to remove in one tick.
    fn take_users(&mut self) -> Vec<User> {
        let rest = self.to_remove.len().saturating_sub(MAX_USERS_PER_TICK);
        self.to_remove.split_off(rest)
    }
}

impl Directory {
    /// Continues the latest sweep, for one tick.
    pub(super) fn continue_sweep(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Some(mut sweep) = self.sweeps.pop() else {
            return;
        };
        sweep.select_users();
        for user in sweep.take_users() {
            let record = self.roster.record(&user, sweep.directory);
            if record.is_some_and(|record| sweep.is_older(record)) {
                self.report_absent(now, sweep.directory, &user, outputs);
            }
        }
        if !sweep.to_remove.is_empty() {
            self.sweeps.push(sweep);
        }
    }
}
