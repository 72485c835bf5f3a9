//! A fleet of membership cores in simulated time.
//!
//! The cores are the very ones that run on sockets; links, disks, crashes and pauses are simulated. What was true at
//! each moment is known here, so that views can be judged from outside the processes that hold them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pipithub_members::{
    Event, GenerationRecord, Identity, Input, JoinState, MemberState, Membership, Output, Settings,
    View,
};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};
use rand::RngExt;

/// One process and its disk.
struct Process {
    name: String,
    zone: String,
    core: Option<Membership>,
    /// What stands on its disk, synced.
    disk: Option<String>,
    /// Saves are lost from here on: the disk is full or gone.
    disk_failed: bool,
}

/// An event with its time and the process that told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEvent {
    /// When.
    pub at: Time,
    /// By which process.
    pub observer: usize,
    /// What.
    pub event: Event,
}

/// The fleet.
pub struct Fleet {
    /// The network and the clock.
    pub network: Network<Vec<u8>>,
    settings: Settings,
    processes: Vec<Process>,
    /// All that was told, in order, as far as it is kept.
    pub history: Vec<ObservedEvent>,
    /// Which events go into the history; all by default. In a fleet of n that starts each tells of all others, and n²
    /// copies would be most of the memory.
    pub event_filter: fn(&Event) -> bool,
    /// Bytes that each process sent.
    pub sent_bytes: Vec<u64>,
    /// Datagrams that each process sent.
    pub sent_datagrams: Vec<u64>,
    /// What the cores' own work took by the wall clock; the rest is the simulation's. It decides nothing.
    pub membership_time: Duration,
    boots: u64,
    out: Vec<Output>,
}

/// The address of a process.
pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (process / 250) as u8, (process % 250) as u8 + 1],
        7000,
    ))
}

fn process_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            (usize::from(high) * 250 + usize::from(low)).checked_sub(1)
        }
        SocketAddr::V6(_) => None,
    }
}

impl Fleet {
    /// A fleet of so many processes, none started, in zones that take turns. Seeds are the first `seeds` of them.
    pub fn new(
        size: usize,
        zones: usize,
        seeds: usize,
        seed: u64,
        settings: Settings,
        usual: Link,
    ) -> Fleet {
        let settings = Settings {
            seeds: (0..seeds).map(address).collect(),
            ..settings
        };
        let process = |n: usize| Process {
            name: format!("front-{n}"),
            zone: format!("zone-{}", n % zones.max(1)),
            core: None,
            disk: None,
            disk_failed: false,
        };
        Fleet {
            network: Network::new(seed, usual),
            settings,
            processes: (0..size).map(process).collect(),
            history: Vec::new(),
            event_filter: |_| true,
            sent_bytes: vec![0; size],
            sent_datagrams: vec![0; size],
            membership_time: Duration::ZERO,
            boots: 0,
            out: Vec::new(),
        }
    }

    /// How many there are, running or not.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// What stands on a process's disk.
    pub fn disk(&mut self, process: usize) -> &mut Option<String> {
        &mut self.processes[process].disk
    }

    /// Whether saves to a disk come to nothing.
    pub fn set_disk_failed(&mut self, process: usize, disk_failed: bool) {
        self.processes[process].disk_failed = disk_failed;
    }

    /// Has a further process bear the name of another, as when an operator starts one twice.
    pub fn rename(&mut self, process: usize, name: &str) {
        self.processes[process].name = name.to_string();
    }

    /// Starts a process from what stands on its disk. A record that cannot be used keeps it from starting.
    pub fn start(&mut self, process: usize) -> Result<(), pipithub_members::RecordError> {
        let now = self.network.now();
        self.boots += 1;
        let (boot_id, seed) = (self.network.rng.random(), self.network.rng.random());
        let p = &mut self.processes[process];
        let next = GenerationRecord::next(p.disk.as_deref(), &self.settings.cluster, &p.name)?;
        let identity = Identity {
            name: p.name.clone(),
            address: address(process),
            zone: p.zone.clone(),
            generation: next.record.generation,
            boot_id,
            renewal: 0,
            disk: next.disk,
        };
        if let Ok(mut core) = Membership::new(self.settings.clone(), identity, seed) {
            core.start(now, &mut self.out);
            p.core = Some(core);
        }
        self.carry_out(process);
        Ok(())
    }

    /// Kills a process outright.
    pub fn kill(&mut self, process: usize) {
        self.processes[process].core = None;
        self.network.crash(process);
    }

