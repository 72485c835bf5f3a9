//! The actions on the members and links of a fleet, and when each is carried out.

use std::fmt;

use pipithub_conformance::fleet::{Disk, Interval, Time};

use crate::fleet::scenario::{FleetFault, FleetScenario};
use crate::schedule::{ScheduledAction, ScheduledFault, Timeline};
use crate::units::milliseconds;

#[cfg(test)]
mod tests;

/// One direction between two slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub(super) from: usize,
    pub(super) to: usize,
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "from {} to {}", self.from, self.to)
    }
}

impl Link {
    fn reversed(self) -> Link {
        Link {
            from: self.to,
            to: self.from,
        }
    }
}

/// One step of a fault. The slots of members come first, then those of duplicates. The `Display` form of an action is the
/// description shown in tables.
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

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Kill { slot } => write!(f, "process {slot} is killed"),
            Action::Start { slot, disk } => {
                let disk = match disk {
                    Disk::Current => "its disk as it was",
                    Disk::Empty => "an empty disk",
                    Disk::Stale => "an old copy of its disk",
                };
                write!(f, "process {slot} is started with {disk}")
            }
            Action::Pause { slot, paused: true } => write!(f, "process {slot} is paused"),
            Action::Pause { slot, .. } => write!(f, "process {slot} is resumed"),
            Action::Cut { link, cut: true } => write!(f, "the link {link} is cut"),
            Action::Cut { link, .. } => write!(f, "the link {link} is restored"),
            Action::Hold { link, held: true } => {
                write!(f, "the link {link} holds all datagrams back")
            }
            Action::Hold { link, .. } => write!(f, "the link {link} delivers datagrams again"),
            Action::Split { zone, cut: true } => {
                write!(f, "zone {zone} is partitioned from the others")
            }
            Action::Split { zone, .. } => write!(f, "zone {zone} is connected again"),
            Action::Slow {
                delay: 0,
                jitter: 0,
            } => f.write_str("links are no longer delayed"),
            Action::Slow { delay, jitter } => write!(
                f,
                "all links are delayed by {} ms plus up to {} ms",
                milliseconds(*delay),
                milliseconds(*jitter)
            ),
            Action::Loss { share } if *share > 0.0 => {
                write!(f, "all links lose {} % of the datagrams", share * 100.0)
            }
            Action::Loss { .. } => f.write_str("links no longer lose datagrams"),
            Action::StartDuplicate { slot, of } => {
                write!(
                    f,
                    "process {slot} is started as a duplicate of process {of}"
                )
            }
        }
    }
}

/// Formats an action in the notation of JSON reports and logs.
struct Code<'a>(&'a Action);

impl fmt::Display for Code<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
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
    /// The action in the notation of JSON reports and logs. Programs read it, so it does not change.
    pub(super) fn code(&self) -> String {
        Code(self).to_string()
    }

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

/// The actions of a run.
pub(super) struct Schedule {
    /// The actions, by time.
    pub(super) actions: Vec<ScheduledAction<Action>>,
    /// The number of duplicates that are started.
    pub(super) duplicates: usize,
}

impl Schedule {
    /// The actions of a scenario with a seed.
    pub(super) fn new(scenario: &FleetScenario, seed: u64) -> Schedule {
        let mut builder = ScheduleBuilder {
            timeline: Timeline::new(),
            members: scenario.members,
            duplicates: 0,
        };
        for scheduled in scenario.faults_for_seed(seed) {
            builder.add_fault(&scheduled);
        }
        Schedule {
            actions: builder.timeline.into_sorted(),
            duplicates: builder.duplicates,
        }
    }

    /// The intervals in which links are disturbed, in Unix time. `start` is the time from which the times of actions count,
    /// and `duration` that of the scenario, at whose end all links are restored.
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

/// Turns the faults of a scenario into actions.
struct ScheduleBuilder {
    timeline: Timeline<Action>,
    /// The number of members; the slots of duplicates come after theirs.
    members: usize,
    /// The number of duplicates so far.
    duplicates: usize,
}

impl ScheduleBuilder {
    fn add_fault(&mut self, scheduled: &ScheduledFault<FleetFault>) {
        match scheduled.fault {
            FleetFault::Kill { member: slot, disk } => {
                self.timeline.add_both(
                    scheduled,
                    Action::Kill { slot },
                    Action::Start { slot, disk },
                );
            }
            FleetFault::Pause { member: slot } => {
                let pause = |paused| Action::Pause { slot, paused };
                self.timeline.add_both(scheduled, pause(true), pause(false));
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
                self.timeline.add_both(scheduled, hold(true), hold(false));
            }
            FleetFault::Split { zone } => {
                let split = |cut| Action::Split { zone, cut };
                self.timeline.add_both(scheduled, split(true), split(false));
            }
            FleetFault::Slow { delay, jitter } => {
                let normal = Action::Slow {
                    delay: 0,
                    jitter: 0,
                };
                self.timeline
                    .add_both(scheduled, Action::Slow { delay, jitter }, normal);
            }
            FleetFault::Loss { share } => {
                let loss = |share| Action::Loss { share };
                self.timeline.add_both(scheduled, loss(share), loss(0.0));
            }
            FleetFault::DuplicateIdentity { member } => {
                let slot = self.members + self.duplicates;
                self.duplicates += 1;
                let start = Action::StartDuplicate { slot, of: member };
                self.timeline
                    .add_both(scheduled, start, Action::Kill { slot });
            }
        }
    }

    fn add_cut(&mut self, scheduled: &ScheduledFault<FleetFault>, link: Link) {
        let cut = |cut| Action::Cut { link, cut };
        self.timeline.add_both(scheduled, cut(true), cut(false));
    }

    fn add_flap(&mut self, scheduled: &ScheduledFault<FleetFault>, link: Link, every: u64) {
        let (mut at, mut cut) = (scheduled.at, true);
        while at < scheduled.end() {
            self.add_change_of_both(at, link, cut);
            at += every;
            cut = !cut;
        }
        self.add_change_of_both(scheduled.end(), link, false);
    }

    /// Cuts or restores both directions of a link.
    fn add_change_of_both(&mut self, at: u64, link: Link, cut: bool) {
        for link in [link, link.reversed()] {
            self.timeline.add(at, Action::Cut { link, cut });
        }
    }
}
