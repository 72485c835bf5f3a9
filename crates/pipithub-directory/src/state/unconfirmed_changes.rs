//! Changes that servers without change numbers have reported once.
//!
//! Without change numbers an outdated copy cannot be detected. A change is therefore accepted only when it is reported a
//! second time, after a delay.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{LookupResult, User};
use crate::time::Time;

/// A change and when it was first reported.
struct UnconfirmedChange {
    result: LookupResult,
    reported_at: Time,
}

/// The time at which a user is to be searched for again.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Recheck {
    due: Time,
    user: User,
}

/// A change that a server has just reported.
pub(crate) struct ObservedChange<'a> {
    pub(crate) user: &'a User,
    pub(crate) result: LookupResult,
    /// How long after the first report a second one confirms the change.
    pub(crate) confirmation_delay: Time,
}

/// The changes of a directory that are not confirmed yet.
#[derive(Default)]
pub(crate) struct UnconfirmedChanges {
    changes: BTreeMap<User, UnconfirmedChange>,
    rechecks: BTreeSet<Recheck>,
}

impl UnconfirmedChanges {
    /// Whether a change is accepted, as the same change was reported before and the confirmation delay has passed. A
    /// change that is reported for the first time is stored, and its user is rechecked after the delay.
    pub(crate) fn accept(
        &mut self,
        now: Time,
        change: &ObservedChange<'_>,
        max_changes: usize,
    ) -> bool {
        let earlier = self
            .changes
            .get(change.user)
            .filter(|earlier| earlier.result == change.result);
        if let Some(earlier) = earlier {
            let confirmed_from = earlier
                .reported_at
                .saturating_add(change.confirmation_delay);
            if now < confirmed_from {
                return false;
            }
            self.discard(change.user);
            return true;
        }
        if self.changes.len() >= max_changes {
            // There is no capacity to store the change until it is confirmed, and a new result is preferred to an old
            // one.
            return true;
        }
        self.add(now, change);
        false
    }

    fn add(&mut self, now: Time, change: &ObservedChange<'_>) {
        let unconfirmed = UnconfirmedChange {
            result: change.result,
            reported_at: now,
        };
        self.changes.insert(change.user.clone(), unconfirmed);
        self.rechecks.insert(Recheck {
            due: now.saturating_add(change.confirmation_delay),
            user: change.user.clone(),
        });
    }

    /// Discards the unconfirmed change of a user, because the cached result was reported again or the change was
    /// accepted.
    pub(crate) fn discard(&mut self, user: &User) {
        self.changes.remove(user);
    }

    /// Removes and returns a user whose recheck is due; `None` if there is none.
    pub(crate) fn pop_due_recheck(&mut self, now: Time) -> Option<User> {
        if self.next_due()? > now {
            return None;
        }
        self.rechecks.pop_first().map(|recheck| recheck.user)
    }

    /// When the next recheck is due; `None` if there is none.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.rechecks.first().map(|recheck| recheck.due)
    }
}

#[cfg(test)]
mod tests;
