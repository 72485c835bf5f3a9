//! The events of a scenario, by what becomes due.

use super::tier::EndpointState;

/// An event of the scenario.
#[derive(Debug)]
pub(super) enum Event {
    /// A client sends a request of a function, or of any.
    Arrival {
        /// Whether the next arrival follows after a drawn time.
        recurring: bool,
        function: Option<usize>,
    },
    /// Something happens to a worker or a front end.
    Incident,
    /// Discovery publishes another state of a worker.
    StateChanges { worker: usize, state: EndpointState },
    /// A worker that had stopped is back as another process.
    Restarted { worker: usize },
    /// A worker that was impaired is healthy again.
    Recovered { worker: usize },
    /// An event for one front end; it is dropped once that incarnation of it has ended.
    FrontEnd {
        front_end: usize,
        incarnation: u64,
        event: FrontEndEvent,
    },
}

/// An event for one front end.
#[derive(Debug)]
pub(super) enum FrontEndEvent {
    /// A line that only has to be passed on.
    Line { line: String },
    /// The reply to its subscription to the endpoint list.
    SubscriptionAnswer,
    /// The response of a streamed request begins.
    StreamBegins { request: u64, attempt: usize },
    /// An attempt ends by itself.
    AttemptEnds {
        request: u64,
        attempt: usize,
        status: &'static str,
        detail: u32,
    },
    /// The client's time for a request is over.
    Deadline { request: u64 },
    /// The client cancels a request.
    ClientCancels { request: u64 },
    /// A health check ends.
    HealthCheckEnds { worker: String, sent: u64 },
    /// A load command ends.
    LoadCommandEnds {
        worker: String,
        function: u64,
        sent: u64,
        status: &'static str,
    },
}
