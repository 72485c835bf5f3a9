//! Requests that wait for the look-up of their user.

use super::PendingLookups;
use crate::User;

#[test]
fn each_waits_until_news_or_its_time() {
    let mut waiting = PendingLookups::new(3);
    let (mai, lan): (User, User) = ("mai".into(), "lan".into());
    waiting.add(0, 40, mai.clone(), 1).expect("room");
    waiting.add(10, 50, mai.clone(), 2).expect("room");
    waiting.add(10, 45, lan.clone(), 3).expect("room");
    assert_eq!(waiting.add(10, 45, lan, 4), Err(4), "no more than may wait");
    assert_eq!(waiting.next_due(), Some(40));
    let due = waiting.expire(40);
    assert_eq!(
        due.iter()
            .map(|w| (w.request, w.timed_out, w.waiting_since))
            .collect::<Vec<_>>(),
        [(1, true, 0)]
    );
    assert_eq!(
        waiting
            .finish("mai")
            .iter()
            .map(|w| (w.request, w.timed_out))
            .collect::<Vec<_>>(),
        [(2, false)]
    );
    assert!(waiting.finish("mai").is_empty());
    waiting.cancel(|call| *call == 3);
    assert!(waiting.is_empty() && waiting.next_due().is_none());
}
