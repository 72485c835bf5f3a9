//! The state machine that consumes one queue at one broker.
//!
//! This module handles the transport, timers and shutdown. `events` handles what the broker sends, `delivery_limit`
//! sets the limit on deliveries in flight, `commit` publishes answers and acknowledges their messages, and `dead_letters`
//! publishes copies of messages that cannot be read. `queue_check` finds out whether a queue exists before it is consumed
//! again, and `body_trials` whether the broker takes an answer.

mod body_trials;
mod commit;
mod dead_letters;
mod delivery_limit;
mod events;
mod notice;
mod queue_check;
mod settings;
mod side_channel;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{Code, Endpoint, Fault, Method, ShortStr};
use pipithub_engine::{Reply, Ticket, Time};

use self::body_trials::BodyTrials;
use self::commit::PendingAnswer;
pub use self::dead_letters::DeadLetterFailure;
use self::dead_letters::DeadLetters;
use self::delivery_limit::{AppliedLimit, MIN_QOS_INTERVAL};
pub use self::notice::{Notice, Phase};
use self::queue_check::QueueCheck;
pub use self::settings::{ConsumerSettings, DeadLetterTarget, Qos};
use crate::backoff::{Backoff, BackoffRange};
use crate::identity::IdentityVerifier;
use crate::latest_wall::LatestWallTime;
use crate::message::ReplyAddress;

const MS: Time = 1_000_000;
/// A connection that stays up for this long resets the backoff.
const HEALTHY_AFTER: Time = 10_000 * MS;

/// A delivery that is not settled yet.
#[derive(Debug)]
struct InFlight {
    tag: u64,
    address: ReplyAddress,
}

/// A consumer of one queue at one broker.
#[derive(Debug)]
pub struct Consumer {
    settings: ConsumerSettings,
    endpoint: Option<Endpoint>,
    phase: Phase,
    backoff: Backoff,
    /// The current consumer tag at the broker.
    tag: ShortStr,
    /// The number of consumer tags used so far.
    tag_count: u64,
    next_ticket: u64,
    in_flight: BTreeMap<u64, InFlight>,
    pending: VecDeque<PendingAnswer>,
    /// The tickets in the transaction that is being committed.
    committing: Vec<u64>,
    /// Whether the broker has blocked publishing.
    blocked: bool,
    /// The number of further deliveries that the engine can take.
    capacity: usize,
    applied_limit: AppliedLimit,
    shutting_down: bool,
    dead_letters: DeadLetters,
    queue_check: QueueCheck,
    body_trials: BodyTrials,
    /// The number of unreadable messages since the start of which there is no dead letter.
    failed_dead_letters: u64,
    notices: VecDeque<Notice>,
    identity_verifier: IdentityVerifier,
    wall_ms: u64,
    latest_wall: LatestWallTime,
    latest_wall_ms: u64,
    now: Time,
}

impl Consumer {
    /// Creates a consumer that requests a transport at once. The seed determines the jitter of its backoff.
    pub fn new(settings: ConsumerSettings, now: Time, seed: u64) -> Self {
        let BackoffRange { initial, max } = settings.reconnect_backoff;
        Consumer {
            backoff: Backoff::new(initial, max, HEALTHY_AFTER, seed),
            tag: ShortStr::truncated(&settings.front_end),
            capacity: usize::from(settings.prefetch),
            identity_verifier: IdentityVerifier::new(settings.identity.clone()),
            settings,
            endpoint: None,
            phase: Phase::Idle(now),
            tag_count: 0,
            next_ticket: 1,
            in_flight: BTreeMap::new(),
            pending: VecDeque::new(),
            committing: Vec::new(),
            blocked: false,
            applied_limit: AppliedLimit::default(),
            shutting_down: false,
            dead_letters: DeadLetters::default(),
            queue_check: QueueCheck::default(),
            body_trials: BodyTrials::default(),
            failed_dead_letters: 0,
            notices: VecDeque::new(),
            wall_ms: 0,
            latest_wall: LatestWallTime::default(),
            latest_wall_ms: 0,
            now,
        }
    }

