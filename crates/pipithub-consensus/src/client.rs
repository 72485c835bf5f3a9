//! The client of a front end: requests that are retried until they have a response, and leases by the local clock.

use std::collections::{BTreeMap, VecDeque};

use crate::Time;
use crate::command::{Command, Request, Response};
use crate::message::WireMessage;

/// Most requests without a response; further ones are rejected.
const MAX_PENDING: usize = 1_024;
/// One part in so many of a lease's duration is not used, because the clocks of two machines differ in rate, by far less.
const DRIFT_DIVISOR: u64 = 64;

/// A lease as its holder may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Epoch that it was granted under.
    pub epoch: u64,
    /// When it expires, by the holder's own clock.
    pub expires_at: Time,
}

/// A message to one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Id of the voter.
    pub voter: u64,
    /// The message.
    pub message: WireMessage,
}

/// What a client reports to its front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A request has its response.
    Response {
        /// Sequence number of the request.
        sequence: u64,
        /// The response.
        response: Response,
    },
    /// The epoch is over: the front end must stop acting at once.
    Fenced,
}

/// A request without a response.
#[derive(Clone, Debug)]
struct PendingRequest {
    sequence: u64,
    command: Command,
}

/// The request that was sent last.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    first_sent: Time,
    retry_at: Time,
}

/// The client of one front end. Requests are sent one at a time, in order, so that the consensus group recognises retries.
#[derive(Debug)]
pub struct Client {
    name: String,
    boot_id: u64,
    voters: Vec<u64>,
    /// Index of the voter that requests are sent to.
    target: usize,
    last_sequence: u64,
    pending: VecDeque<PendingRequest>,
    in_flight: Option<InFlight>,
    retry_interval: Time,
    epoch: Option<u64>,
    leases: BTreeMap<String, HeldLease>,
}

impl Client {
    /// The client of one run of a front end.
    pub fn new(name: &str, boot_id: u64, voters: Vec<u64>, retry_interval: Time) -> Client {
        Client {
            name: name.to_string(),
            boot_id,
            voters,
            target: 0,
            last_sequence: 0,
            pending: VecDeque::new(),
            in_flight: None,
            retry_interval: retry_interval.max(1),
            epoch: None,
            leases: BTreeMap::new(),
        }
    }

    /// Submits a command and returns its sequence number; `None` where too many are pending.
    pub fn submit(&mut self, command: Command) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending.push_back(PendingRequest { sequence, command });
        Some(sequence)
    }

    /// Releases a lease: it is not relied on from now on.
    pub fn release(&mut self, lease: &str) -> Option<u64> {
        let held = self.leases.remove(lease)?;
        self.submit(Command::ReleaseLease {
            lease: lease.to_string(),
            epoch: held.epoch,
        })
    }

    /// The epoch that this run acts under; `None` before it has one, and once it is fenced off.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// How many requests have no response.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// A lease, where it is still held. It is to be checked right before acting: a process that is stalled between the two
    /// acts late, which only the epoch that is sent with the act can reveal.
    pub fn held_lease(&self, lease: &str, now: Time) -> Option<HeldLease> {
        let held = *self.leases.get(lease)?;
        let is_valid = now < held.expires_at && self.epoch == Some(held.epoch);
        is_valid.then_some(held)
    }

    /// When [`Client::next_message`] is wanted.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        self.pending.front()?;
        Some(self.in_flight.map_or(now, |request| request.retry_at))
    }

    /// The message to send now, if any.
    pub fn next_message(&mut self, now: Time) -> Option<OutgoingMessage> {
        let PendingRequest { sequence, command } = self.pending.front().cloned()?;
        let retry_at = now + self.retry_interval;
        let first_sent = match self.in_flight {
            Some(request) if now < request.retry_at => return None,
            Some(request) => {
                // No response: another voter may know the leader.
                self.target = (self.target + 1) % self.voters.len().max(1);
                request.first_sent
            }
            None => now,
        };
        self.in_flight = Some(InFlight {
            first_sent,
            retry_at,
        });
        let voter = *self.voters.get(self.target)?;
        let request = Request {
            client: self.name.clone(),
            boot_id: self.boot_id,
            sequence,
            command,
        };
        Some(OutgoingMessage {
            voter,
            message: WireMessage::Request(request),
        })
    }

    /// Handles a message of a voter.
    pub fn handle_message(&mut self, now: Time, message: WireMessage) -> Option<Notification> {
        match message {
            WireMessage::Response {
                client,
                boot_id,
                sequence,
                response,
            } if client == self.name && boot_id == self.boot_id => {
                self.on_response(now, sequence, response)
            }
            WireMessage::NotLeader {
                client,
                sequence,
                leader,
            } if client == self.name => {
                self.on_not_leader(now, sequence, leader);
                None
            }
            _ => None,
        }
    }

    /// Sends the request to the leader next, without waiting for the retry.
    fn on_not_leader(&mut self, now: Time, sequence: u64, leader: Option<u64>) {
        if self.pending.front().map(|request| request.sequence) != Some(sequence) {
            return;
        }
        let index = leader.and_then(|id| self.voters.iter().position(|voter| *voter == id));
        if let Some(index) = index
            && let Some(request) = &mut self.in_flight
        {
            // A retry goes to the next voter, so the target is set to the one before the leader.
            self.target = (index + self.voters.len() - 1) % self.voters.len();
            request.retry_at = now;
        }
    }

    fn on_response(
        &mut self,
        now: Time,
        sequence: u64,
        response: Response,
    ) -> Option<Notification> {
        if self.pending.front()?.sequence != sequence {
            return None;
        }
        let request = self.pending.pop_front()?;
        let in_flight = self.in_flight.take();
        let first_sent = in_flight.map_or(now, |request| request.first_sent);
        match (request.command, &response) {
            (Command::NewEpoch, Response::Epoch(epoch)) => self.epoch = Some(*epoch),
            (
                Command::AcquireLease {
                    lease,
                    epoch,
                    duration,
                },
                Response::Granted,
            ) => self.record_lease(lease, epoch, first_sent, duration),
            (Command::ReleaseLease { lease, .. }, _) => {
                self.leases.remove(&lease);
            }
            (Command::AcquireLease { epoch, .. }, Response::Fenced { .. })
                if self.epoch == Some(epoch) =>
            {
                self.epoch = None;
                self.leases.clear();
                return Some(Notification::Fenced);
            }
            _ => {}
        }
        Some(Notification::Response { sequence, response })
    }

    /// A lease counts from when it was first requested, because the log applied the request then at the earliest.
    fn record_lease(&mut self, lease: String, epoch: u64, first_sent: Time, duration: Time) {
        // A lease that is about to be released is not relied on: the log may grant it to another before this run hears of
        // the release.
        if self.is_release_pending(&lease) {
            return;
        }
        let expires_at = first_sent + duration - duration / DRIFT_DIVISOR;
        self.leases.insert(lease, HeldLease { epoch, expires_at });
    }

    fn is_release_pending(&self, name: &str) -> bool {
        self.pending.iter().any(|request| {
            matches!(&request.command, Command::ReleaseLease { lease, .. } if lease == name)
        })
    }
}
