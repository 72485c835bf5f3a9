//! Messages that are delivered again and that the front end which gets them then cannot read.

use pipithub_engine::policy::Outcome;

use crate::test_bed::{TestBed, class};

/// Guards against a call that ran at a killed front end and is refused as unreadable by another one with other settings: its
/// client would try again, and it would take effect twice.
#[test]
fn call_that_ran_is_not_rejected_by_a_front_end_that_cannot_read_it() {
    let mut bed = TestBed::during_change_of_settings(10);
    for number in 0..4 {
        bed.publish(&format!("visit-{number}"), class("visit"));
    }
    bed.run_until_idle();
    let arrived = bed.arrived_at_workers.clone();
    assert_eq!(arrived.len(), 2, "half of the calls are read");
    bed.kill(1);
    bed.run_until_idle();
    for (id, verdicts) in bed.verdicts() {
        let expected = if arrived.contains(id) {
            "failed"
        } else {
            "refused"
        };
        assert_eq!(verdicts, [expected], "{id}");
    }
    assert_eq!(bed.answers().len(), 4);
    assert_eq!(bed.finish_attempts(Outcome::Served), [""; 0]);
}
