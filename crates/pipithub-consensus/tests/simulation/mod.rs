//! A simulated consensus group: voters with their disks and clocks, and clients that acquire leases. Committed entries,
//! leaders and the holders of leases are recorded here, outside the processes under test.

mod faults;

use std::collections::BTreeMap;

use pipithub_consensus::{
    Client, Command, Input, Notification, Output, Response, StoredLog, Voter, VoterSettings,
    WireMessage, WriteBatch,
};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};
use rand::RngExt;

pub(crate) use faults::InjectedFault;

pub(crate) const MS: Time = 1_000_000;
const LEASE_DURATION: Time = 1_500 * MS;
const LEASES: [&str; 2] = ["lease-0", "lease-1"];
const TICK: Time = 20 * MS;
const RETRY_INTERVAL: Time = 150 * MS;
const FIRST_COMMAND: Time = 500 * MS;
const DISK_LATENCY: Time = 2 * MS;
/// Largest number of requests that a client has pending.
const MAX_PENDING: usize = 3;
/// Violations of leases are recorded only up to this number of violations, because further ones add no information.
const MAX_VIOLATIONS: usize = 50;

#[derive(Clone)]
pub(crate) enum Message {
    Raft(Vec<u8>),
    Client(WireMessage),
    /// The disk of a voter has stored a batch of the voter's run with this number.
    Stored {
        run: u64,
        batch: WriteBatch,
    },
}

pub(crate) struct VoterProcess {
    /// `None` while the process is crashed.
    pub(crate) core: Option<Voter>,
    pub(crate) disk: StoredLog,
    /// Number of starts of the process, which is also the number of the current run.
    run: u64,
}

pub(crate) struct ClientProcess {
    pub(crate) core: Client,
    next_command: Time,
    boot_id: u64,
}

/// The clock of a process, which differs from the simulation's in offset and rate.
pub(crate) struct LocalClock {
    offset: Time,
    rate: f64,
}

/// A simulated consensus group with its clients. Processes are numbered: first the voters, then the clients.
pub(crate) struct Simulation {
    pub(crate) network: Network<Message>,
    pub(crate) voters: Vec<VoterProcess>,
    pub(crate) clients: Vec<ClientProcess>,
    injected: InjectedFault,
    pub(crate) clocks: Vec<LocalClock>,
    /// The first leader of each term.
    leaders: BTreeMap<u64, usize>,
    /// Each committed entry by its index, as the first voter applied it.
    pub(crate) committed: BTreeMap<u64, String>,
    /// Number of entries that voters applied, summed over all voters.
    pub(crate) applied: u64,
    /// Number of leases that were granted or extended.
    pub(crate) granted: u64,
    pub(crate) violations: Vec<String>,
    paused: Vec<bool>,
}

fn voter_ids(voters: usize) -> Vec<u64> {
    (1..=voters as u64).collect()
}

