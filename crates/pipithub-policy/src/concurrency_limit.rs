//! The adaptive concurrency limit of a worker: additive increase with each answer, multiplicative
//! decrease with each rejection.

/// The limit after a rejection, as a share of the attempts at the worker when the rejected one was
/// sent.
const DECREASE: f64 = 0.7;
/// The number of attempts by which each answer raises the limit.
const INCREASE: f64 = 0.1;

/// How many attempts this front end may have in flight at one worker.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl Default for ConcurrencyLimit {
    /// Creates the state before the first rejection, without a limit.
    fn default() -> Self {
        ConcurrencyLimit {
            limit: f64::INFINITY,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether a further attempt may be sent beside those in flight.
    pub(crate) fn allows(&self, in_flight: usize) -> bool {
        (in_flight as f64) < self.limit
    }

    /// Raises the limit after an answer. Only a restart of the worker also raises it, by removing the
    /// limit.
    pub(crate) fn record_answer(&mut self) {
        self.limit += INCREASE;
    }

    /// Sets the limit after a rejection, to at least 1; `concurrency` is the number of attempts at the
    /// worker when the rejected one was sent, including it.
    pub(crate) fn record_rejection(&mut self, concurrency: f64) {
        self.limit = (concurrency * DECREASE).max(1.0);
    }
}
