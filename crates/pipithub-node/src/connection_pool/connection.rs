//! One connection to a worker, and the requests that it carries.

mod withdrawal;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::line::LineFramer;
use pipithub_platform::worker::MAX_LINE_BYTES;
use tracing::debug;

pub(super) use self::withdrawal::{CancelStep, Withdrawn};
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

    /// The requests that are in flight when the connection ends, in the order of their references.
    pub(super) fn into_in_flight(self) -> impl Iterator<Item = InFlight> {
        self.in_flight.into_values()
    }
}
