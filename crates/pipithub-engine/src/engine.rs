//! The engine, which connects the decision module to the pending requests and gives each request one final answer.
//!
//! Each part of the state has an owner: [`PendingRequests`] holds the requests,
//! [`DecisionQueue`] the decision module and the events that it has not handled yet, [`Timers`] the timers that are
//! set, and [`OutputQueue`] the outputs and the counters. The `impl` blocks of [`Engine`] hold only the steps that need
//! several of these owners.

mod actions;
mod admission;
mod arrivals;
mod attempts;
mod cancellation;
mod decision_queue;
mod output_queue;

use std::collections::BTreeMap;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Class, Event, RequestId, Time, WorkerId};

use crate::call::{AttemptId, Ticket, Trigger};
use crate::decide::Decide;
use crate::function_names::FunctionNames;
use crate::input::Input;
use crate::output::Output;
use crate::pending::PendingRequests;
use crate::ready_workers::ReadyWorkers;
use crate::reply::FinalAnswer;
use crate::settings::EngineSettings;
use crate::stats::Stats;
use crate::timers::Timers;
use decision_queue::DecisionQueue;
use output_queue::OutputQueue;

/// A front end without I/O: it handles [`Input`]s and returns [`Output`]s.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    decisions: DecisionQueue,
    timers: Timers,
    pending: PendingRequests,
    /// Attempts that have no result yet, with their workers. They may outlive their request, because the decision
    /// module must be told how every attempt ended.
    attempts_in_flight: BTreeMap<AttemptId, WorkerId>,
    function_names: FunctionNames,
    ready_workers: ReadyWorkers,
    draining: bool,
    outputs: OutputQueue,
}

impl Engine {
    /// Creates an engine that knows no workers yet. The seed is its only source of randomness: engines with equal
    /// settings and seeds give equal outputs for equal inputs.
    pub fn new(settings: EngineSettings, seed: u64) -> Self {
        let module = FrontEnd::new(settings.policy.clone(), seed);
        Self::with_decider(Box::new(module), settings)
    }

    /// Creates an engine whose decisions are made by `decider` instead of the decision module, to compare policies.
    pub fn with_decider(decider: Box<dyn Decide>, mut settings: EngineSettings) -> Self {
        if settings.policy.classes.is_empty() {
            settings.policy.classes.push(Class::default());
        }
        Engine {
            decisions: DecisionQueue::new(decider),
            timers: Timers::default(),
            pending: PendingRequests::new(),
            attempts_in_flight: BTreeMap::new(),
            function_names: FunctionNames::new(settings.max_function_names),
            ready_workers: ReadyWorkers::default(),
            draining: false,
            outputs: OutputQueue::default(),
            settings,
        }
    }

    /// The time at which the next [`Input::Tick`] is due; `None` if no timer is set.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// The number of further triggers that the engine can accept now. A source that can hold back triggers should not
    /// hand in more. The capacity is 0 before the first endpoint list, because a front end that knows no workers would
    /// reject calls that another front end could serve; while the engine drains; and while the bodies in memory have
    /// reached their maximum size.
    pub fn capacity(&self) -> usize {
        let no_list = !self.ready_workers.list_received();
        let no_memory = self.pending.body_bytes() >= self.settings.max_body_bytes;
        if no_list || self.draining || no_memory {
            return 0;
        }
        self.settings.max_pending.saturating_sub(self.pending.len())
    }

    /// The number of requests that are not settled.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// The number of attempts that have no result yet.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight.len()
    }

    /// The size of all bodies in memory, of calls and of answers, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.pending.body_bytes()
    }

    /// The number of workers that may receive calls, according to the latest endpoint list.
    pub fn ready_workers(&self) -> usize {
        self.ready_workers.len()
    }

    /// The counters of what the engine has done since its start.
    pub fn stats(&self) -> Stats {
        self.outputs.stats()
    }

    /// The time by which work for a worker must have been written to its connection; work that still waits for a
    /// connection at that time must not be sent. [`Time::MAX`] if there is no limit.
    pub fn lease_end(&self, worker: &WorkerId) -> Time {
        self.decisions.lease_end(worker)
    }

    /// The request that a ticket belongs to; `None` once the request is settled or the ticket is void.
    pub fn request(&self, ticket: Ticket) -> Option<RequestId> {
        self.pending.of_ticket(ticket)
    }

    /// Whether a trigger joins a pending request of its message, whose earlier delivery was lost here.
    pub fn joins_pending_request(&self, trigger: &Trigger) -> bool {
        self.request_to_join(trigger).is_some()
    }

    fn request_to_join(&self, trigger: &Trigger) -> Option<RequestId> {
        let message = trigger.message().filter(|_| trigger.redelivered)?;
        self.pending.awaiting_redelivery(message)
    }

    /// Handles one input and appends the resulting outputs to `out`. Timers that are due are handled first.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.outputs.attach_buffer(out);
        self.run_due_timers(now);
        self.handle_input(now, input);
        self.outputs.detach_buffer(out);
    }

    fn run_due_timers(&mut self, now: Time) {
        while let Some(token) = self.timers.take_due(now) {
            self.decide(now, Event::Timer { token });
        }
    }

    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::Tick => {}
            Input::Trigger(trigger) => self.receive(now, trigger, None),
            Input::Reject {
                trigger,
                cause,
                retry_after,
            } => {
                let rejection = FinalAnswer::rejected_with_retry_after(cause, retry_after);
                self.receive(now, trigger, Some(rejection));
            }
            Input::UserMigrated { user, successor } => self.user_migrated(now, &user, successor),
            Input::AnswerUnconfirmed(ticket) => self.answer_unconfirmed(ticket),
            Input::SourceLost(source) => self.source_lost(now, source),
            Input::Settled(ticket) => self.pending.settle(ticket),
            Input::CallerCancelled(ticket) => self.caller_cancelled(now, ticket),
            Input::AttemptFinished(result) => self.attempt_finished(now, result),
            Input::LoadPolled(result) => self.decide(now, result.into()),
            Input::LoadCommandFinished(result) => self.decide(now, result.into()),
            Input::EndpointListContact(contact) => {
                self.decide(now, Event::EndpointListContact(contact));
            }
            Input::HealthChecked(checked) => {
                self.outputs.count_health_check(checked.outcome);
                self.decide(now, Event::HealthChecked(checked));
            }
            Input::WorkerDisconnected(worker) => {
                self.decide(now, Event::WorkerDisconnected { worker });
            }
            Input::Endpoints { update, endpoints } => {
                self.ready_workers.apply(update, &endpoints);
                self.decide(now, Event::Endpoints { update, endpoints });
            }
            Input::Drain => self.draining = true,
            Input::AnswerAll => self.answer_all(now),
        }
    }

    /// Gives a request its final answer, unless it has one already.
    fn answer(&mut self, request: RequestId, answer: FinalAnswer) {
        if let Some(answered) = self.pending.answer(request, answer) {
            self.outputs.answer(answered);
        }
    }
}
