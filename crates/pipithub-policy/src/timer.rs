//! The tokens of timers, which encode what each timer was set for.

use crate::api::RequestId;

/// The token of the maintenance timer.
const MAINTENANCE: u64 = 1 << 62;
/// The flag of the timers of load polls; the bits below hold the request.
const POLL_TIMEOUT: u64 = 1 << 61;

/// The flags of the timers of health checks; the bits below hold the request.
const CHECK_TIMEOUT: u64 = MAINTENANCE | POLL_TIMEOUT;

/// What a timer was set for.
///
/// The numbers of requests are below 2^61, so that the higher bits can distinguish the timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// The next round of maintenance.
    Maintenance,
    /// The end of a request's wait for a load report.
    PollTimeout(RequestId),
    /// The end of a request's wait for a health check.
    CheckTimeout(RequestId),
    /// The end of the time in which a request must get its final answer.
    RequestTimeout(RequestId),
}

impl From<TimerToken> for u64 {
    fn from(token: TimerToken) -> u64 {
        match token {
            TimerToken::Maintenance => MAINTENANCE,
            TimerToken::PollTimeout(request) => request.0 | POLL_TIMEOUT,
            TimerToken::CheckTimeout(request) => request.0 | CHECK_TIMEOUT,
            TimerToken::RequestTimeout(request) => request.0,
        }
    }
}

impl From<u64> for TimerToken {
    fn from(token: u64) -> TimerToken {
        if token == MAINTENANCE {
            TimerToken::Maintenance
        } else if token & CHECK_TIMEOUT == CHECK_TIMEOUT {
            TimerToken::CheckTimeout(RequestId(token & !CHECK_TIMEOUT))
        } else if token & POLL_TIMEOUT > 0 {
            TimerToken::PollTimeout(RequestId(token & !POLL_TIMEOUT))
        } else {
            TimerToken::RequestTimeout(RequestId(token))
        }
    }
}
