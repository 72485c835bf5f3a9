//! A scenario of a fleet: its members, and which faults are injected.

mod draw;
mod parse;

use pipithub_conformance::fleet::{Bounds, Disk};

/// A fault of a fleet. Members and zones are counted from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// A member is killed and started again.
    Kill {
        /// Which.
        member: usize,
        /// The disk that it starts from.
        disk: Disk,
    },
    /// A member is stopped by the operating system and continued.
    Pause {
        /// Which.
        member: usize,
    },
    /// A link loses all datagrams.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The opposite direction is cut too.
        both: bool,
    },
    /// A link is cut and restored in turns, in both directions.
    Flap {
        /// One end.
        from: usize,
        /// The other end.
        to: usize,
        /// Nanoseconds between two changes.
        every: u64,
    },
    /// A link delays all datagrams until the end of the fault.
    Hold {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// A zone is partitioned from the others.
    Split {
        /// Which.
        zone: usize,
    },
    /// All links are slow.
    Slow {
        /// Nanoseconds in each direction.
        delay: u64,
        /// Nanoseconds that may be added at random.
        jitter: u64,
    },
    /// All links lose some datagrams and duplicate others.
    Loss {
        /// The part that is lost; half as many are duplicated.
        share: f64,
    },
    /// A second process is started under the name of a member, from a copy of its data folder.
    DuplicateIdentity {
        /// Whose name.
        member: usize,
    },
}

/// A fault and when it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFleetFault {
    /// Nanoseconds from the start.
    pub at: u64,
    /// How long it lasts, in nanoseconds.
    pub duration: u64,
    /// The fault.
    pub fault: FleetFault,
}

impl ScheduledFleetFault {
    /// When it ends, in nanoseconds from the start.
    pub fn end(&self) -> u64 {
        self.at + self.duration
    }
}

/// A scenario of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetScenario {
    /// Its name.
    pub name: String,
    /// Nanoseconds until all faults end; the fleet then has [`Bounds::convergence`] to converge.
    pub duration: u64,
    /// The number of members.
    pub members: usize,
    /// The number of zones; members are assigned to them in turn.
    pub zones: usize,
    /// The number of members that are seeds; these are the first ones.
    pub seeds: usize,
    /// Nanoseconds between two probes of a member.
    pub probe_period: u64,
    /// Nanoseconds that the acknowledgement of a direct probe is awaited.
    pub probe_wait: u64,
    /// The time that the fleet has to detect failures and to converge.
    pub bounds: Bounds,
    /// The number of faults that are drawn from the seed, beside those of the file.
    pub drawn: usize,
    /// The faults of the file, by time.
    pub faults: Vec<ScheduledFleetFault>,
}
