//! The simulated cluster: processes with their disks, over a simulated network.

use std::time::{Duration, Instant};

use pipithub_membership::{
    Event, GenerationRecord, Identity, Input, JoinState, MemberState, Membership, Output,
    RecordError, Settings, View,
};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};
use rand::RngExt;

use crate::address::{address, process_at};

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// One process and its disk.
struct Process {
    name: String,
    zone: String,
    /// `None` while the process does not run.
    membership: Option<Membership>,
    /// The generation record on its disk; `None` if the disk is empty.
    disk: Option<String>,
    /// Whether saving fails, as on a full disk.
    disk_failed: bool,
}

/// An event of a membership, with its time and the process that reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEvent {
    /// Simulated time of the report, in nanoseconds.
    pub at: Time,
    /// Number of the process that reported it.
    pub observer: usize,
    /// The reported event.
    pub event: Event,
}

/// How many of the other running processes consider a process down, and how many consider it active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateCounts {
    /// Number of processes that consider it down.
    pub down: usize,
    /// Number of processes that consider it alive or suspect.
    pub active: usize,
}

/// A simulated cluster, whose processes are identified by numbers from 0.
pub struct Fleet {
    /// The network, which also holds the clock and the random numbers.
    pub network: Network<Vec<u8>>,
    settings: Settings,
    processes: Vec<Process>,
    /// The reported events that pass [`Fleet::event_filter`], in order.
    pub history: Vec<ObservedEvent>,
    /// Selects the events that are added to the history; all by default. At the start of a cluster of n processes, each
    /// reports all others, so that n² events would use most of the memory of a large simulation.
    pub event_filter: fn(&Event) -> bool,
    /// Bytes that each process sent, IP and UDP headers included.
    pub sent_bytes: Vec<u64>,
    /// Number of datagrams that each process sent.
    pub sent_datagrams: Vec<u64>,
    /// Real time that was spent in the state machines, for benchmarks. No behaviour depends on it.
    pub membership_time: Duration,
    outputs: Vec<Output>,
}

impl Fleet {
    /// Creates a cluster of `size` processes, none of them started. They are assigned to `zones` zones in turn, and the
    /// first `seeds` of them are the seeds. `seed` determines all random numbers.
    pub fn new(
        size: usize,
        zones: usize,
        seeds: usize,
        seed: u64,
        settings: Settings,
        default_link: Link,
    ) -> Fleet {
        let settings = Settings {
            seeds: (0..seeds).map(address).collect(),
            ..settings
        };
        let process = |index: usize| Process {
            name: format!("front-{index}"),
            zone: format!("zone-{}", index % zones.max(1)),
            membership: None,
            disk: None,
            disk_failed: false,
        };
        Fleet {
            network: Network::new(seed, default_link),
            settings,
            processes: (0..size).map(process).collect(),
            history: Vec::new(),
            event_filter: |_| true,
            sent_bytes: vec![0; size],
            sent_datagrams: vec![0; size],
            membership_time: Duration::ZERO,
            outputs: Vec::new(),
        }
    }

    /// Number of processes, running or not.
    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// The generation record on the disk of a process, to be changed or copied; `None` if the disk is empty.
    pub fn disk(&mut self, process: usize) -> &mut Option<String> {
        &mut self.processes[process].disk
    }

    /// Makes saving on the disk of a process fail or succeed.
    pub fn set_disk_failed(&mut self, process: usize, failed: bool) {
        self.processes[process].disk_failed = failed;
    }

    /// Changes the name of a process, for instance to that of another one. It applies from the next start on.
    pub fn rename(&mut self, process: usize, name: &str) {
        self.processes[process].name = name.to_string();
    }

    /// Starts a process with the generation record on its disk.
    ///
    /// # Errors
    /// The record cannot be used; the process is not started.
    pub fn start(&mut self, index: usize) -> Result<(), RecordError> {
        let now = self.network.now();
        let boot_id = self.network.rng.random();
        let seed = self.network.rng.random();
        let process = &mut self.processes[index];
        let disk = process.disk.as_deref();
        let next = GenerationRecord::next(disk, &self.settings.cluster, &process.name)?;
        let identity = Identity {
            name: process.name.clone(),
            address: address(index),
            zone: process.zone.clone(),
            generation: next.record.generation,
            boot_id,
            renewal: 0,
            disk: next.disk,
        };
        if let Ok(mut membership) = Membership::new(self.settings.clone(), identity, seed) {
            membership.start(now, &mut self.outputs);
            process.membership = Some(membership);
        }
        self.apply_outputs(index);
        Ok(())
    }

    /// Kills a process without notice to the others.
    pub fn kill(&mut self, process: usize) {
        self.processes[process].membership = None;
        self.network.crash(process);
    }

    /// Makes a process leave the cluster, then stops it.
    pub fn leave(&mut self, process: usize) {
        self.handle(process, Input::Leave);
        self.kill(process);
    }

