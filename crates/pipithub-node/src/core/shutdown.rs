//! Graceful shutdown: what is still taken, when the rest gets its answer, and when the process may end.

use pipithub_engine::Time;
use tracing::info;

use super::Core;
use crate::effect::Effect;

/// After SIGTERM clients go on sending for up to 0.6 s, as the platform states; what comes later is rejected.
pub(super) const ACCEPT_AFTER_SIGTERM: Time = 700_000_000;
/// A shutdown takes at least so long: clients that send late must still be answered.
const MIN_SHUTDOWN_TIME: Time = 1_000_000_000;
/// SIGKILL comes no earlier than the longest deadline, counted as the first of these at most, and the second after
/// SIGTERM. What has no answer a little before that gets it then.
const MAX_COUNTED_TIMEOUT: Time = 3_000_000_000;
const KILL_DELAY: Time = 700_000_000;
const KILL_MARGIN: Time = 50_000_000;
/// Of that margin, the part in which clients may still read these answers and send more. The rest is for closing their
/// connections, and for a turn of the loop.
const FINAL_READ_TIME: Time = 20_000_000;

impl Core {
    /// Begins the graceful shutdown; later calls of this change nothing.
    pub fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown_started.is_none() {
            info!(
                front_end = self.name,
                pending = self.engine.pending_requests(),
                "shutting down"
            );
            self.shutdown_started = Some(now);
        }
    }

    /// Once a stop was asked for: when whatever has no answer gets one, as the process may be killed soon after.
    pub(super) fn final_answers_at(&self) -> Option<Time> {
        let counted = self.max_client_timeout.min(MAX_COUNTED_TIMEOUT);
        self.shutdown_started
            .map(|since| since + counted + KILL_DELAY - KILL_MARGIN)
    }

    /// Whether a stop was asked for and all that was taken is answered. Answers may still be unwritten, and requests
    /// unread: the shell looks for these.
    pub fn is_drained(&self, now: Time) -> bool {
        let least = self.shutdown_started.map(|since| since + MIN_SHUTDOWN_TIME);
        self.engine.pending_requests() == 0
            && least
                .min(self.final_answers_at())
                .is_some_and(|at| now >= at)
    }

    /// Whether the end cannot wait any longer for clients to fall silent.
    pub fn shutdown_overdue(&self, now: Time) -> bool {
        self.final_answers_at()
            .is_some_and(|at| now >= at + FINAL_READ_TIME)
    }

    /// The process is about to end: what clients have sent by now is answered, and their connections are closed.
    pub fn close_clients(&mut self) {
        let clients = self.client_sessions.connections();
        self.effects.extend(
            clients
                .into_iter()
                .map(|connection| Effect::Retire { connection }),
        );
    }
}
