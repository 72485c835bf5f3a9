//! A scenario of requests: which processes run, which load they get, and which faults are injected.

mod parse;

use pipithub_conformance::rules::Idempotency;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Nanoseconds within which an answer is wanted.
    pub latency_objective: u64,
    /// Nanoseconds that a client waits.
    pub client_timeout: u64,
    /// The weight of a served request.
    pub priority_weight: f64,
    /// Its part of the requests, relative to the other classes.
    pub share: f64,
    /// The mean run time of a request, in nanoseconds.
    pub work: u64,
    /// For how long workers drop duplicates of an idempotency key, in nanoseconds.
    pub deduplication_window: u64,
}

impl ClassSpec {
    /// The word for the idempotency in settings files.
    pub fn effect(&self) -> &'static str {
        match self.idempotency {
            Idempotency::Idempotent => "safe",
            Idempotency::WithKey => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        }
    }
}

/// A fault that is injected, or a change of the load. Workers, front ends, zones and servers are counted from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A worker crashes and is started again, without any function loaded.
    Crash {
        /// Which.
        worker: usize,
    },
    /// Workers are replaced one by one, each drained first.
    RollingDeploy {
        /// Nanoseconds between two.
        every: u64,
        /// How many.
        count: usize,
    },
    /// The endpoint list notifies late.
    DelayEndpointList {
        /// By how much, in nanoseconds.
        by: u64,
    },
    /// A worker accepts requests and answers none.
    SilentWorker {
        /// Which.
        worker: usize,
    },
    /// The model store is slowed down.
    SlowStore {
        /// By this factor.
        factor: f64,
    },
    /// The model store rejects every fetch.
    RejectStoreRequests,
    /// A front end is killed and started again.
    KillFrontEnd {
        /// Which.
        front_end: usize,
    },
    /// The broker drops all connections.
    DropBrokerConnections,
    /// All workers of a zone crash.
    ZoneOutage {
        /// Which.
        zone: usize,
    },
    /// Some requests have a very short timeout.
    ShortTimeouts {
        /// Their part of all requests.
        share: f64,
    },
    /// Some requests are for functions that are requested only once.
    OneTimeFunctions {
        /// Their part of all requests.
        share: f64,
    },
    /// A directory server misbehaves; at the end it behaves again.
    DirectoryFault {
        /// Which.
        server: usize,
        /// The command of the emulated server that causes it.
        fault: String,
    },
    /// A directory server misses migrations; at the end it catches up.
    StaleDirectory {
        /// Which.
        server: usize,
    },
    /// Users migrate to the other tenant.
    MigrateUsers {
        /// Nanoseconds between two.
        every: u64,
    },
    /// The second tenant sends a multiple of its requests.
    TenantSurge {
        /// How many times as many.
        times: f64,
    },
    /// Some requests are for one function.
    HotFunction {
        /// Their part of all requests.
        share: f64,
    },
}

/// The two tenants of a scenario, with their users in one directory.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Users, half of each tenant at first.
    pub users: usize,
    /// Servers of the directory.
    pub servers: usize,
    /// The part of the requests that ask for functions of the other tenant.
    pub cross_tenant_share: f64,
    /// Further lines of the settings of the directory.
    pub settings: String,
    /// How long after a migration a request may still reach the old tenant, in nanoseconds.
    pub migration_grace: u64,
}

/// A fault and when it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Nanoseconds from the first request.
    pub at: u64,
    /// How long it lasts, in nanoseconds.
    pub duration: u64,
    /// The fault.
    pub fault: Fault,
}

impl ScheduledFault {
    /// When it ends, in nanoseconds from the first request.
    pub fn end(&self) -> u64 {
        self.at + self.duration
    }
}

/// A scenario of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long requests are published, in nanoseconds.
    pub duration: u64,
    /// Requests a second.
    pub rate: f64,
    /// Front ends, each a process.
    pub front_ends: usize,
    /// Workers, each a process.
    pub workers: usize,
    /// Zones; workers are assigned to them in turn.
    pub zones: usize,
    /// Functions; the first ones are requested most.
    pub functions: usize,
    /// Further arguments of each worker.
    pub worker_arguments: Vec<String>,
    /// Further lines of the settings of the front ends.
    pub settings: String,
    /// Nanoseconds until the endpoint list notifies of a crash.
    pub endpoint_list_delay: u64,
    /// How long after its notification a front end may still send to a draining worker, in nanoseconds.
    pub drain_grace: u64,
    /// The allowance of the checks for time in transit, in nanoseconds.
    pub slack: u64,
    /// The tenants, where the scenario has any.
    pub tenants: Option<TenantSpec>,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The faults, by time.
    pub faults: Vec<ScheduledFault>,
}
