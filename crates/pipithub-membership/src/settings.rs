//! Settings of the membership, and their validation.

use std::net::SocketAddr;

use crate::{MS, Time};

/// Longest name of a cluster, in bytes.
const MAX_CLUSTER_BYTES: usize = 100;
/// Largest number of seeds.
const MAX_SEEDS: usize = 32;
/// Longest probe period: ten minutes.
const MAX_PROBE_PERIOD: Time = 600_000 * MS;
/// Upper bound of [`Settings::suspicion_multiplier`].
const MAX_SUSPICION_MULTIPLIER: u32 = 100;
/// Upper bound of [`Settings::max_members`].
const MAX_MEMBERS: usize = 10_000;

/// How a front end takes part in the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the cluster, 1 to 100 bytes without line break. Datagrams of other clusters are rejected.
    pub cluster: String,
    /// Addresses of members to which join requests are sent; one answer is enough. Without seeds the process waits
    /// until another process contacts it.
    pub seeds: Vec<SocketAddr>,
    /// Interval of the probes: one member is probed in each period. 1 ms to 10 minutes.
    pub probe_period: Time,
    /// How long to wait for a direct answer to a probe before other members are asked to probe as well. Above 0 and
    /// under half of the probe period.
    pub probe_timeout: Time,
    /// How long a suspected member may refute the suspicion, in probe periods; the time is multiplied by the decimal
    /// logarithm of the cluster's size, or by 1 in clusters of up to ten. 1 to 100.
    pub suspicion_multiplier: u32,
    /// Largest number of members, including this process and dead members. Further processes are not admitted, and each
    /// refusal is reported as an event. 2 to 10,000.
    pub max_members: usize,
    /// How long members that are down stay in the table, at least one probe period. The stale disk of such a member is
    /// detected only during this time.
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

/// Why settings or the name of a member are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The cluster's name is empty, too long or has a line break.
    #[error("the cluster's name is empty, over 100 bytes or has a line break")]
    InvalidClusterName,
    /// The member's name is empty, too long or has a line break.
    #[error("the front end's name is empty, over 200 bytes or has a line break")]
    InvalidMemberName,
    /// A seed is listed twice.
    #[error("seed {0} is given twice")]
    DuplicateSeed(SocketAddr),
    /// There are this many seeds, more than 32.
    #[error("{0} seeds are given; at most 32 are allowed")]
    TooManySeeds(usize),
    /// The probe timeout leaves no time for other members to probe.
    #[error("probe-wait must be over 0 and under half of probe-period")]
    InvalidProbeTimeout,
    /// The setting of this name is outside its range.
    #[error("'{0}' is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks all settings.
    ///
    /// # Errors
    /// The first invalid setting.
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
