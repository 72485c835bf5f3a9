//! What is cached and queued at most.

use crate::support::{HOUR, Responder, SECOND, directory_with, numbered_user};

#[test]
fn users_and_queues_are_bounded() {
    let mut responder = Responder::new(directory_with(50, |_| {}), 0);
    for number in 0..1_000 {
        responder.look_up(&numbered_user(number));
        responder.now += SECOND / 10;
    }
    responder.run(200 * SECOND);
    assert_eq!(responder.core.roster().len(), 50);
    // All that nobody looks up again is removed.
    responder.run(40 * HOUR);
    assert_eq!(responder.core.roster().len(), 0);
}
