//! Slow start holds across steps of the wall clock, by which the list states when workers started.

mod core_harness;

use core_harness::{CoreHarness, MS};
use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_node::start_times::StartTimes;
use pipithub_platform::list::{self, EndpointEvent};
use pipithub_platform::settings::Names;

const SECOND: Time = 1_000 * MS;
const HOUR: Time = 3_600 * SECOND;
/// The wall clock before it is stepped: far from zero, so that an hour may be taken off.
const WALL: Time = 500_000 * HOUR;
const CALLS: u64 = 24;

/// A list that holds one worker alone, which started at this time of the wall clock.
fn only_worker(index: u64, started: Time) -> EndpointEvent {
    let born_ms = started / MS;
    let text = format!(
        r#"{{"index":{index},"endpoints":{{"seq":{index},"whole":true,"hosts":[{{"host":"w9","dial":"10.0.0.1:9","site":"a",
        "class":"big","block":0,"health":"SERVING","share":1,"born_ms":{born_ms}}}]}}}}"#
    );
    list::parse(&text, &Names::default()).expect("an event")
}

/// How many of a burst of calls go to a worker that started `age` ago, the wall clock standing at `wall`.
fn sent_in_a_burst(wall: Time, age: Time) -> usize {
    let mut b = CoreHarness::new();
    b.core
        .update_endpoints_at(b.now, wall, &only_worker(2, wall - age));
    let client = b.client();
    (1..=CALLS).for_each(|id| b.call(client, id, "view"));
    b.written()
        .iter()
        .filter(|(_, line)| line.contains("\"DO\""))
        .count()
}

#[test]
fn a_step_of_the_wall_clock_makes_no_starting_worker_older_or_younger() {
    let (starting, warm) = (sent_in_a_burst(WALL, 0), sent_in_a_burst(WALL, 10 * SECOND));
    assert!(
        starting < warm,
        "slow start binds in this test: {starting} of {warm}"
    );
    for wall in [
        WALL - HOUR,
        WALL + HOUR,
        core_harness::START,
        core_harness::START + HOUR,
    ] {
        assert_eq!(
            sent_in_a_burst(wall, 0),
            starting,
            "just started, wall clock at {wall}"
        );
        assert_eq!(
            sent_in_a_burst(wall, 10 * SECOND),
            warm,
            "past its ramp, wall clock at {wall}"
        );
    }
}

#[test]
fn a_start_keeps_its_time_when_the_list_states_it_again_after_a_step() {
    let (worker, mut starts) = (WorkerId::new("w9"), StartTimes::default());
    let first = starts.resolve(&worker, WALL, 100 * SECOND, WALL + 3 * SECOND);
    assert_eq!(first, 97 * SECOND);
    for step in [0, HOUR] {
        assert_eq!(
            starts.resolve(&worker, WALL, 200 * SECOND, WALL - HOUR + step),
            first
        );
    }
    // Another stamp is another start, and one in the future is now.
    assert_eq!(
        starts.resolve(&worker, WALL + HOUR, 300 * SECOND, WALL),
        300 * SECOND
    );
    // A worker that was removed and comes again is judged anew.
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
fn clocks_that_differ_by_their_readings_alone_leave_a_stamp_as_it_is_stated() {
    let (worker, mut starts) = (WorkerId::new("w9"), StartTimes::default());
    for difference in [0, MS, 100 * MS] {
        let stamp = WALL - 7 * SECOND - difference;
        assert_eq!(
            starts.resolve(&worker, stamp, WALL, WALL + difference),
            stamp
        );
    }
}
