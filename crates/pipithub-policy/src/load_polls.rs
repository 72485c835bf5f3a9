//! Load polls: when a worker is polled for its load before a request is forwarded there.
//!
//! An attempt gives the same information as a poll, and a rejected attempt proves that the request did
//! not run. A poll can therefore save only a part of the value that attempts lose, and saves the less,
//! the more is lost at the next worker too. In a large deployment each request reached a worker without
//! a fresh report; without this limit all front ends polled for every request, whatever the cost. The
//! drawback: if polls are expensive, a worker that has become silent is detected by requests only.

use crate::api::{Settings, Time, WorkerId};
use crate::estimates::RUN_TIME_GAIN;
use crate::time::MILLISECOND;
use crate::waiting_requests::WaitingRequests;

/// How long a request waits for a load report.
pub(crate) const POLL_TIMEOUT: Time = 30 * MILLISECOND;
/// How often a request may wait for a load report.
const MAX_POLLS_PER_REQUEST: u32 = 3;
/// The share of a request's value that a poll saves, as a multiple of the probability that one worker
/// fails the request and the next one does not.
const POLL_SAVING: f64 = 0.2;

/// The requests that wait for a load report, and whether polls are worth their cost.
#[derive(Debug, Default)]
pub(crate) struct LoadPolls {
    /// Requests that wait for a load report.
    pub(crate) waiting: WaitingRequests,
    /// The mean share of their value that attempts lost by a late answer, an error or no answer.
    mean_lost_value: f64,
}

impl LoadPolls {
    /// Whether a request with these polls so far may poll once more.
    pub(crate) fn may_poll(&self, polls: &RequestPolls, settings: &Settings) -> bool {
        self.are_worthwhile(settings) && polls.count < MAX_POLLS_PER_REQUEST
    }

    /// Whether a poll before an attempt saves more than it costs.
    fn are_worthwhile(&self, settings: &Settings) -> bool {
        settings.limits.load_polls
            && self.mean_lost_value * (1.0 - self.mean_lost_value) * POLL_SAVING
                >= settings.costs.load_poll
    }

    /// Records the share of its value that an attempt lost, from 0 to 1.
    pub(crate) fn record_lost_value(&mut self, lost: f64) {
        self.mean_lost_value += RUN_TIME_GAIN * (lost - self.mean_lost_value);
    }
}

/// The load polls of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestPolls {
    /// The worker whose load report the request waits for.
    worker: Option<WorkerId>,
    /// How often the request has waited for a load report.
    count: u32,
}

impl RequestPolls {
    /// Whether the request waits for a load report.
    pub(crate) fn is_waiting(&self) -> bool {
        self.worker.is_some()
    }

    /// The worker whose load report the request waits for; `None` if it waits for none.
    pub(crate) fn worker(&self) -> Option<&WorkerId> {
        self.worker.as_ref()
    }

    /// Begins to wait for a worker's load report.
    pub(crate) fn begin(&mut self, worker: WorkerId) {
        self.worker = Some(worker);
        self.count += 1;
    }

    /// Ends the wait, because the report has been received or the poll has timed out.
    pub(crate) fn end(&mut self) {
        self.worker = None;
    }
}
