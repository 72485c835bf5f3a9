//! How long an idle connection is trusted.

use pipithub_engine::Time;
use pipithub_node::staleness::Staleness;

const MS: Time = 1_000_000;

#[test]
fn idle_times_after_which_connections_break_are_avoided_and_tried_again_later() {
    let mut staleness = Staleness::default();
    assert_eq!(staleness.limit(), None);
    for i in 0..100 {
        staleness.learn(i, 30 * MS, i == 50);
    }
    assert_eq!(staleness.limit(), None, "one break among many is chance");
    staleness.learn(100, 150 * MS, true);
    assert_eq!(staleness.limit(), None, "so is a single one");
    staleness.learn(100, 150 * MS, true);
    assert_eq!(staleness.limit(), Some(128 * MS));
    staleness.learn(100, 100 * MS, true);
    staleness.learn(100, 100 * MS, true);
    assert_eq!(
        staleness.limit(),
        Some(64 * MS),
        "a shorter time that breaks counts"
    );
    staleness.learn(100 + 20_000 * MS, 10 * MS, false);
    assert_eq!(staleness.limit(), None, "tried again after a while");
}
