//! Links with faults in simulated time: what a core sends is handed on late, lost, twice or not at all.
//!
//! Each direction of each pair of processes has faults of its own. Equal seeds and calls give equal runs.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// A point in time or a length of it, in nanoseconds.
pub type Time = u64;

/// How one direction of a link behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// What everything takes.
    pub delay: Time,
    /// What may come on top, drawn evenly; so a later message may overtake an earlier one.
    pub jitter: Time,
    /// The share that gets lost.
    pub loss: f64,
    /// The share that comes twice.
    pub duplication: f64,
}

impl Default for Link {
    fn default() -> Self {
        Link {
            cut: false,
            delay: 1_000_000,
            jitter: 500_000,
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

/// What happens next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NetworkEvent<M> {
    /// A message arrives.
    Delivery {
        /// Whose it is.
        from: usize,
        /// Where it arrives.
        to: usize,
        /// The message.
        message: M,
    },
    /// A process wants to be woken.
    Timer(usize),
}

/// The network and the clock of a simulated fleet.
pub struct Network<M> {
    now: Time,
    usual: Link,
    links: BTreeMap<(usize, usize), Link>,
    queue: BTreeMap<(Time, u64), NetworkEvent<M>>,
    wakes: BTreeMap<usize, (Time, u64)>,
    paused: BTreeSet<usize>,
    held: Vec<NetworkEvent<M>>,
    number: u64,
    /// Draws of the simulation, for whoever plays it as well.
    pub rng: SmallRng,
    /// Messages handed in, and those that got lost.
    pub sent: u64,
    /// See [`Network::sent`].
    pub lost: u64,
}

impl<M: Clone> Network<M> {
    /// A network in which every link is like `usual`.
    pub fn new(seed: u64, usual: Link) -> Self {
        Network {
            now: 1,
            usual,
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            wakes: BTreeMap::new(),
            paused: BTreeSet::new(),
            held: Vec::new(),
            number: 0,
            rng: SmallRng::seed_from_u64(seed),
            sent: 0,
            lost: 0,
        }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// One direction of a link, to be changed.
    pub fn link(&mut self, from: usize, to: usize) -> &mut Link {
        let usual = self.usual;
        self.links.entry((from, to)).or_insert(usual)
    }

    /// All links are as at the start again.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Cuts both directions between two groups, or mends them.
    pub fn set_partition(&mut self, one: &[usize], other: &[usize], cut: bool) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.link(a, b).cut = cut;
            self.link(b, a).cut = cut;
        }
    }

    fn push(&mut self, at: Time, next: NetworkEvent<M>) -> (Time, u64) {
        self.number += 1;
        let key = (at.max(self.now), self.number);
        self.queue.insert(key, next);
        key
    }

    /// Hands a message to the link.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.usual);
        self.sent += 1;
        if link.cut || self.rng.random::<f64>() < link.loss {
            self.lost += 1;
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < link.duplication);
        for _ in 0..copies {
            let jitter = if link.jitter > 0 {
                self.rng.random_range(0..link.jitter)
            } else {
                0
            };
            self.push(
                self.now + link.delay + jitter,
                NetworkEvent::Delivery {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    /// Wakes a process then; an earlier wish is forgotten.
    pub fn set_timer(&mut self, process: usize, at: Option<Time>) {
        if let Some(key) = self.wakes.remove(&process) {
            self.queue.remove(&key);
        }
        if let Some(at) = at {
            let key = self.push(at, NetworkEvent::Timer(process));
            self.wakes.insert(process, key);
        }
    }

    /// A paused process gets nothing until it goes on; what arrives meanwhile waits for it, as in a socket's buffer.
    pub fn set_paused(&mut self, process: usize, paused: bool) {
        if paused {
            self.paused.insert(process);
        } else if self.paused.remove(&process) {
            for next in std::mem::take(&mut self.held) {
                match next {
                    NetworkEvent::Delivery { to, .. } if to == process => {
                        self.push(self.now, next);
                    }
                    NetworkEvent::Timer(p) if p == process => {
                        self.push(self.now, next);
                    }
                    other => self.held.push(other),
                }
            }
        }
    }

    /// What was under way to a process that died is lost, and so are its wishes.
    pub fn crash(&mut self, process: usize) {
        let to_it = |next: &NetworkEvent<M>| match next {
            NetworkEvent::Delivery { to, .. } => *to == process,
            NetworkEvent::Timer(p) => *p == process,
        };
        self.queue.retain(|_, next| !to_it(next));
        self.held.retain(|next| !to_it(next));
        self.wakes.remove(&process);
        self.paused.remove(&process);
    }

    /// The next thing that happens before or at `until`; the clock moves on to it, or to `until` where none does.
    pub fn next_event(&mut self, until: Time) -> Option<NetworkEvent<M>> {
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, number), next) = entry.remove_entry();
            self.now = self.now.max(at);
            let who = match &next {
                NetworkEvent::Delivery { to, .. } => *to,
                NetworkEvent::Timer(process) => {
                    if self.wakes.get(process).is_some_and(|key| key.1 == number) {
                        self.wakes.remove(process);
                    }
                    *process
                }
            };
            if self.paused.contains(&who) {
                // A socket's buffer is bounded: the newest is dropped.
                if self.held.len() < 10_000 {
                    self.held.push(next);
                }
                continue;
            }
            return Some(next);
        }
        self.now = self.now.max(until);
        None
    }
}
