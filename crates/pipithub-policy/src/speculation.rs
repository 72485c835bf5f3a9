//! Speculative attempts: the budget for attempts at workers where the requests of other front ends
//! have likely loaded the function.
//!
//! In a large deployment a front end receives few of the answers that confirm a replica. It may then
//! forward a request as if the function were loaded, on average for at most every second request, so
//! that most requests still go to workers with a known replica.

/// The number of tokens that each accepted request adds; a speculative attempt takes one token.
const TOKENS_PER_REQUEST: f64 = 0.5;
/// The largest number of tokens that can be saved.
const MAX_TOKENS: f64 = 8.0;

/// The token bucket that limits speculative attempts.
#[derive(Debug, Default)]
pub(crate) struct Speculation {
    tokens: f64,
}

impl Speculation {
    /// Adds the tokens for one accepted request.
    pub(crate) fn add_tokens(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a speculative attempt is within the budget.
    pub(crate) fn is_allowed(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of one speculative attempt.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}