    /// Has a process leave, then end.
    pub fn leave(&mut self, process: usize) {
        self.handle(process, Input::Leave);
        self.kill(process);
    }

    /// Whether it runs.
    pub fn is_running(&self, process: usize) -> bool {
        self.processes[process].core.is_some()
    }

    /// How often the running processes compared their whole membership, in all.
    pub fn full_comparisons(&self) -> u64 {
        self.cores().map(Membership::full_comparisons).sum()
    }

    /// What a process believes now.
    pub fn view(&self, process: usize) -> Option<View> {
        self.processes[process]
            .core
            .as_ref()
            .map(|core| core.view(self.network.now()))
    }

    /// Hands an input to a process.
    pub fn handle(&mut self, process: usize, input: Input<'_>) {
        let now = self.network.now();
        if let Some(core) = &mut self.processes[process].core {
            let begun = Instant::now();
            core.handle(now, input, &mut self.out);
            self.membership_time += begun.elapsed();
        }
        self.carry_out(process);
    }

    fn carry_out(&mut self, process: usize) {
        while !self.out.is_empty() {
            for output in std::mem::take(&mut self.out) {
                match output {
                    Output::Send { to, bytes } => {
                        // Bytes of the network's own headers count as well.
                        self.sent_bytes[process] += bytes.len() as u64 + 28;
                        self.sent_datagrams[process] += 1;
                        if let Some(to) = process_at(to).filter(|to| *to < self.processes.len()) {
                            self.network.send(process, to, bytes);
                        }
                    }
                    Output::SaveGeneration(record) => {
                        let now = self.network.now();
                        let p = &mut self.processes[process];
                        if !p.disk_failed {
                            p.disk = Some(record.encode());
                            if let Some(core) = &mut p.core {
                                core.handle(
                                    now,
                                    Input::GenerationSaved(record.generation),
                                    &mut self.out,
                                );
                            }
                        }
                    }
                    Output::Event(event) if (self.event_filter)(&event) => {
                        self.history.push(ObservedEvent {
                            at: self.network.now(),
                            observer: process,
                            event,
                        });
                    }
                    Output::Event(_) => {}
                }
            }
        }
        let due = self.processes[process]
            .core
            .as_ref()
            .and_then(Membership::next_due);
        self.network.set_timer(process, due);
    }

    /// Lets time pass until then.
    pub fn run_until(&mut self, until: Time) {
        while let Some(next) = self.network.next_event(until) {
            match next {
                NetworkEvent::Delivery { from, to, message } => {
                    self.handle(
                        to,
                        Input::Datagram {
                            from: address(from),
                            bytes: &message,
                        },
                    );
                }
                NetworkEvent::Timer(process) => self.handle(process, Input::Tick),
            }
        }
    }

    /// Lets so much time pass.
    pub fn run_for(&mut self, time: Time) {
        self.run_until(self.network.now() + time);
    }

    fn cores(&self) -> impl Iterator<Item = &Membership> {
        self.processes.iter().filter_map(|p| p.core.as_ref())
    }

    /// Whether each process that runs takes part and believes exactly those to be there that do. The first that does not
    /// ends the look, and nothing is copied: n tables of n rows are compared.
    pub fn has_converged(&self) -> bool {
        let running = self.processes.iter().filter(|p| p.core.is_some());
        let mut names: Vec<&str> = running.map(|p| p.name.as_str()).collect();
        names.sort_unstable();
        let knows = |core: &Membership| {
            let active = core
                .members()
                .filter(|m| m.state != MemberState::Down)
                .map(|m| m.identity.name.as_str());
            // Rows come by name; of its own name it knows itself, and another process may bear it.
            let own = names.partition_point(|n| *n < core.identity().name.as_str());
            let others = names[..own]
                .iter()
                .chain(names.get(own + 1..).unwrap_or_default());
            *core.join_state() == JoinState::Joined && active.eq(others.copied())
        };
        !names.is_empty() && self.cores().all(knows)
    }

    /// How many running processes hold a process for dead, and how many for alive or suspect.
    pub fn opinions(&self, of: usize) -> (usize, usize) {
        let name = &self.processes[of].name;
        let others = self.processes.iter().enumerate().filter(|(n, _)| *n != of);
        let (mut dead, mut there) = (0, 0);
        for core in others.filter_map(|(_, p)| p.core.as_ref()) {
            match core.member(name).map(|m| m.state) {
                Some(MemberState::Down) => dead += 1,
                Some(_) => there += 1,
                None => {}
            }
        }
        (dead, there)
    }
}
