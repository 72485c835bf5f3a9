//! A pseudo-random number generator whose sequence does not depend on the version of any library.

/// The generator `SplitMix64` (Steele, Lea and Flood, 2014).
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator that starts from a seed.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Draws the next number of the sequence.
    pub fn number(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Draws a number from `low` to `high`, both included; `low` must not exceed `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.number() % (high - low + 1)
    }

    /// Returns true in `cases` of 1,000 draws on average.
    pub fn per_mille(&mut self, cases: u64) -> bool {
        self.number() % 1_000 < cases
    }

    /// Draws one of several values; the slice must not be empty.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.number() as usize % values.len()]
    }
}
