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

/// A request that was given up.
pub(super) struct Withdrawn {
    pub(super) request: WorkerRequest,
    /// It is certain that it did not arrive whole.
    pub(super) unsent: bool,
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

    /// Takes out a request of which the answer is not waited for any more. One that has not left whole is taken back: an UNDO
    /// behind it would not keep it from beginning once the worker reads again. Otherwise the worker is told to give a run
    /// up, where the settings let us.
    pub(super) fn give_up(
        &mut self,
        id: ConnectionId,
        reference: &str,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<Withdrawn> {
        let in_flight = self.in_flight.remove(reference)?;
        match self.progress(&in_flight) {
            Progress::None => {
                let len = in_flight.end_offset - in_flight.start_offset;
                self.queued_bytes -= len;
                for other in self
                    .in_flight
                    .values_mut()
                    .filter(|c| c.end_offset > in_flight.end_offset)
                {
                    other.start_offset -= len;
                    other.end_offset -= len;
                }
                effects.push(Effect::CancelWrite {
                    connection: id,
                    offset: in_flight.start_offset,
                    length: len,
                });
                return Some(Withdrawn {
                    request: in_flight.request,
                    unsent: true,
                    displaced: Vec::new(),
                });
            }
            Progress::Part(written) => {
                let displaced = self.seal(id, written, effects);
                return Some(Withdrawn {
                    request: in_flight.request,
                    unsent: true,
                    displaced,
                });
            }
            Progress::Whole => {}
        }
        if matches!(in_flight.request.kind, RequestKind::Attempt(_)) {
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
        Some(Withdrawn {
            request: in_flight.request,
            unsent: false,
            displaced: Vec::new(),
        })
    }

    /// Takes back all that the system has not taken, within a line: nothing may follow. The requests that stood behind it.
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
        (self.sealed, self.queued_bytes) = (true, written);
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

    /// Notes that a name was used here: a late second answer must not be taken for that of its next use.
    pub(super) fn remember_reference(&mut self, reference: &str) {
        if self.recent_references.len() >= MAX_RECENT_REFERENCES {
            self.recent_references.pop_front();
        }
        self.recent_references.push_back(reference.to_string());
    }
}
