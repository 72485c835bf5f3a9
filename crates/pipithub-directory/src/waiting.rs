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
struct Held<T> {
    call: T,
    user: User,
    since: Time,
    until: Time,
}

impl<T> Held<T> {
    fn woken(self, in_vain: bool) -> EndedLookup<T> {
        EndedLookup {
            request: self.call,
            user: self.user,
            waiting_since: self.since,
            timed_out: in_vain,
        }
    }
}

/// Calls that wait.
#[derive(Debug)]
pub struct PendingLookups<T> {
    most: usize,
    calls: BTreeMap<u64, Held<T>>,
    by_user: HashMap<User, Vec<u64>>,
    due: BTreeSet<(Time, u64)>,
    next: u64,
}

impl<T> PendingLookups<T> {
    /// At most so many.
    pub fn new(most: usize) -> Self {
        PendingLookups {
            most,
            calls: BTreeMap::new(),
            by_user: HashMap::new(),
            due: BTreeSet::new(),
            next: 0,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When the next one's time is up.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|d| d.0)
    }

    /// Has a call wait until then; the call itself where as many wait as may.
    pub fn add(&mut self, now: Time, until: Time, user: User, call: T) -> Result<(), T> {
        if self.calls.len() >= self.most {
            return Err(call);
        }
        let number = self.next;
        self.next += 1;
        self.by_user.entry(user.clone()).or_default().push(number);
        self.due.insert((until, number));
        self.calls.insert(
            number,
            Held {
                call,
                user,
                since: now,
                until,
            },
        );
        Ok(())
    }

    /// There is news of a user.
    pub fn finish(&mut self, user: &str) -> Vec<EndedLookup<T>> {
        let numbers = self.by_user.remove(user).unwrap_or_default();
        let mut woken = Vec::with_capacity(numbers.len());
        for number in numbers {
            if let Some(held) = self.calls.remove(&number) {
                self.due.remove(&(held.until, number));
                woken.push(held.woken(false));
            }
        }
        woken
    }

    /// Those whose time is up.
    pub fn expire(&mut self, now: Time) -> Vec<EndedLookup<T>> {
        let mut woken = Vec::new();
        while let Some(&(at, number)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, number));
            let Some(held) = self.calls.remove(&number) else {
                continue;
            };
            self.unlist(&held.user, number);
            woken.push(held.woken(true));
        }
        woken
    }

    /// Takes out all calls that are not wanted any more.
    pub fn cancel(&mut self, mut gone: impl FnMut(&T) -> bool) {
        let numbers: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| gone(&c.call))
            .map(|(n, _)| *n)
            .collect();
        for number in numbers {
            if let Some(held) = self.calls.remove(&number) {
                self.due.remove(&(held.until, number));
                self.unlist(&held.user, number);
            }
        }
    }

    fn unlist(&mut self, user: &User, number: u64) {
        if let Some(numbers) = self.by_user.get_mut(user) {
            numbers.retain(|n| *n != number);
            if numbers.is_empty() {
                self.by_user.remove(user);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_waits_until_news_or_its_time() {
        let mut waiting = PendingLookups::new(3);
        let (mai, lan): (User, User) = ("mai".into(), "lan".into());
        waiting.add(0, 40, mai.clone(), 1).expect("room");
        waiting.add(10, 50, mai.clone(), 2).expect("room");
        waiting.add(10, 45, lan.clone(), 3).expect("room");
        assert_eq!(waiting.add(10, 45, lan, 4), Err(4), "no more than may wait");
        assert_eq!(waiting.next_due(), Some(40));
        let due = waiting.expire(40);
        assert_eq!(
            due.iter()
                .map(|w| (w.request, w.timed_out, w.waiting_since))
                .collect::<Vec<_>>(),
            [(1, true, 0)]
        );
        assert_eq!(
            waiting
                .finish("mai")
                .iter()
                .map(|w| (w.request, w.timed_out))
                .collect::<Vec<_>>(),
            [(2, false)]
        );
        assert!(waiting.finish("mai").is_empty());
        waiting.cancel(|call| *call == 3);
        assert!(waiting.is_empty() && waiting.next_due().is_none());
    }
}
