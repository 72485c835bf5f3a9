//! Checks what the members of a fleet reported about each other against what was true.
//!
//! The truth is what the test environment did itself: which process ran when and from which disk, and which links it
//! disturbed. The generations that runs used are read from datagrams in transit. Only the claims that are checked come
//! from the members.

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
    /// No two runs of one name used the same generation, if the fleet had time to learn of the first use.
    UniqueGeneration,
    /// All other members detect the failure of a member.
    FailureDetected,
    /// No member that ran and could be reached was believed to be dead, or was unknown to another member.
    NoFalsePositive,
    /// A run that started from a stale or empty disk reports that, and uses a higher generation than all known ones.
    StaleDiskReported,
    /// Of two runs with the same name only one is an active member.
    SingleRunPerName,
    /// In the end the beliefs of all members are true.
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

    /// What the rule requires, as shown in tables.
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
    /// A description of the violation.
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
