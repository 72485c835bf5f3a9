//! How the cost of membership grows with the cluster, in counted bytes, datagrams, comparisons and simulated time,
//! which do not depend on the machine.

use pipithub_membership::{Settings, Time};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;

const SECOND: Time = 1_000_000_000;
const SMALL: usize = 30;
const LARGE: usize = 120;
/// Duration of the measurement without faults.
const MEASURED_SECONDS: u64 = 20;

/// The cost of one cluster. All fields except `detection_seconds` are per member and second, in a cluster without
/// faults.
struct Cost {
    bytes: f64,
    datagrams: f64,
    /// Bytes of the member that sent most.
    max_bytes: f64,
    comparisons: f64,
    /// Simulated seconds until every member had declared a killed member dead.
    detection_seconds: f64,
}

fn converged_fleet(size: usize) -> Fleet {
    let settings = Settings {
        cluster: "growth".into(),
        ..Settings::default()
    };
    let mut fleet = Fleet::new(size, 3, 3, 21, settings, Link::default());
    fleet.event_filter = |_| false;
    (0..size).for_each(|process| fleet.start(process).unwrap());
    // Updates are still gossiped for some seconds after the cluster has converged.
    fleet.run_for(30 * SECOND);
    assert!(
        fleet.has_converged(),
        "{size} processes did not converge in 30 s"
    );
    fleet
}

/// Kills the last process, and returns the simulated seconds until no other process considers it active.
fn detection_seconds(fleet: &mut Fleet) -> f64 {
    let killed = fleet.size() - 1;
    fleet.kill(killed);
    let killed_at = fleet.network.now();
    let limit = killed_at + 120 * SECOND;
    while fleet.state_counts(killed).active > 0 && fleet.network.now() < limit {
        fleet.run_for(SECOND / 10);
    }
    (fleet.network.now() - killed_at) as f64 / SECOND as f64
}

fn differences(after: &[u64], before: &[u64]) -> Vec<u64> {
    after.iter().zip(before).map(|(a, b)| a - b).collect()
}

fn measure(size: usize) -> Cost {
    let mut fleet = converged_fleet(size);
    let bytes_before = fleet.sent_bytes.clone();
    let datagrams_before = fleet.sent_datagrams.clone();
    let comparisons_before = fleet.full_comparisons();
    fleet.run_for(MEASURED_SECONDS * SECOND);
    let bytes = differences(&fleet.sent_bytes, &bytes_before);
    let datagrams = differences(&fleet.sent_datagrams, &datagrams_before);
    let comparisons = fleet.full_comparisons() - comparisons_before;
    let member_seconds = (size as u64 * MEASURED_SECONDS) as f64;
    Cost {
        bytes: bytes.iter().sum::<u64>() as f64 / member_seconds,
        datagrams: datagrams.iter().sum::<u64>() as f64 / member_seconds,
        max_bytes: bytes.iter().max().copied().unwrap_or(0) as f64 / MEASURED_SECONDS as f64,
        comparisons: comparisons as f64 / member_seconds,
        detection_seconds: detection_seconds(&mut fleet),
    }
}

/// In a cluster of four times the size a member sends as much as before, comparisons stay rare, and the time to detect
/// a death grows with the logarithm of the size.
#[test]
fn traffic_and_comparisons_of_a_member_do_not_grow_with_the_cluster() {
    let (small, large) = (measure(SMALL), measure(LARGE));
    assert!(
        small.bytes > 50.0 && small.datagrams > 1.0,
        "{} bytes and {} datagrams are too few for a running cluster",
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
        large.max_bytes < small.max_bytes * 1.8,
        "bytes of the member that sent most: {} and {}",
        small.max_bytes,
        large.max_bytes
    );
    assert!(
        large.datagrams < small.datagrams * 1.15,
        "datagrams: {} and {}",
        small.datagrams,
        large.datagrams
    );
    // A member handles about six inputs per second, none of which changes a member.
    assert!(
        large.comparisons < 0.1,
        "comparisons per member and second: {}",
        large.comparisons
    );
    assert!(
        large.detection_seconds < small.detection_seconds * 1.6,
        "a death was detected in {} s and {} s",
        small.detection_seconds,
        large.detection_seconds
    );
}
