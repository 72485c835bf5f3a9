//! Requests that wait for the look-up of their user, each for a bounded time.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::record::User;
use crate::time::Time;

/// A request that has stopped waiting for the look-up of its user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedLookup<T> {
    /// The request that waited.
    pub request: T,
    /// The user that was looked up.
    pub user: User,
    /// When the request began to wait.
    pub waiting_since: Time,
    /// Whether the deadline of the request passed before the look-up finished.
    pub timed_out: bool,
}

/// A request that is waiting.
#[derive(Debug)]
struct PendingLookup<T> {
    request: T,
    user: User,
    waiting_since: Time,
    deadline: Time,
}

impl<T> PendingLookup<T> {
    fn end(self, timed_out: bool) -> EndedLookup<T> {
        EndedLookup {
            request: self.request,
            user: self.user,
            waiting_since: self.waiting_since,
            timed_out,
        }
    }
}

/// The deadline of the request with this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Time,
    number: u64,
}

/// Requests that wait for the look-up of their user.
#[derive(Debug)]
pub struct PendingLookups<T> {
    max_pending: usize,
    /// The waiting requests, by the consecutive numbers that [`PendingLookups::add`] assigns.
    lookups: BTreeMap<u64, PendingLookup<T>>,
    /// The numbers of the requests that wait for each user.
    by_user: HashMap<User, Vec<u64>>,
    deadlines: BTreeSet<Deadline>,
    next_number: u64,
}

impl<T> PendingLookups<T> {
    /// Creates an empty set of at most `max_pending` requests.
    pub fn new(max_pending: usize) -> Self {
        PendingLookups {
            max_pending,
            lookups: BTreeMap::new(),
            by_user: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_number: 0,
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.lookups.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty()
    }

    /// The earliest deadline; `None` if no request is waiting.
    pub fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Adds a request that waits until a deadline.
    ///
    /// # Errors
    ///
    /// Returns the request if the maximum number of requests is waiting already.
    pub fn add(&mut self, now: Time, deadline: Time, user: User, request: T) -> Result<(), T> {
        if self.lookups.len() >= self.max_pending {
            return Err(request);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.by_user.entry(user.clone()).or_default().push(number);
        self.deadlines.insert(Deadline {
            at: deadline,
            number,
        });
        let lookup = PendingLookup {
            request,
            user,
            waiting_since: now,
            deadline,
        };
        self.lookups.insert(number, lookup);
        Ok(())
    }

    /// Removes and returns all requests that wait for a user whose look-up has finished.
    pub fn finish(&mut self, user: &str) -> Vec<EndedLookup<T>> {
        let numbers = self.by_user.remove(user).unwrap_or_default();
        numbers
            .into_iter()
            .filter_map(|number| self.remove(number))
            .map(|lookup| lookup.end(false))
            .collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<EndedLookup<T>> {
        let mut ended = Vec::new();
        while let Some(number) = self.pop_expired(now) {
            let Some(lookup) = self.remove(number) else {
                continue;
            };
            self.remove_from_user(&lookup.user, number);
            ended.push(lookup.end(true));
        }
        ended
    }

    /// Drops all requests for which `is_cancelled` returns true.
    pub fn cancel(&mut self, mut is_cancelled: impl FnMut(&T) -> bool) {
        let numbers: Vec<u64> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| is_cancelled(&lookup.request))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            if let Some(lookup) = self.remove(number) {
                self.remove_from_user(&lookup.user, number);
            }
        }
    }

    /// Removes the earliest deadline if it has passed, and returns the number of its request.
    fn pop_expired(&mut self, now: Time) -> Option<u64> {
        let first = self.deadlines.first()?;
        if first.at > now {
            return None;
        }
        self.deadlines.pop_first().map(|deadline| deadline.number)
    }

    /// Removes a request and its deadline, but not its entry in `by_user`.
    fn remove(&mut self, number: u64) -> Option<PendingLookup<T>> {
        let lookup = self.lookups.remove(&number)?;
        self.deadlines.remove(&Deadline {
            at: lookup.deadline,
            number,
        });
        Some(lookup)
    }

    fn remove_from_user(&mut self, user: &User, number: u64) {
        if let Some(numbers) = self.by_user.get_mut(user) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.by_user.remove(user);
            }
        }
    }
}
