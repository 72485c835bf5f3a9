//! Changes that a server without change numbers has reported once: nothing shows whether its copy is outdated, so it must
//! report them twice.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{LookupResult, User};
use crate::time::Time;

/// A change as it was first reported.
struct UnconfirmedChange {
    result: LookupResult,
    reported_at: Time,
}

/// When a user is to be searched for again.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Recheck {
    due: Time,
    user: User,
}

/// A change that a server reports now.
pub(crate) struct ObservedChange<'a> {
    pub(crate) user: &'a User,
    pub(crate) result: LookupResult,
    /// For how long the change is not confirmed.
    pub(crate) confirmation_delay: Time,
}

/// The changes of a directory that are not confirmed yet.
#[derive(Default)]
pub(crate) struct UnconfirmedChanges {
    changes: BTreeMap<User, UnconfirmedChange>,
    rechecks: BTreeSet<Recheck>,
}

impl UnconfirmedChanges {
    /// Whether a change is accepted: it is when it was reported the same before, long enough ago. One that is reported
    /// for the first time is rechecked later.
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
            // With no capacity to confirm it, a new result is preferred to an old one.
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

    /// A user is reported as known: whatever was reported otherwise was not confirmed.
    pub(crate) fn discard(&mut self, user: &User) {
        self.changes.remove(user);
    }

    /// Takes out a user who is to be searched for again.
    pub(crate) fn pop_due_recheck(&mut self, now: Time) -> Option<User> {
        if self.next_due()? > now {
            return None;
        }
        self.rechecks.pop_first().map(|recheck| recheck.user)
    }

    /// When the next user is to be searched for again.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.rechecks.first().map(|recheck| recheck.due)
    }
}

#[cfg(test)]
mod tests;
