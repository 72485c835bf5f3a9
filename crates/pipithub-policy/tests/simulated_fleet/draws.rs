//! Random numbers that depend on the seed and on what they are for, not on what was drawn before.

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// What random numbers are drawn for; each purpose has numbers of its own.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    Function = 1,
    NewWorker = 2,
    LoadPoll = 3,
    Timer = 4,
    ClientCancellation = 5,
    OtherFrontEnds = 6,
    LoadReport = 7,
    Attempt = 8,
    LoadedBefore = 9,
    FailingWorker = 10,
    AttemptCancellation = 11,
    FinalAnswer = 12,
    LoadCommand = 13,
    Outage = 14,
    HealthCheck = 15,
    DiscoveryRequest = 16,
}

/// Position of the purpose in the seed's bits.
const PURPOSE_SHIFT: u32 = 56;

/// The generator for one purpose and the item that the two keys identify; it is the same in all fleets with this seed.
pub(crate) fn generator(seed: u64, purpose: Purpose, key: u64, subkey: u64) -> SmallRng {
    let seed = seed ^ (purpose as u64) << PURPOSE_SHIFT;
    SmallRng::seed_from_u64(mix(mix(mix(seed) ^ key) ^ subkey))
}

/// Mixes a number so that each of its bits affects all bits of the result (the finalizer of `MurmurHash3`).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
