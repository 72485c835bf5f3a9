//! The seed of a front end's random choices.

use std::hash::{BuildHasher, RandomState};

/// A random seed, which differs between front ends with near certainty.
///
/// Front ends with the same seed would make the same choices and spend a worker's slow-start budget all at once. Process
/// ids and names do not distinguish processes in containers, where each may be process 1 with the same name.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
