//! The client of a front end: it retries requests until they have a response, and tracks leases by the local clock.

use std::collections::{BTreeMap, VecDeque};

use crate::Time;
use crate::command::{Command, Request, Response};
use crate::message::WireMessage;

/// Largest number of requests without a response; further ones are rejected.
const MAX_PENDING: usize = 1_024;
/// The holder relies on a lease for its duration less this fraction (one 64th), because the clocks of two machines may
/// differ in rate. They differ by far less than that.
const DRIFT_DIVISOR: u64 = 64;

/// A lease that this front end holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Epoch under which it was granted.
    pub epoch: u64,
    /// When it expires, by the holder's clock.
    pub expires_at: Time,
}

/// A message to one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Id of the voter.
    pub voter: u64,
    /// Content of the message.
    pub message: WireMessage,
}

/// What a client reports to its front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A request has been answered.
    Response {
        /// Sequence number of the request.
        sequence: u64,
        /// Result of its command.
        response: Response,
    },
    /// A later run of this name has taken an epoch: this run holds no leases any more and must stop acting at once.
    Fenced,
}

/// A request without a response.
#[derive(Clone, Debug)]
struct PendingRequest {
    sequence: u64,
    command: Command,
}

/// Retry state of the oldest pending request, once it was sent.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    first_sent: Time,
    retry_at: Time,
}

/// The client of one front end. Requests are sent one at a time, in order, so that the consensus group can recognise
/// retries.
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
    /// Creates the client of one run of the front end `name`. `boot_id` is the id of the run, `voters` are the ids of
    /// the consensus group's voters. A request without a response is sent to the next voter after `retry_interval`
    /// nanoseconds.
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

    /// Queues a command and returns its sequence number; `None` if too many requests are pending.
    pub fn submit(&mut self, command: Command) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.pending.push_back(PendingRequest { sequence, command });
        Some(sequence)
    }

    /// Releases a lease, which from now on does not count as held. Returns the sequence number of the request; `None`
    /// if the lease is not held, or too many requests are pending, in which case the lease expires by itself.
    pub fn release(&mut self, lease: &str) -> Option<u64> {
        let held = self.leases.remove(lease)?;
        self.submit(Command::ReleaseLease {
            lease: lease.to_string(),
            epoch: held.epoch,
        })
    }

    /// The epoch of this run; `None` before it has one and after [`Notification::Fenced`].
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Number of requests without a response.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// The lease of this name, if it is held at `now`. Callers must check it immediately before an action that needs
    /// it, and send its epoch with the action: a process that is stalled between the check and the action acts too
    /// late, which the receiver can only recognise by the epoch.
    pub fn held_lease(&self, lease: &str, now: Time) -> Option<HeldLease> {
        let held = *self.leases.get(lease)?;
        let is_valid = now < held.expires_at && self.epoch == Some(held.epoch);
        is_valid.then_some(held)
    }

    /// When [`Client::next_message`] is to be called next; `None` if no request is pending.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        self.pending.front()?;
        Some(self.in_flight.map_or(now, |request| request.retry_at))
    }

    /// The message to send at `now`, if one is due.
    pub fn next_message(&mut self, now: Time) -> Option<OutgoingMessage> {
        let PendingRequest { sequence, command } = self.pending.front().cloned()?;
        let retry_at = now + self.retry_interval;
        let first_sent = match self.in_flight {
            Some(request) if now < request.retry_at => return None,
            Some(request) => {
                // The voter did not answer; another voter may be the leader or know the leader.
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

    /// Handles a message of a voter. Messages to other clients and responses to other runs are ignored.
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

    /// If the voter knows the leader, makes the next attempt due at once and sends it there. Otherwise the next attempt
    /// waits for the retry interval.
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

    /// Records a granted lease. Its duration starts when the request was first sent, the earliest time at which the log
    /// can have applied it.
    fn record_lease(&mut self, lease: String, epoch: u64, first_sent: Time, duration: Time) {
        // If a release of this lease is pending, the log may grant the lease to another front end before this run has
        // the response to the release.
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
