//! Learns for how long an idle connection may be used again, from connections that broke when they were used again.
//!
//! A middlebox may drop an idle connection well before the time that the settings state, and reset it when the next
//! line comes. It is then unknown whether the worker has read that line, so a non-idempotent call fails, and a healthy
//! worker seems faulty. A new connection only costs a round trip or two.

use pipithub_engine::Time;

/// Idle times are counted in buckets, whose bounds are powers of two times this many nanoseconds.
const BUCKET_UNIT: Time = 1_000_000;
/// The number of buckets; the last one holds all longer times.
const BUCKETS: usize = 18;
/// An idle time is too long if at least this many connections broke after it, and at least this fraction of those that
/// were used again after it.
const MIN_BREAKS: f64 = 1.5;
const MIN_BREAK_RATIO: f64 = 0.1;
/// The weight of an observation halves in this time, in nanoseconds, as the cause of the breaks may have been removed.
const HALF_LIFE: Time = 20_000_000_000;

/// How often idle connections were used again and how often they broke, by idle time.
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
    /// Records that a connection was used again after `idle` nanoseconds. `broke` tells whether the connection ended
    /// before the request was answered.
    pub fn record_use(&mut self, now: Time, idle: Time, broke: bool) {
        if now >= self.decayed_at + HALF_LIFE {
            let half_lives = (now - self.decayed_at) / HALF_LIFE;
            let decay = 0.5f64.powi(half_lives.min(60) as i32);
            self.uses
                .iter_mut()
                .chain(&mut self.breaks)
                .for_each(|n| *n *= decay);
            self.decayed_at = now;
        }
        let index = bucket(idle);
        self.uses[index] += 1.0;
        self.breaks[index] += f64::from(u8::from(broke));
    }

    /// The idle time, in nanoseconds, from which connections must not be used again; `None` if there is no limit.
    pub fn limit(&self) -> Option<Time> {
        // A connection that breaks after some idle time breaks after any longer one too.
        let index = (0..BUCKETS).find(|&i| {
            self.breaks[i] >= MIN_BREAKS && self.breaks[i] >= MIN_BREAK_RATIO * self.uses[i]
        })?;
        Some(if index == 0 {
            0
        } else {
            BUCKET_UNIT << (index - 1)
        })
    }
}
