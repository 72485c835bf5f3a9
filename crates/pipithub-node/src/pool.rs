//! Connections to workers: which one carries what, and what became of it when one ends.
//!
//! Workers are known by their id: a new one may bear the address of one that has gone. One connection carries many
//! requests, yet a broken one takes all of them with it; so a free connection is preferred, then a new one while there
//! are descriptors, and only then one that carries others already.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use pipithub_engine::policy::{FunctionId, WorkerId};
use pipithub_engine::{AttemptId, Time};
use pipithub_platform::line::LineFramer;
use pipithub_platform::worker::{LINE_MOST, RunRequest, undo};
use tracing::debug;

use crate::effect::{ConnectionId, Effect};
use crate::staleness::Staleness;

/// How often what never arrived is written again, on another connection.
const REWRITES: u32 = 2;
/// The most jobs to wait for a connection to one worker.
const WAITING_MOST: usize = 256;
/// A line that the system has not taken by then is taken back: it states how long its client waited when it was made,
/// and a worker may be told 150 ms more than that at the most.
const UNWRITTEN_TIMEOUT: Time = 100_000_000;
/// A call with less left is not sent: workers are told whole milliseconds.
const LEAST_PATIENCE: Time = 1_000_000;
/// Names that a connection remembers as used. Second answers come within moments, so few suffice.
const SPENT_MOST: usize = 16;

/// What is asked of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// To run a call.
    Attempt(AttemptId),
    /// To hold copies.
    Order(FunctionId),
    /// To tell its load.
    Probe,
    /// To unload copies; no answer comes.
    Drop,
}

/// What is written for a job.
#[derive(Clone, Debug)]
pub enum Request {
    /// The same line whenever it is written.
    Line(Bytes),
    /// A run: its line states the time that is left when it is put on a connection.
    Run(RunRequest),
}

impl From<Bytes> for Request {
    fn from(line: Bytes) -> Self {
        Request::Line(line)
    }
}

/// Something asked of a worker that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// What.
    pub task: Task,
    /// What the answer will name: the call, or a tag.
    pub reference: String,
    /// What is written for it.
    pub request: Request,
    /// When it was asked for.
    pub began: Time,
    /// It ends as timed out by then.
    pub deadline: Time,
    rewrites: u32,
    /// Nobody waits for it any more: it must not be written again.
    abandoned: bool,
}

impl Job {
    /// A job that has not been tried.
    pub fn new(
        task: Task,
        reference: String,
        request: impl Into<Request>,
        began: Time,
        deadline: Time,
    ) -> Self {
        Job {
            task,
            reference,
            request: request.into(),
            began,
            deadline,
            rewrites: 0,
            abandoned: false,
        }
    }

    /// The line to write now; `None` where too little time is left for any.
    fn line(&self, now: Time) -> Option<Bytes> {
        let left = self.deadline.saturating_sub(now);
        match &self.request {
            Request::Line(line) => Some(line.clone()).filter(|_| left > 0),
            Request::Run(run) => Some(run)
                .filter(|_| left >= LEAST_PATIENCE)
                .map(|run| run.line(left)),
        }
    }
}

/// How a job ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The worker could not be reached, or the job never arrived whole: it did not run.
    NotSent,
    /// It never left, for reasons of this front end's own: it did not run, and the worker is not to blame.
    Unsent,
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
    /// Where its line begins, in bytes from the connection's first.
    begins_at: u64,
    /// Bytes that must have been written on the connection for the job to have arrived whole.
    whole_at: u64,
    /// When its line was made.
    queued_at: Time,
    /// For how long the connection had been idle; `None` where it was new or carried others.
    idle: Option<Time>,
}

/// How much of a line the system has taken.
enum Progress {
    None,
    /// A part; the bytes taken on the whole connection.
    Part(u64),
    Whole,
}

/// A job that was given up.
struct GivenUp {
    job: Job,
    /// It is certain that it did not arrive whole.
    unsent: bool,
    /// Jobs whose lines could not stay behind it; they have not left either.
    behind: Vec<Job>,
}

