//! Bounds of the local health score.

use super::LocalHealth;

#[test]
fn score_stays_within_its_bounds_and_extends_timeouts() {
    let mut health = LocalHealth::default();
    health.probe_answered();
    assert_eq!(health.scaled(100), 100);
    (0..100).for_each(|_| health.stalled());
    assert_eq!(health.scaled(100), 900);
    (0..100).for_each(|_| health.probe_answered());
    assert_eq!(health, LocalHealth::default());
}
