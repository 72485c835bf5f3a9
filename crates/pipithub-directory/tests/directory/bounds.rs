//! Tests of the limit on cached users.

use crate::support::{HOUR, Responder, SECOND, directory_with, numbered_user};

#[test]
fn cached_users_are_bounded_and_removed_when_unused() {
    let mut responder = Responder::new(directory_with(50, |_| {}), 0);
    for number in 0..1_000 {
        responder.look_up(&numbered_user(number));
        responder.now += SECOND / 10;
    }
    responder.run(200 * SECOND);
    assert_eq!(responder.core.roster().len(), 50);
    // Users who are not looked up again are removed when their records expire.
    responder.run(40 * HOUR);
    assert_eq!(responder.core.roster().len(), 0);
}
