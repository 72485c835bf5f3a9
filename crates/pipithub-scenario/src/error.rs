//! The error of a scenario that could not be run to its end.

/// Why a scenario could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The generated settings of a front end are invalid; the text holds the errors and their lines.
    #[error("{0}")]
    Settings(String),
    /// The front ends did not begin to consume from the broker in time.
    #[error("the front ends did not start to consume from the broker in time")]
    NoConsumers,
    /// The members of a fleet did not report their addresses in time.
    #[error("not all members reported their address in time")]
    NoReports,
    /// The queue client ended while answers were expected.
    #[error("the queue client ended while answers were expected")]
    ClientEnded,
    /// The queue client accepts no more requests.
    #[error("the queue client accepts no more requests")]
    PublishChannelClosed,
    /// Front ends ended before the end of the run; the list holds their indexes.
    #[error("front ends {0:?} ended by themselves")]
    FrontEndsEnded(Vec<usize>),
    /// A file of records cannot be read.
    #[error("{path}: {source}")]
    Records {
        /// The path of the file.
        path: String,
        /// The error of its first invalid line.
        source: pipithub_conformance::record::RecordError,
    },
    /// The records hold no attempt that reached a worker, so there is nothing to check.
    #[error("the records hold no call that reached a worker")]
    NoAttempts,
}
