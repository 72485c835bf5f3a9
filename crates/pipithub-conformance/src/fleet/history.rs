//! The history of a fleet: its processes, their disks and links, and what they claimed about each other.

use std::collections::BTreeMap;

/// Nanoseconds of Unix time.
pub use pipithub_clock::Time;

/// The state of the disk that a run starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// The disk is as the previous run left it.
    Current,
    /// The disk holds no files.
    Empty,
    /// The disk holds an older copy of what the previous run left.
    Stale,
}

/// An interval of time that includes both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The start.
    pub from: Time,
    /// The end.
    pub until: Time,
}

impl Interval {
    fn overlaps(&self, from: Time, until: Time) -> bool {
        self.from <= until && self.until >= from
    }
}

/// One process of a member, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The name of the member that the process was started as.
    pub name: String,
    /// When the process was started.
    pub started: Time,
    /// When the process was ended; `None` while it runs.
    pub ended: Option<Time>,
    /// The disk that the process started from.
    pub disk: Disk,
    /// The generation that follows the one on this disk.
    pub expected_generation: u64,
    /// The intervals in which the process was paused.
    pub paused: Vec<Interval>,
}

/// What a member believes about another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// The other is an active member.
    Alive,
    /// The other has failed or left.
    Dead,
}

/// What a run claimed at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The time of the claim.
    pub at: Time,
    /// The run, as an index into [`History::runs`].
    pub run: usize,
    /// Whether the run is an active member of the fleet.
    pub joined: bool,
    /// The generation of the run.
    pub generation: u64,
    /// The state of its disk as it reports it: `kept`, `empty` or `old`.
    pub disk: String,
    /// What the run believes about each other member, by name. Members that it does not know are missing.
    pub others: BTreeMap<String, Belief>,
}

/// The first use of a generation by a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationUse {
    /// The run, as an index into [`History::runs`].
    pub run: usize,
    /// The generation that was used.
    pub generation: u64,
    /// When the first datagram of the run with this generation was seen in transit.
    pub first_seen: Time,
}

/// Everything that was recorded in a scenario.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The runs, in the order in which they were started.
    pub runs: Vec<Run>,
    /// The claims, in the order in which they were read; those of one run are by time.
    pub claims: Vec<Claim>,
    /// The generations that runs used.
    pub generations_used: Vec<GenerationUse>,
    /// The intervals in which links were disturbed.
    pub disturbances: Vec<Interval>,
    /// The time at which all faults were over and the fleet had had time to converge.
    pub end: Time,
}

/// How long a fleet may take to react, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The time within which all members detect a failure.
    pub detection: Time,
    /// The time within which the beliefs of all members become true, whatever faults there were before.
    pub convergence: Time,
}

impl History {
    /// Whether no link was disturbed at any time from `from` until `until`.
    pub(super) fn undisturbed(&self, from: Time, until: Time) -> bool {
        !self.disturbances.iter().any(|d| d.overlaps(from, until))
    }

    /// Whether a run was up and not paused during all the time from `from` until `until`.
    pub(super) fn responsive(&self, run: usize, from: Time, until: Time) -> bool {
        let run = &self.runs[run];
        run.started <= from
            && run.ended.is_none_or(|ended| ended > until)
            && !run.paused.iter().any(|pause| pause.overlaps(from, until))
    }

    /// Whether another run with the same name was up at some time from `from` until `until`.
    pub(super) fn has_other_run(&self, run: usize, from: Time, until: Time) -> bool {
        let name = &self.runs[run].name;
        let was_up =
            |other: &Run| other.started <= until && other.ended.is_none_or(|ended| ended >= from);
        self.runs
            .iter()
            .enumerate()
            .any(|(index, other)| index != run && other.name == *name && was_up(other))
    }

    /// Seconds from the start of the first run, for reports.
    pub(super) fn seconds(&self, at: Time) -> f64 {
        let start = self.runs.first().map_or(0, |run| run.started);
        at.saturating_sub(start) as f64 / 1e9
    }
}
