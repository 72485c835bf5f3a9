//! One connection to a worker, and the requests that it carries.

use std::collections::{BTreeMap, VecDeque};

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_platform::line::LineFramer;
use pipithub_platform::worker::{LINE_MOST, undo};

use super::request::{Job, Task};
use crate::effect::{ConnectionId, Effect};

/// Names that a connection remembers as used. Second answers come within moments, so few suffice.
const SPENT_MOST: usize = 16;

#[derive(Debug)]
pub(super) struct Carried {
    pub(super) job: Job,
    /// Where its line begins, in bytes from the connection's first.
    pub(super) begins_at: u64,
    /// Bytes that must have been written on the connection for the job to have arrived whole.
    pub(super) whole_at: u64,
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

/// A job that was given up.
pub(super) struct GivenUp {
    pub(super) job: Job,
    /// It is certain that it did not arrive whole.
    pub(super) unsent: bool,
    /// Jobs whose lines could not stay behind it; they have not left either.
    pub(super) behind: Vec<Job>,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) worker: WorkerId,
    pub(super) address: String,
    pub(super) up: bool,
    pub(super) framer: LineFramer,
    pub(super) carried: BTreeMap<String, Carried>,
    /// Attempts that it carried lately: an answer may come twice, the second time under a name that is in use again.
    pub(super) spent: VecDeque<String>,
    /// Bytes handed to the shell so far.
    pub(super) queued: u64,
    /// The worker does not read: the bytes that the system has taken so far.
    pub(super) blocked: Option<u64>,
    /// It ends in half a line, which must not become whole: nothing more is written on it, and it is closed once it
    /// carries nothing.
    pub(super) sealed: bool,
    /// Jobs that it has carried so far.
    pub(super) uses: u64,
    pub(super) used: Time,
}

impl Link {
    /// One that is on its way.
    pub(super) fn new(worker: &WorkerId, address: &str, now: Time) -> Self {
        Link {
            worker: worker.clone(),
            address: address.to_string(),
            up: false,
            framer: LineFramer::new(LINE_MOST),
            carried: BTreeMap::new(),
            spent: VecDeque::new(),
            queued: 0,
            blocked: None,
            sealed: false,
            uses: 0,
            used: now,
        }
    }

    /// Takes out a job of which the answer is not waited for any more. One that has not left whole is taken back: an UNDO
    /// behind it would not keep it from beginning once the worker reads again. Otherwise the worker is told to give a run
    /// up, where the settings let us.
    pub(super) fn give_up(
        &mut self,
        id: ConnectionId,
        reference: &str,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<GivenUp> {
        let carried = self.carried.remove(reference)?;
        match self.progress(&carried) {
            Progress::None => {
                let len = carried.whole_at - carried.begins_at;
                self.queued -= len;
                for other in self
                    .carried
                    .values_mut()
                    .filter(|c| c.whole_at > carried.whole_at)
                {
                    other.begins_at -= len;
                    other.whole_at -= len;
                }
                effects.push(Effect::CancelWrite {
                    connection: id,
                    offset: carried.begins_at,
                    length: len,
                });
                return Some(GivenUp {
                    job: carried.job,
                    unsent: true,
                    behind: Vec::new(),
                });
            }
            Progress::Part(written) => {
                let behind = self.seal(id, written, effects);
                return Some(GivenUp {
                    job: carried.job,
                    unsent: true,
                    behind,
                });
            }
            Progress::Whole => {}
        }
        if matches!(carried.job.task, Task::Attempt(_)) {
            self.spend(reference);
            if cancel && !self.sealed {
                let bytes = undo(reference);
                self.queued += bytes.len() as u64;
                effects.push(Effect::Write {
                    connection: id,
                    bytes,
                });
            }
        }
        Some(GivenUp {
            job: carried.job,
            unsent: false,
            behind: Vec::new(),
        })
    }

    /// Takes back all that the system has not taken, within a line: nothing may follow. The jobs that stood behind it.
    fn seal(&mut self, id: ConnectionId, written: u64, effects: &mut Vec<Effect>) -> Vec<Job> {
        effects.push(Effect::CancelWrite {
            connection: id,
            offset: written,
            length: self.queued - written,
        });
        (self.sealed, self.queued) = (true, written);
        let behind: Vec<String> = self
            .carried
            .iter()
            .filter(|(_, c)| c.whole_at > written)
            .map(|(name, _)| name.clone())
            .collect();
        behind
            .iter()
            .filter_map(|name| self.carried.remove(name))
            .map(|c| c.job)
            .collect()
    }

    /// How much of a job's line the system has taken.
    pub(super) fn progress(&self, carried: &Carried) -> Progress {
        match self.blocked {
            Some(written) if written <= carried.begins_at => Progress::None,
            Some(written) if written < carried.whole_at => Progress::Part(written),
            _ => Progress::Whole,
        }
    }

    /// Notes that a name was used here: a late second answer must not be taken for that of its next use.
    pub(super) fn spend(&mut self, reference: &str) {
        if self.spent.len() >= SPENT_MOST {
            self.spent.pop_front();
        }
        self.spent.push_back(reference.to_string());
    }
}
