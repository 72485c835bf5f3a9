//! Tests of when a change from a server without change numbers is accepted.

use super::{ObservedChange, UnconfirmedChanges};
use crate::record::{LookupResult, TenantId, User};

const DELAY: u64 = 100;
const MAX_CHANGES: usize = 2;

/// Reports a change, and returns whether it is accepted.
fn report(changes: &mut UnconfirmedChanges, now: u64, user: &str, result: LookupResult) -> bool {
    let user: User = user.into();
    let change = ObservedChange {
        user: &user,
        result,
        confirmation_delay: DELAY,
    };
    changes.accept(now, &change, MAX_CHANGES)
}

#[test]
fn change_is_accepted_when_reported_again_after_the_delay() {
    let mut changes = UnconfirmedChanges::default();
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    assert_eq!(changes.next_due(), Some(DELAY));
    assert!(!report(&mut changes, 99, "mai", LookupResult::Absent));
    assert!(changes.pop_due_recheck(99).is_none());
    assert_eq!(changes.pop_due_recheck(DELAY), Some("mai".into()));
    assert!(report(&mut changes, DELAY, "mai", LookupResult::Absent));
    assert!(
        !report(&mut changes, DELAY, "mai", LookupResult::Absent),
        "an accepted change does not confirm the next one"
    );
}

#[test]
fn different_change_restarts_the_confirmation() {
    let mut changes = UnconfirmedChanges::default();
    let migrated = LookupResult::Tenant(TenantId(1));
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    assert!(!report(&mut changes, DELAY, "mai", migrated));
    assert!(!report(&mut changes, 2 * DELAY - 1, "mai", migrated));
    assert!(report(&mut changes, 2 * DELAY, "mai", migrated));
}

#[test]
fn discarded_change_does_not_count_as_a_first_report() {
    let mut changes = UnconfirmedChanges::default();
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    changes.discard(&"mai".into());
    assert!(!report(&mut changes, DELAY, "mai", LookupResult::Absent));
}

#[test]
fn change_is_accepted_at_once_without_capacity_to_confirm_it() {
    let mut changes = UnconfirmedChanges::default();
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    assert!(!report(&mut changes, 0, "lan", LookupResult::Absent));
    assert!(report(&mut changes, 0, "third", LookupResult::Absent));
}