    /// The step that the consumer has reached.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The number of deliveries that are not settled.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Takes the next notice; `None` if there is none.
    pub fn poll(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// Handles the opening of a transport, which is ignored if the consumer has one already or is stopped.
    pub fn connected(&mut self, now: Time) {
        if matches!(self.phase, Phase::Idle(_)) {
            self.now = now;
            let endpoint = Endpoint::client(self.settings.login.clone(), self.settings.tuning, now)
                .named(&self.settings.front_end);
            self.endpoint = Some(endpoint);
            self.phase = Phase::Connecting;
        }
    }

    /// Handles the failure to open a transport, or the loss of the open one, for `reason`.
    pub fn transport_lost(&mut self, now: Time, reason: &str) {
        self.now = now;
        match self.phase {
            Phase::Idle(_) => self.phase = Phase::Idle(now + self.backoff.delay_after_failure(now)),
            Phase::Stopped => {}
            _ => {
                self.endpoint = None;
                self.invalidate_tickets(reason);
            }
        }
    }

    /// Invalidates all tickets. The broker delivers their messages again, unless their transaction was committed. A
    /// consumer that is not shutting down requests another transport after the backoff.
    fn invalidate_tickets(&mut self, reason: &str) {
        let source = self.settings.source;
        let unconfirmed = self
            .committing
            .drain(..)
            .map(|number| Ticket { source, number });
        self.notices
            .extend(unconfirmed.map(Notice::AnswerUnconfirmed));
        self.in_flight.clear();
        self.pending.clear();
        self.dead_letters = DeadLetters::default();
        self.queue_check = QueueCheck::default();
        self.body_trials = BodyTrials::default();
        self.blocked = false;
        self.notices.push_back(Notice::Lost(reason.to_string()));
        self.phase = if self.shutting_down {
            Phase::Stopped
        } else {
            Phase::Idle(self.now + self.backoff.delay_after_failure(self.now))
        };
    }

    /// Handles bytes from the transport. `wall_ms` is the wall time at `now`, in Unix milliseconds.
    pub fn receive(&mut self, now: Time, wall_ms: u64, bytes: &[u8]) {
        (self.now, self.wall_ms) = (now, wall_ms);
        self.latest_wall_ms = self.latest_wall.observe(now, wall_ms);
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.receive(now, bytes);
        }
        self.handle_events();
    }

    /// When [`Consumer::on_time`] is due next; `None` if no timer is set.
    pub fn next_timeout(&self) -> Option<Time> {
        let own = match self.phase {
            Phase::Paused { resume_at, .. } => resume_at,
            Phase::Consuming { .. } if self.delivery_limit() != self.applied_limit.count => {
                Some(self.applied_limit.at + MIN_QOS_INTERVAL)
            }
            _ => None,
        };
        let connection = self.endpoint.as_ref().and_then(Endpoint::next_timeout);
        [own, connection].into_iter().flatten().min()
    }

    /// Handles the timers that are due.
    pub fn on_time(&mut self, now: Time) {
        self.now = now;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.handle_timeout(now);
        }
        self.handle_events();
        if let Phase::Paused { resume_at, .. } = &mut self.phase {
            *resume_at = resume_at.filter(|at| now < *at);
        }
        self.apply_capacity();
    }

    /// Takes the bytes to write to the transport.
    pub fn take_output(&mut self, now: Time) -> Bytes {
        let output = self
            .endpoint
            .as_mut()
            .map(|endpoint| endpoint.take_output(now))
            .unwrap_or_default();
        // A transaction that waited for the output to be written may begin.
        self.begin_commit();
        self.begin_dead_letter();
        self.begin_body_trial();
        output
    }

    /// Whether the AMQP connection is closed or there is none, so that the transport may be closed too.
    pub fn is_connection_closed(&self) -> bool {
        self.endpoint.as_ref().is_none_or(Endpoint::is_closed)
    }

    /// Sets the number of further deliveries that the engine can take.
    pub fn set_capacity(&mut self, now: Time, capacity: usize) {
        (self.now, self.capacity) = (now, capacity);
        self.apply_capacity();
    }

    /// Publishes the final answer to a trigger and settles its message. An invalid ticket is ignored.
    pub fn answer(&mut self, now: Time, ticket: Ticket, reply: Arc<Reply>) {
        self.now = now;
        self.publish_reply(ticket.number, reply);
    }

    /// Begins a graceful shutdown: no more deliveries are taken, and the connection is closed once all are settled.
    pub fn shutdown(&mut self, now: Time) {
        self.now = now;
        self.shutting_down = true;
        match self.phase {
            Phase::Idle(_) => self.phase = Phase::Stopped,
            Phase::Consuming { channel } => self.pause(channel, None),
            _ => {}
        }
        self.finish_shutdown();
    }

    fn finish_shutdown(&mut self) {
        if self.shutting_down && self.in_flight.is_empty() && self.phase != Phase::Stopped {
            if let Some(endpoint) = &mut self.endpoint {
                endpoint.close(Fault::new(Code::Success, "done"));
            }
            self.phase = Phase::Stopped;
        }
    }

    fn channel(&self) -> Option<u16> {
        match self.phase {
            Phase::SettingUp { channel }
            | Phase::Consuming { channel }
            | Phase::Paused { channel, .. } => Some(channel),
            _ => None,
        }
    }

    /// Sends a method on the consumer's channel, if it is open.
    fn send(&mut self, method: Method) {
        if let Some(channel) = self.channel() {
            self.send_on(channel, method);
        }
    }

    fn send_on(&mut self, channel: u16, method: Method) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if let Err(error) = endpoint.send(channel, method) {
            endpoint.close(Fault::new(Code::InternalError, error.to_string()));
        }
    }
}
