//! Connections to workers: which one carries what, and what became of it when one ends.
//!
//! Workers are known by their id: a new one may bear the address of one that has gone. One connection carries many
//! requests, yet a broken one takes all of them with it; so a free connection is preferred, then a new one while there
//! are descriptors, and only then one that carries others already.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pipithub_engine::policy::{Function, Worker};
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::line::LineFramer;
use pipithub_platform::worker::{LINE_MOST, undo};
use tracing::debug;

use crate::core::{ConnId, Effect};
use crate::staleness::Staleness;

/// How often what never arrived is written again, on another connection.
const REWRITES: u32 = 2;
/// The most jobs to wait for a connection to one worker.
const WAITING_MOST: usize = 256;

/// What is asked of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// To run a call.
    Attempt(AttemptId),
    /// To hold copies.
    Order(Function),
    /// To tell its load.
    Probe,
    /// To unload copies; no answer comes.
    Drop,
}

/// Something asked of a worker that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// What.
    pub task: Task,
    /// What the answer will name: the call, or a tag.
    pub reference: String,
    /// The line that asks for it.
    pub line: Bytes,
    /// When it was asked for.
    pub began: Time,
    /// It ends as timed out by then.
    pub deadline: Time,
    rewrites: u32,
}

impl Job {
    /// A job that has not been tried.
    pub fn new(task: Task, reference: String, line: Bytes, began: Time, deadline: Time) -> Self {
        Job { task, reference, line, began, deadline, rewrites: 0 }
    }
}

/// How a job ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// It never arrived whole: it did not run.
    NotSent,
    /// Its connection broke: it may have run.
    Broken,
    /// What came back cannot be read: the worker is there, and it may have run.
    Spoilt,
    /// No answer in time: it may have run.
    TimedOut,
}

#[derive(Debug)]
struct Carried {
    job: Job,
    /// Bytes that must have been written on the connection for the job to have arrived whole.
    whole_at: u64,
    /// For how long the connection had been idle; `None` where it was new or carried others.
    idle: Option<Time>,
}

#[derive(Debug)]
struct Link {
    worker: Worker,
    address: String,
    up: bool,
    framer: LineFramer,
    carried: BTreeMap<String, Carried>,
    queued: u64,
    /// Jobs that it has carried so far.
    uses: u64,
    used: Time,
}

impl Link {
    /// One that is on its way.
    fn new(worker: &Worker, address: &str, now: Time) -> Self {
        Link {
            worker: worker.clone(),
            address: address.to_string(),
            up: false,
            framer: LineFramer::new(LINE_MOST),
            carried: BTreeMap::new(),
            queued: 0,
            uses: 0,
            used: now,
        }
    }

    /// Takes out a job of which the answer is not waited for any more; the worker is told to give a run up.
    fn give_up(&mut self, conn: ConnId, reference: &str, effects: &mut Vec<Effect>) -> Option<Job> {
        let job = self.carried.remove(reference)?.job;
        if matches!(job.task, Task::Attempt(_)) {
            let bytes = undo(reference);
            self.queued += bytes.len() as u64;
            effects.push(Effect::Write { conn, bytes });
        }
        Some(job)
    }
}

#[derive(Debug, Default)]
struct Peer {
    address: String,
    gone: bool,
    links: Vec<ConnId>,
    waiting: VecDeque<Job>,
}

/// All connections to workers.
#[derive(Debug)]
pub struct Pool {
    most: usize,
    streams: usize,
    connect_timeout: Time,
    idle_close: Time,
    peers: BTreeMap<Worker, Peer>,
    links: BTreeMap<ConnId, Link>,
    next: ConnId,
    effects: Vec<Effect>,
    lost: Vec<(Worker, Job, Lost)>,
    staleness: Staleness,
}

impl Pool {
    /// At most so many connections, each carrying so many jobs.
    pub fn new(most: usize, streams: usize, connect_timeout: Time, idle_close: Time) -> Self {
        Pool {
            most: most.max(1),
            streams: streams.max(1),
            connect_timeout,
            idle_close,
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            next: 1,
            effects: Vec::new(),
            lost: Vec::new(),
            staleness: Staleness::default(),
        }
    }

    /// A number for a connection, of whichever side; never used twice.
    pub fn number(&mut self) -> ConnId {
        self.next += 1;
        self.next - 1
    }

    /// Appends what is to be done on connections.
    pub fn effects(&mut self, effects: &mut Vec<Effect>) {
        effects.append(&mut self.effects);
    }

    /// Jobs that ended without an answer since this was asked last; their ends are owed.
    pub fn lost(&mut self) -> Vec<(Worker, Job, Lost)> {
        std::mem::take(&mut self.lost)
    }

