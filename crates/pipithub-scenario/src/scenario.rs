//! A scenario of requests: which processes run, which load they get, and which faults are injected.

mod parse;

use pipithub_conformance::rules::Idempotency;

use crate::schedule::ScheduledFault;

/// A class of requests, with its part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// The name of the class.
    pub name: String,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// The time from publication to answer that the class aims for, in nanoseconds.
    pub latency_objective: u64,
    /// How long a client waits for the answer, in nanoseconds.
    pub client_timeout: u64,
    /// How much a request counts in the figure `service` of the report, relative to those of other classes.
    pub priority_weight: f64,
    /// The part of the requests that are of this class, relative to the other classes.
    pub share: f64,
    /// The mean run time of a request, in nanoseconds.
    pub work: u64,
    /// How long workers drop duplicates of an idempotency key, in nanoseconds.
    pub deduplication_window: u64,
}

impl ClassSpec {
    /// The value of the setting `effect` for the idempotency of the class.
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
        /// The worker's number.
        worker: usize,
    },
    /// Workers are replaced one by one, each drained first.
    RollingDeploy {
        /// The time from the drain of one worker to that of the next, in nanoseconds.
        every: u64,
        /// How many workers are replaced, from number 0 on.
        count: usize,
    },
    /// The endpoint list sends its notifications late.
    DelayEndpointList {
        /// The delay in nanoseconds.
        by: u64,
    },
    /// A worker accepts requests but does not answer them.
    SilentWorker {
        /// The worker's number.
        worker: usize,
    },
    /// Fetches from the model store take longer.
    SlowStore {
        /// The factor by which their time grows.
        factor: f64,
    },
    /// The model store rejects every fetch.
    RejectStoreRequests,
    /// A front end is killed and started again.
    KillFrontEnd {
        /// The front end's number.
        front_end: usize,
    },
    /// The broker drops all connections.
    DropBrokerConnections,
    /// All workers of a zone crash.
    ZoneOutage {
        /// The zone's number.
        zone: usize,
    },
    /// Some requests have a very short timeout.
    ShortTimeouts {
        /// The part of all requests that are affected, from 0 to 1.
        share: f64,
    },
    /// Some requests are for functions that are requested only once.
    OneTimeFunctions {
        /// The part of all requests that are affected, from 0 to 1.
        share: f64,
    },
    /// A directory server misbehaves until the end of the fault.
    DirectoryFault {
        /// The server's number.
        server: usize,
        /// The command of the emulated server that causes it.
        fault: String,
    },
    /// A directory server misses migrations until the end of the fault, when it catches up.
    StaleDirectory {
        /// The server's number.
        server: usize,
    },
    /// Users migrate to the other tenant.
    MigrateUsers {
        /// Time between two migrations, in nanoseconds.
        every: u64,
    },
    /// The second tenant sends a multiple of its requests.
    TenantSurge {
        /// The factor by which the number of its requests grows.
        times: f64,
    },
    /// Some requests are for one function.
    HotFunction {
        /// The part of all requests that are affected, from 0 to 1.
        share: f64,
    },
}

/// The two tenants of a scenario, with their users in one directory.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// The number of users, of which half belong to each tenant at first.
    pub users: usize,
    /// The number of servers of the directory.
    pub servers: usize,
    /// The part of the requests that ask for a function of the other tenant, from 0 to 1.
    pub cross_tenant_share: f64,
    /// Further lines of the directory's settings, in KDL.
    pub settings: String,
    /// Whether each user numbers messages from 1, so that users have equal message ids.
    pub has_equal_ids: bool,
    /// The maximum age of a signature at the first delivery of its message, in nanoseconds.
    pub max_signature_age: u64,
    /// How long after a migration a request may still reach a function of the old tenant, in nanoseconds.
    pub migration_grace: u64,
}

/// A scenario of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// How long requests are published, in nanoseconds.
    pub duration: u64,
    /// Requests per second.
    pub rate: f64,
    /// The number of front ends, each a process.
    pub front_ends: usize,
    /// The number of workers, each a process.
    pub workers: usize,
    /// The number of zones; workers are assigned to them in turn.
    pub zones: usize,
    /// The number of functions; the first ones are requested most.
    pub functions: usize,
    /// Further command-line arguments of each worker.
    pub worker_arguments: Vec<String>,
    /// Further lines of the front ends' settings, in KDL.
    pub settings: String,
    /// The time from a crash of a worker until the endpoint list notifies of its removal, in nanoseconds.
    pub endpoint_list_delay: u64,
    /// How long after its notification a front end may still send new work to a draining worker, in nanoseconds.
    pub drain_grace: u64,
    /// The tolerance of the rules for time in transit, in nanoseconds.
    pub slack: u64,
    /// The tenants; `None` if requests belong to no user.
    pub tenants: Option<TenantSpec>,
    /// The classes of requests; at least one.
    pub classes: Vec<ClassSpec>,
    /// The faults, by time.
    pub faults: Vec<ScheduledFault<Fault>>,
}
