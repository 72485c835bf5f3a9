//! Look-ups of users: which queue each user is added to, and when a look-up is reported as finished.

use crate::directory::Directory;
use crate::messages::Output;
use crate::record::{LookupRecord, User};
use crate::roster::Resolution;
use crate::state::{Enqueued, Priority};
use crate::time::Time;

/// The maximum length of a user's name in bytes; users with longer names are not looked up.
const MAX_NAME_LENGTH: usize = 256;

impl Directory {
    /// Looks a user up in all directories that may contain the user.
    pub(super) fn look_up(
        &mut self,
        now: Time,
        user: User,
        urgent: bool,
        outputs: &mut Vec<Output>,
    ) {
        let relevant = self.roster.directories_for(&user).to_vec();
        if relevant.is_empty() || user.is_empty() || user.len() > MAX_NAME_LENGTH {
            return outputs.push(Output::LookupFinished(user));
        }
        self.record_lookup_day(now, &user);
        let priority = if !urgent {
            Priority::Background
        } else if self.roster.resolve(&user, now) == Resolution::Unknown {
            Priority::Unknown
        } else {
            Priority::Confirmation
        };
        let mut is_pending = false;
        for directory in relevant {
            is_pending |= self.enqueue(now, usize::from(directory), user.clone(), priority);
        }
        if !is_pending {
            // All queues are full, so there will be no result for which a request could wait.
            outputs.push(Output::LookupFinished(user));
        }
    }

    /// Records in one of the user's records that the user was looked up today.
    fn record_lookup_day(&mut self, now: Time, user: &User) {
        let today = self.wall_clock.day(now);
        let Some(records) = self.roster.users.get(&**user) else {
            return;
        };
        let first = records.as_slice().first().copied();
        let Some(record) = first.filter(|record| record.last_lookup_day != today) else {
            return;
        };
        let updated = records.with(LookupRecord {
            last_lookup_day: today,
            ..record
        });
        self.roster.users.insert((&**user).into(), updated);
    }

    /// Queues a user for a search in a directory. Returns whether the user is pending there now, which is false if the
    /// queue is full.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        directory: usize,
        user: User,
        priority: Priority,
    ) -> bool {
        let state = &mut self.directories[directory];
        let background_due = now.saturating_add(state.settings.background_delay());
        let enqueued = state
            .queues
            .enqueue(user, priority, self.max_queue, background_due);
        if enqueued == Enqueued::QueueFull {
            self.stats.dropped_lookups += 1;
        }
        enqueued != Enqueued::QueueFull
    }

    /// Reports that a user's look-up has finished, unless the user is still pending in another directory, whose result
    /// may decide.
    pub(super) fn finish_lookup(&self, user: User, outputs: &mut Vec<Output>) {
        let is_pending = self
            .roster
            .directories_for(&user)
            .iter()
            .any(|directory| self.is_pending(usize::from(*directory), &user));
        if !is_pending {
            outputs.push(Output::LookupFinished(user));
        }
    }

    fn is_pending(&self, directory: usize, user: &User) -> bool {
        self.directories[directory].queues.is_pending(user)
    }

    /// Calls [`Directory::finish_lookup`] for several users.
    pub(super) fn finish_lookups(&self, users: Vec<User>, outputs: &mut Vec<Output>) {
        for user in users {
            self.finish_lookup(user, outputs);
        }
    }
}
