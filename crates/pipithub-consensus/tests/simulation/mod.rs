//! A simulated consensus group: voters with their disks and clocks, and clients that acquire leases. What was committed and
//! who could rely on a lease is recorded here, outside the processes under test.

use std::collections::BTreeMap;

use pipithub_consensus::{
    Client, Command, Input, Notification, Output, Response, StoredLog, Voter, VoterSettings,
    WireMessage, WriteBatch,
};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};
use rand::RngExt;

pub(crate) const MS: Time = 1_000_000;
const LEASE_DURATION: Time = 1_500 * MS;

/// What may be wrong on purpose, to show that the checks find it.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    /// A crash forgets what was synced of votes and terms.
    ForgottenVotes,
    /// A crash loses log entries that were synced.
    LostEntries,
    /// A front end counts its lease from the answer on, and some more.
    LongLeases,
}

#[derive(Clone)]
pub(crate) enum Message {
    Raft(Vec<u8>),
    Client(WireMessage),
    /// A disk says that a batch is stored; of which start of the voter.
    Stored(u64, WriteBatch),
}

pub(crate) struct VoterProcess {
    pub(crate) core: Option<Voter>,
    pub(crate) disk: StoredLog,
    starts: u64,
}

pub(crate) struct ClientProcess {
    pub(crate) core: Client,
    /// When its next question comes.
    next: Time,
    boot: u64,
}

