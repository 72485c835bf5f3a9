//! The front end without sockets: bytes, endpoint events and time go in, effects come out.

mod calls;
mod clients;
mod discovery_log;
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

use self::discovery_log::DiscoveryLog;
use self::shutdown::Shutdown;
use crate::client_sessions::{ClientSessions, MAX_PENDING_CALLS};
use crate::connection_pool::{ConnectionPool, ConnectionPoolSettings};
use crate::effect::{ConnectionId, Effect};
use crate::start_times::StartTimes;

/// Messages to clients and workers state times in milliseconds.
const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;
/// How often the connection pool is swept for overdue requests and idle connections, in nanoseconds.
const SWEEP_INTERVAL: Time = 10_000_000;
/// How often the clients' connections are searched for silent ones, in nanoseconds.
const SILENCE_SWEEP_INTERVAL: Time = 100_000_000;
/// File descriptors reserved for the listener, logs, signals, the poller, the coordinator and connections that are
/// closing.
const RESERVED_DESCRIPTORS: usize = 24;
/// How many bytes the bodies of pending calls may take for each MB of the process's memory: a quarter of it.
const BODY_BYTES_PER_MEMORY_MB: usize = (1 << 20) / 4;
/// An answer is sent this long before the client's timeout, in nanoseconds, so that it arrives in time.
const ANSWER_MARGIN: Time = 5_000_000;
/// File descriptors that are always left for connections, however low the configured limit is.
const MIN_CONNECTION_DESCRIPTORS: usize = 8;

/// How many connections a front end has, including those being established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
}

/// The state of one front end: the engine, the clients' sessions and the connections to workers.
///
/// Every method takes the current time. What the shell must do as a result is collected and returned by
/// [`Core::take_effects`], which must be called after every other call that changes the state.
#[derive(Debug)]
pub struct Core {
    name: String,
    engine: Engine,
    site: SiteSettings,
    client_sessions: ClientSessions,
    connection_pool: ConnectionPool,
    /// The worker of each attempt that has not ended.
    in_flight: BTreeMap<AttemptId, WorkerId>,
    next_tag: u64,
    last_sweep: Time,
    last_silence_sweep: Time,
    shutdown: Shutdown,
    has_endpoint_list: bool,
    discovery_log: DiscoveryLog,
    start_times: StartTimes,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    effects: Vec<Effect>,
}

impl Core {
    /// Creates a front end that knows the workers listed in its configuration and has no connections yet.
    ///
    /// `now` is the current time of the clock whose times are passed to all other methods.
    pub fn new(now: Time, config: &NodeConfig) -> Self {
        let site = &config.site;
        let limits = ConnectionLimits::from_descriptors(config.max_descriptors);
        let max_client_timeout = max_client_timeout(site);
        let mut core = Core {
            name: config.name.clone(),
            engine: Engine::new(engine_settings(config, limits), config.seed),
            site: site.clone(),
            client_sessions: ClientSessions::new(limits.clients),
            connection_pool: ConnectionPool::new(connection_pool_settings(site, limits)),
            in_flight: BTreeMap::new(),
            next_tag: 1,
            last_sweep: now,
            last_silence_sweep: now,
            shutdown: Shutdown::new(max_client_timeout),
            has_endpoint_list: false,
            discovery_log: DiscoveryLog::new(last_known_event(config)),
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

    /// Returns an id for a connection that the shell has accepted; no id is returned twice.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.connection_pool.next_connection_id()
    }

    /// Returns the effects requested since the last call, in the order in which they must be carried out.
    #[must_use]
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        effects.extend(self.connection_pool.take_effects());
        effects
    }

    /// The time at which [`Core::tick`] must be called next, at the latest.
    pub fn next_due(&self) -> Time {
        self.engine
            .next_due()
            .unwrap_or(Time::MAX)
            .min(self.last_sweep + SWEEP_INTERVAL)
    }

    /// The number of calls that have no final answer yet.
    pub fn pending_requests(&self) -> usize {
        self.engine.pending_requests()
    }

