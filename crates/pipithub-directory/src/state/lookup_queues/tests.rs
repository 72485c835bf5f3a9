//! Tests of the order in which users are searched for, and of retries.

use super::{Batch, Enqueued, LookupQueues, Priority};
use crate::record::User;

const MAX_QUEUE: usize = 3;

fn enqueue(queues: &mut LookupQueues, user: &str, priority: Priority) -> Enqueued {
    queues.enqueue(user.into(), priority, MAX_QUEUE, 100)
}

fn names(batch: &Batch) -> Vec<&str> {
    batch.users.iter().map(|user| &**user).collect()
}

#[test]
fn users_with_waiting_requests_are_searched_first() {
    let mut queues = LookupQueues::default();
    enqueue(&mut queues, "later", Priority::Background);
    enqueue(&mut queues, "known", Priority::Confirmation);
    enqueue(&mut queues, "unknown", Priority::Unknown);
    assert_eq!(names(&queues.take_batch(2)), ["unknown", "known"]);
    assert!(!queues.has_due(99, 2), "no request waits for the last user");
    assert!(queues.has_due(100, 2), "the background queue is due");
    assert!(queues.has_due(99, 1), "the user fills a search");
    assert_eq!(names(&queues.take_batch(2)), ["later"]);
    assert_eq!(queues.background_due(), None);
}

#[test]
fn user_is_queued_once_and_promoted_when_a_request_waits() {
    let mut queues = LookupQueues::default();
    let mut add = |user, priority| enqueue(&mut queues, user, priority);
    assert_eq!(add("mai", Priority::Background), Enqueued::Added);
    assert_eq!(add("mai", Priority::Unknown), Enqueued::AlreadyPending);
    assert!(queues.has_due(0, 64));
    assert_eq!(names(&queues.take_batch(64)), ["mai"]);
    assert_eq!(
        enqueue(&mut queues, "mai", Priority::Unknown),
        Enqueued::AlreadyPending,
        "the search for the user is in flight"
    );
    queues.finish(&"mai".into());
    assert_eq!(
        enqueue(&mut queues, "mai", Priority::Unknown),
        Enqueued::Added
    );
}

#[test]
fn full_queue_rejects_users_while_other_queues_accept_them() {
    let mut queues = LookupQueues::default();
    for number in 0..MAX_QUEUE {
        enqueue(&mut queues, &format!("u{number}"), Priority::Unknown);
    }
    assert_eq!(
        enqueue(&mut queues, "mai", Priority::Unknown),
        Enqueued::QueueFull
    );
    assert!(!queues.is_pending(&"mai".into()));
    assert_eq!(
        enqueue(&mut queues, "mai", Priority::Confirmation),
        Enqueued::Added
    );
}

#[test]
fn failed_batch_is_retried_once_without_other_users() {
    let mut queues = LookupQueues::default();
    enqueue(&mut queues, "mai", Priority::Unknown);
    enqueue(&mut queues, "lan", Priority::Unknown);
    let failed = queues.take_batch(64);
    assert_eq!(failed.attempts, 0);
    enqueue(&mut queues, "newcomer", Priority::Unknown);
    assert!(queues.retry(failed).is_empty());
    let retried = queues.take_batch(64);
    assert_eq!(names(&retried), ["mai", "lan"], "without the newcomer");
    assert_eq!(retried.attempts, 1);
    let given_up: Vec<User> = queues.retry(retried);
    assert_eq!(given_up, ["lan".into(), "mai".into()]);
    assert!(!queues.is_pending(&"mai".into()));
    assert_eq!(names(&queues.take_batch(64)), ["newcomer"]);
}

#[test]
fn drain_removes_queued_users_but_not_users_in_a_search() {
    let mut queues = LookupQueues::default();
    enqueue(&mut queues, "searched", Priority::Unknown);
    queues.take_batch(1);
    enqueue(&mut queues, "later", Priority::Background);
    enqueue(&mut queues, "waiting", Priority::Unknown);
    assert_eq!(queues.drain(), ["waiting".into(), "later".into()]);
    assert!(!queues.is_pending(&"waiting".into()));
    assert!(queues.is_pending(&"searched".into()));
}
