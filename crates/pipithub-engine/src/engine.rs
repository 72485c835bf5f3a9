//! The engine: the module's front end, the open requests, and the one final answer of each.

mod actions;
mod admission;
mod answers;
mod attempts;
mod cancellation;
mod shutdown;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use pipithub_policy::api::{Action, Event, Outcome, RequestId, Time, WorkerId};
use pipithub_policy::decide::FrontEnd;

use crate::call::{AttemptId, Call, Ticket};
use crate::decide::Decide;
use crate::function_names::FunctionNames;
use crate::input::Input;
use crate::output::Output;
use crate::ready_workers::ReadyWorkers;
use crate::redelivery::DeliveryHistory;
use crate::reply::Reply;
use crate::settings::EngineSettings;
use crate::stats::Stats;
use crate::timers::Timers;

/// A request that is not settled.
#[derive(Debug)]
struct PendingRequest {
    /// `None`: its source is gone; the answer waits for the message to come again.
    ticket: Option<Ticket>,
    identity: Option<Arc<str>>,
    call: Arc<Call>,
    deadline: Time,
    attempts: u32,
    last_attempt: Option<(Outcome, WorkerId)>,
    /// The final answer, not yet known to be safe.
    reply: Option<Arc<Reply>>,
    /// Bytes that it is charged with.
    bytes: usize,
}

/// One front end.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    decider: Box<dyn Decide>,
    timers: Timers,
    pending: BTreeMap<RequestId, PendingRequest>,
    tickets: BTreeMap<Ticket, RequestId>,
    /// Attempts that have no outcome yet; they outlive their request, for the module must hear of every end.
    attempts_in_flight: BTreeMap<AttemptId, WorkerId>,
    history: DeliveryHistory,
    function_names: FunctionNames,
    next_request: RequestId,
    bytes: usize,
    draining: bool,
    ready_workers: ReadyWorkers,
    stats: Stats,
    actions: Vec<Action>,
    events: VecDeque<Event>,
}

impl Engine {
    /// An engine that knows nothing but its settings; the seed is its only chance.
    pub fn new(settings: EngineSettings, seed: u64) -> Self {
        let module = FrontEnd::new(settings.policy.clone(), seed);
        Self::deciding_by(Box::new(module), settings)
    }

    /// An engine whose decisions are made by something else than the module: for comparison alone.
    pub fn deciding_by(decider: Box<dyn Decide>, settings: EngineSettings) -> Self {
        let mut policy = settings.policy.clone();
        if policy.classes.is_empty() {
            policy.classes.push(Default::default());
        }
        let settings = EngineSettings { policy, ..settings };
        Engine {
            decider,
            function_names: FunctionNames::new(settings.max_function_names),
            history: DeliveryHistory::new(settings.remembered_messages, settings.remember_for),
            settings,
            timers: Timers::default(),
            pending: BTreeMap::new(),
            tickets: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            next_request: 1,
            bytes: 0,
            draining: false,
            ready_workers: ReadyWorkers::default(),
            stats: Stats::default(),
            actions: Vec::new(),
            events: VecDeque::new(),
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// How many more triggers may be handed in now. Sources that can be held back should be. Before the first list there
    /// is no room: a front end that knows no worker yet would refuse what another could serve.
    pub fn capacity(&self) -> usize {
        if !self.ready_workers.list_received()
            || self.draining
            || self.bytes >= self.settings.max_body_bytes
        {
            return 0;
        }
        self.settings.max_pending.saturating_sub(self.pending.len())
    }

    /// Requests that are not settled.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Attempts that have no outcome yet.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight.len()
    }

    /// Bytes of bodies held.
    pub fn body_bytes(&self) -> usize {
        self.bytes
    }

    /// Workers that may be sent work, as last told.
    pub fn ready_workers(&self) -> usize {
        self.ready_workers.len()
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Takes one input and appends what to do about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        while let Some(token) = self.timers.take_due(now) {
            self.decide(now, Event::Timer { token }, out);
        }
        match input {
            Input::Tick => {}
            Input::Trigger(trigger) => self.receive(now, trigger, None, out),
            Input::Reject {
                trigger,
                cause,
                retry_after,
            } => {
                self.receive(now, trigger, Some((cause, retry_after)), out);
            }
            Input::UserMigrated { user, now: side } => self.user_migrated(now, &user, side, out),
            Input::SourceLost(source) => self.source_lost(now, source, out),
            Input::Settled(ticket) => self.settled(now, ticket),
            Input::CallerCancelled(ticket) => {
                if let Some(request) = self.tickets.get(&ticket).copied() {
                    self.abandon(now, request, out);
                }
            }
            Input::AttemptFinished(end) => self.attempt_finished(now, end, out),
            Input::LoadPolled(result) => self.decide(now, result.into(), out),
            Input::LoadCommandFinished(result) => self.decide(now, result.into(), out),
            Input::Endpoints { update, endpoints } => {
                self.ready_workers.apply(update, &endpoints);
                self.decide(now, Event::Endpoints { update, endpoints }, out);
            }
            Input::Drain => self.draining = true,
            Input::AnswerAll => self.answer_all(now, out),
        }
    }

    /// The request that a ticket stands for, as long as it is not settled.
    pub fn request(&self, ticket: Ticket) -> Option<RequestId> {
        self.tickets.get(&ticket).copied()
    }

    /// Whether a message of this name is open here or was settled here lately: what comes of it is decided by that.
    pub fn knows(&self, identity: &Arc<str>, now: Time) -> bool {
        self.history.decide(identity, now).is_some()
    }
}
