//! The state machine of one queue at one broker.
//!
//! This module has its life: transport, timers and shutdown. What the broker sends is handled in `events`, the limit on
//! deliveries in `delivery_limit`, answers and acknowledgements in `commit`.

mod commit;
mod delivery_limit;
mod events;
mod notice;
mod settings;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{Code, Endpoint, Fault, Method, ShortStr};
use pipithub_engine::{Reply, Ticket, Time};

use self::commit::{Answer, PendingAnswer};
use self::delivery_limit::{AppliedLimit, MIN_QOS_INTERVAL};
pub use self::notice::{Notice, Phase};
pub use self::settings::{ConsumerSettings, DeadLetterTarget, Qos};
use crate::backoff::{Backoff, BackoffRange};
use crate::identity::Identity;
use crate::latest_wall::LatestWall;
use crate::message::ReplyAddress;

const MS: Time = 1_000_000;
/// A connection that has been up for so long was healthy: the next failure is the first again.
const HEALTHY_AFTER: Time = 10_000 * MS;

/// A delivery that is not settled.
#[derive(Debug)]
struct InFlight {
    tag: u64,
    address: ReplyAddress,
}

/// One queue at one broker.
#[derive(Debug)]
pub struct Consumer {
    settings: ConsumerSettings,
    endpoint: Option<Endpoint>,
    phase: Phase,
    backoff: Backoff,
    /// The consumer tag at the broker, and how many there were.
    tag: ShortStr,
    tag_count: u64,
    next_ticket: u64,
    in_flight: BTreeMap<u64, InFlight>,
    pending: VecDeque<PendingAnswer>,
    /// Tickets of the transaction that is under way.
    committing: Vec<u64>,
    /// The broker takes no publishes for now.
    blocked: bool,
    /// How many more deliveries the engine can take.
    capacity: usize,
    applied_limit: AppliedLimit,
    shutting_down: bool,
    /// The exchange for dead letters is not there: a message that cannot be read must not end the channel again and
    /// again, so it is rejected instead.
    no_dead_letters: bool,
    notices: VecDeque<Notice>,
    identity: Identity,
    wall_ms: u64,
    latest_wall: LatestWall,
    latest_wall_ms: u64,
    now: Time,
}

impl Consumer {
    /// A consumer that wants a transport at once.
    pub fn new(settings: ConsumerSettings, now: Time, seed: u64) -> Self {
        let BackoffRange { initial, max } = settings.reconnect_backoff;
        Consumer {
            backoff: Backoff::new(initial, max, HEALTHY_AFTER, seed),
            tag: ShortStr::truncated(&settings.front_end),
            capacity: usize::from(settings.prefetch),
            identity: Identity::new(settings.identity.clone()),
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
            no_dead_letters: false,
            notices: VecDeque::new(),
            wall_ms: 0,
            latest_wall: LatestWall::default(),
            latest_wall_ms: 0,
            now,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Deliveries that are not settled.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The next notice.
    pub fn poll(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// A transport is up.
    pub fn connected(&mut self, now: Time) {
        if matches!(self.phase, Phase::Idle(_)) {
            self.now = now;
            let endpoint = Endpoint::client(self.settings.login.clone(), self.settings.tuning, now)
                .named(&self.settings.front_end);
            self.endpoint = Some(endpoint);
            self.phase = Phase::Connecting;
        }
    }

    /// No transport could be had, or the one there was is gone.
    pub fn transport_lost(&mut self, now: Time, reason: &str) {
        self.now = now;
        match self.phase {
            Phase::Idle(_) => self.phase = Phase::Idle(now + self.backoff.down(now)),
            Phase::Stopped => {}
            _ => {
                self.endpoint = None;
                self.lose_tickets(reason);
            }
        }
    }

    /// Tickets are void: what they stand for will be delivered again, unless its transaction had been done. A transport is
    /// wanted after a while.
    fn lose_tickets(&mut self, reason: &str) {
        self.in_flight.clear();
        self.pending.clear();
        self.committing.clear();
        self.blocked = false;
        self.notices.push_back(Notice::Lost(reason.to_string()));
        self.phase = if self.shutting_down {
            Phase::Stopped
        } else {
            Phase::Idle(self.now + self.backoff.down(self.now))
        };
    }

    /// Takes bytes as they came; `wall_ms` is the Unix time that `now` stands for.
    pub fn receive(&mut self, now: Time, wall_ms: u64, bytes: &[u8]) {
        (self.now, self.wall_ms) = (now, wall_ms);
        self.latest_wall_ms = self.latest_wall.observe(now, wall_ms);
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.receive(now, bytes);
        }
        self.handle_events();
    }

    /// When [`Consumer::on_time`] is due; while idle, when a transport is wanted.
    pub fn next_timeout(&self) -> Option<Time> {
        let own = match self.phase {
            Phase::Paused(_, until) => until,
            Phase::Consuming(_) if self.delivery_limit() != self.applied_limit.count => {
                Some(self.applied_limit.at + MIN_QOS_INTERVAL)
            }
            _ => None,
        };
        let connection = self.endpoint.as_ref().and_then(Endpoint::next_timeout);
        [own, connection].into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn on_time(&mut self, now: Time) {
        self.now = now;
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.on_time(now);
        }
        self.handle_events();
        if let Phase::Paused(channel, Some(until)) = self.phase
            && now >= until
        {
            self.phase = Phase::Paused(channel, None);
        }
        self.apply_capacity();
    }

    /// Takes the bytes to write.
    pub fn take_output(&mut self, now: Time) -> Bytes {
        let output = self
            .endpoint
            .as_mut()
            .map(|endpoint| endpoint.take_output(now))
            .unwrap_or_default();
        // A transaction that waited for the output to be written may begin.
        self.begin_commit();
        output
    }

    /// Whether the transport may be closed.
    pub fn is_over(&self) -> bool {
        self.endpoint.as_ref().is_none_or(Endpoint::is_closed)
    }

    /// How many more deliveries the engine can take.
    pub fn set_capacity(&mut self, now: Time, capacity: usize) {
        (self.now, self.capacity) = (now, capacity);
        self.apply_capacity();
    }

    /// Gives a trigger its final answer. Void tickets are passed over.
    pub fn answer(&mut self, now: Time, ticket: Ticket, reply: Arc<Reply>) {
        self.now = now;
        self.enqueue_answer(ticket.number, Answer::Reply(reply));
    }

    /// Settles a trigger without an answer.
    pub fn acknowledge(&mut self, now: Time, ticket: Ticket) {
        self.now = now;
        self.enqueue_answer(ticket.number, Answer::Nothing);
    }

    /// Takes no more deliveries; once all are settled the connection is closed.
    pub fn shutdown(&mut self, now: Time) {
        self.now = now;
        self.shutting_down = true;
        match self.phase {
            Phase::Idle(_) => self.phase = Phase::Stopped,
            Phase::Consuming(channel) => self.pause(channel, None),
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
            Phase::Setup(channel) | Phase::Consuming(channel) | Phase::Paused(channel, _) => {
                Some(channel)
            }
            _ => None,
        }
    }

    fn send(&mut self, method: Method) {
        let (Some(channel), Some(endpoint)) = (self.channel(), &mut self.endpoint) else {
            return;
        };
        if let Err(error) = endpoint.send(channel, method) {
            endpoint.close(Fault::new(Code::InternalError, error.to_string()));
        }
    }
}
