//! For how long an idle connection may be used again.

use pipithub_engine::Time;
use pipithub_node::idle_timeout::IdleTimeout;

const MS: Time = 1_000_000;

#[test]
fn idle_times_that_broke_connections_are_avoided_until_they_expire() {
    let mut idle_timeout = IdleTimeout::default();
    assert_eq!(idle_timeout.limit(), None);
    for i in 0..100 {
        idle_timeout.record_use(i, 30 * MS, i == 50);
    }
    assert_eq!(idle_timeout.limit(), None, "one break among many is chance");
    idle_timeout.record_use(100, 150 * MS, true);
    assert_eq!(idle_timeout.limit(), None, "so is a single use that broke");
    idle_timeout.record_use(100, 150 * MS, true);
    assert_eq!(idle_timeout.limit(), Some(128 * MS));
    idle_timeout.record_use(100, 100 * MS, true);
    idle_timeout.record_use(100, 100 * MS, true);
    assert_eq!(
        idle_timeout.limit(),
        Some(64 * MS),
        "a shorter time that breaks counts"
    );
    idle_timeout.record_use(100 + 20_000 * MS, 10 * MS, false);
    assert_eq!(idle_timeout.limit(), None, "observations expire");
}
