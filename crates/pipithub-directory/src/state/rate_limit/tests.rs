//! Tests of how tokens and hedges are refilled.

use super::{HedgeBudget, TokenBucket};
use crate::time::{MILLISECOND, SECOND};

#[test]
fn tokens_refill_at_the_rate_up_to_the_burst() {
    // The capacity is the tokens of a quarter of a second: two.
    let mut bucket = TokenBucket::new(8.0);
    bucket.take();
    assert!(bucket.has_token());
    bucket.take();
    assert!(!bucket.has_token());
    let next = SECOND / 8 + MILLISECOND;
    assert_eq!(bucket.next_token_at(), Some(next));
    bucket.refill(next);
    assert!(bucket.has_token());
    assert_eq!(bucket.next_token_at(), None);
    bucket.refill(3_600 * SECOND);
    bucket.take();
    bucket.take();
    assert!(!bucket.has_token(), "the burst is the maximum");
}

#[test]
fn bucket_with_a_rate_below_one_starts_with_one_token() {
    let mut bucket = TokenBucket::new(0.5);
    assert!(bucket.has_token());
    bucket.take();
    assert_eq!(bucket.next_token_at(), Some(2 * SECOND + MILLISECOND));
}

#[test]
fn one_hedge_is_allowed_for_ten_searches() {
    let mut budget = HedgeBudget::default();
    budget.take_hedge();
    assert!(!budget.allows_hedge());
    let searches = (1..100)
        .find(|_| {
            budget.add_search();
            budget.allows_hedge()
        })
        .expect("a hedge is allowed again within 100 searches");
    // Ten additions of 0.1 may fall short of 1 by a rounding error.
    assert!((10..=11).contains(&searches), "{searches} searches");
}
