//! The resources that a fleet and its coordinator use between two readings.

use std::time::Instant;

use pipithub_emulator::coordinator::Counts;

/// The size of a comment on the stream, in bytes.
const COMMENT_BYTES: u64 = 3;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const PERCENT: f64 = 100.0;

/// A reading of all meters.
pub(super) struct Reading {
    /// The time of the reading.
    pub at: Instant,
    /// The counts of the coordinator.
    pub counts: Counts,
    /// CPU time of the coordinator, in nanoseconds.
    pub coordinator_cpu_ns: u64,
    /// CPU time of all front ends.
    pub front_end_cpu_seconds: f64,
}

impl Reading {
    /// The use since an earlier reading, by the coordinator and a number of front ends.
    pub(super) fn since(&self, before: &Reading, front_ends: usize) -> ResourceUse {
        let coordinator_cpu_ns = self.coordinator_cpu_ns - before.coordinator_cpu_ns;
        let front_end_cpu = self.front_end_cpu_seconds - before.front_end_cpu_seconds;
        ResourceUse {
            seconds: (self.at - before.at).as_secs_f64(),
            counts: Counts {
                connections: self.counts.connections - before.counts.connections,
                rejected: self.counts.rejected - before.counts.rejected,
                open: self.counts.open,
                received_bytes: self.counts.received_bytes - before.counts.received_bytes,
                sent_bytes: self.counts.sent_bytes - before.counts.sent_bytes,
                events: self.counts.events - before.counts.events,
                comments: self.counts.comments - before.counts.comments,
            },
            coordinator_cpu_seconds: coordinator_cpu_ns as f64 / NANOSECONDS_PER_SECOND,
            front_end_cpu_seconds: front_end_cpu / front_ends as f64,
        }
    }
}

/// The use of resources between two readings.
pub(super) struct ResourceUse {
    /// The time between the readings.
    pub seconds: f64,
    /// The increase of the coordinator's counts.
    pub counts: Counts,
    /// CPU of the coordinator.
    pub coordinator_cpu_seconds: f64,
    /// CPU of each front end.
    pub front_end_cpu_seconds: f64,
}

impl ResourceUse {
    /// CPU of each front end, in percent of a core.
    pub(super) fn front_end_cpu_percent(&self) -> f64 {
        self.front_end_cpu_seconds / self.seconds * PERCENT
    }

    /// CPU of the coordinator, in percent of a core.
    pub(super) fn coordinator_cpu_percent(&self) -> f64 {
        self.coordinator_cpu_seconds / self.seconds * PERCENT
    }

    /// Bytes to all front ends, without those of comments.
    pub(super) fn event_bytes(&self) -> f64 {
        (self.counts.sent_bytes - COMMENT_BYTES * self.counts.comments) as f64
    }
}
