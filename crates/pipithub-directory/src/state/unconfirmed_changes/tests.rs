//! When a change is accepted that nothing but a second report confirms.

use super::{ObservedChange, UnconfirmedChanges};
use crate::record::{LookupResult, TenantId, User};

const DELAY: u64 = 100;
const MAX_CHANGES: usize = 2;

/// Whether a change is accepted now.
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
fn a_change_is_accepted_when_it_is_reported_again_after_the_delay() {
    let mut changes = UnconfirmedChanges::default();
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    assert_eq!(changes.next_due(), Some(DELAY));
    assert!(!report(&mut changes, 99, "mai", LookupResult::Absent));
    assert!(changes.pop_due_recheck(99).is_none());
    assert_eq!(changes.pop_due_recheck(DELAY), Some("mai".into()));
    assert!(report(&mut changes, DELAY, "mai", LookupResult::Absent));
    assert!(
        !report(&mut changes, DELAY, "mai", LookupResult::Absent),
        "the next change is a new one"
    );
}

#[test]
fn another_change_must_be_confirmed_anew() {
    let mut changes = UnconfirmedChanges::default();
    let moved = LookupResult::Tenant(TenantId(1));
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    assert!(!report(&mut changes, DELAY, "mai", moved));
    assert!(!report(&mut changes, 2 * DELAY - 1, "mai", moved));
    assert!(report(&mut changes, 2 * DELAY, "mai", moved));
}

#[test]
fn a_change_that_is_taken_back_is_not_confirmed_later() {
    let mut changes = UnconfirmedChanges::default();
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    changes.discard(&"mai".into());
    assert!(!report(&mut changes, DELAY, "mai", LookupResult::Absent));
}

#[test]
fn without_capacity_a_change_is_accepted_at_once() {
    let mut changes = UnconfirmedChanges::default();
    assert!(!report(&mut changes, 0, "mai", LookupResult::Absent));
    assert!(!report(&mut changes, 0, "lan", LookupResult::Absent));
    assert!(report(&mut changes, 0, "third", LookupResult::Absent));
}
