//! The textbook policies that the decision module is compared with.

use pipithub_gateway::Policy;

/// A policy to compare with.
#[derive(Clone, Copy, clap::ValueEnum)]
pub(crate) enum Baseline {
    RoundRobin,
    LeastLoaded,
}

impl Baseline {
    /// The gateway's own value for this policy.
    pub(crate) fn policy(self) -> Policy {
        match self {
            Baseline::RoundRobin => Policy::RoundRobin,
            Baseline::LeastLoaded => Policy::LeastLoaded,
        }
    }

    /// The word that stands for this policy on the command line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Baseline::RoundRobin => "round-robin",
            Baseline::LeastLoaded => "least-loaded",
        }
    }
}
