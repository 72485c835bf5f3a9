//! Bounds of the local health score.

use super::LocalHealth;

#[test]
fn the_score_is_bounded_both_ways_and_scales() {
    let mut health = LocalHealth::default();
    health.probe_answered();
    assert_eq!(health.scaled(100), 100);
    (0..100).for_each(|_| health.stalled());
    assert_eq!(health.scaled(100), 900);
    (0..100).for_each(|_| health.probe_answered());
    assert_eq!(health, LocalHealth::default());
}
