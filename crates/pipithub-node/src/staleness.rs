//! How long an idle connection may be trusted, learnt from those that broke when they were used again.
//!
//! Something on the way may forget a connection that stays idle, well before the time that the settings state, and reset
//! it when the next line comes. Whether that line was read cannot be told, so a call that must not run twice is lost with
//! it, and a sound worker looks broken. A new connection costs a round trip or two: the cheaper choice by far.

use pipithub_engine::Time;

/// Lengths of idle time are told apart by powers of two of this, in nanoseconds.
const UNIT: Time = 1_000_000;
/// Their number; the last holds all that is longer.
const STEPS: usize = 18;
/// So many breaks, and this share of the uses, make a length of idle time too long.
const BREAKS: f64 = 1.5;
const SHARE: f64 = 0.1;
/// What was seen counts half after this time: whatever stood in the way may be gone.
const HALF: Time = 20_000_000_000;

/// What became of connections that were used again, by how long they had been idle.
#[derive(Clone, Debug, Default)]
pub struct Staleness {
    used: [f64; STEPS],
    broke: [f64; STEPS],
    faded: Time,
}

fn step(idle: Time) -> usize {
    let units = idle / UNIT;
    ((Time::BITS - units.leading_zeros()) as usize).min(STEPS - 1)
}

impl Staleness {
    /// A connection that had been idle for so long was used, and broke or not before any answer.
    pub fn learn(&mut self, now: Time, idle: Time, broke: bool) {
        if now >= self.faded + HALF {
            let halves = (now - self.faded) / HALF;
            let left = 0.5f64.powi(halves.min(60) as i32);
            self.used
                .iter_mut()
                .chain(&mut self.broke)
                .for_each(|n| *n *= left);
            self.faded = now;
        }
        let at = step(idle);
        self.used[at] += 1.0;
        self.broke[at] += f64::from(u8::from(broke));
    }

    /// Connections that are idle for this long or longer must not be used again; `None`: any may.
    pub fn limit(&self) -> Option<Time> {
        // What breaks after some time breaks after a longer one too, seen or not.
        let at = (0..STEPS)
            .find(|&i| self.broke[i] >= BREAKS && self.broke[i] >= SHARE * self.used[i])?;
        Some(if at == 0 { 0 } else { UNIT << (at - 1) })
    }
}