    /// Whether a process runs.
    pub fn is_running(&self, process: usize) -> bool {
        self.processes[process].membership.is_some()
    }

    /// Total number of full comparisons of members in the running processes.
    pub fn full_comparisons(&self) -> u64 {
        self.running().map(Membership::full_comparisons).sum()
    }

    /// The current view of a process; `None` if it does not run.
    pub fn view(&self, process: usize) -> Option<View> {
        let membership = self.processes[process].membership.as_ref()?;
        Some(membership.view(self.network.now()))
    }

    /// Passes an input to a process, if it runs, and applies its outputs.
    pub fn handle(&mut self, process: usize, input: Input<'_>) {
        let now = self.network.now();
        if let Some(membership) = &mut self.processes[process].membership {
            let started = Instant::now();
            membership.handle(now, input, &mut self.outputs);
            self.membership_time += started.elapsed();
        }
        self.apply_outputs(process);
    }

    fn apply_outputs(&mut self, process: usize) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                match output {
                    Output::Send { to, bytes } => self.send(process, process_at(to), bytes),
                    Output::SaveGeneration(record) => self.save(process, &record),
                    Output::Event(event) => self.observe(process, event),
                }
            }
        }
        let membership = self.processes[process].membership.as_ref();
        let due = membership.and_then(Membership::next_due);
        self.network.set_timer(process, due);
    }

    fn send(&mut self, process: usize, to: Option<usize>, bytes: Vec<u8>) {
        self.sent_bytes[process] += bytes.len() as u64 + HEADER_BYTES;
        self.sent_datagrams[process] += 1;
        if let Some(to) = to.filter(|to| *to < self.processes.len()) {
            self.network.send(process, to, bytes);
        }
    }

    fn save(&mut self, process: usize, record: &GenerationRecord) {
        let now = self.network.now();
        let process = &mut self.processes[process];
        if process.disk_failed {
            return;
        }
        process.disk = Some(record.encode());
        if let Some(membership) = &mut process.membership {
            let saved = Input::GenerationSaved(record.generation);
            membership.handle(now, saved, &mut self.outputs);
        }
    }

    fn observe(&mut self, observer: usize, event: Event) {
        if (self.event_filter)(&event) {
            let at = self.network.now();
            self.history.push(ObservedEvent {
                at,
                observer,
                event,
            });
        }
    }

    /// Runs the simulation until the time `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some(event) = self.network.next_event(until) {
            match event {
                NetworkEvent::Delivery { from, to, message } => {
                    let datagram = Input::Datagram {
                        from: address(from),
                        bytes: &message,
                    };
                    self.handle(to, datagram);
                }
                NetworkEvent::Timer(process) => self.handle(process, Input::Tick),
            }
        }
    }

    /// Runs the simulation for a duration in nanoseconds.
    pub fn run_for(&mut self, duration: Time) {
        self.run_until(self.network.now() + duration);
    }

    fn running(&self) -> impl Iterator<Item = &Membership> {
        self.processes
            .iter()
            .filter_map(|process| process.membership.as_ref())
    }

    /// Whether each running process has joined and considers exactly the running processes active. This compares n
    /// tables of n rows, so it copies nothing and stops at the first difference.
    pub fn has_converged(&self) -> bool {
        let running = self.processes.iter().filter(|p| p.membership.is_some());
        let mut names: Vec<&str> = running.map(|process| process.name.as_str()).collect();
        names.sort_unstable();
        !names.is_empty()
            && self
                .running()
                .all(|m| has_exactly_active_members(m, &names))
    }

    /// In which states the other running processes consider the process `of` to be.
    pub fn state_counts(&self, of: usize) -> StateCounts {
        let name = &self.processes[of].name;
        let others = self.processes.iter().enumerate();
        let others = others.filter(|(index, _)| *index != of);
        let mut state_counts = StateCounts { down: 0, active: 0 };
        for membership in others.filter_map(|(_, process)| process.membership.as_ref()) {
            match membership.member(name).map(|member| member.state) {
                Some(MemberState::Down) => state_counts.down += 1,
                Some(_) => state_counts.active += 1,
                None => {}
            }
        }
        state_counts
    }
}

/// Whether a process has joined and considers exactly the processes of these names active. `names` must be sorted.
fn has_exactly_active_members(membership: &Membership, names: &[&str]) -> bool {
    let active = membership
        .members()
        .filter(|member| member.state != MemberState::Down)
        .map(|member| member.identity.name.as_str());
    // A process is not in its own table. Another process may have the same name, so only one occurrence is skipped.
    let own_name = membership.identity().name.as_str();
    let own_index = names.partition_point(|name| *name < own_name);
    let others = names[..own_index]
        .iter()
        .chain(names.get(own_index + 1..).unwrap_or_default());
    *membership.join_state() == JoinState::Joined && active.eq(others.copied())
}
