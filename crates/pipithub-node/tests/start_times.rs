//! Slow start when the wall clock is stepped. The endpoint list states by the wall clock when workers started.

mod core_harness;

use core_harness::{CoreHarness, MS};
use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_node::start_times::StartTimes;
use pipithub_platform::list::{self, EndpointEvent};
use pipithub_platform::settings::Names;

const SECOND: Time = 1_000 * MS;
const HOUR: Time = 3_600 * SECOND;
/// The wall clock before a step: far from zero, so that it may be set back by an hour.
const WALL: Time = 500_000 * HOUR;
const CALLS: u64 = 24;

/// A complete list with one worker, which started at this wall-clock time.
fn list_with_one_worker(index: u64, started: Time) -> EndpointEvent {
    let born_ms = started / MS;
    let text = format!(
        r#"{{"index":{index},"endpoints":{{"seq":{index},"whole":true,"hosts":[{{"host":"w9","dial":"10.0.0.1:9","site":"a",
        "class":"big","block":0,"health":"SERVING","share":1,"born_ms":{born_ms}}}]}}}}"#
    );
    list::parse(&text, &Names::default()).expect("a valid event")
}

/// How many calls of a burst are forwarded to a worker that started `age` nanoseconds ago, with the wall clock at
/// `wall`.
fn forwarded_in_a_burst(wall: Time, age: Time) -> usize {
    let mut harness = CoreHarness::new();
    harness
        .core
        .update_endpoints_at(harness.now, wall, &list_with_one_worker(2, wall - age));
    let client = harness.connect_client();
    (1..=CALLS).for_each(|id| harness.call(client, id, "view"));
    harness
        .written()
        .iter()
        .filter(|(_, line)| line.contains("\"DO\""))
        .count()
}

#[test]
fn wall_clock_step_does_not_change_the_age_of_a_warming_worker() {
    let (starting, warm) = (
        forwarded_in_a_burst(WALL, 0),
        forwarded_in_a_burst(WALL, 10 * SECOND),
    );
    assert!(
        starting < warm,
        "slow start limits the worker: {starting} of {warm}"
    );
    for wall in [
        WALL - HOUR,
        WALL + HOUR,
        core_harness::START,
        core_harness::START + HOUR,
    ] {
        assert_eq!(
            forwarded_in_a_burst(wall, 0),
            starting,
            "just started, wall clock at {wall}"
        );
        assert_eq!(
            forwarded_in_a_burst(wall, 10 * SECOND),
            warm,
            "after slow start, wall clock at {wall}"
        );
    }
}

#[test]
fn start_time_stays_when_the_same_stamp_is_listed_after_a_clock_step() {
    let (worker, mut starts) = (WorkerId::new("w9"), StartTimes::default());
    let first = starts.resolve(&worker, WALL, 100 * SECOND, WALL + 3 * SECOND);
    assert_eq!(first, 97 * SECOND);
    for step in [0, HOUR] {
        assert_eq!(
            starts.resolve(&worker, WALL, 200 * SECOND, WALL - HOUR + step),
            first
        );
    }
    // Another stamp means another start, and one in the future counts as now.
    assert_eq!(
        starts.resolve(&worker, WALL + HOUR, 300 * SECOND, WALL),
        300 * SECOND
    );
    // The stamp of a worker that was removed is not remembered.
    starts.forget(&worker);
    assert_eq!(
        starts.resolve(&worker, WALL, 400 * SECOND, WALL + SECOND),
        399 * SECOND
    );
    starts.retain_workers(|_| false);
    assert_eq!(
        starts.resolve(&worker, WALL, 500 * SECOND, WALL),
        500 * SECOND
    );
}

#[test]
fn small_clock_differences_leave_a_stamp_unchanged() {
    let (worker, mut starts) = (WorkerId::new("w9"), StartTimes::default());
    for difference in [0, MS, 100 * MS] {
        let stamp = WALL - 7 * SECOND - difference;
        assert_eq!(
            starts.resolve(&worker, stamp, WALL, WALL + difference),
            stamp
        );
    }
}
