//! Jitter, which spreads over time what many front ends would otherwise do simultaneously.

use std::hash::{BuildHasher, DefaultHasher};

/// A fraction from 0 to 1 that depends on the key and the seed alone. Front ends have different seeds and so get
/// different fractions.
pub(crate) fn stable_fraction(key: &str, seed: u64) -> f64 {
    struct UnkeyedHasher;
    impl BuildHasher for UnkeyedHasher {
        type Hasher = DefaultHasher;

        fn build_hasher(&self) -> DefaultHasher {
            DefaultHasher::new()
        }
    }
    to_fraction(UnkeyedHasher.hash_one((key, seed)))
}

/// A sequence of pseudo-random fractions (xorshift64*). Its statistical quality is not important, as long as the
/// sequences of front ends differ.
#[derive(Debug)]
pub(crate) struct Jitter {
    state: u64,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        // A generator with state zero would only return zeros.
        Jitter { state: seed | 1 }
    }

    /// The next fraction, from 0 to 1.
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.state ^= self.state >> 12;
        self.state ^= self.state << 25;
        self.state ^= self.state >> 27;
        to_fraction(self.state.wrapping_mul(0x2545_f491_4f6c_dd1d))
    }
}

/// Converts the highest 53 bits, as many as the mantissa of an `f64` holds, to a fraction.
fn to_fraction(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
