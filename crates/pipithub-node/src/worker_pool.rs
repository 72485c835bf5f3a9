//! Connections to workers: which one carries what, and what became of it when one ends.
//!
//! Workers are known by their id: a new one may bear the address of one that has gone. One connection carries many
//! requests, yet a broken one takes all of them with it; so a free connection is preferred, then a new one while there
//! are descriptors, and only then one that carries others already.

mod connection;
mod endings;
mod request;
mod selection;
mod sweep;

pub use self::request::{Job, Lost, Request, Task};

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_platform::line::LineFramer;
use tracing::debug;

use self::connection::{Carried, Link};
use crate::effect::{ConnectionId, Effect};
use crate::staleness::Staleness;

/// The most jobs to wait for a connection to one worker.
const WAITING_MOST: usize = 256;

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

    /// The framer of a connection.
    pub fn framer(&mut self, id: ConnectionId) -> Option<&mut LineFramer> {
        self.links.get_mut(&id).map(|l| &mut l.framer)
    }
}
