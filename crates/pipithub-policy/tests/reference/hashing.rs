//! Hashes and pseudo-random draws: equal for equal inputs, so that all front ends agree without
//! communication.

/// A pseudo-random number from 0 up to, but not including, 1.
pub(crate) fn draw(seed: u64) -> f64 {
    (mix(seed) >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes the bits of a number so that each affects all 64 (the finalizer of `SplitMix64`).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The hash of a worker's address: FNV-1a with its bits mixed.
pub(crate) fn hash_address(address: &str) -> u64 {
    let hash = address.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, byte| {
        (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    mix(hash)
}
