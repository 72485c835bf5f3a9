//! Tests of requests that wait for the look-up of their user.

use pipithub_directory::{EndedLookup, PendingLookups, User};

#[test]
fn request_waits_until_its_lookup_finishes_or_its_deadline_passes() {
    let mut pending = PendingLookups::new(3);
    let (mai, lan): (User, User) = ("mai".into(), "lan".into());
    pending.add(0, 40, mai.clone(), 1).expect("capacity");
    pending.add(10, 50, mai.clone(), 2).expect("capacity");
    pending.add(10, 45, lan.clone(), 3).expect("capacity");
    assert_eq!(
        pending.add(10, 45, lan, 4),
        Err(4),
        "the maximum is reached"
    );
    assert_eq!(pending.next_due(), Some(40));
    assert_eq!(
        pending.expire(40),
        [EndedLookup {
            request: 1,
            user: mai.clone(),
            waiting_since: 0,
            timed_out: true,
        }]
    );
    assert_eq!(
        pending.finish("mai"),
        [EndedLookup {
            request: 2,
            user: mai,
            waiting_since: 10,
            timed_out: false,
        }]
    );
    assert!(pending.finish("mai").is_empty());
    pending.cancel(|request| *request == 3);
    assert!(pending.is_empty() && pending.next_due().is_none());
}
