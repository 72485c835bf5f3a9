//! What is done to the members and links of a fleet, and when.

use std::fmt;

use pipithub_conformance::fleet::{Disk, Interval, Time};

use crate::fleet::scenario::{FleetFault, FleetScenario, ScheduledFleetFault};

#[cfg(test)]
mod tests;

/// One direction between two slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub(super) from: usize,
    pub(super) to: usize,
}

impl Link {
    fn reversed(self) -> Link {
        Link {
            from: self.to,
            to: self.from,
        }
    }
}

/// One step of a fault. Slots are those of members and, after them, of duplicates.
#[derive(Clone, Debug)]
pub(super) enum Action {
    Kill { slot: usize },
    Start { slot: usize, disk: Disk },
    Pause { slot: usize, paused: bool },
    Cut { link: Link, cut: bool },
    Hold { link: Link, held: bool },
    Split { zone: usize, cut: bool },
    Slow { delay: u64, jitter: u64 },
    Loss { share: f64 },
    StartDuplicate { slot: usize, of: usize },
}

/// The words under which reports and logs name an action; readers of reports rely on them.
impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Kill { slot } => write!(f, "Kill({slot})"),
            Action::Start { slot, disk } => write!(f, "Start({slot}, {})", disk_word(*disk)),
            Action::Pause { slot, paused } => write!(f, "Pause({slot}, {paused})"),
            Action::Cut { link, cut } => write!(f, "Cut({}, {}, {cut})", link.from, link.to),
            Action::Hold { link, held } => write!(f, "Hold({}, {}, {held})", link.from, link.to),
            Action::Split { zone, cut } => write!(f, "Split({zone}, {cut})"),
            Action::Slow { delay, jitter } => write!(f, "Slow({delay}, {jitter})"),
            Action::Loss { share } => write!(f, "Loss({share:?})"),
            Action::StartDuplicate { slot, of } => write!(f, "Twin({slot}, {of})"),
        }
    }
}

fn disk_word(disk: Disk) -> &'static str {
    match disk {
        Disk::Current => "Kept",
        Disk::Empty => "Empty",
        Disk::Stale => "Old",
    }
}

impl Action {
    /// Whether it begins a disturbance of links.
    fn disturbs(&self) -> bool {
        match *self {
            Action::Cut { cut, .. } | Action::Split { cut, .. } => cut,
            Action::Hold { held, .. } => held,
            Action::Slow { delay, jitter } => delay + jitter > 0,
            Action::Loss { share } => share > 0.0,
            Action::Kill { .. }
            | Action::Start { .. }
            | Action::Pause { .. }
            | Action::StartDuplicate { .. } => false,
        }
    }

    /// Whether it ends the disturbance that another action began.
    fn restores(&self, disturbance: &Action) -> bool {
        if self.disturbs() {
            return false;
        }
        match (self, disturbance) {
            (Action::Cut { link, .. }, Action::Cut { link: other, .. })
            | (Action::Hold { link, .. }, Action::Hold { link: other, .. }) => link == other,
            (Action::Split { zone, .. }, Action::Split { zone: other, .. }) => zone == other,
            (Action::Slow { .. }, Action::Slow { .. })
            | (Action::Loss { .. }, Action::Loss { .. }) => true,
            _ => false,
        }
    }
}

/// An action and its time.
#[derive(Clone, Debug)]
pub(super) struct ScheduledAction {
    /// Nanoseconds from the start.
    pub(super) at: u64,
    pub(super) action: Action,
}

/// The actions of a run.
pub(super) struct Schedule {
    /// By time.
    pub(super) actions: Vec<ScheduledAction>,
    /// The number of duplicates that are started.
    pub(super) duplicates: usize,
}

impl Schedule {
    /// The actions of a scenario with a seed.
    pub(super) fn new(scenario: &FleetScenario, seed: u64) -> Schedule {
        let mut schedule = Schedule {
            actions: Vec::new(),
            duplicates: 0,
        };
        for scheduled in scenario.faults_for_seed(seed) {
            schedule.add_fault(&scheduled, scenario.members);
        }
        schedule.actions.sort_by_key(|scheduled| scheduled.at);
        schedule
    }

