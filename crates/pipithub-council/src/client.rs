//! A front end's side: questions that are repeated until answered once, and leases by its own clock.

use std::collections::{BTreeMap, VecDeque};

use crate::Time;
use crate::state::{Command, Request, Response};
use crate::voter::WireMessage;

/// Questions that wait; further ones are not taken.
const WAITING: usize = 1_024;
/// Of a lease's time so much is not used: clocks of two machines differ in rate, by far less.
const DRIFT: u64 = 64;

/// A lease as its holder may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Under which epoch it was granted.
    pub epoch: u64,
    /// Until when, by the holder's own clock.
    pub expires_at: Time,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The answer to a question, by its number.
    Response(u64, Response),
    /// The epoch is over: stop acting at once.
    Fenced,
}

/// One front end's questions. They are asked one at a time, in order, so that the council can tell repeats.
#[derive(Debug)]
pub struct Client {
    name: String,
    boot: u64,
    voters: Vec<u64>,
    leader: usize,
    number: u64,
    waiting: VecDeque<(u64, Command)>,
    /// The question under way: when it was first asked, and when it is asked again.
    asked: Option<(Time, Time)>,
    again: Time,
    epoch: Option<u64>,
    leases: BTreeMap<String, HeldLease>,
}

impl Client {
    /// A run of a front end that knows the voters.
    pub fn new(name: &str, boot: u64, voters: Vec<u64>, again: Time) -> Client {
        Client {
            name: name.to_string(),
            boot,
            voters,
            leader: 0,
            number: 0,
            waiting: VecDeque::new(),
            asked: None,
            again: again.max(1),
            epoch: None,
            leases: BTreeMap::new(),
        }
    }

    /// Takes a question and gives its number; `None` where too many wait.
    pub fn submit(&mut self, command: Command) -> Option<u64> {
        if self.waiting.len() >= WAITING {
            return None;
        }
        self.number += 1;
        self.waiting.push_back((self.number, command));
        Some(self.number)
    }

    /// The epoch that this run acts under; `None` before it has one, and once it is fenced off.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Questions that are not answered.
    pub fn pending_requests(&self) -> usize {
        self.waiting.len()
    }

    /// A lease, where it still holds. It is to be asked right before acting: whoever sleeps between the two acts late,
    /// which only the epoch that goes with the act can tell.
    pub fn held_lease(&self, lease: &str, now: Time) -> Option<HeldLease> {
        self.leases
            .get(lease)
            .copied()
            .filter(|held| now < held.expires_at && self.epoch == Some(held.epoch))
    }

