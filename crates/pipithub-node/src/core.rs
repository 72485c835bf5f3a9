//! The front end without sockets: bytes, list events and time in, effects out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use pipithub_engine::policy::{
    Endpoint, EndpointState, EndpointUpdate, Idempotency, LoadReport, Outcome, RequestId, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Engine, EngineSettings, Input, LoadCommandResult,
    LoadPollResult, Output, Reply, Served, SourceId, Stats, Ticket, Time, Trigger, Verdict,
};
use pipithub_platform::client::{self, ClientCall, ClientLine, Fault};
use pipithub_platform::config::NodeConfig;
use pipithub_platform::list::ListEvent;
use pipithub_platform::settings::SiteSettings;
use pipithub_platform::worker::{self, Answer, RunRequest, Word};
use tracing::{debug, info};

use crate::desk::{BEYOND, Caller, Desk, FAULTY, OPEN_MOST};
use crate::effect::{ConnectionId, Effect};
use crate::pool::{Job, Lost, Pool, Request, Task};
use crate::start_times::StartTimes;

/// All clients are one source to the engine: each call's ticket is its own.
const CLIENTS: SourceId = SourceId(1);
/// How often overdue jobs and idle connections are looked for.
const SWEEP: Time = 10_000_000;
/// How often silent clients are.
const SILENCE_SWEEP: Time = 100_000_000;
/// A probe without an answer by then is none.
const PROBE_MOST: Time = 250_000_000;
/// Descriptors kept for the listener, logs, signals, the poller, the coordinator and connections that are closing.
const RESERVED: usize = 24;
/// After SIGTERM clients go on sending for up to 0.6 s, as the platform states; what comes later is refused.
const TERM_TAKES: Time = 700_000_000;
/// What a stop waits for at the least: clients that were late by themselves are still to find somebody here.
const TERM_LEAST: Time = 1_000_000_000;
/// SIGKILL comes no earlier than the longest deadline, counted as the first of these at most, and the second after
/// SIGTERM. What has no answer a little before that gets it then.
const KILL_COUNTS: Time = 3_000_000_000;
const KILL_AFTER: Time = 700_000_000;
const KILL_MARGIN: Time = 50_000_000;
/// Of that margin, the part in which clients may still read these answers and send more. The rest is for closing their
/// connections, and for a turn of the loop.
const LAST_ANSWERS_TIME: Time = 20_000_000;
/// Answers leave so long before the client's time is up, for their own way back.
const ANSWER_MARGIN: Time = 5_000_000;

/// One front end.
#[derive(Debug)]
pub struct Core {
    name: String,
    engine: Engine,
    site: SiteSettings,
    give_up_most: Time,
    desk: Desk,
    pool: Pool,
    /// Workers that attempts went to, for as long as they are out.
    out: BTreeMap<AttemptId, WorkerId>,
    next_tag: u64,
    swept: Time,
    silence_swept: Time,
    /// When SIGTERM came.
    stopping: Option<Time>,
    draining: bool,
    listed: bool,
    start_times: StartTimes,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    effects: Vec<Effect>,
}

impl Core {
    /// A front end with the configuration's list of workers.
    pub fn new(now: Time, config: &NodeConfig) -> Self {
        let site = &config.site;
        let usable = config.sockets.saturating_sub(RESERVED).max(8);
        let (clients, workers) = (usable * 3 / 5, usable * 2 / 5);
        let settings = EngineSettings {
            policy: site.policy.clone(),
            max_open: site.transport.open_most.min(clients * OPEN_MOST),
            max_bytes: (config.memory_mb as usize) << 18,
            answer_margin: ANSWER_MARGIN,
            ..EngineSettings::default()
        };
        let transport = &site.transport;
        let cancel = site.policy.limits.cancel;
        let (connect, idle) = (transport.connect_timeout, transport.idle_close);
        let pool = Pool::new(workers, transport.streams, connect, idle, cancel);
        let mut core = Core {
            name: config.name.clone(),
            engine: Engine::new(settings, config.seed),
            site: site.clone(),
            give_up_most: site
                .policy
                .classes
                .iter()
                .map(|c| c.client_timeout)
                .max()
                .unwrap_or(0),
            desk: Desk::new(clients),
            pool,
            out: BTreeMap::new(),
            next_tag: 1,
            swept: now,
            silence_swept: now,
            stopping: None,
            draining: false,
            listed: false,
            start_times: StartTimes::default(),
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            effects: Vec::new(),
        };
        for event in &config.known {
            core.update_endpoints(now, event);
        }
        core
    }

