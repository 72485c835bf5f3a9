//! Connections that end, and requests that are withdrawn from theirs.

use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Time};

use super::connection::{Carried, GivenUp, Progress};
use super::request::{Job, Lost, Task};
use super::{Pool, WAITING_MOST};
use crate::effect::{ConnectionId, Effect};

/// How often what never arrived is written again, on another connection.
const REWRITES: u32 = 2;

impl Pool {
    /// A connection did not come up: nothing that waits for it was sent. `own`: for want of something here, so that the
    /// worker is not to blame.
    pub fn failed(&mut self, id: ConnectionId, own: bool) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&link.worker) else {
            return;
        };
        peer.links.retain(|other| *other != id);
        // Others may still come up; each stands for one job.
        let coming = peer
            .links
            .iter()
            .filter(|id| self.links.get(id).is_some_and(|l| !l.up))
            .count();
        while peer.waiting.len() > coming {
            let Some(job) = peer.waiting.pop_front() else {
                break;
            };
            let how = if own { Lost::Unsent } else { Lost::NotSent };
            self.lost.push((link.worker.clone(), job, how));
        }
    }

    /// An answer came: the job that it ends. `None` where nothing of this name is open, as with a second copy.
    pub fn answered(
        &mut self,
        now: Time,
        id: ConnectionId,
        reference: &str,
    ) -> Option<(WorkerId, Job)> {
        let link = self.links.get_mut(&id)?;
        let carried = link.carried.remove(reference)?;
        link.used = now;
        if matches!(carried.job.task, Task::Attempt(_)) {
            link.spend(reference);
        }
        if let Some(idle) = carried.idle {
            self.staleness.learn(now, idle, false);
        }
        let worker = link.worker.clone();
        self.close_sealed(now, id);
        self.dispatch(now, &worker);
        Some((worker, carried.job))
    }

    /// A connection has ended, or is ended for what came on it. `written`: the bytes that the system took; what it did not
    /// take whole never arrived and goes out again on another connection.
    pub fn closed(&mut self, now: Time, id: ConnectionId, written: u64, how: Lost) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&link.worker) else {
            return;
        };
        peer.links.retain(|other| *other != id);
        let mut unsent = Vec::new();
        for Carried {
            job,
            whole_at,
            idle,
            ..
        } in link.carried.into_values()
        {
            if let Some(idle) = idle {
                self.staleness.learn(now, idle, how == Lost::Broken);
            }
            if whole_at <= written {
                self.lost.push((link.worker.clone(), job, how));
            } else {
                unsent.push(job);
            }
        }
        self.resend(now, &link.worker, unsent);
    }

    /// Has jobs that never arrived whole wait for another connection, as often as that may be tried.
    fn resend(&mut self, now: Time, worker: &WorkerId, jobs: Vec<Job>) {
        for mut job in jobs {
            let waiting = self.peers.get_mut(worker).map(|peer| &mut peer.waiting);
            match waiting.filter(|waiting| waiting.len() < WAITING_MOST) {
                _ if job.abandoned => self.lost.push((worker.clone(), job, Lost::Unsent)),
                Some(waiting) if job.rewrites < REWRITES => {
                    job.rewrites += 1;
                    waiting.push_back(job);
                    self.watched.insert(worker.clone());
                }
                _ => self.lost.push((worker.clone(), job, Lost::NotSent)),
            }
        }
        self.dispatch(now, worker);
    }

    /// Takes an attempt's job off its connection; see [`Link::give_up`].
    pub(super) fn give_up(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: ConnectionId,
        name: &str,
        cancel: bool,
    ) -> Option<(Job, bool)> {
        let link = self.links.get_mut(&id)?;
        let GivenUp {
            job,
            unsent,
            behind,
        } = link.give_up(id, name, cancel, &mut self.effects)?;
        if !behind.is_empty() {
            self.resend(now, worker, behind);
        }
        self.close_sealed(now, id);
        Some((job, unsent))
    }

    /// Closes a sealed connection that carries nothing any more.
    fn close_sealed(&mut self, now: Time, id: ConnectionId) {
        if self
            .links
            .get(&id)
            .is_some_and(|l| l.sealed && l.carried.is_empty())
        {
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, Lost::Broken);
        }
    }

    /// What came on a connection cannot be read: it is closed. What the shell was not handed yet did not leave, and must
    /// not count as run: an unsafe call would be lost for nothing.
    pub fn spoilt(&mut self, now: Time, id: ConnectionId) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let mut handed = link.queued;
        self.effects.retain(|effect| match effect {
            Effect::Write {
                connection: on,
                bytes,
            } if *on == id => {
                handed -= bytes.len() as u64;
                false
            }
            _ => true,
        });
        self.effects.push(Effect::Close { connection: id });
        self.closed(now, id, handed, Lost::Spoilt);
    }

    /// Withdraws an attempt: its job, and whether it is certain that it was not sent.
    pub fn withdraw(
        &mut self,
        now: Time,
        worker: &WorkerId,
        attempt: AttemptId,
    ) -> Option<(Job, bool)> {
        if let Some(job) = self.take_waiting(worker, attempt) {
            return Some((job, true));
        }
        let (id, name) = self.carrying(worker, attempt)?;
        self.give_up(now, worker, id, &name, self.cancel)
    }

    /// Nobody waits for an attempt any more, whatever the settings say of cancelling: it is given back if it has not left
    /// whole, and is not written again if its connection ends.
    pub fn abandon(&mut self, now: Time, worker: &WorkerId, attempt: AttemptId) -> Option<Job> {
        if let Some(job) = self.take_waiting(worker, attempt) {
            return Some(job);
        }
        let (id, name) = self.carrying(worker, attempt)?;
        let link = self.links.get_mut(&id)?;
        link.carried.get_mut(&name)?.job.abandoned = true;
        if matches!(link.progress(link.carried.get(&name)?), Progress::Whole) {
            return None;
        }
        self.give_up(now, worker, id, &name, false)
            .map(|(job, _)| job)
    }

    fn take_waiting(&mut self, worker: &WorkerId, attempt: AttemptId) -> Option<Job> {
        let waiting = &mut self.peers.get_mut(worker)?.waiting;
        let at = waiting
            .iter()
            .position(|job| job.task == Task::Attempt(attempt))?;
        waiting.remove(at)
    }

    /// The connection that carries an attempt, and its name there.
    fn carrying(&self, worker: &WorkerId, attempt: AttemptId) -> Option<(ConnectionId, String)> {
        self.peers.get(worker)?.links.iter().find_map(|id| {
            let carried = &self.links.get(id)?.carried;
            let (name, _) = carried
                .iter()
                .find(|(_, c)| c.job.task == Task::Attempt(attempt))?;
            Some((*id, name.clone()))
        })
    }
}
