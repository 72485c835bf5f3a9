//! A scenario of a fleet: its members, and which faults are injected.

mod draw;
mod parse;

use pipithub_conformance::fleet::{Bounds, Disk};

use crate::schedule::ScheduledFault;

/// A fault of a fleet. Members and zones are counted from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// A member is killed and started again.
    Kill {
        /// The member's number.
        member: usize,
        /// The disk that it starts from.
        disk: Disk,
    },
    /// A member is paused by a signal and resumed.
    Pause {
        /// The member's number.
        member: usize,
    },
    /// A link loses all datagrams.
    Cut {
        /// The member that sends.
        from: usize,
        /// The member that receives.
        to: usize,
        /// Whether the opposite direction is cut too.
        both: bool,
    },
    /// A link is cut and restored repeatedly, in both directions.
    Flap {
        /// The member at one end.
        from: usize,
        /// The member at the other end.
        to: usize,
        /// Time between two changes, in nanoseconds.
        every: u64,
    },
    /// A link delays all datagrams until the end of the fault.
    Hold {
        /// The member that sends.
        from: usize,
        /// The member that receives.
        to: usize,
    },
    /// A zone is partitioned from the others.
    Split {
        /// The zone's number.
        zone: usize,
    },
    /// All links are slow.
    Slow {
        /// The delay of each datagram, in nanoseconds.
        delay: u64,
        /// The maximum random delay that is added, in nanoseconds.
        jitter: u64,
    },
    /// All links lose some datagrams and duplicate others.
    Loss {
        /// The part that is lost, from 0 to 1; half as many are duplicated.
        share: f64,
    },
    /// A second process is started under the name of a member, from a copy of its data folder.
    DuplicateIdentity {
        /// The number of the member whose name is used.
        member: usize,
    },
}

/// A scenario of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetScenario {
    /// The name of the scenario.
    pub name: String,
    /// The time until all faults end, in nanoseconds; the fleet then has [`Bounds::convergence`] to converge.
    pub duration: u64,
    /// The number of members.
    pub members: usize,
    /// The number of zones; members are assigned to them in turn.
    pub zones: usize,
    /// The number of members that are seeds; these are the first ones.
    pub seeds: usize,
    /// Time between two probes of a member, in nanoseconds.
    pub probe_period: u64,
    /// How long a member waits for the acknowledgement of a direct probe, in nanoseconds.
    pub probe_wait: u64,
    /// The time that the fleet has to detect failures and to converge.
    pub bounds: Bounds,
    /// The number of faults that are drawn from the seed, in addition to those of the file.
    pub drawn: usize,
    /// The faults of the file, by time.
    pub faults: Vec<ScheduledFault<FleetFault>>,
}
