//! What is done to the processes of a scenario, and when.

use std::fmt;

use crate::load;
use crate::scenario::{Fault, Scenario, ScheduledFault};
use crate::units::SECOND;

#[cfg(test)]
mod tests;

/// The least time between the drain of a worker and its end.
const MIN_DRAIN_TIME: u64 = SECOND;

/// One step of a fault.
#[derive(Clone, Debug)]
pub(super) enum Action {
    KillWorker(usize),
    /// The endpoint list notifies that a killed worker is removed.
    RemoveWorker(usize),
    StartWorker(usize),
    DrainWorker(usize),
    /// The worker accepts requests and does not answer.
    SetWorkerSilent {
        worker: usize,
        silent: bool,
    },
    DelayEndpointList {
        by: u64,
    },
    SlowStore {
        factor: f64,
    },
    SetStoreRejecting(bool),
    KillFrontEnd(usize),
    StartFrontEnd(usize),
    DropBrokerConnections,
    /// A command of the emulated directory server that starts or ends a fault.
    CommandDirectory {
        server: usize,
        command: String,
    },
    SetDirectoryStale {
        server: usize,
        stale: bool,
    },
    MigrateUser {
        user: usize,
        tenant: usize,
    },
}

/// The words under which reports and logs name an action; readers of reports rely on them.
impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::KillWorker(worker) => write!(f, "Kill({worker})"),
            Action::RemoveWorker(worker) => write!(f, "Gone({worker})"),
            Action::StartWorker(worker) => write!(f, "Start({worker})"),
            Action::DrainWorker(worker) => write!(f, "Drain({worker})"),
            Action::SetWorkerSilent { worker, silent } => {
                write!(f, "Say({worker}, {:?})", silent_command(*silent))
            }
            Action::DelayEndpointList { by } => write!(f, "Delay({by})"),
            Action::SlowStore { factor } => write!(f, "Store(\"SLOW {factor}\")"),
            Action::SetStoreRejecting(true) => write!(f, "Store(\"HALT\")"),
            Action::SetStoreRejecting(false) => write!(f, "Store(\"GO\")"),
            Action::KillFrontEnd(front_end) => write!(f, "KillFront({front_end})"),
            Action::StartFrontEnd(front_end) => write!(f, "StartFront({front_end})"),
            Action::DropBrokerConnections => write!(f, "CutBroker"),
            Action::CommandDirectory { server, command } => {
                write!(f, "Directory({server}, {command:?})")
            }
            Action::SetDirectoryStale { server, stale } => write!(f, "Stale({server}, {stale})"),
            Action::MigrateUser { user, tenant } => write!(f, "Move({user}, {tenant})"),
        }
    }
}

/// The command of an emulated worker that makes it silent, or ends that.
pub(super) fn silent_command(silent: bool) -> &'static str {
    if silent { "silent on" } else { "silent off" }
}

/// An action and its time.
#[derive(Clone, Debug)]
pub(super) struct ScheduledAction {
    /// Nanoseconds from the first request.
    pub(super) at: u64,
    pub(super) action: Action,
}

/// The actions of a scenario, by time.
pub(super) fn schedule(scenario: &Scenario, seed: u64) -> Vec<ScheduledAction> {
    let mut schedule = Schedule {
        scenario,
        actions: Vec::new(),
    };
    for migration in load::migrations(scenario, seed) {
        let (user, tenant) = (migration.user, migration.tenant);
        schedule.add(migration.at, Action::MigrateUser { user, tenant });
    }
    for scheduled in &scenario.faults {
        schedule.add_fault(scheduled);
    }
    let mut actions = schedule.actions;
    actions.sort_by_key(|scheduled| scheduled.at);
    actions
}

/// Collects actions.
struct Schedule<'a> {
    scenario: &'a Scenario,
    actions: Vec<ScheduledAction>,
}

impl Schedule<'_> {
    fn add(&mut self, at: u64, action: Action) {
        self.actions.push(ScheduledAction { at, action });
    }

    /// Adds one action for the beginning of a fault and one for its end.
    fn add_both(&mut self, scheduled: &ScheduledFault, start: Action, end: Action) {
        self.add(scheduled.at, start);
        self.add(scheduled.end(), end);
    }

    fn add_fault(&mut self, scheduled: &ScheduledFault) {
        match scheduled.fault {
            Fault::Crash { worker } => self.add_crash(scheduled, worker),
            Fault::ZoneOutage { zone } => {
                for worker in (0..self.scenario.workers).filter(|w| w % self.scenario.zones == zone)
                {
                    self.add_crash(scheduled, worker);
                }
            }
            Fault::RollingDeploy { every, count } => self.add_deploy(scheduled.at, every, count),
            Fault::DelayEndpointList { by } => self.add_both(
                scheduled,
                Action::DelayEndpointList { by },
                Action::DelayEndpointList { by: 0 },
            ),
            Fault::SilentWorker { worker } => {
                let change = |silent| Action::SetWorkerSilent { worker, silent };
                self.add_both(scheduled, change(true), change(false));
            }
            Fault::SlowStore { factor } => self.add_both(
                scheduled,
                Action::SlowStore { factor },
                Action::SlowStore { factor: 1.0 },
            ),
            Fault::RejectStoreRequests => self.add_both(
                scheduled,
                Action::SetStoreRejecting(true),
                Action::SetStoreRejecting(false),
            ),
            Fault::KillFrontEnd { front_end } => self.add_both(
                scheduled,
                Action::KillFrontEnd(front_end),
                Action::StartFrontEnd(front_end),
            ),
            Fault::DropBrokerConnections => self.add(scheduled.at, Action::DropBrokerConnections),
            Fault::DirectoryFault { server, ref fault } => {
                self.add_directory_fault(scheduled, server, fault);
            }
            Fault::StaleDirectory { server } => {
                let change = |stale| Action::SetDirectoryStale { server, stale };
                self.add_both(scheduled, change(true), change(false));
            }
            // These change the load, not the processes.
            Fault::ShortTimeouts { .. }
            | Fault::OneTimeFunctions { .. }
            | Fault::HotFunction { .. }
            | Fault::MigrateUsers { .. }
            | Fault::TenantSurge { .. } => {}
        }
    }

    fn add_crash(&mut self, scheduled: &ScheduledFault, worker: usize) {
        let (at, list_delay) = (scheduled.at, self.scenario.endpoint_list_delay);
        self.add(at, Action::KillWorker(worker));
        self.add(at + list_delay, Action::RemoveWorker(worker));
        let restart = at + scheduled.duration.max(list_delay + 1);
        self.add(restart, Action::StartWorker(worker));
    }

    /// Each worker is drained, gets time to finish, and is ended; its successor starts when it is removed.
    fn add_deploy(&mut self, start: u64, every: u64, count: usize) {
        for worker in 0..count.min(self.scenario.workers) {
            let at = start + every * worker as u64;
            let end = at + every.max(MIN_DRAIN_TIME);
            self.add(at, Action::DrainWorker(worker));
            self.add(end, Action::KillWorker(worker));
            self.add(end + 1, Action::RemoveWorker(worker));
            self.add(end + 2, Action::StartWorker(worker));
        }
    }

    fn add_directory_fault(&mut self, scheduled: &ScheduledFault, server: usize, fault: &str) {
        let command = |text: &str| Action::CommandDirectory {
            server,
            command: text.to_string(),
        };
        self.add_both(scheduled, command(fault), command("good"));
    }
}
