//! How long an idle connection may be trusted, learnt from those that broke when they were used again.
//!
//! Something on the way may forget a connection that stays idle, well before the time that the settings state, and
//! reset it when the next line comes. Whether that line was read cannot be told, so a call that must not run twice is
//! lost with it, and a sound worker looks broken. A new connection costs a round trip or two: the cheaper choice by
//! far.

use pipithub_engine::Time;

/// Idle times are sorted into buckets by powers of two of this, in nanoseconds.
const BUCKET_UNIT: Time = 1_000_000;
/// Their number; the last holds all that is longer.
const BUCKETS: usize = 18;
/// So many breaks, and this share of the uses, make a length of idle time too long.
const MIN_BREAKS: f64 = 1.5;
const MIN_BREAK_RATIO: f64 = 0.1;
/// Observations count half after this time: whatever broke the connections may have been removed.
const HALF_LIFE: Time = 20_000_000_000;

/// What became of connections that were used again, by how long they had been idle.
#[derive(Clone, Debug, Default)]
pub struct IdleTimeout {
    uses: [f64; BUCKETS],
    breaks: [f64; BUCKETS],
    decayed_at: Time,
}

fn bucket(idle: Time) -> usize {
    let units = idle / BUCKET_UNIT;
    ((Time::BITS - units.leading_zeros()) as usize).min(BUCKETS - 1)
}

impl IdleTimeout {
    /// A connection that had been idle for so long was used, and broke or not before any answer.
    pub fn record_use(&mut self, now: Time, idle: Time, broke: bool) {
        if now >= self.decayed_at + HALF_LIFE {
            let halves = (now - self.decayed_at) / HALF_LIFE;
            let left = 0.5f64.powi(halves.min(60) as i32);
            self.uses
                .iter_mut()
                .chain(&mut self.breaks)
                .for_each(|n| *n *= left);
            self.decayed_at = now;
        }
        let at = bucket(idle);
        self.uses[at] += 1.0;
        self.breaks[at] += f64::from(u8::from(broke));
    }

    /// Connections that are idle for this long or longer must not be used again; `None`: any may.
    pub fn limit(&self) -> Option<Time> {
        // What breaks after some time breaks after a longer one too, seen or not.
        let at = (0..BUCKETS).find(|&i| {
            self.breaks[i] >= MIN_BREAKS && self.breaks[i] >= MIN_BREAK_RATIO * self.uses[i]
        })?;
        Some(if at == 0 { 0 } else { BUCKET_UNIT << (at - 1) })
    }
}