#[derive(Debug)]
struct Link {
    worker: WorkerId,
    address: String,
    up: bool,
    framer: LineFramer,
    carried: BTreeMap<String, Carried>,
    /// Attempts that it carried lately: an answer may come twice, the second time under a name that is in use again.
    spent: VecDeque<String>,
    /// Bytes handed to the shell so far.
    queued: u64,
    /// The worker does not read: the bytes that the system has taken so far.
    blocked: Option<u64>,
    /// It ends in half a line, which must not become whole: nothing more is written on it, and it is closed once it
    /// carries nothing.
    sealed: bool,
    /// Jobs that it has carried so far.
    uses: u64,
    used: Time,
}

impl Link {
    /// One that is on its way.
    fn new(worker: &WorkerId, address: &str, now: Time) -> Self {
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
    fn give_up(
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
    fn progress(&self, carried: &Carried) -> Progress {
        match self.blocked {
            Some(written) if written <= carried.begins_at => Progress::None,
            Some(written) if written < carried.whole_at => Progress::Part(written),
            _ => Progress::Whole,
        }
    }

    /// Notes that a name was used here: a late second answer must not be taken for that of its next use.
    fn spend(&mut self, reference: &str) {
        if self.spent.len() >= SPENT_MOST {
            self.spent.pop_front();
        }
        self.spent.push_back(reference.to_string());
    }
}

#[derive(Debug, Default)]
struct Peer {
    address: String,
    gone: bool,
    links: Vec<ConnectionId>,
    waiting: VecDeque<Job>,
}

/// All connections to workers.
#[derive(Debug)]
pub struct Pool {
    most: usize,
    streams: usize,
    connect_timeout: Time,
    idle_close: Time,
    /// Workers may be told to give a run up.
    cancel: bool,
    peers: BTreeMap<WorkerId, Peer>,
    /// How many peers are not gone: nothing on the way of a call, and no sweep, may go through all of them.
    live: usize,
    /// Peers with jobs that may wait, and those that are gone: all that a sweep looks at.
    watched: BTreeSet<WorkerId>,
    links: BTreeMap<ConnectionId, Link>,
    next: ConnectionId,
    effects: Vec<Effect>,
    lost: Vec<(WorkerId, Job, Lost)>,
    staleness: Staleness,
}

impl Pool {
    /// At most so many connections, each carrying so many jobs. `cancel`: workers may be told to give a run up.
    pub fn new(
        most: usize,
        streams: usize,
        connect_timeout: Time,
        idle_close: Time,
        cancel: bool,
    ) -> Self {
        Pool {
            most: most.max(1),
            streams: streams.max(1),
            connect_timeout,
            idle_close,
            cancel,
            peers: BTreeMap::new(),
            live: 0,
            watched: BTreeSet::new(),
            links: BTreeMap::new(),
            next: 1,
            effects: Vec::new(),
            lost: Vec::new(),
            staleness: Staleness::default(),
        }
    }

    /// A number for a connection, of whichever side; never used twice.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.next += 1;
        self.next - 1
    }

    /// Appends what is to be done on connections.
    pub fn take_effects(&mut self, effects: &mut Vec<Effect>) {
        effects.append(&mut self.effects);
    }

    /// Jobs that ended without an answer since this was asked last; their ends are owed.
    pub fn lost(&mut self) -> Vec<(WorkerId, Job, Lost)> {
        std::mem::take(&mut self.lost)
    }

    /// Connections, those under way included.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Connections that there may be, those under way included.
    pub fn most(&self) -> usize {
        self.most
    }

    /// How many workers a sweep looks at: those with jobs that may wait, and those that are gone.
    pub fn watched(&self) -> usize {
        self.watched.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Notes where a worker is to be found, or that it is gone.
    pub fn place(&mut self, worker: &WorkerId, address: &str, gone: bool) {
        let new = || Peer {
            gone: true,
            ..Peer::default()
        };
        let peer = self.peers.entry(worker.clone()).or_insert_with(new);
        if !address.is_empty() {
            peer.address = address.to_string();
        }
        self.set_gone(worker, gone);
    }

    fn set_gone(&mut self, worker: &WorkerId, gone: bool) {
        let Some(peer) = self.peers.get_mut(worker) else {
            return;
        };
        self.live -= usize::from(!peer.gone);
        self.live += usize::from(!gone);
        peer.gone = gone;
        if gone {
            self.watched.insert(worker.clone());
        }
    }

    /// Notes that all workers but these are gone.
    pub fn keep_only(&mut self, named: &BTreeSet<&WorkerId>) {
        let lost: Vec<WorkerId> = self
            .peers
            .keys()
            .filter(|w| !named.contains(w))
            .cloned()
            .collect();
        lost.iter().for_each(|worker| self.set_gone(worker, true));
    }

    /// Takes a job for a worker; a job that cannot be sent is lost at once.
    pub fn ask(&mut self, now: Time, worker: &WorkerId, job: Job) {
        match self.peers.get_mut(worker) {
            Some(peer) if !peer.address.is_empty() && peer.waiting.len() < WAITING_MOST => {
                peer.waiting.push_back(job);
                self.watched.insert(worker.clone());
                self.dispatch(now, worker);
            }
            _ => self.lost.push((worker.clone(), job, Lost::NotSent)),
        }
    }

    /// Puts waiting jobs on connections, and asks for new connections.
    fn dispatch(&mut self, now: Time, worker: &WorkerId) {
        while let Some(id) = self.connection(now, worker) {
            let Some(job) = self
                .peers
                .get_mut(worker)
                .and_then(|p| p.waiting.pop_front())
            else {
                return;
            };
            let Some(line) = job.line(now) else {
                // Its time ran out between two sweeps: nobody waits for it.
                self.lost.push((worker.clone(), job, Lost::NotSent));
                continue;
            };
            let Some(link) = self.links.get_mut(&id) else {
                return;
            };
            let idle = now.saturating_sub(link.used);
            debug!(
                connection = id,
                reference = job.reference,
                worker = &*worker.0,
                uses = link.uses,
                idle_us = idle / 1000,
                beside = link.carried.len(),
                "written"
            );
            let idle = (link.uses > 0 && link.carried.is_empty()).then_some(idle);
            let begins_at = link.queued;
            link.queued += line.len() as u64;
            (link.uses, link.used) = (link.uses + 1, now);
            self.effects.push(Effect::Write {
                connection: id,
                bytes: line,
            });
            if job.task != Task::Drop {
                let (whole_at, queued_at) = (link.queued, now);
                let carried = Carried {
                    job,
                    begins_at,
                    whole_at,
                    queued_at,
                    idle,
                };
                link.carried.insert(carried.job.reference.clone(), carried);
            }
        }
    }

    /// The connection for the first job that waits for a worker: the free one that was used last, so that the others may
    /// be let go. Else each job that waits is to have a new one; where there is no room for that many, the one that
    /// carries least.
    fn connection(&mut self, now: Time, worker: &WorkerId) -> Option<ConnectionId> {
        let limit = self.staleness.limit();
        let live = self.live.max(1);
        let peer = self.peers.get_mut(worker)?;
        let reference = &peer.waiting.front()?.reference;
        let links = peer
            .links
            .iter()
            .filter_map(|id| self.links.get(id).map(|l| (*id, l)));
        let here = links.filter(|(_, l)| l.address == peer.address);
        let fits = |l: &Link| {
            let stale =
                l.carried.is_empty() && l.uses > 0 && limit.is_some_and(|t| now >= l.used + t);
            let used = l.carried.contains_key(reference) || l.spent.contains(reference);
            l.up && !stale
                && !used
                && l.blocked.is_none()
                && !l.sealed
                && l.carried.len() < self.streams
        };
        let free = here
            .clone()
            .filter(|(_, l)| fits(l) && l.carried.is_empty())
            .max_by_key(|(_, l)| l.used);
        if let Some((id, _)) = free {
            return Some(id);
        }
        let shared = here
            .clone()
            .filter(|(_, l)| fits(l))
            .min_by_key(|(_, l)| l.carried.len())
            .map(|(id, _)| id);
        let mut coming = here.clone().filter(|(_, l)| !l.up).count();
        // One more where all that are up have carried this name before.
        let spent = here.clone().any(|(_, l)| l.up)
            && here
                .filter(|(_, l)| l.up)
                .all(|(_, l)| l.spent.contains(reference));
        let part = (self.most / live).max(1) + usize::from(spent);
        while coming < peer.waiting.len() && peer.links.len() < part && self.links.len() < self.most
        {
            let (id, address) = (self.next, peer.address.clone());
            self.next += 1;
            self.links.insert(id, Link::new(worker, &address, now));
            peer.links.push(id);
            self.effects.push(Effect::Connect {
                connection: id,
                address,
                within: self.connect_timeout,
            });
            coming += 1;
        }
        shared.filter(|_| coming < peer.waiting.len())
    }

    /// A connection is up.
    pub fn up(&mut self, now: Time, id: ConnectionId) {
        let Some(link) = self.links.get_mut(&id) else {
            // Given up meanwhile.
            return self.effects.push(Effect::Close { connection: id });
        };
        (link.up, link.used) = (true, now);
        let worker = link.worker.clone();
        self.dispatch(now, &worker);
    }

    /// The worker behind a connection does not read, or reads again: the bytes that the system has taken so far. Meanwhile
    /// nothing more is put on it.
    pub fn blocked(&mut self, now: Time, id: ConnectionId, written: Option<u64>) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let clear = link.blocked.is_some() && written.is_none();
        link.blocked = written;
        if clear {
            let worker = link.worker.clone();
            self.dispatch(now, &worker);
        }
    }

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

    /// The framer of a connection.
    pub fn framer(&mut self, id: ConnectionId) -> Option<&mut LineFramer> {
        self.links.get_mut(&id).map(|l| &mut l.framer)
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
    fn give_up(
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

    /// Ends jobs whose time is up, and takes back those that a worker has not read for too long.
    fn end_overdue(&mut self, now: Time) {
        let mut over = Vec::new();
        for (id, link) in &self.links {
            for (name, carried) in &link.carried {
                let stuck = now >= carried.queued_at + UNWRITTEN_TIMEOUT
                    && !matches!(link.progress(carried), Progress::Whole);
                if stuck || now >= carried.job.deadline {
                    over.push((carried.begins_at, *id, link.worker.clone(), name.clone()));
                }
            }
        }
        // From the last to the first: what stands behind half a line is taken back before it.
        over.sort_unstable_by_key(|(begins_at, ..)| std::cmp::Reverse(*begins_at));
        for (_, id, worker, name) in over {
            if let Some((job, unsent)) = self.give_up(now, &worker, id, &name, self.cancel) {
                let how = if unsent {
                    Lost::NotSent
                } else {
                    Lost::TimedOut
                };
                self.lost.push((worker, job, how));
            }
        }
    }

    /// Ends what is overdue, lets go of connections that stay idle and of workers that are gone.
    pub fn sweep(&mut self, now: Time) {
        for worker in &self.watched {
            let Some(peer) = self.peers.get_mut(worker) else {
                continue;
            };
            // A job that waits is not sent: it is given back in time to go elsewhere.
            peer.waiting.retain(|job| {
                let over =
                    now >= job.deadline || now >= job.began + 2 * self.connect_timeout || peer.gone;
                if over {
                    self.lost.push((worker.clone(), job.clone(), Lost::NotSent));
                }
                !over
            });
        }
        self.end_overdue(now);
        let (mut idle, limit) = (Vec::new(), self.staleness.limit());
        for (id, link) in &self.links {
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
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, Lost::Broken);
        }
        let peers = &mut self.peers;
        self.watched.retain(|worker| {
            let Some(peer) = peers.get(worker) else {
                return false;
            };
            let (gone, waits) = (peer.gone, !peer.waiting.is_empty());
            let over = gone && !waits && peer.links.is_empty();
            if over {
                peers.remove(worker);
            }
            !over && (gone || waits)
        });
    }
}
