//! The actions on the processes of a scenario, and when each is carried out.

use std::fmt;

use crate::load::{self, TENANTS};
use crate::scenario::{Fault, Scenario};
use crate::schedule::{ScheduledAction, ScheduledFault, Timeline};
use crate::units::{SECOND, milliseconds};

#[cfg(test)]
mod tests;

/// The minimum time between the drain of a worker and its end, in nanoseconds.
const MIN_DRAIN_TIME: u64 = SECOND;

/// One step of a fault. Its `Display` form is the description shown in tables.
#[derive(Clone, Debug)]
pub(super) enum Action {
    KillWorker(usize),
    /// The endpoint list notifies that all killed processes of a worker are removed.
    RemoveWorker(usize),
    StartWorker(usize),
    DrainWorker(usize),
    /// A worker stops answering the requests that it accepts, or answers again.
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

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::KillWorker(worker) => write!(f, "worker {worker} is killed"),
            Action::RemoveWorker(worker) => {
                write!(f, "worker {worker} is removed from the endpoint list")
            }
            Action::StartWorker(worker) => write!(f, "worker {worker} is started"),
            Action::DrainWorker(worker) => write!(f, "worker {worker} is draining"),
            Action::SetWorkerSilent {
                worker,
                silent: true,
            } => write!(f, "worker {worker} stops answering"),
            Action::SetWorkerSilent { worker, .. } => write!(f, "worker {worker} answers again"),
            Action::DelayEndpointList { by } => write_list_delay(f, *by),
            Action::SlowStore { factor } => write_store_speed(f, *factor),
            Action::SetStoreRejecting(true) => f.write_str("the model store rejects all fetches"),
            Action::SetStoreRejecting(false) => {
                f.write_str("the model store accepts fetches again")
            }
            Action::KillFrontEnd(front_end) => write!(f, "front end {front_end} is killed"),
            Action::StartFrontEnd(front_end) => write!(f, "front end {front_end} is started"),
            Action::DropBrokerConnections => f.write_str("the broker drops all connections"),
            Action::CommandDirectory { server, command } => {
                write!(
                    f,
                    "directory server {server} is given the command '{command}'"
                )
            }
            Action::SetDirectoryStale {
                server,
                stale: true,
            } => write!(
                f,
                "directory server {server} misses all changes from now on"
            ),
            Action::SetDirectoryStale { server, .. } => {
                write!(
                    f,
                    "directory server {server} has caught up with all changes"
                )
            }
            Action::MigrateUser { user, tenant } => {
                write!(f, "user {user} moves to tenant {}", TENANTS[*tenant])
            }
        }
    }
}

/// Describes the delay of the endpoint list, in nanoseconds.
fn write_list_delay(f: &mut fmt::Formatter<'_>, delay: u64) -> fmt::Result {
    if delay == 0 {
        return f.write_str("the endpoint list is no longer delayed");
    }
    let delay = milliseconds(delay);
    write!(f, "the endpoint list is delayed by {delay} ms")
}

/// Describes the factor by which fetches from the model store take longer.
fn write_store_speed(f: &mut fmt::Formatter<'_>, factor: f64) -> fmt::Result {
    if (factor - 1.0).abs() < f64::EPSILON {
        return f.write_str("fetches from the model store take their usual time again");
    }
    write!(
        f,
        "fetches from the model store take {factor} times as long as usual"
    )
}

/// Formats an action in the notation of JSON reports and logs.
struct Code<'a>(&'a Action);

impl fmt::Display for Code<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
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

impl Action {
    /// The action in the notation of JSON reports and logs. Programs read it, so it does not change.
    pub(super) fn code(&self) -> String {
        Code(self).to_string()
    }
}

/// The command of an emulated worker that makes it silent, or ends that.
pub(super) fn silent_command(silent: bool) -> &'static str {
    if silent { "silent on" } else { "silent off" }
}

