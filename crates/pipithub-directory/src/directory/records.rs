//! Decides which observations replace a cached record, and which users are cached.

use pipithub_ldap::Dn;

use crate::directory::Directory;
use crate::messages::Output;
use crate::record::{LookupRecord, LookupRecords, LookupResult, PersonId, User};
use crate::state::ObservedChange;
use crate::time::{Time, to_ms};

/// What a directory reports about a user.
pub(super) struct Observation<'a> {
    pub(super) directory: usize,
    pub(super) user: &'a User,
    pub(super) result: LookupResult,
    pub(super) person: PersonId,
    /// When the result is known to have been true, in milliseconds on the caller's clock.
    pub(super) confirmed_at_ms: i64,
    /// The change number of the server's copy; `None` if the server reports none. A lagging copy cannot be detected then.
    pub(super) change_number: Option<u64>,
}

impl Observation<'_> {
    /// Whether the result or the person differs from that of a record.
    fn differs_from(&self, record: &LookupRecord) -> bool {
        record.result != self.result || record.person != self.person
    }
}

impl Directory {
    /// The tenant of an entry. An entry that belongs to no tenant is counted as unexpected.
    pub(super) fn find_tenant(&mut self, directory: usize, dn: &Dn) -> LookupResult {
        let result = self.tenants.find(directory, dn);
        if !result.is_tenant() {
            self.stats.unexpected_entries += 1;
        }
        result
    }

    /// Caches an observation if it supersedes the cached record of the same directory, and reports a change of the user's
    /// identity.
    pub(super) fn observe(
        &mut self,
        now: Time,
        observation: &Observation<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let user = observation.user;
        let refresh_jitter = (self.jitter.next_fraction() * 256.0) as u8;
        let cached = self.roster.record(user, observation.directory).copied();
        if cached.is_some_and(|cached| !self.supersedes(now, observation, &cached)) {
            return;
        }
        let last_lookup_day =
            cached.map_or_else(|| self.wall_clock.day(now), |cached| cached.last_lookup_day);
        let record = LookupRecord {
            directory: observation.directory as u16,
            result: observation.result,
            person: observation.person,
            confirmed_at_ms: observation.confirmed_at_ms,
            change_number: observation.change_number.unwrap_or(0),
            refresh_jitter,
            last_lookup_day,
        };
        let before = self.roster.resolve(user, now).identity();
        self.store(now, user, record);
        let after = self.roster.resolve(user, now).identity();
        if before.is_some() && before != after {
            self.stats.migrated_users += 1;
            outputs.push(Output::UserMigrated(user.clone()));
        }
    }

    /// Whether an observation replaces the cached record of the same directory.
    fn supersedes(
        &mut self,
        now: Time,
        observation: &Observation<'_>,
        cached: &LookupRecord,
    ) -> bool {
        let change_number = observation.change_number.unwrap_or(0);
        if change_number < cached.change_number
            || observation.confirmed_at_ms < cached.confirmed_at_ms
        {
            // The server's copy lags behind the one that the record came from, or a later response arrived first.
            self.stats.outdated_results += 1;
            return false;
        }
        let state = &mut self.directories[observation.directory];
        if !observation.differs_from(cached) {
            state.unconfirmed.discard(observation.user);
            return true;
        }
        let max_age_ms = to_ms(state.settings.lifetimes.max_stale);
        let is_valid_tenant = cached.result.is_tenant() && cached.age_ms(now) < max_age_ms;
        if !is_valid_tenant || observation.change_number.is_some() {
            return true;
        }
        let change = ObservedChange {
            user: observation.user,
            result: observation.result,
            confirmation_delay: state.settings.change_confirmation_delay,
        };
        state.unconfirmed.accept(now, &change, self.max_queue)
    }

    /// Caches a record. If the cache is full, a new user replaces another one.
    pub(super) fn store(&mut self, now: Time, user: &User, record: LookupRecord) {
        let records = if let Some(records) = self.roster.users.get(&**user) {
            records.with(record)
        } else {
            while self.roster.len() >= self.max_users && self.evict_user() {}
            let next_check = self.next_check(now, user, &record);
            self.wheel.schedule(next_check, (&**user).into());
            LookupRecords::One(record)
        };
        self.roster.users.insert((&**user).into(), records);
    }

    /// Removes the user who would be checked next, who usually has the oldest records or records that name no tenant.
    /// Returns whether there was such a user.
    fn evict_user(&mut self) -> bool {
        let Some(user) = self.wheel.pop_first() else {
            return false;
        };
        self.remove_user(&user);
        true
    }

    /// Removes all records of a user from the cache.
    pub(super) fn remove_user(&mut self, user: &str) {
        let Some(records) = self.roster.users.remove(user) else {
            return;
        };
        for record in records.as_slice() {
            let state = &mut self.directories[record.directory_index()];
            state.sync.users.remove(&record.person);
        }
    }
}
