//! One connection to a worker, and the requests that it carries.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::line::LineFramer;
use pipithub_platform::worker::{MAX_LINE_BYTES, cancel_line};
use tracing::debug;

use super::request::{RequestKind, WorkerRequest};
use crate::effect::{ConnectionId, Effect};

/// How many used references a connection remembers. Duplicate answers come shortly after the first, so a few suffice.
const MAX_RECENT_REFERENCES: usize = 16;

/// Whether the answer to a request in flight is awaited, or how the worker is to give the request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cancellation {
    /// The answer is awaited.
    None,
    /// The cancel message is queued behind bytes that the operating system has not accepted.
    Queued {
        /// Where the message ends, in bytes from the first one written on the connection.
        end_offset: u64,
    },
    /// No cancel message can be written on the connection: only its end gives the request up.
    AtClose,
}

/// A request that was written on a connection and is not answered yet.
#[derive(Debug)]
pub(super) struct InFlight {
    request: WorkerRequest,
    cancellation: Cancellation,
    /// Where the request's line begins and ends, in bytes from the first one written on the connection.
    start_offset: u64,
    end_offset: u64,
    /// When the request's line was queued for writing.
    queued_at: Time,
    /// How long the connection had been idle before the request, in nanoseconds; `None` if the connection was new or
    /// carried other requests.
    idle_before: Option<Time>,
}

impl InFlight {
    /// Whether the complete line is among the first `written` bytes of the connection.
    pub(super) fn is_written(&self, written: u64) -> bool {
        self.end_offset <= written
    }

    pub(super) fn idle_before(&self) -> Option<Time> {
        self.idle_before
    }

    pub(super) fn into_request(self) -> WorkerRequest {
        self.request
    }

    /// Whether the worker was sent the complete cancel message, given that the operating system has accepted `written`
    /// bytes, or all with `None`.
    fn is_cancelled(&self, written: Option<u64>) -> bool {
        match self.cancellation {
            Cancellation::Queued { end_offset } => written.is_none_or(|bytes| end_offset <= bytes),
            Cancellation::None | Cancellation::AtClose => false,
        }
    }
}

/// How much of a request's line the operating system has accepted.
enum WriteProgress {
    Nothing,
    /// A part of the line; `written` counts all accepted bytes of the connection.
    Partial {
        written: u64,
    },
    Complete,
}

/// A request that was removed from its connection.
pub(super) struct Withdrawn {
    pub(super) request: WorkerRequest,
    /// Whether it is certain that the request did not arrive completely.
    pub(super) not_sent: bool,
    /// Requests queued behind a partially written line. They were not sent and need another connection.
    pub(super) displaced: Vec<WorkerRequest>,
    /// Withdraws the request's line or asks the worker to cancel the request; `None` if neither is done.
    pub(super) effect: Option<Effect>,
}

/// What became of the order to cancel a request in flight.
pub(super) enum CancelStep {
    /// The request has ended.
    Withdrawn(Box<Withdrawn>),
    /// The request ends once the worker has been sent the cancel message, or when the connection ends; the effect
    /// queues the message.
    Pending(Option<Effect>),
}

/// A request in flight that must end because its deadline has passed, because it was not written in time, or because it
/// must not be written any more.
pub(super) struct OverdueRequest {
    pub(super) connection: ConnectionId,
    pub(super) worker: WorkerId,
    pub(super) reference: String,
    pub(super) start_offset: u64,
}

/// The most recently used references of a connection. An answer may come twice, and the second one must not be taken
/// for the answer to another request with the same reference.
#[derive(Debug, Default)]
struct RecentReferences(VecDeque<String>);

impl RecentReferences {
    fn remember(&mut self, reference: &str) {
        if self.0.len() >= MAX_RECENT_REFERENCES {
            self.0.pop_front();
        }
        self.0.push_back(reference.to_string());
    }

    fn contains(&self, reference: &str) -> bool {
        self.0.iter().any(|recent| recent == reference)
    }
}

/// How far the lines of a connection are written, in bytes from the first one written on it.
#[derive(Debug, Default)]
struct WritePosition {
    /// Bytes that were handed to the shell and not withdrawn.
    queued: u64,
    /// How many of the queued bytes the operating system has accepted while the worker does not read; `None` if the
    /// system has accepted all.
    accepted: Option<u64>,
    /// Whether the last line was written only in part. It must never be completed, so nothing may follow it.
    sealed: bool,
}

