//! The queues of users to search for, by priority.

use std::collections::{HashSet, VecDeque};

use crate::record::User;
use crate::time::Time;

/// The maximum number of searches for a user in one look-up, including the first.
const MAX_ATTEMPTS: u8 = 2;
/// How many users of the background queue are examined to find one for whom a request waits now. This bounds the cost
/// of a look-up.
const MAX_PROMOTION_DEPTH: usize = 256;

/// The priority of a user in the queues. The variants are ordered from the highest to the lowest priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// A request waits, and the user has no valid record.
    Unknown,
    /// A request waits until the user's record is confirmed.
    Confirmation,
    /// No request waits.
    Background,
}

/// The result of queueing a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Enqueued {
    /// The user was queued.
    Added,
    /// The user is queued already, or part of a search in flight.
    AlreadyPending,
    /// The queue is full, and the user was not queued.
    QueueFull,
}

struct QueuedUser {
    user: User,
    /// The number of earlier searches for the user that had no result.
    attempts: u8,
}

/// Users to search for together.
pub(crate) struct Batch {
    pub(crate) users: Vec<User>,
    /// The number of earlier searches for these users that had no result.
    pub(crate) attempts: u8,
}

/// The queues of a directory.
#[derive(Default)]
pub(crate) struct LookupQueues {
    unknown: VecDeque<QueuedUser>,
    confirmation: VecDeque<QueuedUser>,
    background: VecDeque<QueuedUser>,
    /// The latest time at which the users of the background queue are searched for. Only valid while that queue has
    /// users.
    background_due: Time,
    /// The users that are queued or part of a search in flight. No such user is queued again, so that no user is searched
    /// for twice at the same time.
    pending: HashSet<User>,
}

impl LookupQueues {
    fn queue_mut(&mut self, priority: Priority) -> &mut VecDeque<QueuedUser> {
        match priority {
            Priority::Unknown => &mut self.unknown,
            Priority::Confirmation => &mut self.confirmation,
            Priority::Background => &mut self.background,
        }
    }

    /// Whether a user is queued or part of a search in flight.
    pub(crate) fn is_pending(&self, user: &User) -> bool {
        self.pending.contains(user)
    }

    /// Queues a user, or raises the priority of a user who is queued in the background. If the user is the first one of
    /// the background queue, that queue becomes due at `background_due`.
    pub(crate) fn enqueue(
        &mut self,
        user: User,
        priority: Priority,
        max_queue: usize,
        background_due: Time,
    ) -> Enqueued {
        if self.pending.contains(&user) {
            self.promote(&user, priority);
            return Enqueued::AlreadyPending;
        }
        if self.queue_mut(priority).len() >= max_queue {
            return Enqueued::QueueFull;
        }
        if priority == Priority::Background && self.background.is_empty() {
            // Later users of the background queue join the search of the first one.
            self.background_due = background_due;
        }
        self.pending.insert(user.clone());
        self.queue_mut(priority)
            .push_back(QueuedUser { user, attempts: 0 });
        Enqueued::Added
    }

    /// Moves a user from the background queue to another one, as a request waits for the user now.
    fn promote(&mut self, user: &User, priority: Priority) {
        if priority == Priority::Background {
            return;
        }
        let position = self
            .background
            .iter()
            .take(MAX_PROMOTION_DEPTH)
            .position(|queued| queued.user == *user);
        let promoted = position.and_then(|position| self.background.remove(position));
        self.queue_mut(priority).extend(promoted);
    }

    /// Whether queued users are due to be searched for: at once if a request waits for one of them, and otherwise when
    /// there are enough for a full search (`max_users`) or the background queue is due.
    pub(crate) fn has_due(&self, now: Time, max_users: usize) -> bool {
        let fills_search = self.background.len() >= max_users;
        let is_background_due = !self.background.is_empty() && now >= self.background_due;
        let is_request_waiting = !self.unknown.is_empty() || !self.confirmation.is_empty();
        is_request_waiting || fills_search || is_background_due
    }

    /// The latest time at which the users of the background queue are searched for; `None` if the queue is empty.
    pub(crate) fn background_due(&self) -> Option<Time> {
        (!self.background.is_empty()).then_some(self.background_due)
    }

    /// Takes the users of one search, by priority. Users who are retried are not combined with others, because they may be
    /// the reason why their search failed.
    pub(crate) fn take_batch(&mut self, max_users: usize) -> Batch {
        let mut batch = Batch {
            users: Vec::new(),
            attempts: 0,
        };
        while batch.users.len() < max_users.max(1) {
            let Some(queue) = self.first_queue() else {
                break;
            };
            let Some(next) = queue.front() else { break };
            if !batch.users.is_empty() && next.attempts != batch.attempts {
                break;
            }
            batch.attempts = next.attempts;
            batch.users.extend(queue.pop_front().map(|next| next.user));
        }
        batch
    }

    /// The queue with the highest priority that is not empty; `None` if all are empty.
    fn first_queue(&mut self) -> Option<&mut VecDeque<QueuedUser>> {
        [
            &mut self.unknown,
            &mut self.confirmation,
            &mut self.background,
        ]
        .into_iter()
        .find(|queue| !queue.is_empty())
    }

    /// Puts users whose search had no result back into the queue, ahead of all others. Returns the users who had their
    /// last attempt and are no longer pending.
    pub(crate) fn retry(&mut self, batch: Batch) -> Vec<User> {
        let attempts = batch.attempts + 1;
        let mut given_up = Vec::new();
        for user in batch.users.into_iter().rev() {
            if attempts < MAX_ATTEMPTS {
                self.unknown.push_front(QueuedUser { user, attempts });
            } else {
                self.pending.remove(&user);
                given_up.push(user);
            }
        }
        given_up
    }

    /// Removes a user from the pending ones, as the search for the user has a result.
    pub(crate) fn finish(&mut self, user: &User) {
        self.pending.remove(user);
    }

    /// Removes and returns all queued users. Users of searches in flight stay pending.
    pub(crate) fn drain(&mut self) -> Vec<User> {
        let queued = [
            &mut self.unknown,
            &mut self.confirmation,
            &mut self.background,
        ];
        let users: Vec<User> = queued
            .into_iter()
            .flat_map(|queue| queue.drain(..))
            .map(|queued| queued.user)
            .collect();
        for user in &users {
            self.pending.remove(user);
        }
        users
    }
}

#[cfg(test)]
mod tests;
