//! One connection to a worker, and the requests that it carries.

use std::collections::{BTreeMap, VecDeque};

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_platform::line::LineFramer;
use pipithub_platform::worker::{MAX_LINE_BYTES, cancel_line};

use super::request::{RequestKind, WorkerRequest};
use crate::effect::{ConnectionId, Effect};

/// Names that a connection remembers as used. Second answers come within moments, so few suffice.
const MAX_RECENT_REFERENCES: usize = 16;

#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) request: WorkerRequest,
    /// Where its line begins, in bytes from the connection's first.
    pub(super) start_offset: u64,
    /// Bytes that must have been written on the connection for the request to have arrived whole.
    pub(super) end_offset: u64,
    /// When its line was made.
    pub(super) queued_at: Time,
    /// For how long the connection had been idle; `None` where it was new or carried others.
    pub(super) idle: Option<Time>,
}

/// How much of a line the system has taken.
pub(super) enum Progress {
    None,
    /// A part; the bytes taken on the whole connection.
    Part(u64),
    Whole,
}

/// A request that was taken off its connection.
pub(super) struct Withdrawn {
    pub(super) request: WorkerRequest,
    /// It is certain that it did not arrive whole.
    pub(super) not_sent: bool,
    /// Requests whose lines could not stay behind it; they have not left either.
    pub(super) displaced: Vec<WorkerRequest>,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) worker: WorkerId,
    pub(super) address: String,
    pub(super) established: bool,
    pub(super) framer: LineFramer,
    pub(super) in_flight: BTreeMap<String, InFlight>,
    /// Attempts that it carried lately: an answer may come twice, the second time under a name that is in use again.
    pub(super) recent_references: VecDeque<String>,
    /// Bytes handed to the shell so far.
    pub(super) queued_bytes: u64,
    /// The worker does not read: the bytes that the system has taken so far.
    pub(super) blocked: Option<u64>,
    /// It ends in half a line, which must not become whole: nothing more is written on it, and it is closed once it
    /// carries nothing.
    pub(super) sealed: bool,
    /// Requests that it has carried so far.
    pub(super) uses: u64,
    pub(super) last_used: Time,
}

impl Connection {
    /// One that is on its way.
    pub(super) fn new(worker: &WorkerId, address: &str, now: Time) -> Self {
        Connection {
            worker: worker.clone(),
            address: address.to_string(),
            established: false,
            framer: LineFramer::new(MAX_LINE_BYTES),
            in_flight: BTreeMap::new(),
            recent_references: VecDeque::new(),
            queued_bytes: 0,
            blocked: None,
            sealed: false,
            uses: 0,
            last_used: now,
        }
    }

    /// Takes out a request whose answer is not waited for any more. One that has not left whole is taken back: to
    /// cancel it behind its line would not keep it from beginning once the worker reads again. Otherwise the worker is
    /// told to cancel an attempt, where the settings let us.
    pub(super) fn give_up(
        &mut self,
        id: ConnectionId,
        reference: &str,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<Withdrawn> {
        let in_flight = self.in_flight.remove(reference)?;
        let (not_sent, displaced) = match self.progress(&in_flight) {
            Progress::None => {
                self.take_back(id, &in_flight, effects);
                (true, Vec::new())
            }
            Progress::Part(written) => (true, self.seal(id, written, effects)),
            Progress::Whole => {
                if matches!(in_flight.request.kind, RequestKind::Attempt(_)) {
                    self.end_attempt(id, reference, cancel, effects);
                }
                (false, Vec::new())
            }
        };
        Some(Withdrawn {
            request: in_flight.request,
            not_sent,
            displaced,
        })
    }

    /// Takes back a line of which the system has taken nothing; those behind it move up.
    fn take_back(&mut self, id: ConnectionId, taken: &InFlight, effects: &mut Vec<Effect>) {
        let length = taken.end_offset - taken.start_offset;
        self.queued_bytes -= length;
        let behind = self
            .in_flight
            .values_mut()
            .filter(|other| other.end_offset > taken.end_offset);
        for other in behind {
            other.start_offset -= length;
            other.end_offset -= length;
        }
        effects.push(Effect::CancelWrite {
            connection: id,
            offset: taken.start_offset,
            length,
        });
    }

    /// Ends an attempt whose line has left: its answer may still come, and the worker may be told to cancel it.
    fn end_attempt(
        &mut self,
        id: ConnectionId,
        reference: &str,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.remember_reference(reference);
        if cancel && !self.sealed {
            let bytes = cancel_line(reference);
            self.queued_bytes += bytes.len() as u64;
            effects.push(Effect::Write {
                connection: id,
                bytes,
            });
        }
    }

    /// Whether a request of this reference may be put on it now. `idle_limit`: how long it may have been idle.
    pub(super) fn can_carry(
        &self,
        now: Time,
        reference: &String,
        idle_limit: Option<Time>,
        max_requests: usize,
    ) -> bool {
        let was_idle = self.in_flight.is_empty() && self.uses > 0;
        let is_stale = was_idle && idle_limit.is_some_and(|limit| now >= self.last_used + limit);
        let reference_is_used =
            self.in_flight.contains_key(reference) || self.recent_references.contains(reference);
        self.established
            && !is_stale
            && !reference_is_used
            && self.blocked.is_none()
            && !self.sealed
            && self.in_flight.len() < max_requests
    }

    /// Takes back all that the system has not taken, within a line: nothing may follow. The requests that stood behind
    /// it.
    fn seal(
        &mut self,
        id: ConnectionId,
        written: u64,
        effects: &mut Vec<Effect>,
    ) -> Vec<WorkerRequest> {
        effects.push(Effect::CancelWrite {
            connection: id,
            offset: written,
            length: self.queued_bytes - written,
        });
        self.sealed = true;
        self.queued_bytes = written;
        let displaced: Vec<String> = self
            .in_flight
            .iter()
            .filter(|(_, c)| c.end_offset > written)
            .map(|(name, _)| name.clone())
            .collect();
        displaced
            .iter()
            .filter_map(|name| self.in_flight.remove(name))
            .map(|c| c.request)
            .collect()
    }

    /// How much of a request's line the system has taken.
    pub(super) fn progress(&self, in_flight: &InFlight) -> Progress {
        match self.blocked {
            Some(written) if written <= in_flight.start_offset => Progress::None,
            Some(written) if written < in_flight.end_offset => Progress::Part(written),
            _ => Progress::Whole,
        }
    }

    /// Remembers a reference: a late second answer to it must not be taken for the answer to its next use.
    pub(super) fn remember_reference(&mut self, reference: &str) {
        if self.recent_references.len() >= MAX_RECENT_REFERENCES {
            self.recent_references.pop_front();
        }
        self.recent_references.push_back(reference.to_string());
    }
}
