//! The network and the clock of a simulation, with its queue of future events.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::{Link, Time};

/// Largest number of events that are buffered for paused processes. Further ones are dropped, as by a full receive
/// buffer.
const MAX_BUFFERED: usize = 10_000;

/// An event of the simulation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NetworkEvent<M> {
    /// A message is delivered.
    Delivery {
        /// Number of the sending process.
        from: usize,
        /// Number of the receiving process.
        to: usize,
        /// Content of the message.
        message: M,
    },
    /// The timer of the process with this number fires.
    Timer(usize),
}

impl<M> NetworkEvent<M> {
    /// The process that the event is for.
    fn process(&self) -> usize {
        match self {
            NetworkEvent::Delivery { to, .. } => *to,
            NetworkEvent::Timer(process) => *process,
        }
    }
}

/// One direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: usize,
    to: usize,
}

/// Position of an event in the queue. Events of the same time occur in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Time,
    sequence: u64,
}

/// The network and the clock of a simulation. Processes are identified by numbers.
pub struct Network<M> {
    now: Time,
    default_link: Link,
    /// Links that differ from the default.
    links: BTreeMap<Direction, Link>,
    queue: BTreeMap<EventKey, NetworkEvent<M>>,
    /// The pending timer of each process.
    timers: BTreeMap<usize, EventKey>,
    paused: BTreeSet<usize>,
    /// Events for paused processes, in order of arrival.
    buffered: Vec<NetworkEvent<M>>,
    last_sequence: u64,
    /// Source of all random numbers of the simulation. Tests draw from it too, so that equal seeds give equal runs.
    pub rng: SmallRng,
    /// Number of messages that were sent, including lost ones.
    pub sent: u64,
    /// Number of messages that were lost on a link.
    pub lost: u64,
}

impl<M: Clone> Network<M> {
    /// Creates a network in which every link has the properties of `default_link`.
    pub fn new(seed: u64, default_link: Link) -> Self {
        Network {
            now: 1,
            default_link,
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            timers: BTreeMap::new(),
            paused: BTreeSet::new(),
            buffered: Vec::new(),
            last_sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            sent: 0,
            lost: 0,
        }
    }

    /// The simulated time in nanoseconds, which starts at 1.
    pub fn now(&self) -> Time {
        self.now
    }

    /// The properties of the link from one process to another, to be changed.
    pub fn link(&mut self, from: usize, to: usize) -> &mut Link {
        let default_link = self.default_link;
        self.links
            .entry(Direction { from, to })
            .or_insert(default_link)
    }

    /// Resets all links to the default properties.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// Cuts or restores both directions of all links between two groups.
    pub fn set_partition(&mut self, one: &[usize], other: &[usize], cut: bool) {
        for a in one {
            for b in other {
                self.link(*a, *b).cut = cut;
                self.link(*b, *a).cut = cut;
            }
        }
    }

    /// Sends a message, which is delivered, lost or duplicated according to the link.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        let direction = Direction { from, to };
        let link = self
            .links
            .get(&direction)
            .copied()
            .unwrap_or(self.default_link);
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
            let delivery = NetworkEvent::Delivery {
                from,
                to,
                message: message.clone(),
            };
            self.schedule(self.now + link.delay + jitter, delivery);
        }
    }

    /// Sets the timer of a process, in place of its former one. `None` cancels it.
    pub fn set_timer(&mut self, process: usize, at: Option<Time>) {
        if let Some(key) = self.timers.remove(&process) {
            self.queue.remove(&key);
        }
        if let Some(at) = at {
            let key = self.schedule(at, NetworkEvent::Timer(process));
            self.timers.insert(process, key);
        }
    }

    fn schedule(&mut self, at: Time, event: NetworkEvent<M>) -> EventKey {
        self.last_sequence += 1;
        let key = EventKey {
            at: at.max(self.now),
            sequence: self.last_sequence,
        };
        self.queue.insert(key, event);
        key
    }

    /// Pauses or resumes a process. Events for a paused process are buffered and occur when it resumes.
    pub fn set_paused(&mut self, process: usize, paused: bool) {
        if paused {
            self.paused.insert(process);
        } else if self.paused.remove(&process) {
            self.deliver_buffered(process);
        }
    }

    fn deliver_buffered(&mut self, process: usize) {
        for event in std::mem::take(&mut self.buffered) {
            if event.process() == process {
                self.schedule(self.now, event);
            } else {
                self.buffered.push(event);
            }
        }
    }

    /// Drops all pending events for a process, as after a crash, and ends its pause.
    pub fn crash(&mut self, process: usize) {
        self.queue.retain(|_, event| event.process() != process);
        self.buffered.retain(|event| event.process() != process);
        self.timers.remove(&process);
        self.paused.remove(&process);
    }

    /// Returns the next event up to the time `until`, inclusive, and advances the clock to it. If there is none, the
    /// clock advances to `until`.
    pub fn next_event(&mut self, until: Time) -> Option<NetworkEvent<M>> {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().at <= until
        {
            let (key, event) = entry.remove_entry();
            self.now = self.now.max(key.at);
            let process = event.process();
            let is_timer = matches!(event, NetworkEvent::Timer(_));
            if is_timer && self.timers.get(&process) == Some(&key) {
                self.timers.remove(&process);
            }
            if !self.paused.contains(&process) {
                return Some(event);
            }
            if self.buffered.len() < MAX_BUFFERED {
                self.buffered.push(event);
            }
        }
        self.now = self.now.max(until);
        None
    }
}
