//! How requests leave a connection without an answer: lines are withdrawn, and workers are told to give requests up.

use std::collections::BTreeMap;

use pipithub_platform::worker::cancel_line;

use super::{Cancellation, Connection, InFlight, WriteProgress};
use crate::connection_pool::request::{RequestKind, WorkerRequest};
use crate::effect::Effect;

/// A request that was removed from its connection.
pub(in crate::connection_pool) struct Withdrawn {
    pub(in crate::connection_pool) request: WorkerRequest,
    /// Whether it is certain that the request did not arrive completely.
    pub(in crate::connection_pool) not_sent: bool,
    /// Requests queued behind a partially written line. They were not sent and need another connection.
    pub(in crate::connection_pool) displaced: Vec<WorkerRequest>,
    /// Withdraws the request's line or asks the worker to cancel the request; `None` if neither is done.
    pub(in crate::connection_pool) effect: Option<Effect>,
}

/// What became of the order to cancel a request in flight.
pub(in crate::connection_pool) enum CancelStep {
    /// The request has ended.
    Withdrawn(Box<Withdrawn>),
    /// The request ends once the worker has been sent the cancel message, or when the connection ends; the effect
    /// queues the message.
    Pending(Option<Effect>),
}

impl Connection {
    /// Removes a request whose answer is no longer awaited; `None` if it is not in flight. A line that was not written
    /// completely is withdrawn: a cancel message behind the line would not keep the request from running once the
    /// worker reads again. Otherwise, if `cancel` is set and the request is an attempt, the worker is asked to cancel
    /// it.
    pub(in crate::connection_pool) fn withdraw(
        &mut self,
        reference: &str,
        cancel: bool,
    ) -> Option<Withdrawn> {
        let in_flight = self.in_flight.remove(reference)?;
        let withdrawn = match self.position.progress(&in_flight) {
            WriteProgress::Nothing => Withdrawn {
                effect: Some(self.withdraw_line(&in_flight)),
                not_sent: true,
                displaced: Vec::new(),
                request: in_flight.request,
            },
            WriteProgress::Partial { written } => Withdrawn {
                effect: Some(self.seal(written)),
                not_sent: true,
                displaced: self.take_requests_behind(written),
                request: in_flight.request,
            },
            WriteProgress::Complete => Withdrawn {
                effect: self.end_sent(&in_flight, cancel),
                not_sent: false,
                displaced: Vec::new(),
                request: in_flight.request,
            },
        };
        Some(withdrawn)
    }

    /// Cancels a request at the worker; `None` if it is not in flight.
    ///
    /// A request of which the worker may have a complete line ends only once the worker has been sent the cancel message:
    /// until then it may run beside a retry. Where no message can follow a partially written line, the request stays in
    /// flight until it is answered or the connection ends; so it does if `may_cancel` is not set, as no message may be
    /// written then.
    pub(in crate::connection_pool) fn cancel(
        &mut self,
        reference: &str,
        may_cancel: bool,
    ) -> Option<CancelStep> {
        let in_flight = self.in_flight.get(reference)?;
        let is_written = matches!(self.position.progress(in_flight), WriteProgress::Complete);
        let can_end_now = may_cancel && !self.position.sealed && !self.is_blocked();
        if !is_written || can_end_now {
            let withdrawn = self.withdraw(reference, true)?;
            return Some(CancelStep::Withdrawn(Box::new(withdrawn)));
        }
        if !may_cancel || in_flight.cancellation != Cancellation::None {
            return Some(CancelStep::Pending(None));
        }
        let (cancellation, effect) = if self.position.sealed {
            (Cancellation::AtClose, None)
        } else {
            let effect = self.queue(cancel_line(reference));
            let end_offset = self.position.queued;
            (Cancellation::Queued { end_offset }, Some(effect))
        };
        if let Some(in_flight) = self.in_flight.get_mut(reference) {
            in_flight.cancellation = cancellation;
        }
        Some(CancelStep::Pending(effect))
    }

    /// Removes and returns the requests whose cancel message the operating system has accepted.
    pub(in crate::connection_pool) fn take_cancelled(&mut self) -> Vec<WorkerRequest> {
        let accepted = self.position.accepted;
        let (cancelled, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(_, in_flight)| in_flight.is_cancelled(accepted));
        self.in_flight = kept;
        for reference in cancelled.keys() {
            self.recent_references.remember(reference);
        }
        cancelled
            .into_values()
            .map(InFlight::into_request)
            .collect()
    }

    /// Withdraws a line of which the operating system has accepted nothing; the lines behind it move up.
    fn withdraw_line(&mut self, withdrawn: &InFlight) -> Effect {
        let length = withdrawn.end_offset - withdrawn.start_offset;
        self.position.queued -= length;
        let behind = self
            .in_flight
            .values_mut()
            .filter(|other| other.end_offset > withdrawn.end_offset);
        for other in behind {
            other.start_offset -= length;
            other.end_offset -= length;
        }
        for other in self.in_flight.values_mut() {
            if let Cancellation::Queued { end_offset } = &mut other.cancellation
                && *end_offset > withdrawn.end_offset
            {
                *end_offset -= length;
            }
        }
        Effect::CancelWrite {
            connection: self.id,
            offset: withdrawn.start_offset,
            length,
        }
    }

    /// Withdraws all bytes that the operating system has not accepted, which begin in the middle of a line: nothing may
    /// be written on the connection after that. Requests whose cancel messages are among these bytes are given up by the
    /// end of the connection.
    fn seal(&mut self, written: u64) -> Effect {
        for in_flight in self.in_flight.values_mut() {
            if let Cancellation::Queued { .. } = in_flight.cancellation {
                in_flight.cancellation = Cancellation::AtClose;
            }
        }
        let length = self.position.queued - written;
        self.position.sealed = true;
        self.position.queued = written;
        Effect::CancelWrite {
            connection: self.id,
            offset: written,
            length,
        }
    }

    /// Removes and returns the requests whose lines do not lie completely within the first `written` bytes.
    fn take_requests_behind(&mut self, written: u64) -> Vec<WorkerRequest> {
        let (kept, behind): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(_, in_flight)| in_flight.is_written(written));
        self.in_flight = kept;
        behind.into_values().map(InFlight::into_request).collect()
    }

    /// Ends a request that was sent. The answer to an attempt may still come, so its reference is remembered as used.
    /// Returns the cancel message for an attempt if the worker may be asked to cancel it.
    fn end_sent(&mut self, in_flight: &InFlight, cancel: bool) -> Option<Effect> {
        let request = &in_flight.request;
        if !matches!(request.kind, RequestKind::Attempt(_)) {
            return None;
        }
        self.recent_references.remember(&request.reference);
        let may_cancel =
            cancel && !self.position.sealed && in_flight.cancellation == Cancellation::None;
        may_cancel.then(|| self.queue(cancel_line(&request.reference)))
    }
}
