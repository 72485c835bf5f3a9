//! Load polls: when a worker is polled for its load before a request is forwarded there.
//!
//! An attempt tells the same as a poll, and a rejected attempt proves that nothing ran. So a poll
//! can save only a part of the value that attempts lose, and the less, the more is lost at the next
//! worker too. In a large deployment each request met a worker without a fresh report; without this
//! limit all front ends polled for every request, whatever it cost. The price: where polls are
//! expensive, a worker that has fallen silent is found by requests alone.

use crate::api::{Settings, Time, WorkerId};
use crate::estimates::RUN_TIME_GAIN;
use crate::time::MILLISECOND;
use crate::waiting_requests::WaitingRequests;

/// How long a request waits for a load report.
pub(crate) const POLL_TIMEOUT: Time = 30 * MILLISECOND;
/// How often a request may wait for one.
const MAX_POLLS_PER_REQUEST: u32 = 3;
/// What a poll saves of a request's value, as a multiple of the chance that one worker fails it and
/// the next does not.
const POLL_SAVING: f64 = 0.2;

/// The requests that wait for a load report, and whether polls are worth their cost.
#[derive(Debug, Default)]
pub(crate) struct LoadPolls {
    /// Requests that wait for a load report.
    pub(crate) waiting: WaitingRequests,
    /// Mean share of their value that attempts lost: answered late, in error or not at all.
    mean_lost_value: f64,
}

impl LoadPolls {
    /// Whether a request that has polled this often may poll once more.
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
    /// How often it has waited for one.
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

    /// Records that the report has come, or the time for it is over.
    pub(crate) fn end(&mut self) {
        self.worker = None;
    }
}
