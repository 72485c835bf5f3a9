//! Checks whether the members of a fleet knew each other, by comparing their claims with what was true.
//!
//! The truth is what the test environment did itself: which process ran when and from which disk, and which links it
//! disturbed. The generations that runs used are read from datagrams in transit. Only the claims come from the
//! members, because the claims are what is checked.

mod convergence;
mod disks;
mod failure_detection;
mod generations;
mod history;
mod identity;

pub use history::{Belief, Bounds, Claim, Disk, GenerationUse, History, Interval, Run, Time};

/// A rule for the membership of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No two runs used one generation of one name, where the fleet had time to learn of the first use.
    UniqueGeneration,
    /// The failure of a member is detected by all others.
    FailureDetected,
    /// No member that ran and could be reached was believed to be dead or unknown.
    NoFalsePositive,
    /// A run that started from a stale or empty disk reports so, under a generation that was never used.
    StaleDiskReported,
    /// Of two runs with one name only one takes part.
    SingleRunPerName,
    /// In the end all members believe what is true.
    Convergence,
}

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Rule; 6] = [
        Rule::UniqueGeneration,
        Rule::FailureDetected,
        Rule::NoFalsePositive,
        Rule::StaleDiskReported,
        Rule::SingleRunPerName,
        Rule::Convergence,
    ];

    /// What the rule requires, in the words of tables.
    pub fn description(self) -> &'static str {
        match self {
            Rule::UniqueGeneration => "no generation of a member is used twice",
            Rule::FailureDetected => "failed members are detected",
            Rule::NoFalsePositive => "running members are not taken for failed",
            Rule::StaleDiskReported => "stale and empty disks are reported",
            Rule::SingleRunPerName => "one active process for each member",
            Rule::Convergence => "all members agree in the end",
        }
    }

    /// The name of the rule in JSON reports. Programs compare it across versions, so it does not change.
    pub fn name(self) -> &'static str {
        match self {
            Rule::UniqueGeneration => "one run for each number",
            Rule::FailureDetected => "the dead are found",
            Rule::NoFalsePositive => "the living are kept",
            Rule::StaleDiskReported => "old disks are known",
            Rule::SingleRunPerName => "one run for each name",
            Rule::Convergence => "one fleet in the end",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule that was violated.
    pub rule: Rule,
    /// A description of what was seen.
    pub what: String,
}

/// Checks all rules on a history and returns their violations.
pub fn check(history: &History, bounds: Bounds) -> Vec<Breach> {
    let mut breaches = Vec::new();
    generations::check(history, bounds, &mut breaches);
    failure_detection::check(history, bounds, &mut breaches);
    disks::check(history, bounds, &mut breaches);
    identity::check(history, bounds, &mut breaches);
    convergence::check(history, &mut breaches);
    breaches
}