    /// The current numbers of connections.
    pub fn connections(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.client_sessions.len(),
            workers: self.connection_pool.len(),
        }
    }

    /// The engine's counters since the start.
    pub fn stats(&self) -> Stats {
        self.engine.stats()
    }

    /// Does everything that is due at `now`: sweeps, steps of a shutdown and the engine's own timers.
    pub fn tick(&mut self, now: Time) {
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.renew_leases();
            self.connection_pool.sweep(now);
            self.process_failures(now);
        }
        if now >= self.last_silence_sweep + SILENCE_SWEEP_INTERVAL {
            self.last_silence_sweep = now;
            self.close_silent_clients(now);
        }
        self.discovery_log
            .report(now, &self.name, &self.engine.stats());
        self.advance_shutdown(now);
        self.run(now, Input::Tick);
    }

    /// Passes the leases that are in force to the connection pool, for work that is not written yet.
    fn renew_leases(&mut self) {
        let engine = &self.engine;
        self.connection_pool
            .renew_leases(|worker| engine.lease_end(worker));
    }

    fn close_silent_clients(&mut self, now: Time) {
        for connection in self.client_sessions.silent_connections(now) {
            debug!(
                front_end = self.name,
                connection = connection.0,
                "closing silent client"
            );
            self.effects.push(Effect::CloseIfIdle { connection });
        }
    }

    /// The maximum number of connections from clients at the same time.
    pub fn max_client_connections(&self) -> usize {
        self.client_sessions.max_connections()
    }

    /// The maximum number of connections to workers at the same time, including those being established.
    pub fn max_worker_connections(&self) -> usize {
        self.connection_pool.max_connections()
    }

    /// Gives an input to the engine and performs the resulting outputs.
    fn run(&mut self, now: Time, input: Input) {
        self.inputs.push_back(input);
        self.process_inputs(now);
    }

    /// Gives queued inputs to the engine until none is left; performing an output may queue further inputs.
    fn process_inputs(&mut self, now: Time) {
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

/// The maximum numbers of connections from clients and to workers, including those being established.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimits {
    clients: usize,
    workers: usize,
}

impl ConnectionLimits {
    /// Divides the process's file descriptors: of those that are not reserved, three fifths go to clients and two
    /// fifths to workers.
    fn from_descriptors(max_descriptors: usize) -> Self {
        let available = max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTION_DESCRIPTORS);
        ConnectionLimits {
            clients: available * 3 / 5,
            workers: available * 2 / 5,
        }
    }
}

/// The index of the last event of the endpoint list in the configuration; 0 if there is none.
fn last_known_event(config: &NodeConfig) -> u64 {
    config.known_updates.last().map_or(0, |event| event.index)
}

/// The longest client timeout of all classes; 0 if there is no class.
fn max_client_timeout(site: &SiteSettings) -> Time {
    site.policy
        .classes
        .iter()
        .map(|class| class.client_timeout)
        .max()
        .unwrap_or(0)
}

fn engine_settings(config: &NodeConfig, limits: ConnectionLimits) -> EngineSettings {
    let site = &config.site;
    EngineSettings {
        policy: site.policy.clone(),
        max_pending: site
            .transport
            .max_pending_requests
            .min(limits.clients * MAX_PENDING_CALLS),
        max_body_bytes: (config.memory_mb as usize).saturating_mul(BODY_BYTES_PER_MEMORY_MB),
        answer_margin: ANSWER_MARGIN,
        ..EngineSettings::default()
    }
}

fn connection_pool_settings(
    site: &SiteSettings,
    limits: ConnectionLimits,
) -> ConnectionPoolSettings {
    let transport = &site.transport;
    ConnectionPoolSettings {
        max_connections: limits.workers,
        max_requests_per_connection: transport.max_requests_per_connection,
        connect_timeout: transport.connect_timeout,
        worker_idle_timeout: transport.idle_timeout,
        cancel: site.policy.limits.cancel,
    }
}