    /// Connections, those under way included.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Notes where a worker is to be found, or that it is gone.
    pub fn place(&mut self, worker: &Worker, address: &str, gone: bool) {
        let peer = self.peers.entry(worker.clone()).or_default();
        peer.gone = gone;
        if !address.is_empty() {
            peer.address = address.to_string();
        }
    }

    /// Notes that all workers but these are gone.
    pub fn keep_only(&mut self, named: &[&Worker]) {
        for (worker, peer) in &mut self.peers {
            peer.gone |= !named.contains(&worker);
        }
    }

    /// Takes a job for a worker; a job that cannot be sent is lost at once.
    pub fn ask(&mut self, now: Time, worker: &Worker, job: Job) {
        match self.peers.get_mut(worker) {
            Some(peer) if !peer.address.is_empty() && peer.waiting.len() < WAITING_MOST => {
                peer.waiting.push_back(job);
                self.dispatch(now, worker);
            }
            _ => self.lost.push((worker.clone(), job, Lost::NotSent)),
        }
    }

    /// Puts waiting jobs on connections, and asks for new connections.
    fn dispatch(&mut self, now: Time, worker: &Worker) {
        while let Some(id) = self.connection(now, worker) {
            let Some(job) = self.peers.get_mut(worker).and_then(|p| p.waiting.pop_front()) else { return };
            let Some(link) = self.links.get_mut(&id) else { return };
            let idle = now.saturating_sub(link.used);
            debug!(
                conn = id,
                reference = job.reference,
                worker = &*worker.0,
                uses = link.uses,
                idle_us = idle / 1000,
                beside = link.carried.len(),
                "written"
            );
            let idle = (link.uses > 0 && link.carried.is_empty()).then_some(idle);
            link.queued += job.line.len() as u64;
            (link.uses, link.used) = (link.uses + 1, now);
            self.effects.push(Effect::Write { conn: id, bytes: job.line.clone() });
            if job.task != Task::Drop {
                let whole_at = link.queued;
                link.carried.insert(job.reference.clone(), Carried { job, whole_at, idle });
            }
        }
    }

    /// The connection for the first job that waits for a worker: the free one that was used last, so that the others may
    /// be let go. Else each job that waits is to have a new one; where there is no room for that many, the one that
    /// carries least.
    fn connection(&mut self, now: Time, worker: &Worker) -> Option<ConnId> {
        let limit = self.staleness.limit();
        let live = self.peers.values().filter(|p| !p.gone).count().max(1);
        let peer = self.peers.get_mut(worker)?;
        let reference = &peer.waiting.front()?.reference;
        let links = peer.links.iter().filter_map(|id| self.links.get(id).map(|l| (*id, l)));
        let here = links.filter(|(_, l)| l.address == peer.address);
        let fits = |l: &Link| {
            let stale = l.carried.is_empty() && l.uses > 0 && limit.is_some_and(|t| now >= l.used + t);
            l.up && !stale && l.carried.len() < self.streams && !l.carried.contains_key(reference)
        };
        let free = here.clone().filter(|(_, l)| fits(l) && l.carried.is_empty()).max_by_key(|(_, l)| l.used);
        if let Some((id, _)) = free {
            return Some(id);
        }
        let shared =
            here.clone().filter(|(_, l)| fits(l)).min_by_key(|(_, l)| l.carried.len()).map(|(id, _)| id);
        let mut coming = here.filter(|(_, l)| !l.up).count();
        let part = (self.most / live).max(1);
        while coming < peer.waiting.len() && peer.links.len() < part && self.links.len() < self.most {
            let (id, address) = (self.next, peer.address.clone());
            self.next += 1;
            self.links.insert(id, Link::new(worker, &address, now));
            peer.links.push(id);
            self.effects.push(Effect::Connect { conn: id, address, within: self.connect_timeout });
            coming += 1;
        }
        shared.filter(|_| coming < peer.waiting.len())
    }

    /// A connection is up.
    pub fn up(&mut self, now: Time, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else {
            // Given up meanwhile.
            return self.effects.push(Effect::Close { conn });
        };
        (link.up, link.used) = (true, now);
        let worker = link.worker.clone();
        self.dispatch(now, &worker);
    }

    /// A connection did not come up: nothing that waits for it was sent.
    pub fn failed(&mut self, conn: ConnId) {
        let Some(link) = self.links.remove(&conn) else { return };
        let Some(peer) = self.peers.get_mut(&link.worker) else { return };
        peer.links.retain(|id| *id != conn);
        // Others may still come up; each stands for one job.
        let coming = peer.links.iter().filter(|id| self.links.get(id).is_some_and(|l| !l.up)).count();
        while peer.waiting.len() > coming {
            let Some(job) = peer.waiting.pop_front() else { break };
            self.lost.push((link.worker.clone(), job, Lost::NotSent));
        }
    }

