//! Graceful shutdown: until when calls are admitted, when the remaining ones are answered, and when the process may
//! end.
//!
//! A shutdown has four steps. At SIGTERM, the health check begins to fail ([`Core::begin_shutdown`]). After
//! [`ADMISSION_PERIOD`], new calls are rejected ([`Input::Drain`]). Shortly before SIGKILL may come, calls that are
//! still pending are answered ([`Input::AnswerAll`]). Once no call is pending, clients are closed
//! ([`Core::close_clients`]).

use pipithub_engine::{Input, Time};
use tracing::info;

use super::Core;
use crate::effect::Effect;

/// Calls that arrive later than this after SIGTERM, in nanoseconds, are rejected. The platform states that clients go
/// on sending for up to 0.6 s after SIGTERM.
const ADMISSION_PERIOD: Time = 700_000_000;
/// A shutdown takes at least this long, in nanoseconds, unless pending calls must be answered earlier: calls that
/// clients send late must still be answered.
const MIN_SHUTDOWN_TIME: Time = 1_000_000_000;
/// The earliest time of SIGKILL after SIGTERM is the longest client timeout, of which at most this much counts, plus
/// [`KILL_DELAY`]; both in nanoseconds.
const MAX_COUNTED_TIMEOUT: Time = 3_000_000_000;
const KILL_DELAY: Time = 700_000_000;
/// Pending calls are answered this long before SIGKILL may come, in nanoseconds.
const KILL_MARGIN: Time = 50_000_000;
/// The part of [`KILL_MARGIN`], in nanoseconds, in which clients may still read these answers and send more. The rest
/// is for closing their connections and for one iteration of the event loop.
const FINAL_READ_TIME: Time = 20_000_000;

/// The progress of a graceful shutdown, if one was requested.
#[derive(Debug)]
pub(super) struct Shutdown {
    /// When the shutdown was requested; `None` if it was not.
    requested_at: Option<Time>,
    is_draining: bool,
    /// The time from the request until pending calls are answered, in nanoseconds.
    final_answer_delay: Time,
}

impl Shutdown {
    /// Creates the state without a requested shutdown. `max_client_timeout` is the longest client timeout of all
    /// classes.
    pub(super) fn new(max_client_timeout: Time) -> Self {
        let counted_timeout = max_client_timeout.min(MAX_COUNTED_TIMEOUT);
        Shutdown {
            requested_at: None,
            is_draining: false,
            final_answer_delay: counted_timeout + KILL_DELAY - KILL_MARGIN,
        }
    }

    pub(super) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Records the request; returns whether it is the first one.
    fn request(&mut self, now: Time) -> bool {
        let is_first = self.requested_at.is_none();
        self.requested_at.get_or_insert(now);
        is_first
    }

    /// Returns whether draining must begin now; this is true once at most.
    fn begin_draining(&mut self, now: Time) -> bool {
        let is_due = self
            .requested_at
            .is_some_and(|requested_at| now >= requested_at + ADMISSION_PERIOD);
        let begins = is_due && !self.is_draining;
        self.is_draining |= is_due;
        begins
    }

    /// When every call without an answer must get one; `None` as long as no shutdown was requested.
    fn final_answers_at(&self) -> Option<Time> {
        self.requested_at
            .map(|requested_at| requested_at + self.final_answer_delay)
    }

    /// The earliest time at which the process may end.
    fn earliest_end(&self) -> Option<Time> {
        let min_end = self
            .requested_at
            .map(|requested_at| requested_at + MIN_SHUTDOWN_TIME);
        min_end.min(self.final_answers_at())
    }
}

impl Core {
    /// Begins the graceful shutdown; further calls have no effect.
    pub fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.request(now) {
            info!(
                front_end = self.name,
                pending = self.engine.pending_requests(),
                "shutting down"
            );
        }
    }

    /// Takes the steps of a shutdown that are due.
    pub(super) fn advance_shutdown(&mut self, now: Time) {
        if self.shutdown.begin_draining(now) {
            self.run(now, Input::Drain);
        }
        if self.final_answers_are_due(now) {
            self.run(now, Input::AnswerAll);
        }
    }

    fn final_answers_are_due(&self, now: Time) -> bool {
        self.shutdown.final_answers_at().is_some_and(|at| now >= at)
    }

    /// Whether a requested shutdown has lasted long enough and every call that was read is answered. Answers may still
    /// be unwritten and requests unread: the shell must check for these.
    pub fn is_drained(&self, now: Time) -> bool {
        let may_end = self.shutdown.earliest_end().is_some_and(|at| now >= at);
        may_end && self.engine.pending_requests() == 0
    }

    /// Whether the process must end now, even if clients are still sending.
    pub fn shutdown_overdue(&self, now: Time) -> bool {
        self.shutdown
            .final_answers_at()
            .is_some_and(|at| now >= at + FINAL_READ_TIME)
    }

    /// Requests a last read and then the close of every client's connection, as the process is about to end.
    pub fn close_clients(&mut self) {
        let connections = self.client_sessions.connections();
        let close_if_idle = |connection| Effect::CloseIfIdle { connection };
        self.effects
            .extend(connections.into_iter().map(close_if_idle));
    }
}
