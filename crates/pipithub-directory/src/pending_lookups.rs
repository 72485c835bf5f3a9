//! Calls whose user is not known yet, each waiting for a bounded time.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{Time, User};

/// A call that waits no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedLookup<T> {
    /// The call.
    pub request: T,
    /// Its user.
    pub user: User,
    /// When it began to wait.
    pub waiting_since: Time,
    /// Its time was up; else there is news of its user.
    pub timed_out: bool,
}

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

/// Calls that wait.
#[derive(Debug)]
pub struct PendingLookups<T> {
    max_pending: usize,
    lookups: BTreeMap<u64, PendingLookup<T>>,
    by_user: HashMap<User, Vec<u64>>,
    deadlines: BTreeSet<(Time, u64)>,
    next_number: u64,
}

impl<T> PendingLookups<T> {
    /// At most so many.
    pub fn new(max_pending: usize) -> Self {
        PendingLookups {
            max_pending,
            lookups: BTreeMap::new(),
            by_user: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_number: 0,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.lookups.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty()
    }

    /// When the next one's time is up.
    pub fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|d| d.0)
    }

    /// Has a call wait until then; the call itself where as many wait as may.
    pub fn add(&mut self, now: Time, deadline: Time, user: User, request: T) -> Result<(), T> {
        if self.lookups.len() >= self.max_pending {
            return Err(request);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.by_user.entry(user.clone()).or_default().push(number);
        self.deadlines.insert((deadline, number));
        self.lookups.insert(
            number,
            PendingLookup {
                request,
                user,
                waiting_since: now,
                deadline,
            },
        );
        Ok(())
    }

    /// There is news of a user.
    pub fn finish(&mut self, user: &str) -> Vec<EndedLookup<T>> {
        let numbers = self.by_user.remove(user).unwrap_or_default();
        let mut ended = Vec::with_capacity(numbers.len());
        for number in numbers {
            if let Some(lookup) = self.lookups.remove(&number) {
                self.deadlines.remove(&(lookup.deadline, number));
                ended.push(lookup.end(false));
            }
        }
        ended
    }

    /// Those whose time is up.
    pub fn expire(&mut self, now: Time) -> Vec<EndedLookup<T>> {
        let mut ended = Vec::new();
        while let Some(&(at, number)) = self.deadlines.first().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(at, number));
            let Some(lookup) = self.lookups.remove(&number) else {
                continue;
            };
            self.remove_from_user(&lookup.user, number);
            ended.push(lookup.end(true));
        }
        ended
    }

    /// Takes out all calls that are not wanted any more.
    pub fn cancel(&mut self, mut gone: impl FnMut(&T) -> bool) {
        let numbers: Vec<u64> = self
            .lookups
            .iter()
            .filter(|(_, c)| gone(&c.request))
            .map(|(n, _)| *n)
            .collect();
        for number in numbers {
            if let Some(lookup) = self.lookups.remove(&number) {
                self.deadlines.remove(&(lookup.deadline, number));
                self.remove_from_user(&lookup.user, number);
            }
        }
    }

    fn remove_from_user(&mut self, user: &User, number: u64) {
        if let Some(numbers) = self.by_user.get_mut(user) {
            numbers.retain(|n| *n != number);
            if numbers.is_empty() {
                self.by_user.remove(user);
            }
        }
    }
}

#[cfg(test)]
mod tests;
