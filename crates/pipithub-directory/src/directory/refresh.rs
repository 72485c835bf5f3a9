//! Checks of cached users when they are due: the users are refreshed ahead of the daily peak, or removed.

use crate::directory::{Directory, MAX_USERS_PER_TICK};
use crate::jitter::stable_fraction;
use crate::record::{LookupRecord, LookupRecords};
use crate::refresh_wheel::WheelSecond;
use crate::state::Priority;
use crate::time::{Time, to_ms};

/// Users who were not looked up for a request for more days than this are not refreshed ahead of a peak.
const MAX_DAYS_WITHOUT_LOOKUP: u8 = 14;
/// The shortest time until the next check of a user, in milliseconds.
const MIN_CHECK_DELAY_MS: i64 = 1_000;
/// A check that a record requires within this time does not determine the next check of its user, as it would be too
/// soon.
const IMMINENT_EXPIRY_SECONDS: i64 = 2;
/// The time until the next check of a user if no record determines it.
const DEFAULT_CHECK_SECONDS: i64 = 60;

impl Directory {
    /// Checks the users that are due, at most [`MAX_USERS_PER_TICK`] of them.
    pub(super) fn check_due_users(&mut self, now: Time) {
        let second = WheelSecond::of_ms(to_ms(now));
        for _ in 0..MAX_USERS_PER_TICK {
            let Some(user) = self.wheel.pop_due(second) else {
                return;
            };
            self.check_user(now, &user);
        }
    }

    /// Removes a user without valid records. Another user is refreshed if that is due, and the next check is scheduled.
    fn check_user(&mut self, now: Time, user: &str) {
        let records = self.roster.users.get(user).map(LookupRecords::as_slice);
        let Some(records) = records.map(<[LookupRecord]>::to_vec) else {
            return;
        };
        if !records.iter().any(|record| self.is_valid(now, record)) {
            return self.remove_user(user);
        }
        if self.was_looked_up_recently(now, &records) {
            self.refresh_ahead_of_peak(now, user, &records);
        }
        let second = WheelSecond::of_ms(to_ms(now));
        let next_checks = records
            .iter()
            .map(|record| self.next_check_after_refresh(now, user, record));
        let next_check = next_checks
            .min()
            .unwrap_or(second.plus(DEFAULT_CHECK_SECONDS));
        self.wheel.schedule(next_check, user.into());
    }

    /// Whether a record has not expired. Records of followed directories count as valid here, whatever their age.
    fn is_valid(&self, now: Time, record: &LookupRecord) -> bool {
        let max_age = self.directories[record.directory_index()]
            .settings
            .lifetimes
            .max_age(record.result);
        self.is_followed(record) || record.age_ms(now) < to_ms(max_age)
    }

    fn is_followed(&self, record: &LookupRecord) -> bool {
        self.roster.directories[record.directory_index()]
            .synchronized_at_ms
            .is_some()
    }

    fn was_looked_up_recently(&self, now: Time, records: &[LookupRecord]) -> bool {
        let today = self.wall_clock.day(now);
        records
            .iter()
            .any(|record| today.wrapping_sub(record.last_lookup_day) <= MAX_DAYS_WITHOUT_LOOKUP)
    }

    /// Queues a user in those directories that have a daily peak and whose record is no longer fresh.
    fn refresh_ahead_of_peak(&mut self, now: Time, user: &str, records: &[LookupRecord]) {
        for record in records {
            let directory = record.directory_index();
            let settings = &self.directories[directory].settings;
            let needs_refresh = settings.daily_peak.is_some()
                && record.result.is_tenant()
                && record.age_ms(now) >= to_ms(settings.lifetimes.fresh)
                && !self.is_followed(record);
            if needs_refresh {
                self.enqueue(now, directory, user.into(), Priority::Background);
            }
        }
    }

    /// The second in which a record requires a check of its user: when the record is to be refreshed ahead of the peak, or
    /// when it expires.
    pub(super) fn next_check(&self, now: Time, user: &str, record: &LookupRecord) -> WheelSecond {
        let settings = &self.directories[record.directory_index()].settings;
        let max_age = settings.lifetimes.max_age(record.result);
        let expires_ms = record.confirmed_at_ms.saturating_add(to_ms(max_age));
        let refresh_ms = settings
            .daily_peak
            .filter(|_| record.result.is_tenant())
            .map(|peak| {
                let confirmed_wall_ms = self.wall_clock.to_wall_ms(record.confirmed_at_ms);
                let fraction = stable_fraction(user, self.seed);
                let refresh_wall_ms = peak.refresh_time(confirmed_wall_ms, fraction);
                self.wall_clock.to_caller_ms(refresh_wall_ms)
            });
        let due_ms = refresh_ms.map_or(expires_ms, |refresh_ms| refresh_ms.min(expires_ms));
        let soonest_ms = to_ms(now).saturating_add(MIN_CHECK_DELAY_MS);
        WheelSecond::after_ms(due_ms.max(soonest_ms))
    }

    /// The second of the next check that a record requires after its user was checked just now. The record is treated as
    /// refreshed now, so the next refresh is in the next window. The check that the record itself requires counts only if
    /// it comes first and is not imminent.
    fn next_check_after_refresh(
        &self,
        now: Time,
        user: &str,
        record: &LookupRecord,
    ) -> WheelSecond {
        let refreshed = LookupRecord {
            confirmed_at_ms: to_ms(now),
            ..*record
        };
        let expiry = self.next_check(now, user, record);
        let next_refresh = self.next_check(now, user, &refreshed);
        let second = WheelSecond::of_ms(to_ms(now));
        if expiry > second.plus(IMMINENT_EXPIRY_SECONDS) {
            expiry.min(next_refresh)
        } else {
            next_refresh
        }
    }
}