impl WritePosition {
    fn progress(&self, in_flight: &InFlight) -> WriteProgress {
        match self.accepted {
            Some(written) if written <= in_flight.start_offset => WriteProgress::Nothing,
            Some(written) if written < in_flight.end_offset => WriteProgress::Partial { written },
            _ => WriteProgress::Complete,
        }
    }
}

/// A connection to a worker that is being established or is established.
#[derive(Debug)]
pub(super) struct Connection {
    id: ConnectionId,
    worker: WorkerId,
    address: String,
    /// `None` while the connection is being established.
    established_at: Option<Time>,
    framer: LineFramer,
    in_flight: BTreeMap<String, InFlight>,
    recent_references: RecentReferences,
    position: WritePosition,
    /// How many requests were written on the connection.
    uses: u64,
    last_used: Time,
}

impl Connection {
    /// Creates a connection that is being established.
    pub(super) fn new(id: ConnectionId, worker: &WorkerId, address: &str, now: Time) -> Self {
        Connection {
            id,
            worker: worker.clone(),
            address: address.to_string(),
            established_at: None,
            framer: LineFramer::new(MAX_LINE_BYTES),
            in_flight: BTreeMap::new(),
            recent_references: RecentReferences::default(),
            position: WritePosition::default(),
            uses: 0,
            last_used: now,
        }
    }

    pub(super) fn worker(&self) -> &WorkerId {
        &self.worker
    }

    pub(super) fn address(&self) -> &str {
        &self.address
    }

    pub(super) fn is_established(&self) -> bool {
        self.established_at.is_some()
    }

    /// When the connection was established; 0 while it is being established.
    pub(super) fn established_at(&self) -> Time {
        self.established_at.unwrap_or(0)
    }

    /// Whether lines wait for the operating system to accept them, because the worker does not read.
    pub(super) fn is_blocked(&self) -> bool {
        self.position.accepted.is_some()
    }

    /// Records that the connection is established.
    pub(super) fn establish(&mut self, now: Time) {
        self.established_at = Some(now);
        self.last_used = now;
    }

    pub(super) fn framer(&mut self) -> &mut LineFramer {
        &mut self.framer
    }

    pub(super) fn last_used(&self) -> Time {
        self.last_used
    }

    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether the connection is established and carries no request.
    pub(super) fn is_idle(&self) -> bool {
        self.is_established() && self.in_flight.is_empty()
    }

    /// Whether the connection must be closed now: nothing more may be written on it, and no request awaits an answer.
    /// The end of the connection gives up the requests that are to be cancelled.
    pub(super) fn is_finished(&self) -> bool {
        let is_given_up = |in_flight: &InFlight| in_flight.cancellation == Cancellation::AtClose;
        self.position.sealed && self.in_flight.values().all(is_given_up)
    }

    pub(super) fn queued_bytes(&self) -> u64 {
        self.position.queued
    }

    pub(super) fn was_used_for(&self, reference: &str) -> bool {
        self.recent_references.contains(reference)
    }

    /// Whether a request with this reference may be written now. A connection that has been idle for `idle_limit`
    /// nanoseconds or longer is not used again; `None` means no limit.
    pub(super) fn can_carry(
        &self,
        now: Time,
        reference: &str,
        idle_limit: Option<Time>,
        max_requests: usize,
    ) -> bool {
        let was_idle = self.in_flight.is_empty() && self.uses > 0;
        let is_stale = was_idle && idle_limit.is_some_and(|limit| now >= self.last_used + limit);
        let reference_is_used =
            self.in_flight.contains_key(reference) || self.recent_references.contains(reference);
        self.is_established()
            && !is_stale
            && !reference_is_used
            && self.position.accepted.is_none()
            && !self.position.sealed
            && self.in_flight.len() < max_requests
    }

    /// Queues a request's line for writing; returns the effect that writes it.
    pub(super) fn send(&mut self, now: Time, request: WorkerRequest, line: Bytes) -> Effect {
        let idle = now.saturating_sub(self.last_used);
        debug!(
            connection = self.id.0,
            reference = request.reference,
            worker = &*self.worker.0,
            uses = self.uses,
            idle_us = idle / 1000,
            beside = self.in_flight.len(),
            "written"
        );
        let was_idle = self.uses > 0 && self.in_flight.is_empty();
        self.uses += 1;
        self.last_used = now;
        let start_offset = self.position.queued;
        let effect = self.queue(line);
        // Workers do not answer evict commands.
        if request.kind != RequestKind::EvictFunction {
            let reference = request.reference.clone();
            let in_flight = InFlight {
                request,
                cancellation: Cancellation::None,
                start_offset,
                end_offset: self.position.queued,
                queued_at: now,
                idle_before: was_idle.then_some(idle),
            };
            self.in_flight.insert(reference, in_flight);
        }
        effect
    }

