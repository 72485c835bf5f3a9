//! The seed of a front end's own random choices.

use std::hash::{BuildHasher, RandomState};

/// A seed that no other front end has, as far as chance goes.
///
/// Front ends that share a seed draw alike, and then the slow-start budget of a worker is drawn by all of them at once.
/// Process ids and names do not tell processes in containers apart: there each may be process 1 of the same name.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
