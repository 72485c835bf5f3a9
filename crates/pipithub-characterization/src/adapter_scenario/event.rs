//! The events that are scheduled in a scenario.

use super::tier::EndpointState;

/// An event of the scenario.
#[derive(Debug)]
pub(super) enum Event {
    /// A client sends a request for a function, or for a drawn one if `function` is `None`.
    Arrival {
        /// Whether this arrival schedules the next one, after a drawn time.
        recurring: bool,
        function: Option<usize>,
    },
    /// Something happens to a worker or a front end.
    Incident,
    /// Discovery publishes another state of a worker.
    StateChanges { worker: usize, state: EndpointState },
    /// A worker that had stopped runs again as a new process.
    Restarted { worker: usize },
    /// A worker that was impaired is healthy again.
    Recovered { worker: usize },
    /// An event for one front end; the event is dropped if this incarnation of the front end has ended.
    FrontEnd {
        front_end: usize,
        incarnation: u64,
        event: FrontEndEvent,
    },
}

/// An event for one front end.
#[derive(Debug)]
pub(super) enum FrontEndEvent {
    /// A line that is added to the batch unchanged.
    Line { line: String },
    /// The reply to the front end's subscription to the endpoint list.
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
    /// The deadline of a request has passed.
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
