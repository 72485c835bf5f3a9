//! How membership grows with the fleet, in counted bytes, datagrams, comparisons and simulated time; never in real
//! time.

use pipithub_membership::{Settings, Time};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;

const SECOND: Time = 1_000_000_000;
const SMALL: usize = 30;
const LARGE: usize = 120;
const REST: u64 = 20;

/// What a fleet showed, for each member and second.
struct Seen {
    bytes: f64,
    datagrams: f64,
    worst: f64,
    comparisons: f64,
    /// Seconds of simulated time until a death was known to all.
    known: f64,
}

fn seen(size: usize) -> Seen {
    let settings = Settings {
        cluster: "growth".into(),
        ..Settings::default()
    };
    let mut fleet = Fleet::new(size, 3, 3, 21, settings, Link::default());
    fleet.event_filter = |_| false;
    (0..size).for_each(|n| fleet.start(n).unwrap());
    // Beside coming together: what is new is passed on for some seconds more.
    fleet.run_for(30 * SECOND);
    assert!(
        fleet.has_converged(),
        "{size} did not come together in 30 s"
    );
    let (bytes, datagrams, compared) = (
        fleet.sent_bytes.clone(),
        fleet.sent_datagrams.clone(),
        fleet.full_comparisons(),
    );
    fleet.run_for(REST * SECOND);
    let each = (size as u64 * REST) as f64;
    let sent = |now: &[u64], then: &[u64]| {
        now.iter()
            .zip(then)
            .map(|(n, t)| n - t)
            .collect::<Vec<u64>>()
    };
    let bytes = sent(&fleet.sent_bytes, &bytes);
    let datagrams = sent(&fleet.sent_datagrams, &datagrams);
    let comparisons = (fleet.full_comparisons() - compared) as f64 / each;
    fleet.kill(size - 1);
    let died = fleet.network.now();
    while fleet.opinions(size - 1).active > 0 && fleet.network.now() < died + 120 * SECOND {
        fleet.run_for(SECOND / 10);
    }
    Seen {
        bytes: bytes.iter().sum::<u64>() as f64 / each,
        datagrams: datagrams.iter().sum::<u64>() as f64 / each,
        worst: bytes.iter().max().copied().unwrap_or(0) as f64 / REST as f64,
        comparisons,
        known: (fleet.network.now() - died) as f64 / SECOND as f64,
    }
}

/// Four times as many members: what each sends at rest stays, whole comparisons stay rare, and a death is known to all
/// in a time that grows with the logarithm.
#[test]
fn what_a_member_spends_does_not_grow_with_the_fleet() {
    let (small, large) = (seen(SMALL), seen(LARGE));
    assert!(
        small.bytes > 50.0 && small.datagrams > 1.0,
        "{} {}: no fleet at rest",
        small.bytes,
        small.datagrams
    );
    assert!(
        large.bytes < small.bytes * 1.25,
        "bytes: {} and {}",
        small.bytes,
        large.bytes
    );
    assert!(
        large.worst < small.worst * 1.8,
        "worst member's bytes: {} and {}",
        small.worst,
        large.worst
    );
    assert!(
        large.datagrams < small.datagrams * 1.15,
        "datagrams: {} and {}",
        small.datagrams,
        large.datagrams
    );
    // A member takes some six inputs a second at rest, and none of them tells anything new.
    assert!(
        large.comparisons < 0.1,
        "comparisons a member and second: {}",
        large.comparisons
    );
    assert!(
        large.known < small.known * 1.6,
        "a death was known in {} s and {} s",
        small.known,
        large.known
    );
}
