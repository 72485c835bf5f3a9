//! The history of a fleet: its processes, their disks and links, and what they claimed of each other.

use std::collections::BTreeMap;

/// Nanoseconds of Unix time.
pub use pipithub_clock::Time;

/// The state of the disk that a run starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// As the previous run left it.
    Current,
    /// Without any file.
    Empty,
    /// An older copy of what the previous run left.
    Stale,
}

/// A span of time, both ends included.
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

/// One process, from start to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The name of the member that it was started as.
    pub name: String,
    /// When it was started.
    pub started: Time,
    /// When it was ended; `None` while it runs.
    pub ended: Option<Time>,
    /// The disk that it started from.
    pub disk: Disk,
    /// The generation that follows from this disk.
    pub expected_generation: u64,
    /// When it was paused.
    pub paused: Vec<Interval>,
}

/// What a member believes of another.
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
    /// The run is an active member of the fleet.
    pub joined: bool,
    /// The generation that it runs under.
    pub generation: u64,
    /// The state of its disk: `kept`, `empty` or `old`.
    pub disk: String,
    /// What it believes of each other member, by name.
    pub others: BTreeMap<String, Belief>,
}

/// The first datagram of a run under a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationUse {
    /// The run, as an index into [`History::runs`].
    pub run: usize,
    /// The generation that was used.
    pub generation: u64,
    /// When the datagram was seen in transit.
    pub first_seen: Time,
}

/// Everything that was seen in a scenario.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The runs, by their start.
    pub runs: Vec<Run>,
    /// The claims, by time.
    pub claims: Vec<Claim>,
    /// The generations that runs took part under.
    pub generations_used: Vec<GenerationUse>,
    /// When links were disturbed.
    pub disturbances: Vec<Interval>,
    /// When all faults were over and the fleet had had time to converge.
    pub end: Time,
}

/// The time that a fleet has to react.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Within this all members detect a failure.
    pub detection: Time,
    /// Within this all members agree on the truth, whatever had gone wrong.
    pub convergence: Time,
}

impl History {
    /// Whether no link was disturbed at any time within.
    pub(super) fn undisturbed(&self, from: Time, until: Time) -> bool {
        !self.disturbances.iter().any(|d| d.overlaps(from, until))
    }

    /// Whether a run was up and not paused all the time.
    pub(super) fn responsive(&self, run: usize, from: Time, until: Time) -> bool {
        let run = &self.runs[run];
        run.started <= from
            && run.ended.is_none_or(|ended| ended > until)
            && !run.paused.iter().any(|pause| pause.overlaps(from, until))
    }

    /// Whether the name of a run had another run at some time within.
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