/// The actions of a scenario, by time.
pub(super) fn schedule(scenario: &Scenario, seed: u64) -> Vec<ScheduledAction<Action>> {
    let mut schedule = Schedule {
        scenario,
        timeline: Timeline::new(),
    };
    for migration in load::migrations(scenario, seed) {
        let (user, tenant) = (migration.user, migration.tenant);
        schedule
            .timeline
            .add(migration.at, Action::MigrateUser { user, tenant });
    }
    for scheduled in &scenario.faults {
        schedule.add_fault(scheduled);
    }
    schedule.timeline.into_sorted()
}

/// Turns the faults of a scenario into actions.
struct Schedule<'a> {
    scenario: &'a Scenario,
    timeline: Timeline<Action>,
}

impl Schedule<'_> {
    fn add_fault(&mut self, scheduled: &ScheduledFault<Fault>) {
        let timeline = &mut self.timeline;
        match scheduled.fault {
            Fault::Crash { worker } => self.add_crash(scheduled, worker),
            Fault::ZoneOutage { zone } => {
                for worker in (0..self.scenario.workers).filter(|w| w % self.scenario.zones == zone)
                {
                    self.add_crash(scheduled, worker);
                }
            }
            Fault::RollingDeploy { every, count } => self.add_deploy(scheduled.at, every, count),
            Fault::DelayEndpointList { by } => timeline.add_both(
                scheduled,
                Action::DelayEndpointList { by },
                Action::DelayEndpointList { by: 0 },
            ),
            Fault::SilentWorker { worker } => {
                let change = |silent| Action::SetWorkerSilent { worker, silent };
                timeline.add_both(scheduled, change(true), change(false));
            }
            Fault::SlowStore { factor } => timeline.add_both(
                scheduled,
                Action::SlowStore { factor },
                Action::SlowStore { factor: 1.0 },
            ),
            Fault::RejectStoreRequests => timeline.add_both(
                scheduled,
                Action::SetStoreRejecting(true),
                Action::SetStoreRejecting(false),
            ),
            Fault::KillFrontEnd { front_end } => timeline.add_both(
                scheduled,
                Action::KillFrontEnd(front_end),
                Action::StartFrontEnd(front_end),
            ),
            Fault::DropBrokerConnections => {
                timeline.add(scheduled.at, Action::DropBrokerConnections);
            }
            Fault::DirectoryFault { server, ref fault } => {
                self.add_directory_fault(scheduled, server, fault);
            }
            Fault::StaleDirectory { server } => {
                let change = |stale| Action::SetDirectoryStale { server, stale };
                timeline.add_both(scheduled, change(true), change(false));
            }
            // These change the load, not the processes.
            Fault::ShortTimeouts { .. }
            | Fault::OneTimeFunctions { .. }
            | Fault::HotFunction { .. }
            | Fault::MigrateUsers { .. }
            | Fault::TenantSurge { .. } => {}
        }
    }

    fn add_crash(&mut self, scheduled: &ScheduledFault<Fault>, worker: usize) {
        let (at, list_delay) = (scheduled.at, self.scenario.endpoint_list_delay);
        self.timeline.add(at, Action::KillWorker(worker));
        self.timeline
            .add(at + list_delay, Action::RemoveWorker(worker));
        let restart = at + scheduled.duration.max(list_delay + 1);
        self.timeline.add(restart, Action::StartWorker(worker));
    }

    /// Drains each worker, gives it time to finish, kills it, and starts its successor after it is removed from the list.
    fn add_deploy(&mut self, start: u64, every: u64, count: usize) {
        for worker in 0..count.min(self.scenario.workers) {
            let at = start + every * worker as u64;
            let end = at + every.max(MIN_DRAIN_TIME);
            self.timeline.add(at, Action::DrainWorker(worker));
            self.timeline.add(end, Action::KillWorker(worker));
            self.timeline.add(end + 1, Action::RemoveWorker(worker));
            self.timeline.add(end + 2, Action::StartWorker(worker));
        }
    }

    fn add_directory_fault(
        &mut self,
        scheduled: &ScheduledFault<Fault>,
        server: usize,
        fault: &str,
    ) {
        let command = |text: &str| Action::CommandDirectory {
            server,
            command: text.to_string(),
        };
        self.timeline
            .add_both(scheduled, command(fault), command("good"));
    }
}
