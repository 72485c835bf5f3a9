//! The outputs of the engine while it handles one input, and the engine's counters.

use std::sync::Arc;

use pipithub_policy::api::HealthCheckOutcome;

use crate::call::Ticket;
use crate::output::Output;
use crate::pending::AnsweredRequest;
use crate::reply::{Reply, Verdict};
use crate::stats::Stats;

/// The outputs of the input that is being handled, in order, and the counters of the engine.
///
/// Between [`attach_buffer`](Self::attach_buffer) and [`detach_buffer`](Self::detach_buffer), outputs are appended to
/// the buffer of the engine's caller, so that they are not copied or allocated twice.
#[derive(Debug, Default)]
pub(super) struct OutputQueue {
    outputs: Vec<Output>,
    stats: Stats,
}

impl OutputQueue {
    /// Takes the caller's buffer; outputs are appended to its contents.
    pub(super) fn attach_buffer(&mut self, buffer: &mut Vec<Output>) {
        self.outputs = std::mem::take(buffer);
    }

    /// Returns the buffer to the caller.
    pub(super) fn detach_buffer(&mut self, buffer: &mut Vec<Output>) {
        *buffer = std::mem::take(&mut self.outputs);
    }

    pub(super) fn stats(&self) -> Stats {
        self.stats
    }

    /// Counts a health check that failed or was not answered.
    pub(super) fn count_health_check(&mut self, outcome: HealthCheckOutcome) {
        match outcome {
            HealthCheckOutcome::Healthy => {}
            HealthCheckOutcome::Unhealthy => self.stats.failed_health_checks += 1,
            HealthCheckOutcome::Unanswered | HealthCheckOutcome::Disconnected => {
                self.stats.unanswered_health_checks += 1;
            }
        }
    }

    /// Appends an output, and counts it if there is a counter for its kind.
    pub(super) fn push(&mut self, output: Output) {
        match &output {
            Output::Forward { .. } => self.stats.attempts += 1,
            Output::Cancel(_) => self.stats.cancelled_attempts += 1,
            Output::LoadFunction { .. } => self.stats.load_commands += 1,
            Output::PollLoad(_) => self.stats.load_polls += 1,
            Output::CheckHealth(_) => self.stats.health_checks += 1,
            Output::EvictFunction { .. } | Output::Answer { .. } | Output::WatchEndpoints => {}
        }
        self.outputs.push(output);
    }

    /// Counts the final answer of a request and appends the output that delivers it. An answer without a ticket is only
    /// counted: it waits for a redelivery of its message.
    pub(super) fn answer(&mut self, answered: AnsweredRequest) {
        match answered.reply.verdict {
            Verdict::Served => self.stats.served += 1,
            Verdict::Rejected => self.stats.rejected += 1,
            Verdict::Failed => self.stats.failed += 1,
        }
        if let Some(ticket) = answered.ticket {
            self.push(Output::Answer {
                ticket,
                reply: answered.reply,
            });
        }
    }

    pub(super) fn count_trigger(&mut self, redelivered: bool) {
        self.stats.triggers += 1;
        if redelivered {
            self.stats.redelivered += 1;
        }
    }

    /// Counts a redelivery that joined a pending request. If that request has its final answer, the answer is delivered
    /// to the new ticket and not counted a second time.
    pub(super) fn joined(&mut self, ticket: Ticket, reply: Option<Arc<Reply>>) {
        self.stats.joined += 1;
        if let Some(reply) = reply {
            self.push(Output::Answer { ticket, reply });
        }
    }
}
