//! Speculative attempts: the budget of attempts at workers that other front ends have likely made
//! load the function.
//!
//! In a large deployment a front end sees few of the answers that would show it a replica. It may
//! then forward a request as if the function were loaded, once for every second request, so that
//! most requests still go where a replica is known.

/// Tokens that each accepted request adds; a speculative attempt takes one token.
const TOKENS_PER_REQUEST: f64 = 0.5;
/// The largest number of tokens that can be saved.
const MAX_TOKENS: f64 = 8.0;

/// The token bucket that limits speculative attempts.
#[derive(Debug, Default)]
pub(crate) struct Speculation {
    tokens: f64,
}

impl Speculation {
    /// Adds what one accepted request earns.
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