    /// A number for a connection that the shell accepted.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.pool.next_connection_id()
    }

    /// Appends what is to be done.
    pub fn take_effects(&mut self, effects: &mut Vec<Effect>) {
        effects.append(&mut self.effects);
        self.pool.take_effects(effects);
    }

    /// When [`Core::tick`] is due next.
    pub fn next_due(&self) -> Time {
        self.engine
            .next_due()
            .unwrap_or(Time::MAX)
            .min(self.swept + SWEEP)
    }

    /// How many calls have no answer yet.
    pub fn pending_requests(&self) -> usize {
        self.engine.open()
    }

    /// Connections of clients and to workers.
    pub fn connections(&self) -> (usize, usize) {
        (self.desk.len(), self.pool.len())
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.engine.stats()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.pool.sweep(now);
            self.lose(now);
        }
        if now >= self.silence_swept + SILENCE_SWEEP {
            self.silence_swept = now;
            for connection in self.desk.silent(now) {
                debug!(front_end = self.name, connection, "client is silent");
                self.effects.push(Effect::Retire { connection });
            }
        }
        if !self.draining && self.stopping.is_some_and(|since| now >= since + TERM_TAKES) {
            self.draining = true;
            self.run(now, Input::Drain);
        }
        if self.last_answers().is_some_and(|at| now >= at) {
            self.run(now, Input::AnswerAll);
        }
        self.run(now, Input::Tick);
    }

    /// The platform asked for an end.
    pub fn begin_shutdown(&mut self, now: Time) {
        if self.stopping.is_none() {
            info!(front_end = self.name, open = self.engine.open(), "stopping");
            self.stopping = Some(now);
        }
    }

    /// Once a stop was asked for: when whatever has no answer gets one, as the process may be killed soon after.
    fn last_answers(&self) -> Option<Time> {
        let counted = self.give_up_most.min(KILL_COUNTS);
        self.stopping
            .map(|since| since + counted + KILL_AFTER - KILL_MARGIN)
    }

    /// Whether a stop was asked for and all that was taken is answered. Answers may still be unwritten, and requests
    /// unread: the shell looks for these.
    pub fn is_drained(&self, now: Time) -> bool {
        let least = self.stopping.map(|since| since + TERM_LEAST);
        self.engine.open() == 0 && least.min(self.last_answers()).is_some_and(|at| now >= at)
    }

    /// Whether the end cannot wait any longer for clients to fall silent.
    pub fn shutdown_overdue(&self, now: Time) -> bool {
        self.last_answers()
            .is_some_and(|at| now >= at + LAST_ANSWERS_TIME)
    }

    /// The process is about to end: what clients have sent by now is answered, and their connections are closed.
    pub fn close_clients(&mut self) {
        let clients = self.desk.connections();
        self.effects.extend(
            clients
                .into_iter()
                .map(|connection| Effect::Retire { connection }),
        );
    }

    /// Takes a change of the worker list while the wall clock agrees with `now`.
    pub fn update_endpoints(&mut self, now: Time, event: &ListEvent) {
        self.update_endpoints_at(now, now, event);
    }

    /// Takes a change of the worker list; `wall`: the wall clock at this moment, in Unix nanoseconds, by which the list
    /// states when workers started.
    pub fn update_endpoints_at(&mut self, now: Time, wall: Time, event: &ListEvent) {
        if event.kind != EndpointUpdate::Delta {
            let named: BTreeSet<&WorkerId> = event.hosts.iter().map(|(e, _)| &e.worker).collect();
            self.pool.keep_only(&named);
            self.start_times.keep_only(|worker| named.contains(worker));
        }
        for (entry, address) in &event.hosts {
            debug!(front_end = self.name, worker = &*entry.worker.0, state = ?entry.state, address, "list");
            self.pool.place(
                &entry.worker,
                address,
                entry.state == EndpointState::Removed,
            );
        }
        self.listed = true;
        let entries = event
            .hosts
            .iter()
            .map(|(entry, _)| self.with_start_time(entry, now, wall))
            .collect();
        self.run(
            now,
            Input::Endpoints {
                update: event.kind,
                endpoints: entries,
            },
        );
    }

    /// An entry whose start is told by this process's clock.
    fn with_start_time(&mut self, entry: &Endpoint, now: Time, wall: Time) -> Endpoint {
        if entry.state == EndpointState::Removed {
            self.start_times.forget(&entry.worker);
        }
        let resolve = |stamp| self.start_times.resolve(&entry.worker, stamp, now, wall);
        let started = entry.started_at.map(resolve);
        Endpoint {
            started_at: started,
            ..entry.clone()
        }
    }

    /// A client has connected.
    pub fn client_connected(&mut self, now: Time, connection: ConnectionId) {
        if let Some(other) = self.desk.opened(now, connection) {
            debug!(
                front_end = self.name,
                connection = other,
                "too many clients"
            );
            self.effects.push(Effect::Retire { connection: other });
        }
    }

    /// All that a client has sent by now is handed over: its connection is closed, unless that was a request.
    pub fn close_client_if_idle(&mut self, now: Time, connection: ConnectionId) {
        if self
            .desk
            .client(connection)
            .is_some_and(|c| c.open.is_empty())
        {
            debug!(front_end = self.name, connection, "client closed");
            self.drop_client(now, connection);
        }
    }

    /// Connections that clients may have at a time.
    pub fn max_client_connections(&self) -> usize {
        self.desk.most()
    }

    /// Connections that there may be to workers at a time.
    pub fn max_worker_connections(&self) -> usize {
        self.pool.most()
    }

    /// A client's connection has ended.
    pub fn client_closed(&mut self, now: Time, connection: ConnectionId) {
        let tickets = self.desk.closed(connection, now + self.give_up_most);
        if !tickets.is_empty() {
            debug!(
                front_end = self.name,
                connection,
                open = tickets.len(),
                "client has left calls open"
            );
        }
        for ticket in tickets {
            self.left(now, ticket);
        }
    }

    /// A client has ceased to wait. Whatever the settings say of cancelling, what has not left yet does not leave any more.
    fn left(&mut self, now: Time, ticket: u64) {
        let ticket = Ticket {
            source: CLIENTS,
            number: ticket,
        };
        let request = self.engine.request(ticket);
        self.run(now, Input::CallerCancelled(ticket));
        self.abandon(now, request);
        self.settle(now);
    }

    /// Nobody waits for a request any more: attempts that have not left are taken back.
    fn abandon(&mut self, now: Time, request: Option<RequestId>) {
        let Some(request) = request else { return };
        let of = AttemptId { request, number: 0 }..=AttemptId {
            request,
            number: u32::MAX,
        };
        let out: Vec<_> = self
            .out
            .range(of)
            .map(|(id, worker)| (*id, worker.clone()))
            .collect();
        for (id, worker) in out {
            if let Some(job) = self.pool.abandon(now, &worker, id) {
                let took = now.saturating_sub(job.began);
                self.attempt_ended(without_answer(id, Outcome::NotSent, took));
            }
        }
    }

    fn drop_client(&mut self, now: Time, connection: ConnectionId) {
        self.effects.push(Effect::Close { connection });
        self.client_closed(now, connection);
    }

    /// Bytes came from a client.
    pub fn client_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(client) = self.desk.client(connection).filter(|c| !c.unreadable) else {
            return;
        };
        client.framer.push(bytes);
        let mut lines = Vec::new();
        let long = loop {
            match client.framer.next_line() {
                Ok(Some(line)) => lines.push(client::read(&line, &self.site)),
                Ok(None) => break None,
                Err(long) => break Some(long),
            }
        };
        let partial = client.framer.partial();
        client.partial = if partial {
            client.partial.filter(|_| lines.is_empty()).or(Some(now))
        } else {
            None
        };
        // What was asked and taken back in one breath has nobody who waits for it: it is not begun.
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for line in &lines {
            if let Ok(ClientLine::Forget { id, call }) = line {
                ids.extend(*id);
                names.extend(call.clone());
            }
        }
        for line in lines {
            match line {
                Ok(ClientLine::Call(call))
                    if ids.contains(&call.id) || names.contains(&call.call) =>
                {
                    debug!(
                        front_end = self.name,
                        connection,
                        call = call.call,
                        "forgotten before it began"
                    );
                }
                line => self.client_line(now, connection, line),
            }
        }
        if let (Some(long), Some(client)) = (long, self.desk.client(connection)) {
            client.unreadable = true;
            let fault = Fault {
                id: None,
                code: client::PARSE,
                message: long.to_string(),
            };
            self.fault(connection, &fault);
        }
    }

    fn client_line(
        &mut self,
        now: Time,
        connection: ConnectionId,
        line: Result<ClientLine, Fault>,
    ) {
        let Some(client) = self.desk.client(connection) else {
            return;
        };
        match line {
            Ok(ClientLine::Call(call)) => self.call(now, connection, *call),
            Ok(ClientLine::Forget { id, call }) => {
                client.active = now;
                if let Some(ticket) = self.desk.find(connection, id, call.as_deref()) {
                    if let Some(caller) = self.desk.end(now, ticket).filter(|c| c.once) {
                        self.desk.note(now + self.give_up_most, &caller.call);
                    }
                    self.left(now, ticket);
                    self.retire_condemned(connection);
                }
            }
            Ok(ClientLine::IsWell { id }) => {
                (client.active, client.spoke) = (now, true);
                let healthy = self.listed && self.stopping.is_none();
                self.write(connection, client::health(id, healthy));
            }
            // Noise on a connection that is given up has been answered once.
            Err(fault) if fault.id.is_none() && client.condemned => {}
            Err(fault) => self.fault(connection, &fault),
        }
    }

    /// Answers what is no call. What bears no number cannot be told from noise, and what follows noise cannot be trusted.
    fn fault(&mut self, connection: ConnectionId, fault: &Fault) {
        debug!(front_end = self.name, connection, %fault, "no call");
        // An answer under the number of an open call would be taken for that call's.
        let open = self
            .desk
            .client(connection)
            .is_some_and(|c| fault.id.is_some_and(|id| c.open.contains_key(&id)));
        let id = fault.id.filter(|_| !open);
        self.write(
            connection,
            client::error(id, fault.code, &fault.message, None),
        );
        if self.desk.fault(connection, FAULTY) || id.is_none() {
            self.give_up(connection);
        }
    }

    /// Begins no further call of a client, and closes its connection once all that came on it is answered.
    fn give_up(&mut self, connection: ConnectionId) {
        let Some(client) = self.desk.client(connection).filter(|c| !c.condemned) else {
            return;
        };
        client.condemned = true;
        debug!(
            front_end = self.name,
            connection,
            open = client.open.len(),
            "client given up"
        );
        self.retire_condemned(connection);
    }

    /// Has the shell look once more at a client that is given up and has no call open, and then close it.
    fn retire_condemned(&mut self, connection: ConnectionId) {
        if self
            .desk
            .client(connection)
            .is_some_and(|c| c.condemned && c.open.is_empty())
        {
            self.effects.push(Effect::Retire { connection });
        }
    }

    fn call(&mut self, now: Time, connection: ConnectionId, call: ClientCall) {
        let Some(client) = self.desk.client(connection) else {
            return;
        };
        let invalid = |message: &str| Fault {
            id: Some(call.id),
            code: client::INVALID,
            message: message.into(),
        };
        if client.open.contains_key(&call.id) {
            return self.fault(connection, &invalid("id: in use"));
        }
        let (many, condemned) = (client.open.len() >= OPEN_MOST, client.condemned);
        if self.desk.knows(&call.call) {
            // Its namesake may be running: to call a further try harmless would be wrong.
            return self.fault(connection, &invalid("call: open already"));
        }
        if self.desk.may_have_run(now, &call.call) {
            // The same again of what must not run twice.
            return self.fault(connection, &invalid("call: has ended, and may have run"));
        }
        if many || condemned {
            // A client may count a call as over whose end has not come here yet, or be given up for what it sent before;
            // this one has not run.
            let limits = &self.site.policy.limits;
            let pushback =
                Some(limits.max_retry_after / 1_000_000).filter(|t| limits.retry_after && *t > 0);
            let message = if many {
                "too many calls open on this connection"
            } else {
                "this connection is about to be closed"
            };
            debug!(
                front_end = self.name,
                connection,
                call = call.call,
                message,
                "no call"
            );
            self.write(
                connection,
                client::error(Some(call.id), client::REFUSED, message, pushback),
            );
            if self.desk.fault(connection, BEYOND) {
                self.give_up(connection);
            }
            return;
        }
        if let Some(client) = self.desk.client(connection) {
            (client.active, client.spoke) = (now, true);
        }
        let once = self
            .site
            .policy
            .classes
            .get(call.class)
            .is_some_and(|c| c.idempotency == Idempotency::NonIdempotent);
        let number = self.desk.begin(Caller {
            connection,
            id: call.id,
            call: call.call.clone(),
            once,
        });
        let call = Call {
            function: Arc::from(call.function),
            class: call.class,
            timeout: Some(call.ttl),
            memory_mb: call.memory_mb,
            replica_concurrency: call.lanes,
            load_time: call.load_time,
            label: Some(Arc::from(call.call)),
            idempotency_key: call.key.map(Arc::from),
            body: call.body,
            ..Call::default()
        };
        let ticket = Ticket {
            source: CLIENTS,
            number,
        };
        let trigger = Trigger {
            ticket,
            identity: None,
            redelivered: false,
            deliveries: 0,
            call,
        };
        self.run(now, Input::Trigger(trigger));
    }

    fn write(&mut self, connection: ConnectionId, bytes: Bytes) {
        self.effects.push(Effect::Write { connection, bytes });
    }

    /// A connection to a worker is up.
    pub fn worker_connected(&mut self, now: Time, connection: ConnectionId) {
        self.pool.up(now, connection);
        self.lose(now);
    }

    /// A connection to a worker did not come up; `own`: for want of something here.
    pub fn worker_failed(&mut self, now: Time, connection: ConnectionId, own: bool) {
        self.pool.failed(connection, own);
        self.lose(now);
    }

    /// A worker does not read, the system having taken so many bytes for it so far; or, with `None`, it reads again.
    pub fn worker_blocked(&mut self, now: Time, connection: ConnectionId, written: Option<u64>) {
        self.pool.blocked(now, connection, written);
        self.lose(now);
    }

    /// A connection to a worker has ended, with so many bytes written on it.
    pub fn worker_closed(&mut self, now: Time, connection: ConnectionId, written: u64) {
        self.pool.closed(now, connection, written, Lost::Broken);
        self.lose(now);
    }

    /// Bytes came from a worker.
    pub fn worker_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(framer) = self.pool.framer(connection) else {
            return;
        };
        framer.push(bytes);
        loop {
            let Some(framer) = self.pool.framer(connection) else {
                return;
            };
            let spoilt = match framer.next_line() {
                Ok(None) => return,
                Ok(Some(line)) => match worker::read(&line) {
                    Ok(answer) => {
                        self.answer(now, connection, answer);
                        continue;
                    }
                    Err(spoilt) => spoilt.to_string(),
                },
                Err(long) => long.to_string(),
            };
            info!(
                front_end = self.name,
                connection, spoilt, "answer cannot be read; connection closed"
            );
            self.pool.spoilt(now, connection);
            return self.lose(now);
        }
    }

    fn answer(&mut self, now: Time, connection: ConnectionId, answer: Answer) {
        let found = self.pool.answered(now, connection, &answer.reference);
        let Some((worker, job)) = found else {
            return debug!(
                front_end = self.name,
                connection,
                reference = answer.reference,
                "answer to nothing open"
            );
        };
        let took = now.saturating_sub(job.began);
        let outcome = match answer.word {
            Word::Ok | Word::Ready | Word::Ailing => Outcome::Served,
            Word::Absent => Outcome::NotLoaded,
            Word::Full => Outcome::Rejected,
            Word::Error => Outcome::Error,
            Word::Over => Outcome::NotSent,
        };
        match job.task {
            Task::Attempt(id) => {
                // An answer to something else under this name proves nothing.
                let outcome = if matches!(answer.word, Word::Ready | Word::Ailing) {
                    Outcome::Error
                } else {
                    outcome
                };
                let body = answer.body;
                let served = (outcome == Outcome::Served).then(|| Served {
                    status: 200,
                    content_type: None,
                    body,
                });
                let told = matches!(outcome, Outcome::Served | Outcome::Rejected);
                let alike = told.then_some(answer.alike);
                let end = AttemptResult {
                    id,
                    outcome,
                    elapsed: took,
                    replica_status: None,
                    function_concurrency: alike,
                    load_report: answer.load,
                    served,
                };
                self.attempt_ended(end);
                self.settle(now);
            }
            Task::Order(function) => {
                let copies = answer.copies;
                self.run(
                    now,
                    Input::LoadCommandFinished(LoadCommandResult {
                        worker,
                        function,
                        outcome,
                        elapsed: took,
                        replicas: copies,
                    }),
                );
            }
            Task::Probe => {
                let answered = answer.word == Word::Ready;
                self.run(
                    now,
                    Input::LoadPolled(LoadPollResult {
                        worker,
                        answered,
                        load_report: answer.load,
                    }),
                );
            }
            Task::Drop => {}
        }
    }

    /// Notes the end of an attempt, for the engine to hear after the present input.
    fn attempt_ended(&mut self, end: AttemptResult) {
        debug!(
            front_end = self.name,
            request = end.id.request,
            attempt = end.id.number,
            worker = self.out.get(&end.id).map(|w| &*w.0),
            outcome = ?end.outcome,
            took_us = end.elapsed / 1000,
            alike = end.function_concurrency,
            load = ?end.load_report,
            "attempt ended"
        );
        self.out.remove(&end.id);
        self.inputs.push_back(Input::AttemptFinished(end));
    }

    /// Notes the ends of jobs that got no answer.
    fn note_lost(&mut self, now: Time) {
        for (worker, job, how) in self.pool.lost() {
            let outcome = match how {
                Lost::NotSent => Outcome::Unreachable,
                Lost::Unsent => Outcome::NotSent,
                Lost::Broken => Outcome::ConnectionLost,
                Lost::Spoilt => Outcome::Error,
                Lost::TimedOut => Outcome::TimedOut,
            };
            let took = now.saturating_sub(job.began);
            match job.task {
                Task::Attempt(id) => self.attempt_ended(without_answer(id, outcome, took)),
                Task::Order(function) => {
                    let end = LoadCommandResult {
                        worker,
                        function,
                        outcome,
                        elapsed: took,
                        replicas: 0,
                    };
                    self.inputs.push_back(Input::LoadCommandFinished(end));
                }
                Task::Probe => {
                    let end = LoadPollResult {
                        worker,
                        answered: false,
                        load_report: LoadReport::default(),
                    };
                    self.inputs.push_back(Input::LoadPolled(end));
                }
                Task::Drop => {}
            }
        }
    }

    fn lose(&mut self, now: Time) {
        self.note_lost(now);
        self.settle(now);
    }

    /// Hands an input to the engine, and all that comes of it at once.
    fn run(&mut self, now: Time, input: Input) {
        self.inputs.push_back(input);
        self.settle(now);
    }

    /// Hands over what is noted for the engine, until nothing more comes of it.
    fn settle(&mut self, now: Time) {
        while let Some(input) = self.inputs.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.handle(now, input, &mut outputs);
            for output in outputs.drain(..) {
                self.one(now, output);
            }
            self.outputs = outputs;
        }
    }

    fn one(&mut self, now: Time, output: Output) {
        match output {
            Output::Forward {
                id,
                worker,
                call,
                deadline,
            } => self.send(now, id, worker, &call, deadline),
            Output::Cancel(id) => {
                let Some(worker) = self.out.get(&id).cloned() else {
                    return;
                };
                let (took, back) = self
                    .pool
                    .withdraw(now, &worker, id)
                    .map_or((0, false), |(job, back)| {
                        (now.saturating_sub(job.began), back)
                    });
                let outcome = if back {
                    Outcome::NotSent
                } else {
                    Outcome::Cancelled
                };
                self.attempt_ended(without_answer(id, outcome, took));
            }
            Output::LoadFunction {
                worker,
                function,
                name,
                replicas: copies,
            } => {
                debug!(
                    front_end = self.name,
                    worker = &*worker.0,
                    function = &*name,
                    copies,
                    "order"
                );
                let tag = self.tag();
                let line = worker::pin(&tag, &name, copies);
                let job = Job::new(
                    Task::Order(function),
                    tag,
                    line,
                    now,
                    now + self.site.transport.order_timeout,
                );
                self.ask(now, &worker, job);
            }
            Output::EvictFunction { worker, name } => {
                let line = worker::unpin(&name);
                let job = Job::new(
                    Task::Drop,
                    name.to_string(),
                    line,
                    now,
                    now + self.site.transport.order_timeout,
                );
                self.ask(now, &worker, job);
            }
            Output::PollLoad(worker) => {
                let tag = self.tag();
                let line = worker::meter(&tag);
                self.ask(
                    now,
                    &worker,
                    Job::new(Task::Probe, tag, line, now, now + PROBE_MOST),
                );
            }
            Output::Answer { ticket, reply } => {
                let request = self.engine.request(ticket);
                self.abandon(now, request);
                self.reply(now, ticket.number, &reply);
                self.inputs.push_back(Input::Settled(ticket));
            }
            // Nothing is delivered twice here, and the list is followed from the start.
            Output::Forget(_) | Output::WatchEndpoints => {}
        }
    }

    fn send(&mut self, now: Time, id: AttemptId, worker: WorkerId, call: &Call, deadline: Time) {
        let name = call.label.as_deref().unwrap_or_default();
        let class = self
            .site
            .names
            .classes
            .get(call.class)
            .map_or("", String::as_str);
        debug!(
            front_end = self.name,
            request = id.request,
            call = name,
            class,
            function = &*call.function,
            worker = &*worker.0,
            attempt = id.number,
            "send"
        );
        let request = Request::Run(RunRequest {
            call: name.to_string(),
            class: class.to_string(),
            function: call.function.clone(),
            key: call.idempotency_key.clone(),
            body: call.body.clone(),
        });
        let job = Job::new(Task::Attempt(id), name.to_string(), request, now, deadline);
        self.out.insert(id, worker.clone());
        self.ask(now, &worker, job);
    }

    /// Hands a job to the pool; what cannot be sent is told to the engine after the present input.
    fn ask(&mut self, now: Time, worker: &WorkerId, job: Job) {
        self.pool.ask(now, worker, job);
        self.note_lost(now);
    }

    fn tag(&mut self) -> String {
        self.next_tag += 1;
        format!("t{}", self.next_tag)
    }

    fn reply(&mut self, now: Time, ticket: u64, reply: &Arc<Reply>) {
        let Some(caller) = self.desk.end(now, ticket) else {
            return;
        };
        if caller.once && reply.attempts > 0 && reply.verdict != Verdict::Rejected {
            self.desk.note(now + self.give_up_most, &caller.call);
        }
        debug!(
            front_end = self.name,
            call = caller.call,
            verdict = reply.verdict.as_str(),
            cause = reply.cause.as_str(),
            attempts = reply.attempts,
            worker = reply.worker.as_ref().map(|w| &*w.0),
            last = ?reply.last_outcome,
            "answer"
        );
        let line = match (reply.verdict, &reply.served) {
            (Verdict::Served, Some(served)) => client::served(caller.id, &served.body),
            (Verdict::Rejected, _) => {
                let pushback = reply.retry_after.map(|t| t / 1_000_000);
                client::error(
                    Some(caller.id),
                    client::REFUSED,
                    reply.cause.as_str(),
                    pushback,
                )
            }
            _ => client::error(Some(caller.id), client::FAILED, reply.cause.as_str(), None),
        };
        self.write(caller.connection, line);
        self.retire_condemned(caller.connection);
    }
}

fn without_answer(id: AttemptId, outcome: Outcome, took: Time) -> AttemptResult {
    AttemptResult {
        id,
        outcome,
        elapsed: took,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
        served: None,
    }
}
