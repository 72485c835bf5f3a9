//! How tokens and hedges come back.

use super::{HedgeBudget, TokenBucket};
use crate::time::{MILLISECOND, SECOND};

#[test]
fn tokens_come_back_at_their_rate_up_to_a_burst() {
    // A quarter of a second's tokens: two.
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
    assert!(!bucket.has_token(), "no more than a burst is saved up");
}

#[test]
fn a_slow_rate_still_has_one_token() {
    let mut bucket = TokenBucket::new(0.5);
    assert!(bucket.has_token());
    bucket.take();
    assert_eq!(bucket.next_token_at(), Some(2 * SECOND + MILLISECOND));
}

#[test]
fn a_tenth_of_the_searches_may_be_hedged() {
    let mut budget = HedgeBudget::default();
    budget.take_hedge();
    assert!(!budget.allows_hedge());
    let searches = (1..100)
        .find(|_| {
            budget.add_search();
            budget.allows_hedge()
        })
        .expect("a hedge is allowed again");
    // The tenth addition of a tenth is a rounding error short of one.
    assert!((10..=11).contains(&searches), "{searches} searches");
}