fn new_client(client: usize, boot_id: u64, voters: usize) -> Client {
    let name = format!("front-{client}");
    Client::new(&name, boot_id, voter_ids(voters), RETRY_INTERVAL)
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        voters: usize,
        clients: usize,
        injected: InjectedFault,
    ) -> Simulation {
        let default_link = Link {
            delay: MS,
            jitter: 4 * MS,
            loss: 0.01,
            duplication: 0.01,
            ..Link::default()
        };
        let mut network = Network::new(seed, default_link);
        let size = voters + clients;
        let mut random_clock = || LocalClock {
            offset: network.rng.random_range(0..1_000_000 * MS),
            rate: 1.0 + f64::from(network.rng.random_range(-5..=5)) / 1_000.0,
        };
        let clocks = (0..size).map(|_| random_clock()).collect();
        let voter = |_| VoterProcess {
            core: None,
            disk: StoredLog::default(),
            run: 0,
        };
        let client = |client: usize| ClientProcess {
            core: new_client(client, 1, voters),
            next_command: FIRST_COMMAND,
            boot_id: 1,
        };
        let mut simulation = Simulation {
            network,
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
        (0..voters).for_each(|voter| simulation.start(voter));
        for process in voters..size {
            simulation.network.set_timer(process, Some(FIRST_COMMAND));
        }
        simulation
    }

    fn local_time(&self, process: usize) -> Time {
        let clock = &self.clocks[process];
        clock.offset + (self.network.now() as f64 * clock.rate) as Time
    }

    /// The simulation's time at which a process's clock shows `local`.
    fn simulation_time(&self, process: usize, local: Time) -> Time {
        let clock = &self.clocks[process];
        (local.saturating_sub(clock.offset) as f64 / clock.rate) as Time + 1
    }

    pub(crate) fn start(&mut self, voter: usize) {
        let settings = VoterSettings {
            id: voter as u64 + 1,
            voters: voter_ids(self.voters.len()),
            tick: TICK,
        };
        let (now, seed) = (self.local_time(voter), self.network.rng.random());
        self.voters[voter].run += 1;
        match Voter::new(settings, &self.voters[voter].disk, now, seed) {
            Ok(core) => {
                let due = self.simulation_time(voter, core.next_due());
                self.voters[voter].core = Some(core);
                self.network.set_timer(voter, Some(due));
            }
            Err(error) => self
                .violations
                .push(format!("voter {voter} does not start: {error}")),
        }
    }

    fn handle_voter_input(&mut self, voter: usize, input: Input) {
        let now = self.local_time(voter);
        let mut outputs = Vec::new();
        let Some(core) = &mut self.voters[voter].core else {
            return;
        };
        core.handle(now, input, &mut outputs);
        let due = core.next_due();
        for output in outputs {
            self.apply_output(voter, output);
        }
        let due = self.simulation_time(voter, due);
        self.network.set_timer(voter, Some(due));
    }

    fn apply_output(&mut self, voter: usize, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                self.network
                    .send(voter, to as usize - 1, Message::Raft(bytes));
            }
            Output::Reply { client, message } => {
                let client: usize = client["front-".len()..].parse().unwrap();
                let process = self.voters.len() + client;
                self.network.send(voter, process, Message::Client(message));
            }
            Output::Persist(batch) => self.store(voter, batch),
            Output::Applied {
                index,
                term,
                request,
            } => self.record_applied(voter, index, format!("{term} {request:?}")),
            Output::LeadershipChanged {
                is_leader: true,
                term,
            } => self.record_leader(voter, term),
            Output::LeadershipChanged { .. } | Output::SnapshotRestored { .. } => {}
        }
    }

    /// Stores a batch after the latency of the disk; a lossless link of the voter to itself keeps the batches in order.
    fn store(&mut self, voter: usize, batch: WriteBatch) {
        *self.network.link(voter, voter) = Link {
            delay: DISK_LATENCY,
            jitter: 0,
            ..Link::default()
        };
        let run = self.voters[voter].run;
        self.network
            .send(voter, voter, Message::Stored { run, batch });
    }

    fn record_applied(&mut self, voter: usize, index: u64, entry: String) {
        self.applied += 1;
        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
        if *first != entry {
            self.violations.push(format!(
                "entry {index} is {first} and, at voter {voter}, {entry}"
            ));
        }
    }

    fn record_leader(&mut self, voter: usize, term: u64) {
        let first = *self.leaders.entry(term).or_insert(voter);
        if first != voter {
            self.violations.push(format!(
                "voters {first} and {voter} both lead in term {term}"
            ));
        }
    }

    fn handle_client_message(&mut self, client: usize, message: WireMessage) {
        let now = self.local_time(self.voters.len() + client);
        let core = &mut self.clients[client].core;
        match core.handle_message(now, message) {
            Some(Notification::Response {
                response: Response::Granted,
                ..
            }) => self.granted += 1,
            Some(Notification::Fenced) => drop(core.submit(Command::NewEpoch)),
            _ => {}
        }
        self.run_client(client);
    }

    /// Submits the next command of a client if it is due, sends the messages that are due, and sets its timer.
    fn run_client(&mut self, client: usize) {
        let process = self.voters.len() + client;
        let now = self.network.now();
        let local_now = self.local_time(process);
        if now >= self.clients[client].next_command {
            self.submit_random_command(client);
        }
        while let Some(outgoing) = self.clients[client].core.next_message(local_now) {
            let voter = outgoing.voter as usize - 1;
            self.network
                .send(process, voter, Message::Client(outgoing.message));
        }
        let ClientProcess {
            core, next_command, ..
        } = &self.clients[client];
        let message_due = core
            .next_due(local_now)
            .map(|due| self.simulation_time(process, due));
        let due = message_due.map_or(*next_command, |due| due.min(*next_command));
        self.network.set_timer(process, Some(due.max(now + 1)));
    }

    fn submit_random_command(&mut self, client: usize) {
        let rng = &mut self.network.rng;
        let pause = rng.random_range(50..800) * MS;
        let lease = LEASES[rng.random_range(0..LEASES.len())].to_string();
        let release = rng.random::<f64>() < 0.1;
        let client = &mut self.clients[client];
        client.next_command = self.network.now() + pause;
        if client.core.pending_requests() >= MAX_PENDING {
            return;
        }
        let _ = match client.core.epoch() {
            None => client.core.submit(Command::NewEpoch),
            Some(_) if release => client.core.release(&lease),
            Some(epoch) => client.core.submit(Command::AcquireLease {
                lease,
                epoch,
                duration: LEASE_DURATION,
            }),
        };
    }

    /// Records a violation for each lease that two or more clients hold at the same time.
    fn check_leases(&mut self) {
        for lease in LEASES {
            let holds_lease = |client: &usize| {
                let now = self.local_time(self.voters.len() + client);
                let now = now.saturating_sub(self.injected.lease_extension());
                self.clients[*client].core.held_lease(lease, now).is_some()
            };
            let holders: Vec<usize> = (0..self.clients.len()).filter(holds_lease).collect();
            if holders.len() > 1 && self.violations.len() < MAX_VIOLATIONS {
                self.violations.push(format!(
                    "{lease} is held by {holders:?} at {} ms",
                    self.network.now() / MS
                ));
            }
        }
    }

    pub(crate) fn run_for(&mut self, duration: Time) {
        let until = self.network.now() + duration;
        while let Some(event) = self.network.next_event(until) {
            match event {
                NetworkEvent::Timer(process) if process < self.voters.len() => {
                    self.handle_voter_input(process, Input::Tick);
                }
                NetworkEvent::Timer(process) => self.run_client(process - self.voters.len()),
                NetworkEvent::Delivery { to, message, .. } => self.deliver(to, message),
            }
            self.check_leases();
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        match message {
            Message::Raft(bytes) => self.handle_voter_input(to, Input::Raft(bytes)),
            Message::Client(WireMessage::Request(request)) => {
                self.handle_voter_input(to, Input::Request(request));
            }
            Message::Client(message) => {
                self.handle_client_message(to - self.voters.len(), message);
            }
            Message::Stored { run, batch } => {
                if self.voters[to].run == run {
                    self.voters[to].disk.apply(&batch);
                    self.handle_voter_input(to, Input::Persisted(batch.number));
                }
            }
        }
    }

    /// Index of the last entry that each running voter has applied.
    pub(crate) fn applied_indexes(&self) -> Vec<u64> {
        let running = self.voters.iter().filter_map(|voter| voter.core.as_ref());
        running.map(Voter::applied).collect()
    }
}
