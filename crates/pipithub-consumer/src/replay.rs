//! Which signed messages were accepted before, across steps of the wall clock.
//!
//! A message's signed timestamp is judged against the wall clock by its caller. Here spans are monotonic time: an id is
//! remembered for as long as its message could still be accepted, also after a step back of [`MAX_STEP_BACK`]. What had
//! to be forgotten earlier, for want of room or by greater steps, cannot be told from a replay: its timestamps are kept as
//! a few spans, and a message from within them is not new.

use std::collections::{HashSet, VecDeque};

use pipithub_engine::Time;
use sha2::{Digest, Sha256};

const NANOS_PER_MS: Time = 1_000_000;
/// Ids remembered at a time; each takes about 70 bytes.
const MAX_REMEMBERED: usize = 500_000;
/// A step back of the wall clock that brings no forgotten message back into its time.
const MAX_STEP_BACK: Time = 3_600_000 * NANOS_PER_MS;
/// Spans of timestamps whose ids were forgotten.
const MAX_SPANS: usize = 8;
/// Forgotten timestamps this close together make one span.
const SPAN_GAP_MS: u64 = 1_000;

/// How long a message can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// A timestamp may lie so far behind the wall clock.
    pub behind_ms: u64,
    /// And so far ahead of it.
    pub ahead_ms: u64,
}

impl Tolerance {
    /// Whether a message with this timestamp is accepted at this wall time.
    pub fn accepts(&self, sent_ms: u64, wall_ms: u64) -> bool {
        !self.is_past(sent_ms, wall_ms) && sent_ms <= wall_ms.saturating_add(self.ahead_ms)
    }

    fn is_past(&self, sent_ms: u64, wall_ms: u64) -> bool {
        wall_ms.saturating_sub(sent_ms) > self.behind_ms
    }

    /// For how long an id is remembered at the least.
    fn span(&self) -> Time {
        let accepted_ms = self.behind_ms.saturating_add(self.ahead_ms);
        accepted_ms
            .saturating_mul(NANOS_PER_MS)
            .saturating_add(MAX_STEP_BACK)
    }
}

/// The first half of the id's SHA-256: as long for every id.
type IdDigest = [u8; 16];

fn digest(id: &str) -> IdDigest {
    let whole = Sha256::digest(id.as_bytes());
    let mut half = IdDigest::default();
    half.copy_from_slice(&whole[..size_of::<IdDigest>()]);
    half
}

#[derive(Clone, Debug)]
struct Remembered {
    id: IdDigest,
    sent_ms: u64,
    accepted: Time,
}

/// The messages accepted so far, bounded.
#[derive(Clone, Debug)]
pub struct ReplayMemory {
    capacity: usize,
    ids: HashSet<IdDigest>,
    /// In the order in which they were accepted.
    by_arrival: VecDeque<Remembered>,
    forgotten: ForgottenSpans,
}

impl Default for ReplayMemory {
    fn default() -> Self {
        ReplayMemory::with_capacity(MAX_REMEMBERED)
    }
}

impl ReplayMemory {
    /// Remembers at most so many ids, one at the least.
    pub fn with_capacity(capacity: usize) -> Self {
        ReplayMemory {
            capacity: capacity.max(1),
            ids: HashSet::new(),
            by_arrival: VecDeque::new(),
            forgotten: ForgottenSpans::default(),
        }
    }

    /// Whether a message is new; it is remembered from now on.
    pub fn is_new(
        &mut self,
        id: &str,
        sent_ms: u64,
        now: Time,
        wall_ms: u64,
        tolerance: Tolerance,
    ) -> bool {
        self.forget_expired(now, wall_ms, tolerance);
        let id = digest(id);
        if self.ids.contains(&id) || self.forgotten.contains(sent_ms) {
            return false;
        }
        while self.by_arrival.len() >= self.capacity {
            self.forget_oldest();
        }
        self.ids.insert(id);
        self.by_arrival.push_back(Remembered {
            id,
            sent_ms,
            accepted: now,
        });
        true
    }

    fn forget_expired(&mut self, now: Time, wall_ms: u64, tolerance: Tolerance) {
        let is_expired = |oldest: &Remembered| {
            now.saturating_sub(oldest.accepted) > tolerance.span()
                && tolerance.is_past(oldest.sent_ms, wall_ms)
        };
        while self.by_arrival.front().is_some_and(is_expired) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.by_arrival.pop_front() {
            self.ids.remove(&oldest.id);
            self.forgotten.add(oldest.sent_ms);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Span {
    first_ms: u64,
    last_ms: u64,
}

/// Timestamps whose ids were forgotten: spans in rising order, apart from each other.
#[derive(Clone, Debug, Default)]
struct ForgottenSpans(Vec<Span>);

impl ForgottenSpans {
    fn contains(&self, sent_ms: u64) -> bool {
        self.0
            .iter()
            .any(|span| (span.first_ms..=span.last_ms).contains(&sent_ms))
    }

    fn add(&mut self, sent_ms: u64) {
        let place = self.0.partition_point(|span| span.first_ms <= sent_ms);
        self.0.insert(
            place,
            Span {
                first_ms: sent_ms,
                last_ms: sent_ms,
            },
        );
        self.0.dedup_by(|later, earlier| {
            let joins = later.first_ms <= earlier.last_ms.saturating_add(SPAN_GAP_MS);
            if joins {
                earlier.last_ms = earlier.last_ms.max(later.last_ms);
            }
            joins
        });
        if self.0.len() > MAX_SPANS {
            // The oldest timestamps, and what lies between them, are the last to be missed.
            let second = self.0.remove(1);
            self.0[0].last_ms = second.last_ms;
        }
    }
}
