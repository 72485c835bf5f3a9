//! The counters of an engine.

/// The counters of what an engine has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Triggers received, including those that were rejected.
    pub triggers: u64,
    /// Triggers received that their source marked as redelivered.
    pub redelivered: u64,
    /// Redelivered triggers that joined a pending request of this engine.
    pub joined: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Attempts that the decision module cancelled.
    pub cancelled_attempts: u64,
    /// Load commands given to workers.
    pub load_commands: u64,
    /// Load polls sent to workers.
    pub load_polls: u64,
    /// Health checks of workers, sent while the endpoint list was out of reach.
    pub health_checks: u64,
    /// Health checks in whose answer a worker reported that it is not in service.
    pub failed_health_checks: u64,
    /// Health checks that got no answer, including those without a connection.
    pub unanswered_health_checks: u64,
    /// Final answers with the verdict [`Served`](crate::Verdict::Served).
    pub served: u64,
    /// Final answers with the verdict [`Rejected`](crate::Verdict::Rejected).
    pub rejected: u64,
    /// Final answers with the verdict [`Failed`](crate::Verdict::Failed).
    pub failed: u64,
}
