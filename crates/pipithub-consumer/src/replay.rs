//! Recognizes signed messages that were accepted before, also across steps of the wall clock.
//!
//! The caller checks the signed timestamp of a message against the wall clock. This module measures durations in
//! monotonic time: an id is remembered for as long as its message could still be accepted, also after a step back of
//! [`MAX_STEP_BACK`]. An id may have to be forgotten earlier, because the memory is full or the step back was greater.
//! A replay could then not be recognized by its id, so the timestamps of forgotten ids are kept as a few spans, and no
//! message with a timestamp within them is accepted as new.

use std::collections::{HashSet, VecDeque};

use pipithub_engine::Time;
use sha2::{Digest, Sha256};

const NANOS_PER_MS: Time = 1_000_000;
/// The maximum number of ids remembered; each takes about 70 bytes.
const MAX_REMEMBERED: usize = 500_000;
/// Ids are remembered for long enough that a step back of the wall clock by at most this makes no forgotten message
/// acceptable again.
const MAX_STEP_BACK: Time = 3_600_000 * NANOS_PER_MS;
/// The maximum number of spans of timestamps whose ids were forgotten.
const MAX_SPANS: usize = 8;
/// Forgotten timestamps that are this close together form one span.
const SPAN_GAP_MS: u64 = 1_000;

/// How far the timestamp of a message may lie from the wall time at which it is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The maximum time that it may lie in the past, in milliseconds.
    pub behind_ms: u64,
    /// The maximum time that it may lie in the future, in milliseconds.
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

    /// The minimum time for which an id is remembered.
    fn retention(&self) -> Time {
        let accepted_ms = self.behind_ms.saturating_add(self.ahead_ms);
        accepted_ms
            .saturating_mul(NANOS_PER_MS)
            .saturating_add(MAX_STEP_BACK)
    }
}

/// The id of a signed message. It is unique among the messages that one user signs with one key; other users and the
/// holders of other keys may choose the same message ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignedId<'a> {
    /// The id of the key that the message is signed with.
    pub key_id: &'a str,
    /// The user that the message names.
    pub user: &'a str,
    /// The id of the message.
    pub message_id: &'a str,
}

/// The first half of a SHA-256, which has the same length for every id.
type IdDigest = [u8; 16];

impl SignedId<'_> {
    /// Each part is preceded by its length, so that different ids have different digests.
    fn digest(self) -> IdDigest {
        let mut hasher = Sha256::new();
        for part in [self.key_id, self.user, self.message_id] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.finalize().first_chunk().copied().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct Remembered {
    id: IdDigest,
    sent_ms: u64,
    accepted_at: Time,
}

/// The signed messages that were accepted, bounded in number.
#[derive(Clone, Debug)]
pub struct ReplayMemory {
    capacity: usize,
    ids: HashSet<IdDigest>,
    /// The remembered messages in the order in which they were accepted.
    by_arrival: VecDeque<Remembered>,
    forgotten: ForgottenSpans,
}

impl Default for ReplayMemory {
    fn default() -> Self {
        ReplayMemory::with_capacity(MAX_REMEMBERED)
    }
}

impl ReplayMemory {
    /// Creates a memory for at most `capacity` ids; a capacity of 0 counts as 1.
    pub fn with_capacity(capacity: usize) -> Self {
        ReplayMemory {
            capacity: capacity.max(1),
            ids: HashSet::new(),
            by_arrival: VecDeque::new(),
            forgotten: ForgottenSpans::default(),
        }
    }

    /// Whether a message with this id was accepted, and is not forgotten.
    pub fn remembers(&self, id: SignedId<'_>) -> bool {
        self.ids.contains(&id.digest())
    }

    /// Whether a message is new. A new one is remembered from now on.
    pub fn is_new(
        &mut self,
        id: SignedId<'_>,
        sent_ms: u64,
        now: Time,
        wall_ms: u64,
        tolerance: Tolerance,
    ) -> bool {
        self.forget_expired(now, wall_ms, tolerance);
        let id = id.digest();
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
            accepted_at: now,
        });
        true
    }

    fn forget_expired(&mut self, now: Time, wall_ms: u64, tolerance: Tolerance) {
        let is_expired = |oldest: &Remembered| {
            now.saturating_sub(oldest.accepted_at) > tolerance.retention()
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

/// The timestamps whose ids were forgotten, as spans in rising order that do not touch.
#[derive(Clone, Debug, Default)]
struct ForgottenSpans(Vec<Span>);

impl ForgottenSpans {
    fn contains(&self, sent_ms: u64) -> bool {
        self.0
            .iter()
            .any(|span| (span.first_ms..=span.last_ms).contains(&sent_ms))
    }

    fn add(&mut self, sent_ms: u64) {
        let index = self.0.partition_point(|span| span.first_ms <= sent_ms);
        self.0.insert(
            index,
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
            // The range between the two oldest spans, which joining them covers too, is the least likely to hold the
            // timestamps of new messages.
            let second = self.0.remove(1);
            self.0[0].last_ms = second.last_ms;
        }
    }
}