    /// The framer of a connection.
    pub fn framer(&mut self, conn: ConnId) -> Option<&mut LineFramer> {
        self.links.get_mut(&conn).map(|l| &mut l.framer)
    }

    /// An answer came: the job that it ends. `None` where nothing of this name is open, as with a second copy.
    pub fn answered(&mut self, now: Time, conn: ConnId, reference: &str) -> Option<(Worker, Job)> {
        let link = self.links.get_mut(&conn)?;
        let carried = link.carried.remove(reference)?;
        link.used = now;
        if let Some(idle) = carried.idle {
            self.staleness.learn(now, idle, false);
        }
        let worker = link.worker.clone();
        self.dispatch(now, &worker);
        Some((worker, carried.job))
    }

    /// A connection has ended, or is ended for what came on it. `written`: the bytes that the system took; what it did not
    /// take whole never arrived and goes out again on another connection.
    pub fn closed(&mut self, now: Time, conn: ConnId, written: u64, how: Lost) {
        let Some(link) = self.links.remove(&conn) else { return };
        let Some(peer) = self.peers.get_mut(&link.worker) else { return };
        peer.links.retain(|id| *id != conn);
        for Carried { mut job, whole_at, idle } in link.carried.into_values() {
            if let Some(idle) = idle {
                self.staleness.learn(now, idle, how == Lost::Broken);
            }
            if whole_at <= written {
                self.lost.push((link.worker.clone(), job, how));
            } else if job.rewrites < REWRITES && peer.waiting.len() < WAITING_MOST {
                job.rewrites += 1;
                peer.waiting.push_back(job);
            } else {
                self.lost.push((link.worker.clone(), job, Lost::NotSent));
            }
        }
        self.dispatch(now, &link.worker);
    }

    /// What came on a connection cannot be read: it is closed. What the shell was not handed yet did not leave, and must
    /// not count as run: an unsafe call would be lost for nothing.
    pub fn spoilt(&mut self, now: Time, conn: ConnId) {
        let Some(link) = self.links.get(&conn) else { return };
        let mut handed = link.queued;
        self.effects.retain(|effect| match effect {
            Effect::Write { conn: on, bytes } if *on == conn => {
                handed -= bytes.len() as u64;
                false
            }
            _ => true,
        });
        self.effects.push(Effect::Close { conn });
        self.closed(now, conn, handed, Lost::Spoilt);
    }

    /// Withdraws an attempt; its job.
    pub fn withdraw(&mut self, worker: &Worker, id: AttemptId) -> Option<Job> {
        let is = |job: &Job| job.task == Task::Attempt(id);
        let peer = self.peers.get_mut(worker)?;
        if let Some(at) = peer.waiting.iter().position(is) {
            return peer.waiting.remove(at);
        }
        for conn in &peer.links {
            let Some(link) = self.links.get_mut(conn) else { continue };
            let name = link.carried.iter().find(|(_, c)| is(&c.job)).map(|(name, _)| name.clone());
            if let Some(name) = name {
                return link.give_up(*conn, &name, &mut self.effects);
            }
        }
        None
    }

    /// Ends what is overdue, lets go of connections that stay idle and of workers that are gone.
    pub fn sweep(&mut self, now: Time) {
        for (worker, peer) in &mut self.peers {
            // A job that waits is not sent: it is given back in time to go elsewhere.
            peer.waiting.retain(|job| {
                let over = now >= job.deadline || now >= job.began + 2 * self.connect_timeout || peer.gone;
                if over {
                    self.lost.push((worker.clone(), job.clone(), Lost::NotSent));
                }
                !over
            });
        }
        let (mut idle, limit) = (Vec::new(), self.staleness.limit());
        for (id, link) in &mut self.links {
            let over: Vec<String> =
                link.carried.iter().filter(|(_, c)| now >= c.job.deadline).map(|(n, _)| n.clone()).collect();
            for name in over {
                if let Some(job) = link.give_up(*id, &name, &mut self.effects) {
                    self.lost.push((link.worker.clone(), job, Lost::TimedOut));
                }
            }
            let peer = self.peers.get(&link.worker);
            let stale = peer.is_none_or(|p| p.gone || p.address != link.address);
            // Closed well before the worker does: a line that crosses its close might be lost.
            let long = self.idle_close > 0 && now >= link.used + self.idle_close / 2
                || limit.is_some_and(|t| now >= link.used + t);
            if link.up && link.carried.is_empty() && (stale || long) {
                idle.push(*id);
            }
        }
        for id in idle {
            self.effects.push(Effect::Close { conn: id });
            self.closed(now, id, u64::MAX, Lost::Broken);
        }
        self.peers.retain(|_, p| !p.gone || !p.links.is_empty() || !p.waiting.is_empty());
    }
}
