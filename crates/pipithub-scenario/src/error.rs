//! Why a scenario could not be run to its end.

/// The error of a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The generated settings of a front end are invalid; this holds the faults and their lines.
    #[error("{0}")]
    Settings(String),
    /// The front ends did not begin to consume from the broker in time.
    #[error("the front ends do not consume")]
    NoConsumers,
    /// The members of a fleet did not report their addresses in time.
    #[error("not all members told where they listen")]
    NoReports,
    /// The queue client ended while answers were expected.
    #[error("the client has ended")]
    ClientEnded,
    /// The queue client accepts no more requests.
    #[error("channel closed")]
    PublishChannelClosed,
    /// A file of records cannot be read.
    #[error("{path}: {source}")]
    Records {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: pipithub_conformance::record::RecordError,
    },
    /// The records hold no attempt, so every rule would hold trivially.
    #[error("no call reached a worker")]
    NoAttempts,
}
