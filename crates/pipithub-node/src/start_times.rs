//! When workers started, on this process's own monotonic clock.
//!
//! The endpoint list states start times by the wall clock, and the wall clock may be stepped while this process runs.
//! Slow start is a span of real time, so each stamp is converted to a monotonic time only once, by the two clocks'
//! times when the stamp is first seen: a later step must not make the worker older or younger, nor look like a restart.

use std::collections::BTreeMap;

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;

/// The clocks are read one after the other, and slewing moves them apart a little: up to this difference, in
/// nanoseconds, the wall clock counts as not stepped, and a stamp is used as stated.
const MAX_CLOCK_DIFFERENCE: Time = 100_000_000;

/// The start time of a worker as the list states it, and by the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp: Time,
    time: Time,
}

/// The start times of the workers in the list, whose length bounds their number.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<WorkerId, Start>,
}

impl StartTimes {
    /// Converts a start time that the list states as `stamp`, in nanoseconds since the Unix epoch, to the monotonic
    /// clock. `now` and `wall` are the current times of the monotonic and the wall clock. If the wall clock was
    /// stepped, a stamp in the future counts as now.
    pub fn resolve(&mut self, worker: &WorkerId, stamp: Time, now: Time, wall: Time) -> Time {
        if let Some(start) = self.starts.get(worker).filter(|start| start.stamp == stamp) {
            return start.time;
        }
        let time = if wall.abs_diff(now) <= MAX_CLOCK_DIFFERENCE {
            stamp
        } else {
            let age = wall.saturating_sub(stamp);
            now.saturating_sub(age).max(1)
        };
        self.starts.insert(worker.clone(), Start { stamp, time });
        time
    }

    /// Forgets a worker that has been removed.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.starts.remove(worker);
    }

    /// Forgets all workers except those for which `holds` returns true.
    pub fn retain_workers(&mut self, holds: impl Fn(&WorkerId) -> bool) {
        self.starts.retain(|worker, _| holds(worker));
    }
}
