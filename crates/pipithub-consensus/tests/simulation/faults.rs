//! Faults of the environment, which the consensus group must tolerate, and faults of the processes themselves, which
//! the checks of the simulation must find.

use pipithub_simnet::Time;
use rand::RngExt;

use super::{LEASE_DURATION, Simulation, new_client};

/// A fault that breaks a guarantee, to show that the checks find it.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    /// A crash loses votes and terms that were synced.
    ForgottenVotes,
    /// A crash loses log entries that were synced.
    LostEntries,
    /// A client relies on its leases after they have expired.
    ExtendedLeases,
}

impl InjectedFault {
    /// How long a client relies on a lease after it has expired.
    pub(super) fn lease_extension(self) -> Time {
        match self {
            InjectedFault::ExtendedLeases => LEASE_DURATION / 3,
            _ => 0,
        }
    }
}

impl Simulation {
    /// Crashes a voter. Batches that its disk has not stored yet are lost.
    pub(crate) fn crash(&mut self, voter: usize) {
        self.voters[voter].core = None;
        self.network.crash(voter);
        self.set_paused(voter, false);
        let disk = &mut self.voters[voter].disk;
        match self.injected {
            InjectedFault::ForgottenVotes => disk.hard_state = None,
            InjectedFault::LostEntries => {
                let half = disk.entries.len() / 2;
                disk.entries.truncate(half);
                disk.hard_state = None;
            }
            InjectedFault::None | InjectedFault::ExtendedLeases => {}
        }
    }

    fn set_paused(&mut self, process: usize, paused: bool) {
        self.paused[process] = paused;
        self.network.set_paused(process, paused);
    }

    /// Injects or ends a fault at random: crashes or starts a voter, restarts a client, pauses or resumes a process,
    /// cuts or restores links.
    pub(crate) fn inject_random_fault(&mut self) {
        let (voters, size) = (self.voters.len(), self.clocks.len());
        let rng = &mut self.network.rng;
        let voter = rng.random_range(0..voters);
        let process = rng.random_range(0..size);
        let other = rng.random_range(0..size);
        match rng.random_range(0..10u32) {
            0 | 1 => self.crash(voter),
            2 | 3 => self.start_if_crashed(voter),
            4 if process != other => self.network.link(process, other).cut = true,
            5 => {
                let (one, rest): (Vec<usize>, Vec<usize>) =
                    (0..size).partition(|process| process % 2 == voter % 2);
                self.network.set_partition(&one, &rest, true);
            }
            6 | 7 => self.network.heal(),
            8 if !self.paused[process] => self.set_paused(process, true),
            9 if process >= voters => self.restart_client(process - voters),
            _ => self.set_paused(process, false),
        }
    }

    fn start_if_crashed(&mut self, voter: usize) {
        if self.voters[voter].core.is_none() {
            self.start(voter);
        }
    }

    /// Restarts a client under its name, as a new run without an epoch.
    fn restart_client(&mut self, client: usize) {
        let voters = self.voters.len();
        let process = &mut self.clients[client];
        process.boot_id += 1;
        process.core = new_client(client, process.boot_id, voters);
    }

    pub(crate) fn end_all_faults(&mut self) {
        self.network.heal();
        for process in 0..self.clocks.len() {
            self.network.set_paused(process, false);
        }
        for voter in 0..self.voters.len() {
            self.start_if_crashed(voter);
        }
    }
}
