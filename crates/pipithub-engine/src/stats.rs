//! Counters of an engine.

/// What an engine has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Triggers received.
    pub triggers: u64,
    /// Triggers that were redelivered.
    pub redelivered: u64,
    /// Redelivered triggers that joined a request which was pending here.
    pub joined: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts cancelled.
    pub cancelled_attempts: u64,
    /// Load commands given to workers.
    pub load_commands: u64,
    /// Polls of a worker's load.
    pub load_polls: u64,
    /// Final answers that a worker served.
    pub served: u64,
    /// Final answers that reject the call.
    pub rejected: u64,
    /// Final answers that report a failure.
    pub failed: u64,
}
