//! Handles the events of directories that are followed by content synchronization (RFC 4533).

use crate::directory::Directory;
use crate::directory::records::Observation;
use crate::directory::removal_sweep::RemovalSweep;
use crate::messages::{Output, SyncEvent};
use crate::record::{LookupRecord, LookupResult, PersonId, User};
use crate::search::DirectoryEntry;
use crate::state::RefreshStage;
use crate::time::{Time, to_ms};

impl Directory {
    /// Applies an event of a followed directory.
    pub(super) fn synchronize(
        &mut self,
        now: Time,
        directory: usize,
        event: SyncEvent,
        outputs: &mut Vec<Output>,
    ) {
        match event {
            SyncEvent::RefreshStarted { full } => {
                self.directories[directory].sync.refresh = Some(RefreshStage {
                    started_at_ms: to_ms(now),
                    is_full: full,
                });
            }
            SyncEvent::Entry(entry) => self.apply_entry(now, directory, &entry, outputs),
            SyncEvent::Deleted(person) => {
                if let Some(user) = self.followed_user(directory, person) {
                    self.report_absent(now, directory, &user, outputs);
                }
            }
            SyncEvent::Unchanged(person) => self.confirm_entry(now, directory, person),
            SyncEvent::RefreshDone => self.finish_refresh(now, directory),
            SyncEvent::Heartbeat => {
                let status = &self.roster.directories[directory];
                if status.synchronized_at_ms.is_some() {
                    self.confirm_directory(now, directory);
                }
            }
            SyncEvent::ConnectionLost => {
                // The records stay confirmed as of the last heartbeat, and age from then on.
                self.directories[directory].sync.refresh = None;
            }
        }
    }

    /// Caches the record of an existing entry. If the user is not cached yet and the cache is full, the entry is ignored.
    fn apply_entry(
        &mut self,
        now: Time,
        directory: usize,
        entry: &DirectoryEntry,
        outputs: &mut Vec<Output>,
    ) {
        let result = self.find_tenant(directory, &entry.dn);
        let earlier_name = self
            .followed_user(directory, entry.person)
            .filter(|user| *user != entry.user);
        if let Some(renamed) = earlier_name {
            self.report_absent(now, directory, &renamed, outputs);
        }
        let is_cached = self.roster.users.contains_key(&*entry.user);
        if result == LookupResult::Absent {
            if is_cached {
                self.report_absent(now, directory, &entry.user, outputs);
            }
            return;
        }
        if !is_cached && self.roster.len() >= self.max_users {
            return;
        }
        if entry.person != PersonId::default() {
            let users = &mut self.directories[directory].sync.users;
            users.insert(entry.person, entry.user.clone());
        }
        self.report(now, directory, &entry.user, result, entry.person, outputs);
    }

    /// The user whose entry belongs to a person; `None` if no such user is cached.
    fn followed_user(&self, directory: usize, person: PersonId) -> Option<User> {
        self.directories[directory].sync.users.get(&person).cloned()
    }

    /// Records that a user has no entry any more.
    pub(super) fn report_absent(
        &mut self,
        now: Time,
        directory: usize,
        user: &User,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(record) = self.roster.record(user, directory) {
            let users = &mut self.directories[directory].sync.users;
            users.remove(&record.person);
        }
        let (result, person) = (LookupResult::Absent, PersonId::default());
        self.report(now, directory, user, result, person, outputs);
    }

    /// Records the present result of a followed directory for a user. The events of a followed directory come in order,
    /// so a change needs no confirmation: the observation carries the change number of the cached record, and is therefore
    /// accepted at once.
    fn report(
        &mut self,
        now: Time,
        directory: usize,
        user: &User,
        result: LookupResult,
        person: PersonId,
        outputs: &mut Vec<Output>,
    ) {
        let cached = self.roster.record(user, directory);
        let change_number = cached.map_or(0, |record| record.change_number);
        let observation = Observation {
            directory,
            user,
            result,
            person,
            confirmed_at_ms: to_ms(now),
            change_number: Some(change_number),
        };
        self.observe(now, &observation, outputs);
    }

    /// Confirms the record of an entry that has not changed.
    fn confirm_entry(&mut self, now: Time, directory: usize, person: PersonId) {
        let Some(user) = self.followed_user(directory, person) else {
            return;
        };
        if let Some(record) = self.roster.record(&user, directory).copied() {
            let confirmed = LookupRecord {
                confirmed_at_ms: to_ms(now),
                ..record
            };
            self.store(now, &user, confirmed);
        }
    }

    /// Ends a refresh stage. Users that a full stage did not report have no entry any more, and a sweep removes them.
    fn finish_refresh(&mut self, now: Time, directory: usize) {
        let refresh = self.directories[directory].sync.refresh.take();
        if let Some(full) = refresh.filter(|refresh| refresh.is_full) {
            // A new sweep replaces an unfinished one of the same directory, as it covers the same users.
            self.sweeps.retain(|sweep| sweep.directory != directory);
            let sweep = RemovalSweep::new(directory, full.started_at_ms, &self.roster);
            self.sweeps.push(sweep);
        }
        self.confirm_directory(now, directory);
    }

    /// Confirms all records of a followed directory as of now.
    fn confirm_directory(&mut self, now: Time, directory: usize) {
        self.roster.update_directory(directory, |status| {
            status.synchronized_at_ms = Some(to_ms(now));
        });
    }
}
