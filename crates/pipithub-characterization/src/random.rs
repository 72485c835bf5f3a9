//! A small pseudo-random number generator of this crate's own, so that no dependency can change its sequence.

/// The generator `SplitMix64`.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.number() % (high - low + 1)
    }

    /// True in so many of a thousand cases.
    pub fn per_mille(&mut self, cases: u64) -> bool {
        self.number() % 1_000 < cases
    }

    /// One of several values; the slice must not be empty.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.number() as usize % values.len()]
    }
}
