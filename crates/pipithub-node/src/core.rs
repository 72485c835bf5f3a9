//! The front end without sockets: bytes, endpoint events and time go in, effects come out.

mod calls;
mod clients;
mod endpoint_list;
mod outputs;
mod shutdown;
mod workers;

use std::collections::{BTreeMap, VecDeque};

use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Engine, EngineSettings, Input, Output, Stats, Time};
use pipithub_platform::config::NodeConfig;
use pipithub_platform::settings::SiteSettings;
use tracing::debug;

use self::shutdown::ACCEPT_AFTER_SIGTERM;
use crate::client_sessions::{ClientSessions, MAX_PENDING_CALLS};
use crate::connection_pool::{ConnectionPool, ConnectionPoolSettings};
use crate::effect::{ConnectionId, Effect};
use crate::start_times::StartTimes;

/// Clients and workers are told times in milliseconds.
const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;
/// How often overdue requests and idle connections are looked for.
const SWEEP_INTERVAL: Time = 10_000_000;
/// How often silent clients are looked for.
const SILENCE_SWEEP_INTERVAL: Time = 100_000_000;
/// Descriptors kept for the listener, logs, signals, the poller, the coordinator and connections that are closing.
const RESERVED_DESCRIPTORS: usize = 24;
/// An answer leaves so long before the client's timeout, so that it arrives in time.
const ANSWER_MARGIN: Time = 5_000_000;

/// How many connections a front end has, those being made included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Of clients.
    pub clients: usize,
    /// To workers.
    pub workers: usize,
}

/// One front end.
#[derive(Debug)]
pub struct Core {
    name: String,
    engine: Engine,
    site: SiteSettings,
    max_client_timeout: Time,
    client_sessions: ClientSessions,
    connection_pool: ConnectionPool,
    /// Workers that attempts went to, for as long as they are out.
    in_flight: BTreeMap<AttemptId, WorkerId>,
    next_tag: u64,
    last_sweep: Time,
    last_silence_sweep: Time,
    /// When SIGTERM came.
    shutdown_started: Option<Time>,
    draining: bool,
    has_endpoint_list: bool,
    start_times: StartTimes,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    effects: Vec<Effect>,
}

impl Core {
    /// A front end with the endpoint list of its configuration.
    pub fn new(now: Time, config: &NodeConfig) -> Self {
        let site = &config.site;
        let usable = config
            .max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(8);
        let (clients, workers) = (usable * 3 / 5, usable * 2 / 5);
        let settings = EngineSettings {
            policy: site.policy.clone(),
            max_pending: site
                .transport
                .max_pending_requests
                .min(clients * MAX_PENDING_CALLS),
            max_body_bytes: (config.memory_mb as usize) << 18,
            answer_margin: ANSWER_MARGIN,
            ..EngineSettings::default()
        };
        let transport = &site.transport;
        let connection_pool = ConnectionPool::new(ConnectionPoolSettings {
            max_connections: workers,
            max_requests_per_connection: transport.max_requests_per_connection,
            connect_timeout: transport.connect_timeout,
            idle_close: transport.idle_timeout,
            cancel: site.policy.limits.cancel,
        });
        let mut core = Core {
            name: config.name.clone(),
            engine: Engine::new(settings, config.seed),
            site: site.clone(),
            max_client_timeout: site
                .policy
                .classes
                .iter()
                .map(|c| c.client_timeout)
                .max()
                .unwrap_or(0),
            client_sessions: ClientSessions::new(clients),
            connection_pool,
            in_flight: BTreeMap::new(),
            next_tag: 1,
            last_sweep: now,
            last_silence_sweep: now,
            shutdown_started: None,
            draining: false,
            has_endpoint_list: false,
            start_times: StartTimes::default(),
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            effects: Vec::new(),
        };
        for event in &config.known_updates {
            core.update_endpoints(now, event);
        }
        core
    }

    /// A number for a connection that the shell accepted.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.connection_pool.next_connection_id()
    }

    /// Moves the effects that are due to `effects`.
    pub fn take_effects(&mut self, effects: &mut Vec<Effect>) {
        effects.append(&mut self.effects);
        self.connection_pool.take_effects(effects);
    }

    /// When [`Core::tick`] is due next.
    pub fn next_due(&self) -> Time {
        self.engine
            .next_due()
            .unwrap_or(Time::MAX)
            .min(self.last_sweep + SWEEP_INTERVAL)
    }

    /// How many calls have no answer yet.
    pub fn pending_requests(&self) -> usize {
        self.engine.pending_requests()
    }

    /// How many connections there are to each side.
    pub fn connections(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.client_sessions.len(),
            workers: self.connection_pool.len(),
        }
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.engine.stats()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.connection_pool.sweep(now);
            self.settle_failures(now);
        }
        if now >= self.last_silence_sweep + SILENCE_SWEEP_INTERVAL {
            self.last_silence_sweep = now;
            for connection in self.client_sessions.silent_connections(now) {
                debug!(front_end = self.name, connection, "client is silent");
                self.effects.push(Effect::Retire { connection });
            }
        }
        if !self.draining
            && self
                .shutdown_started
                .is_some_and(|since| now >= since + ACCEPT_AFTER_SIGTERM)
        {
            self.draining = true;
            self.run(now, Input::Drain);
        }
        if self.final_answers_at().is_some_and(|at| now >= at) {
            self.run(now, Input::AnswerAll);
        }
        self.run(now, Input::Tick);
    }

    /// Connections that clients may have at a time.
    pub fn max_client_connections(&self) -> usize {
        self.client_sessions.max_connections()
    }

    /// Connections that there may be to workers at a time.
    pub fn max_worker_connections(&self) -> usize {
        self.connection_pool.max_connections()
    }

    /// Hands an input to the engine and carries out what it asks for.
    fn run(&mut self, now: Time, input: Input) {
        self.inputs.push_back(input);
        self.settle(now);
    }

    /// Hands queued inputs to the engine until none is left and all that it asked for is carried out.
    fn settle(&mut self, now: Time) {
        while let Some(input) = self.inputs.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.handle(now, input, &mut outputs);
            for output in outputs.drain(..) {
                self.perform(now, output);
            }
            self.outputs = outputs;
        }
    }
}
