//! Users who wait to be searched for, by priority.

use std::collections::{HashSet, VecDeque};

use crate::record::User;
use crate::time::Time;

/// Times that a user is searched for before they must be looked up anew.
const MAX_ATTEMPTS: u8 = 2;
/// Of the users whom no request waited for, those among whom one is looked for that a request waits for now.
const MAX_PROMOTION_DEPTH: usize = 256;

/// How soon a user is searched for, the soonest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Nothing is known of the user and a request waits.
    Unknown,
    /// What is known is to be confirmed before a request is decided.
    Confirmation,
    /// No request waits.
    Background,
}

/// Whether a user will be searched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Enqueued {
    /// Now, they will.
    Added,
    /// They are queued or in a search already.
    AlreadyPending,
    /// Their queue is full.
    QueueFull,
}

struct QueuedUser {
    user: User,
    /// How often they were searched for before.
    attempts: u8,
}

/// Users to search for together.
pub(crate) struct Batch {
    pub(crate) users: Vec<User>,
    /// How often they were searched for before.
    pub(crate) attempts: u8,
}

/// The queues of a directory.
#[derive(Default)]
pub(crate) struct LookupQueues {
    unknown: VecDeque<QueuedUser>,
    confirmation: VecDeque<QueuedUser>,
    background: VecDeque<QueuedUser>,
    /// When the users of the background queue are searched for at the latest.
    background_due: Time,
    /// Users that are queued or in a search: nobody is searched for twice at a time.
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

    /// Whether a user is queued or in a search.
    pub(crate) fn is_pending(&self, user: &User) -> bool {
        self.pending.contains(user)
    }

    /// Has a user searched for; `background_due` is when those whom no request waits for are, where they are the first.
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
            // Users whom no request waits for are gathered into one search.
            self.background_due = background_due;
        }
        self.pending.insert(user.clone());
        self.queue_mut(priority)
            .push_back(QueuedUser { user, attempts: 0 });
        Enqueued::Added
    }

    /// A request waits now for a user who was queued without one.
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

    /// Whether there are users to search for now.
    pub(crate) fn has_due(&self, now: Time, max_users: usize) -> bool {
        let fills_search = self.background.len() >= max_users;
        let is_background_due = !self.background.is_empty() && now >= self.background_due;
        let is_request_waiting = !self.unknown.is_empty() || !self.confirmation.is_empty();
        is_request_waiting || fills_search || is_background_due
    }

    /// When the users whom no request waits for are searched for at the latest.
    pub(crate) fn background_due(&self) -> Option<Time> {
        (!self.background.is_empty()).then_some(self.background_due)
    }

    /// Takes out the users of one search, by priority. Those that were searched for before go without others: a search
    /// that failed may have failed because of them.
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

    /// The first queue that has users.
    fn first_queue(&mut self) -> Option<&mut VecDeque<QueuedUser>> {
        [
            &mut self.unknown,
            &mut self.confirmation,
            &mut self.background,
        ]
        .into_iter()
        .find(|queue| !queue.is_empty())
    }

    /// Queues users again whose search had no result, before all others. Returns those who had their last attempt.
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

    /// A user's search has a result.
    pub(crate) fn finish(&mut self, user: &User) {
        self.pending.remove(user);
    }

    /// Takes out all that are queued.
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
