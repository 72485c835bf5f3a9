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
    pub probe_wait: Time,
    /// A suspected member has so many probe periods to speak up, times the logarithm of the fleet's size.
    pub suspicion: u32,
    /// The most members that are kept track of; further ones are passed over, with an event.
    pub max_members: usize,
    /// How long the dead are remembered: for so long an old disk is recognised.
    pub remember: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            cluster: String::new(),
            seeds: Vec::new(),
            probe_period: 1_000 * MS,
            probe_wait: 300 * MS,
            suspicion: 4,
            max_members: 1_000,
            remember: 7 * 24 * 3_600_000 * MS,
        }
    }
}

/// What is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Wrong {
    /// A cluster has a name, so that two never mix.
    #[error("the cluster has no name, or one over 100 bytes")]
    Cluster,
    /// A name has 1 to 200 bytes and no line break.
    #[error("the front end's name is empty, over 200 bytes or has a line break")]
    Name,
    /// One seed twice is one seed.
    #[error("seed {0} is given twice")]
    SeedTwice(SocketAddr),
    /// Too many seeds.
    #[error("{0} seeds; 32 at most")]
    Seeds(usize),
    /// The wait must leave time for others to be asked.
    #[error("probe-wait must be over 0 and under half of probe-period")]
    Waits,
    /// Out of its range.
    #[error("'{0}' is out of its range")]
    Range(&'static str),
}

impl Settings {
    /// Tells what is wrong first.
    pub fn check(&self) -> Result<(), Wrong> {
        if self.cluster.is_empty() || self.cluster.len() > 100 || self.cluster.contains('\n') {
            return Err(Wrong::Cluster);
        }
        if self.seeds.len() > 32 {
            return Err(Wrong::Seeds(self.seeds.len()));
        }
        for (n, seed) in self.seeds.iter().enumerate() {
            if self.seeds[..n].contains(seed) {
                return Err(Wrong::SeedTwice(*seed));
            }
        }
        if !(MS..=600_000 * MS).contains(&self.probe_period) {
            return Err(Wrong::Range("probe-period"));
        }
        if self.probe_wait == 0 || self.probe_wait.saturating_mul(2) >= self.probe_period {
            return Err(Wrong::Waits);
        }
        if !(1..=100).contains(&self.suspicion) {
            return Err(Wrong::Range("suspicion"));
        }
        if !(2..=10_000).contains(&self.max_members) {
            return Err(Wrong::Range("max-members"));
        }
        if self.remember < self.probe_period {
            return Err(Wrong::Range("remember"));
        }
        Ok(())
    }
}
