//! A random number generator that gives the same numbers for a seed whatever the versions of the libraries are.

/// The generator splitmix64 (Steele, Lea and Flood, 2014).
#[derive(Clone, Debug)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// A generator that starts from a seed.
    pub fn new(seed: u64) -> Self {
        SplitMix64(seed)
    }

    /// Draws the next number of the sequence.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Draws a number of at least 0 and below 1.
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws an integer below a bound; 0 for the bound 0.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }
}
