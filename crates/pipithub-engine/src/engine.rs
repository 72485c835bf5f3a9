//! The engine: the front end of the decision module, the pending requests, and the one final answer of each.

mod actions;
mod admission;
mod answers;
mod attempts;
mod cancellation;
mod shutdown;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Class, Event, RequestId, Time, WorkerId};

use crate::call::{AttemptId, Ticket};
use crate::decide::Decide;
use crate::function_names::FunctionNames;
use crate::input::Input;
use crate::output::Output;
use crate::pending::PendingRequests;
use crate::ready_workers::ReadyWorkers;
use crate::redelivery::DeliveryHistory;
use crate::reply::FinalAnswer;
use crate::settings::EngineSettings;
use crate::stats::Stats;
use crate::timers::Timers;

/// One front end.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    decider: Box<dyn Decide>,
    timers: Timers,
    pending: PendingRequests,
    /// Attempts that have no result yet. They outlive their request, for the decision module must hear of every end.
    attempts_in_flight: BTreeMap<AttemptId, WorkerId>,
    history: DeliveryHistory,
    function_names: FunctionNames,
    ready_workers: ReadyWorkers,
    draining: bool,
    stats: Stats,
    /// Events that the decision module has not seen yet.
    events: VecDeque<Event>,
    /// Empty between decisions; kept so that its memory is used again.
    actions: Vec<Action>,
}

impl Engine {
    /// An engine that knows nothing but its settings; the seed is its only source of chance.
    pub fn new(settings: EngineSettings, seed: u64) -> Self {
        let module = FrontEnd::new(settings.policy.clone(), seed);
        Self::deciding_by(Box::new(module), settings)
    }

    /// An engine whose decisions are made by something other than the decision module, for comparison only.
    pub fn deciding_by(decider: Box<dyn Decide>, mut settings: EngineSettings) -> Self {
        if settings.policy.classes.is_empty() {
            settings.policy.classes.push(Class::default());
        }
        Engine {
            decider,
            timers: Timers::default(),
            pending: PendingRequests::new(),
            attempts_in_flight: BTreeMap::new(),
            history: DeliveryHistory::new(settings.remembered_messages, settings.remember_for),
            function_names: FunctionNames::new(settings.max_function_names),
            ready_workers: ReadyWorkers::default(),
            draining: false,
            stats: Stats::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// How many more triggers may be handed in now; sources that can be held back should be. There is no capacity before
    /// the first endpoint list: a front end that knows no worker yet would reject what another could serve.
    pub fn capacity(&self) -> usize {
        let no_list = !self.ready_workers.list_received();
        let no_memory = self.pending.body_bytes() >= self.settings.max_body_bytes;
        if no_list || self.draining || no_memory {
            return 0;
        }
        self.settings.max_pending.saturating_sub(self.pending.len())
    }

    /// Requests that are not settled.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Attempts that have no result yet.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight.len()
    }

    /// Bytes of all bodies in memory, of calls and of answers.
    pub fn body_bytes(&self) -> usize {
        self.pending.body_bytes()
    }

    /// Workers that may receive calls, by the latest endpoint list.
    pub fn ready_workers(&self) -> usize {
        self.ready_workers.len()
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// The request that a ticket stands for, as long as it is not settled.
    pub fn request(&self, ticket: Ticket) -> Option<RequestId> {
        self.pending.of_ticket(ticket)
    }

    /// Whether a message of this identity is pending here or was settled here lately: that decides what comes of it.
    pub fn knows(&self, identity: &Arc<str>, now: Time) -> bool {
        self.history.decide(identity, now).is_some()
    }

    /// Takes one input and appends what to do about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.run_due_timers(now, out);
        match input {
            Input::Tick => {}
            Input::Trigger(trigger) => self.receive(now, trigger, None, out),
            Input::Reject {
                trigger,
                cause,
                retry_after,
            } => {
                let rejection = FinalAnswer::rejected_with_retry_after(cause, retry_after);
                self.receive(now, trigger, Some(rejection), out);
            }
            Input::UserMigrated {
                user,
                now: successor,
            } => {
                self.user_migrated(now, &user, successor, out);
            }
            Input::SourceLost(source) => self.source_lost(now, source, out),
            Input::Settled(ticket) => self.settled(now, ticket),
            Input::CallerCancelled(ticket) => self.caller_cancelled(now, ticket, out),
            Input::AttemptFinished(result) => self.attempt_finished(now, result, out),
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

    fn run_due_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(token) = self.timers.take_due(now) {
            self.decide(now, Event::Timer { token }, out);
        }
    }
}
