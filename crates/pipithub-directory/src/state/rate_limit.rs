//! Limits on the rate of searches in a directory, and on the fraction of searches that are hedged.

use crate::time::{MILLISECOND, SECOND, Time};

/// The capacity of a bucket is its rate in tokens a second divided by this, but at least one token.
const BURST_DIVISOR: f64 = 4.0;
/// The lowest rate, in tokens a second, that is assumed when the time of the next token is computed.
const MIN_RATE: f64 = 0.01;
/// The fraction of all searches that may be hedged.
const HEDGED_FRACTION: f64 = 0.1;
/// The maximum number of unused hedges in the budget.
const MAX_SAVED_HEDGES: f64 = 4.0;

/// A token bucket. Each search takes a token, and tokens are refilled at a constant rate.
pub(crate) struct TokenBucket {
    tokens_per_second: f64,
    tokens: f64,
    last_refill: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        let mut bucket = TokenBucket {
            tokens_per_second,
            tokens: 0.0,
            last_refill: 0,
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> f64 {
        (self.tokens_per_second / BURST_DIVISOR).max(1.0)
    }

    /// Adds the tokens of the time since the last refill, up to the capacity.
    pub(crate) fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.last_refill) as f64 / SECOND as f64;
        self.last_refill = self.last_refill.max(now);
        self.tokens = (self.tokens + passed * self.tokens_per_second).min(self.capacity());
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// When the next token is available; `None` if one is available now.
    pub(crate) fn next_token_at(&self) -> Option<Time> {
        if self.has_token() {
            return None;
        }
        let seconds = (1.0 - self.tokens) / self.tokens_per_second.max(MIN_RATE);
        let delay = (seconds * SECOND as f64) as Time + MILLISECOND;
        Some(self.last_refill.saturating_add(delay))
    }
}

/// Limits hedges to a fraction of all searches ([`HEDGED_FRACTION`]).
pub(crate) struct HedgeBudget {
    /// The number of hedges that are allowed now.
    hedges: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget { hedges: 1.0 }
    }
}

impl HedgeBudget {
    /// Adds the fraction of a hedge that a search allows.
    pub(crate) fn add_search(&mut self) {
        self.hedges = (self.hedges + HEDGED_FRACTION).min(MAX_SAVED_HEDGES);
    }

    pub(crate) fn allows_hedge(&self) -> bool {
        self.hedges >= 1.0
    }

    pub(crate) fn take_hedge(&mut self) {
        self.hedges -= 1.0;
    }
}

#[cfg(test)]
mod tests;