    fn add(&mut self, at: u64, action: Action) {
        self.actions.push(ScheduledAction { at, action });
    }

    /// Adds one action for the beginning of a fault and one for its end.
    fn add_both(&mut self, scheduled: &ScheduledFleetFault, start: Action, end: Action) {
        self.add(scheduled.at, start);
        self.add(scheduled.end(), end);
    }

    fn add_fault(&mut self, scheduled: &ScheduledFleetFault, members: usize) {
        match scheduled.fault {
            FleetFault::Kill { member: slot, disk } => {
                self.add_both(
                    scheduled,
                    Action::Kill { slot },
                    Action::Start { slot, disk },
                );
            }
            FleetFault::Pause { member: slot } => {
                let pause = |paused| Action::Pause { slot, paused };
                self.add_both(scheduled, pause(true), pause(false));
            }
            FleetFault::Cut { from, to, both } => {
                let link = Link { from, to };
                self.add_cut(scheduled, link);
                if both {
                    self.add_cut(scheduled, link.reversed());
                }
            }
            FleetFault::Flap { from, to, every } => {
                self.add_flap(scheduled, Link { from, to }, every);
            }
            FleetFault::Hold { from, to } => {
                let link = Link { from, to };
                let hold = |held| Action::Hold { link, held };
                self.add_both(scheduled, hold(true), hold(false));
            }
            FleetFault::Split { zone } => {
                let split = |cut| Action::Split { zone, cut };
                self.add_both(scheduled, split(true), split(false));
            }
            FleetFault::Slow { delay, jitter } => {
                let normal = Action::Slow {
                    delay: 0,
                    jitter: 0,
                };
                self.add_both(scheduled, Action::Slow { delay, jitter }, normal);
            }
            FleetFault::Loss { share } => {
                let loss = |share| Action::Loss { share };
                self.add_both(scheduled, loss(share), loss(0.0));
            }
            FleetFault::DuplicateIdentity { member } => {
                let slot = members + self.duplicates;
                self.duplicates += 1;
                let start = Action::StartDuplicate { slot, of: member };
                self.add_both(scheduled, start, Action::Kill { slot });
            }
        }
    }

    fn add_cut(&mut self, scheduled: &ScheduledFleetFault, link: Link) {
        let cut = |cut| Action::Cut { link, cut };
        self.add_both(scheduled, cut(true), cut(false));
    }

    fn add_flap(&mut self, scheduled: &ScheduledFleetFault, link: Link, every: u64) {
        let (mut at, mut cut) = (scheduled.at, true);
        while at < scheduled.end() {
            self.add_change_of_both(at, link, cut);
            at += every;
            cut = !cut;
        }
        self.add_change_of_both(scheduled.end(), link, false);
    }

    /// Cuts or restores both directions.
    fn add_change_of_both(&mut self, at: u64, link: Link, cut: bool) {
        for link in [link, link.reversed()] {
            self.add(at, Action::Cut { link, cut });
        }
    }

    /// The intervals in which links are disturbed, by Unix time. `start` is the time of the first action, and
    /// `duration` that of the scenario, at whose end all links are restored.
    pub(super) fn disturbances(&self, start: Time, duration: u64) -> Vec<Interval> {
        let begins = self.actions.iter().filter(|begin| begin.action.disturbs());
        begins
            .map(|begin| {
                // Disturbances of one link may overlap, so each is taken to last until the last action that restores
                // the link. An interval that is too long only means that less is checked.
                let end = self
                    .actions
                    .iter()
                    .rfind(|end| end.at >= begin.at && end.action.restores(&begin.action))
                    .map_or(duration, |end| end.at);
                Interval {
                    from: start + begin.at,
                    until: start + end,
                }
            })
            .collect()
    }
}
