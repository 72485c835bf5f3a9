//! The engine: the module's front end, the open requests, and the one final answer of each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use pipithub_policy::api::{
    Action, AttemptFinished, EndpointState, EndpointUpdate, Event, FunctionId, LoadFinished,
    Outcome, Request, RequestId, Time, WorkerId,
};
use pipithub_policy::decide::FrontEnd;

use crate::call::{AttemptId, Call, SourceId, Ticket, Trigger, function_id};
use crate::decide::Decide;
use crate::input::{AttemptResult, Input, TenantUser};
use crate::output::Output;
use crate::redelivery::{DeliveryHistory, RedeliveryDecision, decide_unknown};
use crate::reply::{Cause, Reply, Served, Verdict};
use crate::settings::EngineSettings;
use crate::stats::Stats;
use crate::timers::Timers;

/// An attempt that the module ordered and that was not made; its request is over.
fn attempt_not_sent(request: RequestId, id: AttemptId, worker: WorkerId) -> Event {
    Event::AttemptFinished(AttemptFinished {
        request,
        attempt: id.number,
        worker,
        outcome: Outcome::NotSent,
        elapsed: 0,
        settled: true,
        replica_status: None,
        function_concurrency: None,
        load_report: Default::default(),
    })
}

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
    function_names: BTreeMap<FunctionId, (Arc<str>, Time)>,
    next_request: RequestId,
    bytes: usize,
    draining: bool,
    /// A list of workers has come, if only a remembered one.
    list_received: bool,
    /// Live workers, as last told.
    ready_workers: BTreeSet<WorkerId>,
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
            history: DeliveryHistory::new(settings.remembered_messages, settings.remember_for),
            settings,
            timers: Timers::default(),
            pending: BTreeMap::new(),
            tickets: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            function_names: BTreeMap::new(),
            next_request: 1,
            bytes: 0,
            draining: false,
            list_received: false,
            ready_workers: BTreeSet::new(),
            stats: Stats::default(),
            actions: Vec::new(),
            events: VecDeque::new(),
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next()
    }

    /// How many more triggers may be handed in now. Sources that can be held back should be. Before the first list there
    /// is no room: a front end that knows no worker yet would refuse what another could serve.
    pub fn capacity(&self) -> usize {
        if !self.list_received || self.draining || self.bytes >= self.settings.max_body_bytes {
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
            Input::LoadPolled(p) => {
                let event = Event::LoadPolled {
                    worker: p.worker,
                    answered: p.answered,
                    report: p.load_report,
                };
                self.decide(now, event, out);
            }
            Input::LoadCommandFinished(o) => {
                let (worker, function, outcome) = (o.worker, o.function, o.outcome);
                let order = LoadFinished {
                    worker,
                    function,
                    outcome,
                    elapsed: o.elapsed,
                    replicas: o.replicas,
                };
                self.decide(now, Event::LoadFinished(order), out);
            }
            Input::Endpoints {
                update: kind,
                endpoints: entries,
            } => {
                self.list_received |= kind != EndpointUpdate::Lost;
                if matches!(kind, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
                    self.ready_workers.clear();
                }
                for entry in &entries {
                    match entry.state {
                        EndpointState::Ready => self.ready_workers.insert(entry.worker.clone()),
                        EndpointState::Draining | EndpointState::Removed => {
                            self.ready_workers.remove(&entry.worker)
                        }
                    };
                }
                self.decide(
                    now,
                    Event::Endpoints {
                        update: kind,
                        endpoints: entries,
                    },
                    out,
                );
            }
            Input::Drain => self.draining = true,
            Input::AnswerAll => self.answer_all(now, out),
        }
    }

    /// Answers all that is open. What was never sent is refused; for the rest nothing is promised, for it may have run.
    fn answer_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.draining = true;
        let unanswered: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, o)| o.reply.is_none())
            .map(|(id, o)| (*id, o.attempts))
            .collect();
        for (request, attempts) in unanswered {
            let verdict = if attempts == 0 {
                Verdict::Rejected
            } else {
                Verdict::Failed
            };
            self.answer(request, verdict, Cause::Draining, None, None, out);
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }

    /// The request that a ticket stands for, as long as it is not settled.
    pub fn request(&self, ticket: Ticket) -> Option<RequestId> {
        self.tickets.get(&ticket).copied()
    }

    // ---- triggers ----

    /// `refused`: it is not to run. What came before is looked up first all the same: a call that runs here, or was
    /// answered, must not be refused on top of that, and one that may have run elsewhere must not be called harmless.
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn receive(
        &mut self,
        now: Time,
        trigger: Trigger,
        refused: Option<(Cause, Option<Time>)>,
        out: &mut Vec<Output>,
    ) {
        self.stats.triggers += 1;
        let Trigger {
            ticket,
            identity,
            redelivered,
            deliveries,
            mut call,
        } = trigger;
        call.class = call.class.min(self.settings.policy.classes.len() - 1);
        let (mut timeout, waited) = (call.timeout, call.waited);
        if redelivered {
            self.stats.redelivered += 1;
            let class = &self.settings.policy.classes[call.class];
            let margin = self.settings.answer_margin + 4 * self.settings.policy.tick;
            let again = self
                .history
                .decide(identity.as_ref(), now)
                .unwrap_or_else(|| {
                    decide_unknown(class, call.age, call.idempotency_key.is_some(), margin)
                });
            match again {
                RedeliveryDecision::Join(request) => return self.join(request, ticket, out),
                RedeliveryDecision::Forget => return out.push(Output::Forget(ticket)),
                RedeliveryDecision::Run(_) if deliveries > self.settings.max_deliveries => {
                    // A safe message that comes again and again may be what brings front ends down.
                    return self.answer_at_once(
                        now,
                        ticket,
                        identity,
                        Verdict::Failed,
                        Cause::TooManyDeliveries,
                        out,
                    );
                }
                RedeliveryDecision::Run(None) => {}
                RedeliveryDecision::Run(Some(left)) => {
                    timeout = Some(timeout.unwrap_or(class.client_timeout).min(left));
                }
                RedeliveryDecision::Fail => {
                    return self.answer_at_once(
                        now,
                        ticket,
                        identity,
                        Verdict::Failed,
                        Cause::MayHaveRunBefore,
                        out,
                    );
                }
            }
        } else if let Some(request) = identity.as_ref().and_then(|i| self.history.pending(i)) {
            // Not a repeat by its source's word, yet of the name of one that is open: a client that sent twice.
            // The earlier one keeps its answer and loses its name.
            if let Some(pending) = self.pending.get_mut(&request) {
                pending.identity = None;
            }
        }
        if let Some((cause, retry_after)) = refused {
            let request = self.insert(now, ticket, identity, Call::default());
            return self.answer(request, Verdict::Rejected, cause, retry_after, None, out);
        }
        if !self.settings.owners.allow(call.tenant, &call.function) {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::OtherTenant,
                out,
            );
        }
        let bytes = call.body.len();
        if self.draining {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::Draining,
                out,
            );
        }
        if self.pending.len() >= self.settings.max_pending
            || self.bytes + bytes > self.settings.max_body_bytes
        {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::AtCapacity,
                out,
            );
        }
        let class = &self.settings.policy.classes[call.class];
        // Of a message that waited in its queue the client's time is partly over, whoever states it.
        let rest = class.client_timeout.saturating_sub(waited);
        let timeout = timeout.unwrap_or(rest).min(rest);
        let Some(left) = timeout
            .checked_sub(self.settings.answer_margin)
            .filter(|left| *left > 0)
        else {
            return self.answer_at_once(
                now,
                ticket,
                identity,
                Verdict::Rejected,
                Cause::TooLate,
                out,
            );
        };
        let function = function_id(&call.function);
        self.record_function_call(now, function, &call.function);
        let request = Request {
            id: self.next_request,
            expected_work: call.expected_work,
            memory_mb: call.memory_mb,
            replica_concurrency: call.replica_concurrency,
            class: call.class,
            load_time: call.load_time,
            function,
            timeout: Some(left),
        };
        self.insert(now + left, ticket, identity, call);
        self.decide(now, Event::Arrived(request), out);
    }

    /// Notes a new request under the next number.
    fn insert(
        &mut self,
        deadline: Time,
        ticket: Ticket,
        identity: Option<Arc<str>>,
        call: Call,
    ) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        if let Some(identity) = &identity {
            self.history.begin(identity, request);
        }
        let bytes = call.body.len();
        self.bytes += bytes;
        self.tickets.insert(ticket, request);
        let pending = PendingRequest {
            ticket: Some(ticket),
            identity,
            call: Arc::new(call),
            deadline,
            attempts: 0,
            last_attempt: None,
            reply: None,
            bytes,
        };
        self.pending.insert(request, pending);
        request
    }

    /// Gives a final answer to a trigger that the module never sees.
    fn answer_at_once(
        &mut self,
        now: Time,
        ticket: Ticket,
        identity: Option<Arc<str>>,
        verdict: Verdict,
        cause: Cause,
        out: &mut Vec<Output>,
    ) {
        // The body is let go at once: what is refused for want of room must not take any.
        let request = self.insert(now, ticket, identity, Call::default());
        self.answer(request, verdict, cause, None, None, out);
    }

    /// A delivery takes the place of an earlier one of the same message.
    fn join(&mut self, request: RequestId, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        self.stats.joined += 1;
        if let Some(old) = pending.ticket.replace(ticket) {
            self.tickets.remove(&old);
        }
        self.tickets.insert(ticket, request);
        if let Some(reply) = &pending.reply {
            out.push(Output::Answer {
                ticket,
                reply: reply.clone(),
            });
        }
    }

    /// Tickets of the source are void. A request that can be told again goes on, for its message may come back
    /// here; one that cannot is withdrawn, for nobody could be told of its end.
    fn source_lost(&mut self, now: Time, source: SourceId, out: &mut Vec<Output>) {
        let of = |t: &Ticket| t.source == source;
        let lost: Vec<_> = self
            .tickets
            .iter()
            .filter(|(t, _)| of(t))
            .map(|(t, r)| (*t, *r))
            .collect();
        for (ticket, request) in lost {
            self.tickets.remove(&ticket);
            let Some(pending) = self.pending.get_mut(&request) else {
                continue;
            };
            pending.ticket = None;
            if pending.identity.is_none() {
                self.abandon(now, request, out);
            } else {
                self.timers.set(pending.deadline.max(now), request);
            }
        }
    }

    fn settled(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.tickets.remove(&ticket) else {
            return;
        };
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.bytes -= pending.bytes;
        if let Some(identity) = &pending.identity {
            self.history.settle(identity, request, now);
        }
    }

    /// Ends what is open for a user who is not whose they were. What was never sent is refused. For the rest nothing is
    /// promised: it may have run for the old tenant, whose answer must not reach the user any more.
    fn user_migrated(
        &mut self,
        now: Time,
        user: &str,
        side: Option<TenantUser>,
        out: &mut Vec<Output>,
    ) {
        // Calls that came after the move are the new side's already, though the word of it is handled only now.
        let is = |o: &PendingRequest| {
            o.call.tenant.map(|tenant| TenantUser {
                tenant,
                person: o.call.person,
            })
        };
        let of = |o: &PendingRequest| {
            o.call.user.as_deref() == Some(user) && (side.is_none() || is(o) != side)
        };
        let theirs: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, o)| of(o))
            .map(|(id, _)| *id)
            .collect();
        for request in theirs {
            let Some(pending) = self.pending.get(&request) else {
                continue;
            };
            if pending
                .reply
                .as_ref()
                .is_some_and(|r| r.verdict != Verdict::Served)
            {
                continue;
            }
            if pending.reply.is_some() {
                // Served, but not yet told to anybody: its message is gone, and may come back.
                if pending.ticket.is_none() {
                    self.abandon(now, request, out);
                }
                continue;
            }
            let verdict = if pending.attempts == 0 {
                Verdict::Rejected
            } else {
                Verdict::Failed
            };
            self.answer(request, verdict, Cause::UserMigrated, None, None, out);
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }

    /// Whether a message of this name is open here or was settled here lately: what comes of it is decided by that.
    pub fn knows(&self, identity: &Arc<str>, now: Time) -> bool {
        self.history.decide(Some(identity), now).is_some()
    }

    /// Ends a request to which no answer is owed any more.
    fn abandon(&mut self, now: Time, request: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.bytes -= pending.bytes;
        if let Some(ticket) = pending.ticket {
            self.tickets.remove(&ticket);
        }
        if let Some(identity) = &pending.identity {
            self.history.abandon(identity, request);
        }
        if pending.reply.is_none() {
            self.decide(now, Event::ClientCancelled { request }, out);
        }
    }

    // ---- attempts ----

    fn attempt_finished(&mut self, now: Time, end: AttemptResult, out: &mut Vec<Output>) {
        let AttemptResult {
            id,
            outcome,
            elapsed: took,
            replica_status: note,
            function_concurrency: alike,
            load_report: load,
            served,
        } = end;
        let mut settled = true;
        // An outcome that nothing was sent for, or a second one, is none.
        let Some(worker) = self.attempts_in_flight.remove(&id) else {
            return;
        };
        if let Some(pending) = self.pending.get_mut(&id.request) {
            pending.last_attempt = Some((outcome, worker.clone()));
            settled = pending.reply.is_some();
            if !settled && outcome == Outcome::Served {
                settled = true;
                self.answer(
                    id.request,
                    Verdict::Served,
                    Cause::Answered,
                    None,
                    served,
                    out,
                );
            }
        }
        let finished = AttemptFinished {
            request: id.request,
            attempt: id.number,
            worker,
            outcome,
            elapsed: took,
            settled,
            replica_status: note,
            function_concurrency: alike,
            load_report: load,
        };
        self.decide(now, Event::AttemptFinished(finished), out);
    }

    /// Gives the final answer of a request: the first is the only one.
    fn answer(
        &mut self,
        request: RequestId,
        verdict: Verdict,
        cause: Cause,
        retry_after: Option<Time>,
        served: Option<Served>,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get_mut(&request).filter(|o| o.reply.is_none()) else {
            return;
        };
        let counter = match verdict {
            Verdict::Served => &mut self.stats.served,
            Verdict::Rejected => &mut self.stats.rejected,
            Verdict::Failed => &mut self.stats.failed,
        };
        *counter += 1;
        let (last, worker) = pending.last_attempt.clone().unzip();
        let reply = Reply {
            verdict,
            cause,
            retry_after,
            attempts: pending.attempts,
            last_outcome: last,
            worker,
            served,
        };
        let reply = Arc::new(reply);
        // The call's body is not needed any more, the answer's is.
        let bytes = reply.served.as_ref().map_or(0, |s| s.body.len());
        self.bytes = self.bytes - pending.bytes + bytes;
        pending.bytes = bytes;
        let kept = Call {
            body: Default::default(),
            ..(*pending.call).clone()
        };
        pending.call = Arc::new(kept);
        pending.reply = Some(reply.clone());
        if let Some(ticket) = pending.ticket {
            out.push(Output::Answer { ticket, reply });
        }
    }

    /// Ends an orphan in place of a send; the module hears that the attempt was not made.
    fn release_orphan(&mut self, request: RequestId, id: AttemptId, worker: WorkerId) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        self.bytes -= pending.bytes;
        if let Some(identity) = &pending.identity {
            self.history.abandon(identity, request);
        }
        self.events.push_back(attempt_not_sent(request, id, worker));
    }

    /// Lets go of an answered request whose message did not come back in its time: it went elsewhere.
    fn release_expired_orphan(&mut self, now: Time, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.ticket.is_none() && pending.reply.is_some() && now >= pending.deadline {
            self.bytes -= pending.bytes;
            if let Some(identity) = &pending.identity {
                self.history.abandon(identity, request);
            }
            self.pending.remove(&request);
        }
    }

    // ---- the module ----

    fn decide(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let timer = match &event {
                Event::Timer { token } => Some(*token),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.decider.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, out);
            }
            self.actions = actions;
            // A request's own timer is due just before its end; chores' and others' tokens name no request.
            if let Some(request) = timer {
                self.request_timer_expired(now, request, out);
            }
        }
    }

    /// At its own timer a request has either been answered or has come to its end here too.
    fn request_timer_expired(&mut self, now: Time, request: RequestId, out: &mut Vec<Output>) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.reply.is_none() && now + 2 * self.settings.policy.tick >= pending.deadline {
            // The module ends what it knows; what it does not know any more must not wait for ever.
            self.answer(
                request,
                Verdict::Failed,
                Cause::AttemptsEnded,
                None,
                None,
                out,
            );
        }
        self.release_expired_orphan(now, request);
    }

    fn carry_out(&mut self, now: Time, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Forward {
                request,
                worker,
                timeout,
            } => {
                let Some(pending) = self.pending.get_mut(&request).filter(|o| o.reply.is_none())
                else {
                    return;
                };
                let id = AttemptId {
                    request,
                    number: pending.attempts,
                };
                if pending.ticket.is_none() {
                    // Its message is another front end's by now: a further send here could come after the other's
                    // answer. What is out already may end, for the message may still come back here.
                    return self.release_orphan(request, id, worker);
                }
                if !self
                    .settings
                    .owners
                    .allow(pending.call.tenant, &pending.call.function)
                {
                    // Looked at when it came; looked at again where it would leave, whatever happened between.
                    let verdict = if pending.attempts == 0 {
                        Verdict::Rejected
                    } else {
                        Verdict::Failed
                    };
                    self.answer(request, verdict, Cause::OtherTenant, None, None, out);
                    self.events.push_back(attempt_not_sent(request, id, worker));
                    return;
                }
                pending.attempts += 1;
                self.attempts_in_flight.insert(id, worker.clone());
                self.stats.attempts += 1;
                let deadline = timeout.map_or(pending.deadline, |t| pending.deadline.min(now + t));
                out.push(Output::Forward {
                    id,
                    worker,
                    call: pending.call.clone(),
                    deadline,
                });
            }
            Action::Cancel { request, attempt } => {
                self.stats.cancelled_attempts += 1;
                out.push(Output::Cancel(AttemptId {
                    request,
                    number: attempt,
                }));
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let cause = self.cause_of_end(request);
                self.answer(request, Verdict::Rejected, cause, retry_after, None, out);
            }
            Action::Fail { request } => {
                let cause = self.cause_of_end(request);
                self.answer(request, Verdict::Failed, cause, None, None, out);
            }
            Action::LoadFunction {
                worker,
                function,
                replicas: copies,
            } => match self.function_names.get(&function) {
                Some((name, _)) => {
                    self.stats.load_commands += 1;
                    out.push(Output::LoadFunction {
                        worker,
                        function,
                        name: name.clone(),
                        replicas: copies,
                    });
                }
                // Forgotten here: the module is told that nothing came of it.
                None => self.events.push_back(Event::LoadFinished(LoadFinished {
                    worker,
                    function,
                    outcome: Outcome::NotSent,
                    elapsed: 0,
                    replicas: 0,
                })),
            },
            Action::EvictFunction { worker, function } => {
                if let Some((name, _)) = self.function_names.get(&function) {
                    out.push(Output::EvictFunction {
                        worker,
                        name: name.clone(),
                    });
                }
            }
            Action::PollLoad { worker } => {
                self.stats.load_polls += 1;
                out.push(Output::PollLoad(worker));
            }
            Action::SetTimer { after, token } => self.timers.set(now.saturating_add(after), token),
            Action::WatchEndpoints => out.push(Output::WatchEndpoints),
        }
    }

    fn cause_of_end(&self, request: RequestId) -> Cause {
        match self.pending.get(&request) {
            Some(pending) if pending.attempts > 0 => Cause::AttemptsEnded,
            _ => Cause::NoWorkerInTime,
        }
    }

    /// Keeps the name of a function for orders; when there are too many, those not called for longest go.
    fn record_function_call(&mut self, now: Time, function: FunctionId, name: &Arc<str>) {
        if let Some((_, called)) = self.function_names.get_mut(&function) {
            *called = now;
            return;
        }
        if self.function_names.len() >= self.settings.max_function_names {
            let mut times: Vec<Time> = self
                .function_names
                .values()
                .map(|(_, called)| *called)
                .collect();
            times.sort_unstable();
            // A half goes at a time, so that one-off functions do not make each call pay for this.
            let middle = times[times.len() / 2];
            self.function_names
                .retain(|_, (_, called)| *called > middle);
        }
        self.function_names.insert(function, (name.clone(), now));
    }
}
