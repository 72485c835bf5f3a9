//! Tests of when scheduled users are due.

use super::{RefreshWheel, WheelSecond};
use crate::time::SECOND;

#[test]
fn user_is_due_in_the_scheduled_second_and_not_before() {
    let mut wheel = RefreshWheel::default();
    assert_eq!(wheel.next_due(), None);
    wheel.schedule(WheelSecond::after_ms(6_500), "lan".into());
    wheel.schedule(WheelSecond::after_ms(4_000), "mai".into());
    assert_eq!(wheel.next_due(), Some(5 * SECOND));
    assert_eq!(wheel.pop_due(WheelSecond::of_ms(4_999)), None);
    assert_eq!(
        wheel.pop_due(WheelSecond::of_ms(5_000)).as_deref(),
        Some("mai")
    );
    assert_eq!(wheel.pop_due(WheelSecond::of_ms(5_000)), None);
    assert_eq!(wheel.next_due(), Some(7 * SECOND));
    assert_eq!(wheel.pop_first().as_deref(), Some("lan"));
    assert_eq!(wheel.pop_first(), None);
}

#[test]
fn time_before_process_start_is_due_at_once() {
    let mut wheel = RefreshWheel::default();
    wheel.schedule(WheelSecond::after_ms(-10_500), "mai".into());
    assert_eq!(wheel.next_due(), Some(0));
    assert_eq!(wheel.pop_due(WheelSecond::of_ms(0)).as_deref(), Some("mai"));
}
