//! Tests of the seeds of front ends.

use std::collections::BTreeSet;

use pipithub_gateway::seed::random_seed;

#[test]
fn seeds_of_one_process_differ() {
    let seeds: BTreeSet<u64> = (0..100).map(|_| random_seed()).collect();
    assert_eq!(seeds.len(), 100);
}
