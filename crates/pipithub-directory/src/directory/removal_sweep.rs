//! After a full refresh of a followed directory: users that were not part of it have no entry any more. They are looked
//! for some at a time; readers see their old records until then.

use compact_str::CompactString;

use crate::directory::{Directory, MAX_USERS_PER_TURN};
use crate::messages::Output;
use crate::persistent_map::PersistentMap;
use crate::record::{LookupRecord, LookupRecords, User};
use crate::roster::Roster;
use crate::time::Time;

/// A sweep that is not done yet.
pub(super) struct RemovalSweep {
    pub(super) directory: usize,
    refresh_started_ms: i64,
    /// All users, as long as they are not searched for those to remove.
    unsearched: Option<PersistentMap<CompactString, LookupRecords>>,
    to_remove: Vec<User>,
}

impl RemovalSweep {
    /// The sweep after a refresh that started then; the map is shared, not copied.
    pub(super) fn new(directory: usize, refresh_started_ms: i64, roster: &Roster) -> Self {
        RemovalSweep {
            directory,
            refresh_started_ms,
            unsearched: Some(roster.users.clone()),
            to_remove: Vec::new(),
        }
    }

    /// Whether a record was not part of the refresh.
    fn is_older(&self, record: &LookupRecord) -> bool {
        record.confirmed_at_ms < self.refresh_started_ms
    }

    /// Finds the users to remove, once.
    fn find_users(&mut self) {
        let Some(all) = self.unsearched.take() else {
            return;
        };
        self.to_remove = all
            .iter()
            .filter(|(_, records)| {
                records
                    .of_directory(self.directory)
                    .is_some_and(|record| self.is_older(record) && record.result.is_tenant())
            })
            .map(|(user, _)| user.as_str().into())
            .collect();
    }

    /// Takes out the users of one turn.
    fn take_users(&mut self) -> Vec<User> {
        let rest = self.to_remove.len().saturating_sub(MAX_USERS_PER_TURN);
        self.to_remove.split_off(rest)
    }
}

impl Directory {
    /// Goes on with the latest sweep.
    pub(super) fn continue_sweep(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Some(mut sweep) = self.sweeps.pop() else {
            return;
        };
        sweep.find_users();
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
