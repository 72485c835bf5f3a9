//! Settings of the membership, and their validation.

use std::net::SocketAddr;

use crate::{MS, Time};

/// Longest name of a cluster, in bytes.
const MAX_CLUSTER_BYTES: usize = 100;
/// Most seeds.
const MAX_SEEDS: usize = 32;
/// Longest probe period.
const MAX_PROBE_PERIOD: Time = 600_000 * MS;
/// Largest suspicion multiplier.
const MAX_SUSPICION_MULTIPLIER: u32 = 100;
/// Largest bound on the number of members.
const MAX_MEMBERS: usize = 10_000;

/// How a front end takes part in the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the cluster; datagrams of other clusters are rejected.
    pub cluster: String,
    /// Addresses of processes that may know others; one that answers is enough.
    pub seeds: Vec<SocketAddr>,
    /// One member is probed in each such period.
    pub probe_period: Time,
    /// How long a direct answer is awaited before other members probe as well.
    pub probe_timeout: Time,
    /// Probe periods in which a suspected member may refute the suspicion, times the logarithm of the cluster's size.
    pub suspicion_multiplier: u32,
    /// Most members that are known; further ones are not admitted, with an event.
    pub max_members: usize,
    /// How long dead members are remembered: for so long a stale disk is recognised.
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

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A cluster needs a name, so that two never mix.
    #[error("the cluster has no name, or one over 100 bytes")]
    InvalidClusterName,
    /// A member's name has 1 to 200 bytes and no line break.
    #[error("the front end's name is empty, over 200 bytes or has a line break")]
    InvalidMemberName,
    /// A seed is listed twice.
    #[error("seed {0} is given twice")]
    DuplicateSeed(SocketAddr),
    /// There are too many seeds.
    #[error("{0} seeds; 32 at most")]
    TooManySeeds(usize),
    /// The timeout must leave time for others to probe.
    #[error("probe-wait must be over 0 and under half of probe-period")]
    InvalidProbeTimeout,
    /// The setting of this name is out of its range.
    #[error("'{0}' is out of its range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Returns the first fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_cluster()?;
        self.validate_seeds()?;
        if !(MS..=MAX_PROBE_PERIOD).contains(&self.probe_period) {
            return Err(SettingsError::OutOfRange("probe-period"));
        }
        if self.probe_timeout == 0 || self.probe_timeout.saturating_mul(2) >= self.probe_period {
            return Err(SettingsError::InvalidProbeTimeout);
        }
        if !(1..=MAX_SUSPICION_MULTIPLIER).contains(&self.suspicion_multiplier) {
            return Err(SettingsError::OutOfRange("suspicion"));
        }
        if !(2..=MAX_MEMBERS).contains(&self.max_members) {
            return Err(SettingsError::OutOfRange("max-members"));
        }
        if self.dead_retention < self.probe_period {
            return Err(SettingsError::OutOfRange("remember"));
        }
        Ok(())
    }

    fn validate_cluster(&self) -> Result<(), SettingsError> {
        let name = &self.cluster;
        if name.is_empty() || name.len() > MAX_CLUSTER_BYTES || name.contains('\n') {
            return Err(SettingsError::InvalidClusterName);
        }
        Ok(())
    }

    fn validate_seeds(&self) -> Result<(), SettingsError> {
        if self.seeds.len() > MAX_SEEDS {
            return Err(SettingsError::TooManySeeds(self.seeds.len()));
        }
        for (index, seed) in self.seeds.iter().enumerate() {
            if self.seeds[..index].contains(seed) {
                return Err(SettingsError::DuplicateSeed(*seed));
            }
        }
        Ok(())
    }
}
