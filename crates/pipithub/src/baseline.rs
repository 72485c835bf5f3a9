//! The textbook routing policies that `--baseline` selects, for comparison with the decision module.

use pipithub_gateway::Policy;

/// A textbook routing policy.
#[derive(Clone, Copy, clap::ValueEnum)]
pub(crate) enum Baseline {
    /// Routes to all ready workers in turn.
    RoundRobin,
    /// Routes to the worker with the fewest requests in flight.
    LeastLoaded,
}

impl Baseline {
    /// The corresponding policy of the gateway.
    pub(crate) fn policy(self) -> Policy {
        match self {
            Baseline::RoundRobin => Policy::RoundRobin,
            Baseline::LeastLoaded => Policy::LeastLoaded,
        }
    }

    /// The name of this policy on the command line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Baseline::RoundRobin => "round-robin",
            Baseline::LeastLoaded => "least-loaded",
        }
    }
}
