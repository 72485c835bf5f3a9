//! Tests of the backoff between attempts to connect.

use pipithub_consumer::backoff::Backoff;
use pipithub_engine::Time;

const MS: Time = 1_000_000;

#[test]
fn backoff_doubles_to_its_maximum_and_is_reset_by_a_healthy_connection() {
    let mut backoff = Backoff::new(50 * MS, 5_000 * MS, 10_000 * MS, 7);
    let mut bound = 50 * MS;
    for _ in 0..100 {
        let wait = backoff.delay_after_failure(0);
        assert!((bound / 2..=bound).contains(&wait), "{wait} of {bound}");
        bound = (bound * 2).min(5_000 * MS);
    }
    // A connection that is lost at once does not reset it.
    backoff.connected(0);
    assert!(backoff.delay_after_failure(MS) >= 2_500 * MS);
    backoff.connected(0);
    assert!(backoff.delay_after_failure(10_000 * MS) <= 50 * MS);
}

#[test]
fn clients_with_different_seeds_have_different_backoffs() {
    let waits: std::collections::BTreeSet<Time> = (0..100)
        .map(|seed| Backoff::new(50 * MS, 5_000 * MS, MS, seed * 77 + 1).delay_after_failure(0))
        .collect();
    assert!(waits.len() > 40, "{}", waits.len());
}
