//! Chance that no other front end has.

use std::hash::BuildHasher;

/// A place between 0 and 1 for a user that no other front end gives them.
pub(crate) fn stable_fraction(user: &str, seed: u64) -> f64 {
    struct Fixed;
    impl BuildHasher for Fixed {
        type Hasher = std::hash::DefaultHasher;
        fn build_hasher(&self) -> Self::Hasher {
            std::hash::DefaultHasher::new()
        }
    }
    (Fixed.hash_one((user, seed)) >> 11) as f64 / (1u64 << 53) as f64
}