    fn queue(&mut self, bytes: Bytes) -> Effect {
        self.position.queued += bytes.len() as u64;
        Effect::Write {
            connection: self.id,
            bytes,
        }
    }

    /// Removes and returns the request that an answer with this reference ends; `None` if there is none, as with a
    /// duplicate answer.
    pub(super) fn answered(&mut self, now: Time, reference: &str) -> Option<InFlight> {
        let in_flight = self.in_flight.remove(reference)?;
        self.last_used = now;
        if matches!(in_flight.request.kind, RequestKind::Attempt(_)) {
            self.recent_references.remember(reference);
        }
        Some(in_flight)
    }

    /// Records how many bytes the operating system has accepted while the worker does not read, or `None` once the
    /// system has accepted all; returns whether the connection was blocked and is not any more.
    pub(super) fn set_blocked(&mut self, accepted: Option<u64>) -> bool {
        let was_blocked = self.position.accepted.is_some();
        self.position.accepted = accepted;
        was_blocked && accepted.is_none()
    }

    /// The reference under which an attempt is in flight on this connection; `None` if the attempt is not in flight
    /// here.
    pub(super) fn reference_of(&self, attempt: AttemptId) -> Option<&str> {
        self.in_flight
            .iter()
            .find(|(_, in_flight)| in_flight.request.kind == RequestKind::Attempt(attempt))
            .map(|(reference, _)| reference.as_str())
    }

    /// Marks a request as abandoned, so that it is not sent again if the connection ends; returns whether its line is
    /// still incomplete and can be withdrawn.
    pub(super) fn abandon(&mut self, reference: &str) -> bool {
        let Some(in_flight) = self.in_flight.get_mut(reference) else {
            return false;
        };
        in_flight.request.abandoned = true;
        !matches!(self.position.progress(in_flight), WriteProgress::Complete)
    }

    /// The requests whose deadline has passed, and those whose line the operating system has not accepted completely
    /// within `write_timeout` nanoseconds.
    pub(super) fn overdue_requests(
        &self,
        now: Time,
        write_timeout: Time,
    ) -> impl Iterator<Item = OverdueRequest> {
        let is_overdue = move |in_flight: &InFlight| {
            let is_unwritten =
                !matches!(self.position.progress(in_flight), WriteProgress::Complete);
            now >= in_flight.request.deadline
                || is_unwritten && now >= in_flight.queued_at + write_timeout
        };
        self.in_flight
            .iter()
            .filter(move |(_, in_flight)| is_overdue(in_flight))
            .map(|(reference, in_flight)| self.overdue(reference, in_flight))
    }

    /// The requests that must not be written any more: those of which nothing was written when the lease on the worker
    /// ended, and those that were not written completely before their own time to be written was over.
    pub(super) fn unsendable_requests(
        &self,
        now: Time,
        lease_end: Option<Time>,
    ) -> impl Iterator<Item = OverdueRequest> {
        let is_unsendable = move |in_flight: &InFlight| match self.position.progress(in_flight) {
            WriteProgress::Nothing => in_flight.request.must_not_be_sent(lease_end, now),
            WriteProgress::Partial { .. } => in_flight.request.is_past_send_by(now),
            WriteProgress::Complete => false,
        };
        self.in_flight
            .iter()
            .filter(move |(_, in_flight)| is_unsendable(in_flight))
            .map(|(reference, in_flight)| self.overdue(reference, in_flight))
    }

    fn overdue(&self, reference: &str, in_flight: &InFlight) -> OverdueRequest {
        OverdueRequest {
            connection: self.id,
            worker: self.worker.clone(),
            reference: reference.to_string(),
            start_offset: in_flight.start_offset,
        }
    }

    /// Removes a request whose answer is no longer awaited; `None` if it is not in flight. A line that was not written
    /// completely is withdrawn: a cancel message behind the line would not keep the request from running once the
    /// worker reads again. Otherwise, if `cancel` is set and the request is an attempt, the worker is asked to cancel
    /// it.
    pub(super) fn withdraw(&mut self, reference: &str, cancel: bool) -> Option<Withdrawn> {
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
    pub(super) fn cancel(&mut self, reference: &str, may_cancel: bool) -> Option<CancelStep> {
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
    pub(super) fn take_cancelled(&mut self) -> Vec<WorkerRequest> {
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

    /// The requests that are in flight when the connection ends, in the order of their references.
    pub(super) fn into_in_flight(self) -> impl Iterator<Item = InFlight> {
        self.in_flight.into_values()
    }
}
