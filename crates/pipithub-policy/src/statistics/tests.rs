//! Compares the counts of event times with a scan of all events.

use proptest::prelude::*;

use super::EventTimes;
use crate::api::Time;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn event_times_are_counted_as_by_a_scan(
        gaps in proptest::collection::vec(0u64..50, 0..60),
        cutoffs in proptest::collection::vec(0u64..1_500, 1..8),
    ) {
        let mut times = EventTimes::default();
        let mut all: Vec<Time> = Vec::new();
        for gap in gaps {
            all.push(all.last().copied().unwrap_or(0) + gap);
            times.push(*all.last().unwrap());
        }
        for cutoff in cutoffs {
            prop_assert_eq!(times.since(cutoff), all.iter().filter(|t| **t >= cutoff).count());
            times.forget_before(cutoff / 2);
            all.retain(|t| *t >= cutoff / 2);
        }
    }
}