pub(crate) struct Simulation {
    pub(crate) net: Network<Message>,
    pub(crate) voters: Vec<VoterProcess>,
    pub(crate) clients: Vec<ClientProcess>,
    injected: InjectedFault,
    /// Offset and rate of each process's clock.
    pub(crate) clocks: Vec<(Time, f64)>,
    leaders: BTreeMap<u64, usize>,
    pub(crate) committed: BTreeMap<u64, String>,
    pub(crate) applied: u64,
    pub(crate) granted: u64,
    pub(crate) violations: Vec<String>,
    paused: Vec<bool>,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        voters: usize,
        clients: usize,
        injected: InjectedFault,
    ) -> Simulation {
        let usual = Link {
            delay: MS,
            jitter: 4 * MS,
            loss: 0.01,
            duplication: 0.01,
            ..Link::default()
        };
        let mut net = Network::new(seed, usual);
        let size = voters + clients;
        let mut clock = || {
            (
                net.rng.random_range(0..1_000_000 * MS),
                1.0 + f64::from(net.rng.random_range(-5..=5)) / 1_000.0,
            )
        };
        let clocks = (0..size).map(|_| clock()).collect();
        let voter = |_| VoterProcess {
            core: None,
            disk: StoredLog::default(),
            starts: 0,
        };
        let ids: Vec<u64> = (1..=voters as u64).collect();
        let client = |n: usize| ClientProcess {
            core: Client::new(&format!("front-{n}"), 1, ids.clone(), 150 * MS),
            next: 500 * MS,
            boot: 1,
        };
        let mut simulation = Simulation {
            net,
            voters: (0..voters).map(voter).collect(),
            clients: (0..clients).map(client).collect(),
            injected,
            clocks,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            applied: 0,
            granted: 0,
            violations: Vec::new(),
            paused: vec![false; size],
        };
        (0..voters).for_each(|n| simulation.start(n));
        (0..clients).for_each(|n| simulation.net.set_timer(voters + n, Some(500 * MS)));
        simulation
    }

    fn local(&self, process: usize) -> Time {
        let (offset, rate) = self.clocks[process];
        offset + (self.net.now() as f64 * rate) as Time
    }

    /// The simulation's time of a process's own.
    fn global(&self, process: usize, local: Time) -> Time {
        let (offset, rate) = self.clocks[process];
        (local.saturating_sub(offset) as f64 / rate) as Time + 1
    }

    pub(crate) fn start(&mut self, n: usize) {
        let voters: Vec<u64> = (1..=self.voters.len() as u64).collect();
        let settings = VoterSettings {
            id: n as u64 + 1,
            voters,
            tick: 20 * MS,
        };
        let (now, seed) = (self.local(n), self.net.rng.random());
        self.voters[n].starts += 1;
        match Voter::new(settings, &self.voters[n].disk, now, seed) {
            Ok(core) => {
                let due = self.global(n, core.next_due());
                self.voters[n].core = Some(core);
                self.net.set_timer(n, Some(due));
            }
            Err(error) => self
                .violations
                .push(format!("voter {n} does not start: {error}")),
        }
    }

    pub(crate) fn crash(&mut self, n: usize) {
        self.voters[n].core = None;
        // What the disk had not said yet is lost with what was under way.
        self.net.crash(n);
        self.net.set_paused(n, false);
        self.paused[n] = false;
        match self.injected {
            InjectedFault::ForgottenVotes => self.voters[n].disk.hard_state = None,
            InjectedFault::LostEntries => {
                let disk = &mut self.voters[n].disk;
                let half = disk.entries.len() / 2;
                disk.entries.truncate(half);
                disk.hard_state = None;
            }
            _ => {}
        }
    }

    fn voter(&mut self, n: usize, input: Input) {
        let now = self.local(n);
        let mut out = Vec::new();
        let Some(core) = &mut self.voters[n].core else {
            return;
        };
        core.handle(now, input, &mut out);
        let due = core.next_due();
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    self.net.send(n, to as usize - 1, Message::Raft(bytes));
                }
                Output::Reply { client, message } => {
                    let client: usize = client["front-".len()..].parse().unwrap();
                    self.net
                        .send(n, self.voters.len() + client, Message::Client(message));
                }
                Output::Persist(batch) => {
                    // The disk takes its time, in order; a link to oneself that loses nothing.
                    let starts = self.voters[n].starts;
                    *self.net.link(n, n) = Link {
                        delay: 2 * MS,
                        jitter: 0,
                        ..Link::default()
                    };
                    self.net.send(n, n, Message::Stored(starts, batch));
                }
                Output::Applied {
                    index,
                    term,
                    request,
                } => {
                    self.applied += 1;
                    let told = format!("{term} {request:?}");
                    let first = self.committed.entry(index).or_insert_with(|| told.clone());
                    if *first != told {
                        self.violations.push(format!(
                            "entry {index} is {first} and, at voter {n}, {told}"
                        ));
                    }
                }
                Output::LeadershipChanged {
                    is_leader: true,
                    term,
                } => {
                    let first = *self.leaders.entry(term).or_insert(n);
                    if first != n {
                        self.violations
                            .push(format!("voters {first} and {n} both lead in term {term}"));
                    }
                }
                Output::LeadershipChanged { .. } | Output::SnapshotRestored { .. } => {}
            }
        }
        let due = self.global(n, due);
        self.net.set_timer(n, Some(due));
    }

    fn client(&mut self, a: usize, heard: Option<WireMessage>) {
        let process = self.voters.len() + a;
        let (now, real) = (self.local(process), self.net.now());
        if let Some(wire) = heard {
            match self.clients[a].core.handle_message(now, wire) {
                Some(Notification::Response {
                    response: Response::Granted,
                    ..
                }) => self.granted += 1,
                Some(Notification::Fenced) => drop(self.clients[a].core.submit(Command::NewEpoch)),
                _ => {}
            }
        }
        if real >= self.clients[a].next {
            let pause = self.net.rng.random_range(50..800) * MS;
            let lease = format!("lease-{}", self.net.rng.random_range(0..2));
            let give_back = self.net.rng.random::<f64>() < 0.1;
            let client = &mut self.clients[a];
            client.next = real + pause;
            if client.core.pending_requests() < 3 {
                match client.core.epoch() {
                    None => drop(client.core.submit(Command::NewEpoch)),
                    Some(_) if give_back => drop(client.core.release(&lease)),
                    Some(epoch) => drop(client.core.submit(Command::AcquireLease {
                        lease,
                        epoch,
                        duration: LEASE_DURATION,
                    })),
                }
            }
        }
        while let Some(outgoing) = self.clients[a].core.next_message(now) {
            let voter = outgoing.voter as usize - 1;
            self.net
                .send(process, voter, Message::Client(outgoing.message));
        }
        let due = self.clients[a]
            .core
            .next_due(now)
            .map(|at| self.global(process, at));
        let due = due
            .map_or(self.clients[a].next, |d| d.min(self.clients[a].next))
            .max(real + 1);
        self.net.set_timer(process, Some(due));
    }

    /// Nobody may rely on a lease that another relies on.
    fn check_leases(&mut self) {
        for lease in ["lease-0", "lease-1"] {
            let late = if self.injected == InjectedFault::LongLeases {
                LEASE_DURATION / 3
            } else {
                0
            };
            let holds = |n: &usize| {
                let now = self.local(self.voters.len() + n).saturating_sub(late);
                self.clients[*n].core.held_lease(lease, now).is_some()
            };
            let holders: Vec<usize> = (0..self.clients.len()).filter(holds).collect();
            if holders.len() > 1 && self.violations.len() < 50 {
                self.violations.push(format!(
                    "{lease} is relied on by {holders:?} at {}",
                    self.net.now() / MS
                ));
            }
        }
    }

    pub(crate) fn run_for(&mut self, time: Time) {
        let until = self.net.now() + time;
        while let Some(next) = self.net.next_event(until) {
            match next {
                NetworkEvent::Timer(p) if p < self.voters.len() => self.voter(p, Input::Tick),
                NetworkEvent::Timer(p) => self.client(p - self.voters.len(), None),
                NetworkEvent::Delivery {
                    to,
                    message: Message::Raft(bytes),
                    ..
                } => self.voter(to, Input::Raft(bytes)),
                NetworkEvent::Delivery {
                    to,
                    message: Message::Client(WireMessage::Request(asked)),
                    ..
                } => self.voter(to, Input::Request(asked)),
                NetworkEvent::Delivery {
                    to,
                    message: Message::Client(wire),
                    ..
                } => self.client(to - self.voters.len(), Some(wire)),
                NetworkEvent::Delivery {
                    to,
                    message: Message::Stored(starts, batch),
                    ..
                } => {
                    if self.voters[to].starts == starts {
                        self.voters[to].disk.apply(&batch);
                        self.voter(to, Input::Persisted(batch.number));
                    }
                }
            }
            self.check_leases();
        }
    }

    pub(crate) fn inject_random_fault(&mut self) {
        let (voters, size) = (self.voters.len(), self.clocks.len());
        let (n, p, other) = {
            let rng = &mut self.net.rng;
            (
                rng.random_range(0..voters),
                rng.random_range(0..size),
                rng.random_range(0..size),
            )
        };
        match self.net.rng.random_range(0..10u32) {
            0 | 1 => self.crash(n),
            2 | 3 => {
                if self.voters[n].core.is_none() {
                    self.start(n);
                }
            }
            4 if p != other => self.net.link(p, other).cut = true,
            5 => {
                let (one, rest): (Vec<usize>, Vec<usize>) = (0..size).partition(|x| x % 2 == n % 2);
                self.net.set_partition(&one, &rest, true);
            }
            6 | 7 => self.net.heal(),
            8 if !self.paused[p] => {
                self.paused[p] = true;
                self.net.set_paused(p, true);
            }
            9 if p >= voters => {
                // A front end restarts under its name: a new run, which takes a new epoch.
                let a = p - voters;
                let ids: Vec<u64> = (1..=voters as u64).collect();
                self.clients[a].boot += 1;
                let boot = self.clients[a].boot;
                self.clients[a].core = Client::new(&format!("front-{a}"), boot, ids, 150 * MS);
            }
            _ => {
                self.paused[p] = false;
                self.net.set_paused(p, false);
            }
        }
    }
}