    /// When [`Client::next_message`] is wanted.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        self.waiting.front()?;
        Some(self.asked.map_or(now, |(_, again)| again))
    }

    /// What to send now, and to which voter.
    pub fn next_message(&mut self, now: Time) -> Option<(u64, WireMessage)> {
        let (number, command) = self.waiting.front().cloned()?;
        match self.asked {
            Some((_, again)) if now < again => return None,
            // No answer: another voter may know more.
            Some((first, _)) => {
                self.leader = (self.leader + 1) % self.voters.len().max(1);
                self.asked = Some((first, now + self.again));
            }
            None => self.asked = Some((now, now + self.again)),
        }
        let to = *self.voters.get(self.leader)?;
        let asked = Request {
            client: self.name.clone(),
            boot_id: self.boot,
            sequence: number,
            command,
        };
        Some((to, WireMessage::Request(asked)))
    }

    /// Takes what a voter says.
    pub fn handle_message(&mut self, now: Time, wire: WireMessage) -> Option<Notification> {
        match wire {
            WireMessage::Response {
                client: name,
                boot_id: boot,
                sequence: number,
                response: answer,
            } if name == self.name && boot == self.boot => {
                let (front, command) = self.waiting.front().cloned()?;
                if front != number {
                    return None;
                }
                self.waiting.pop_front();
                let (first, _) = self.asked.take().unwrap_or((now, now));
                Some(self.answered(first, number, command, answer))
            }
            WireMessage::NotLeader {
                client: name,
                sequence: number,
                leader,
            } if name == self.name => {
                if self.waiting.front().map(|w| w.0) == Some(number)
                    && let Some((first, _)) = self.asked
                    && let Some(at) = leader.and_then(|l| self.voters.iter().position(|v| *v == l))
                {
                    // The turn goes one further before it asks.
                    self.leader = (at + self.voters.len() - 1) % self.voters.len();
                    self.asked = Some((first, now));
                }
                None
            }
            _ => None,
        }
    }

    fn answered(
        &mut self,
        first: Time,
        number: u64,
        command: Command,
        answer: Response,
    ) -> Notification {
        match (&command, &answer) {
            (Command::NewEpoch, Response::Epoch(epoch)) => self.epoch = Some(*epoch),
            (
                Command::AcquireLease {
                    lease,
                    epoch,
                    duration,
                },
                Response::Granted,
            ) => {
                // What is to be given back is not relied on: the log may give it to another before we hear of it.
                let back =
                    |c: &Command| matches!(c, Command::ReleaseLease { lease: l, .. } if l == lease);
                if self.waiting.iter().any(|(_, c)| back(c)) {
                    return Notification::Response(number, answer);
                }
                // From when it was first asked: the log took it in then at the earliest.
                let until = first + duration - duration / DRIFT;
                self.leases.insert(
                    lease.clone(),
                    HeldLease {
                        epoch: *epoch,
                        expires_at: until,
                    },
                );
            }
            (Command::ReleaseLease { lease, .. }, _) => drop(self.leases.remove(lease)),
            (Command::AcquireLease { epoch, .. }, Response::Fenced { .. })
                if self.epoch == Some(*epoch) =>
            {
                self.epoch = None;
                self.leases.clear();
                return Notification::Fenced;
            }
            _ => {}
        }
        Notification::Response(number, answer)
    }

    /// Gives a lease back: it is not relied on from now on.
    pub fn release(&mut self, lease: &str) -> Option<u64> {
        let held = self.leases.remove(lease)?;
        self.submit(Command::ReleaseLease {
            lease: lease.to_string(),
            epoch: held.epoch,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answer(
        client: &mut Client,
        now: Time,
        number: u64,
        answer: Response,
    ) -> Option<Notification> {
        client.handle_message(
            now,
            WireMessage::Response {
                client: "a".into(),
                boot_id: 7,
                sequence: number,
                response: answer,
            },
        )
    }

    fn with_epoch() -> Client {
        let mut client = Client::new("a", 7, vec![1, 2, 3], 100);
        client.submit(Command::NewEpoch);
        client.next_message(0);
        answer(&mut client, 5, 1, Response::Epoch(4));
        client
    }

    fn acquire() -> Command {
        Command::AcquireLease {
            lease: "l".into(),
            epoch: 4,
            duration: 6_400,
        }
    }

    #[test]
    fn a_lease_counts_from_when_it_was_first_asked_less_what_clocks_may_differ() {
        let mut client = with_epoch();
        let number = client.submit(acquire()).unwrap();
        assert_eq!(client.next_message(1_000).unwrap().0, 1);
        assert!(client.next_message(1_050).is_none());
        assert_eq!(
            client.next_message(1_100).unwrap().0,
            2,
            "no answer: another voter"
        );
        assert!(client.held_lease("l", 1_100).is_none());
        answer(&mut client, 2_000, number, Response::Granted);
        assert_eq!(
            client.held_lease("l", 7_299),
            Some(HeldLease {
                epoch: 4,
                expires_at: 7_300
            })
        );
        assert!(client.held_lease("l", 7_300).is_none());
    }

    /// Seed 1593 of the drawn days: given back while a question for more time on it was under way.
    #[test]
    fn a_lease_that_is_to_be_given_back_is_not_relied_on_again() {
        let mut client = with_epoch();
        let first = client.submit(acquire()).unwrap();
        client.next_message(0);
        answer(&mut client, 10, first, Response::Granted);
        let more = client.submit(acquire()).unwrap();
        client.next_message(20);
        client.release("l");
        answer(&mut client, 30, more, Response::Granted);
        assert!(client.held_lease("l", 40).is_none());
    }

    #[test]
    fn a_fenced_run_holds_nothing_any_more() {
        let mut client = with_epoch();
        let first = client.submit(acquire()).unwrap();
        client.next_message(0);
        answer(&mut client, 10, first, Response::Granted);
        let more = client.submit(acquire()).unwrap();
        client.next_message(20);
        assert_eq!(
            answer(&mut client, 30, more, Response::Fenced { epoch: 9 }),
            Some(Notification::Fenced)
        );
        assert!(client.held_lease("l", 40).is_none() && client.epoch().is_none());
    }

    #[test]
    fn an_answer_to_another_run_or_question_is_passed_over() {
        let mut client = with_epoch();
        let number = client.submit(acquire()).unwrap();
        client.next_message(0);
        assert!(answer(&mut client, 5, number + 1, Response::Granted).is_none());
        let wire = WireMessage::Response {
            client: "a".into(),
            boot_id: 6,
            sequence: number,
            response: Response::Granted,
        };
        assert!(client.handle_message(5, wire).is_none());
        assert!(client.held_lease("l", 6).is_none());
    }
}
