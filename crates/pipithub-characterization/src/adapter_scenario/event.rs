//! What comes due in a scenario.

use super::tier::EndpointState;

/// What comes due in a scenario.
#[derive(Debug)]
pub(super) enum Event {
    Arrival {
        recurring: bool,
        function: Option<usize>,
    },
    Incident,
    StateChanges {
        worker: usize,
        state: EndpointState,
    },
    Restarted {
        worker: usize,
    },
    Recovered {
        worker: usize,
    },
    /// A line for a front end in this incarnation of it.
    Line {
        front_end: usize,
        incarnation: u64,
        line: String,
    },
    SubscriptionAnswer {
        front_end: usize,
        incarnation: u64,
    },
    StreamBegins {
        front_end: usize,
        incarnation: u64,
        request: u64,
        attempt: usize,
    },
    AttemptEnds {
        front_end: usize,
        incarnation: u64,
        request: u64,
        attempt: usize,
        status: &'static str,
        detail: u32,
    },
    Deadline {
        front_end: usize,
        incarnation: u64,
        request: u64,
    },
    ClientCancels {
        front_end: usize,
        incarnation: u64,
        request: u64,
    },
    HealthCheckEnds {
        front_end: usize,
        incarnation: u64,
        worker: String,
        sent: u64,
    },
    LoadCommandEnds {
        front_end: usize,
        incarnation: u64,
        worker: String,
        function: u64,
        sent: u64,
        status: &'static str,
    },
}
