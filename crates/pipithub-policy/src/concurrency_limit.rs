//! The adaptive concurrency limit of a worker: additive increase with each answer, multiplicative
//! decrease with each rejection.

/// A worker that rejects an attempt is limited to this share of the attempts there.
const DECREASE: f64 = 0.7;
/// Each answer raises the limit by this number of attempts.
const INCREASE: f64 = 0.1;

/// How many attempts this front end may have in flight at one worker.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl Default for ConcurrencyLimit {
    /// No limit, as before the first rejection.
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

    /// Raises the limit after an answer. Nothing else raises it but a restart of the worker, which
    /// removes it.
    pub(crate) fn record_answer(&mut self) {
        self.limit += INCREASE;
    }

    /// Lowers the limit after a rejection; `concurrency`: the attempts there when the rejected one
    /// was sent, itself included.
    pub(crate) fn record_rejection(&mut self, concurrency: f64) {
        self.limit = (concurrency * DECREASE).max(1.0);
    }
}
