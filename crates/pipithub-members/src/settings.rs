//! Settings of membership, with what is wrong with them.

use std::net::SocketAddr;

use crate::{MS, Time};

/// How a front end takes part in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The cluster's name: who says another is a stranger.
    pub cluster: String,
    /// Addresses that may know others; one that answers is enough.
    pub seeds: Vec<SocketAddr>,
    /// One member is probed in each such time.
    pub probe_period: Time,
    /// A direct answer is awaited for so long before others are asked.
    pub probe_timeout: Time,
    /// A suspected member has so many probe periods to speak up, times the logarithm of the fleet's size.
    pub suspicion_multiplier: u32,
    /// The most members that are kept track of; further ones are passed over, with an event.
    pub max_members: usize,
    /// How long the dead are remembered: for so long an old disk is recognised.
    pub dead_retention: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            cluster: String::new(),
            seeds: Vec::new(),
            probe_period: 1_000 * MS,
            probe_timeout: 300 * MS,
            suspicion_multiplier: 4,
            max_members: 1_000,
            dead_retention: 7 * 24 * 3_600_000 * MS,
        }
    }
}

/// What is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A cluster has a name, so that two never mix.
    #[error("the cluster has no name, or one over 100 bytes")]
    InvalidClusterName,
    /// A name has 1 to 200 bytes and no line break.
    #[error("the front end's name is empty, over 200 bytes or has a line break")]
    InvalidMemberName,
    /// One seed twice is one seed.
    #[error("seed {0} is given twice")]
    DuplicateSeed(SocketAddr),
    /// Too many seeds.
    #[error("{0} seeds; 32 at most")]
    TooManySeeds(usize),
    /// The wait must leave time for others to be asked.
    #[error("probe-wait must be over 0 and under half of probe-period")]
    InvalidProbeTimeout,
    /// Out of its range.
    #[error("'{0}' is out of its range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Tells what is wrong first.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.cluster.is_empty() || self.cluster.len() > 100 || self.cluster.contains('\n') {
            return Err(SettingsError::InvalidClusterName);
        }
        if self.seeds.len() > 32 {
            return Err(SettingsError::TooManySeeds(self.seeds.len()));
        }
        for (n, seed) in self.seeds.iter().enumerate() {
            if self.seeds[..n].contains(seed) {
                return Err(SettingsError::DuplicateSeed(*seed));
            }
        }
        if !(MS..=600_000 * MS).contains(&self.probe_period) {
            return Err(SettingsError::OutOfRange("probe-period"));
        }
        if self.probe_timeout == 0 || self.probe_timeout.saturating_mul(2) >= self.probe_period {
            return Err(SettingsError::InvalidProbeTimeout);
        }
        if !(1..=100).contains(&self.suspicion_multiplier) {
            return Err(SettingsError::OutOfRange("suspicion"));
        }
        if !(2..=10_000).contains(&self.max_members) {
            return Err(SettingsError::OutOfRange("max-members"));
        }
        if self.dead_retention < self.probe_period {
            return Err(SettingsError::OutOfRange("remember"));
        }
        Ok(())
    }
}
