//! The description of a simulated fleet: its settings, workers, functions, clients and faults.

use pipithub_policy::api::{Class, Costs, FunctionLoading, Limits, Settings, SlowStart, Time};

/// Nanoseconds in a millisecond.
pub(crate) const MS: Time = 1_000_000;

/// The front ends of a large fleet, and the zones of its workers.
const LARGE_FLEET_FRONT_ENDS: u32 = 1_700;
const LARGE_FLEET_ZONES: usize = 7;
/// A limit that no worker reaches.
const UNLIMITED: f64 = 1e9;

/// A scenario of one front end. Shares and probabilities are from 0 to 1, times are in nanoseconds.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// The seed of all random numbers of the fleet.
    pub seed: u64,
    /// The settings of the front end.
    pub settings: Settings,
    /// The clock time at which the front end starts.
    pub start: Time,
    /// How long the scenario lasts.
    pub duration: Time,
    pub workers: WorkerProfile,
    pub functions: FunctionProfile,
    pub clients: ClientProfile,
    pub other_front_ends: OtherFrontEnds,
    pub faults: Faults,
    pub reporting: Reporting,
    pub endpoint_changes: EndpointChanges,
    /// The outages of discovery, each from its start to its end. Empty: no contact with discovery is simulated, so that
    /// the front end relies on its endpoint list without a limit of age.
    pub discovery_outages: Vec<(Time, Time)>,
}

/// The workers at the start of a scenario.
#[derive(Clone, Debug)]
pub(crate) struct WorkerProfile {
    pub count: usize,
    /// Zones that the workers are spread over unequally; 0: workers have no zone.
    pub zones: usize,
    /// The share of workers that have just started.
    pub just_started: f64,
    /// The number of requests in flight at a worker beyond which it rejects further ones.
    pub concurrency_limit: f64,
}

/// The functions that clients call.
#[derive(Clone, Debug)]
pub(crate) struct FunctionProfile {
    /// How many there are; their popularity has a long tail (Zipf distribution).
    pub count: u64,
    /// Each new request calls another function, so that `count` does not bound their number.
    pub called_once: bool,
    /// The shortest and the longest usual run time.
    pub run_time: (Time, Time),
    /// The shortest and the longest usual load time.
    pub load_time: (Time, Time),
    /// The share of functions whose requests state the load time.
    pub load_time_known: f64,
    /// The probability that a worker has a replica of a function before this front end's first request for it there.
    pub loaded_before: f64,
}

/// When clients send requests, cancel and retry.
#[derive(Clone, Debug)]
pub(crate) struct ClientProfile {
    /// The mean time between requests.
    pub mean_gap: Time,
    /// The number of requests that arrive at the same time.
    pub burst: u64,
    /// The probability that a client cancels.
    pub cancels: f64,
    /// The longest time after which a client cancels.
    pub cancels_within: Time,
    /// The probability that an answer is streamed.
    pub streams: f64,
    /// The probability that a client retries after a rejection or a failure.
    pub retries: f64,
}

/// What the other front ends send to the same workers.
#[derive(Clone, Debug)]
pub(crate) struct OtherFrontEnds {
    /// The mean number of their requests in flight at a worker.
    pub mean_in_flight: f64,
    /// The mean number of their requests in flight for the most popular function at a worker; the function of rank `n`
    /// has one `n`-th of it.
    pub same_function: f64,
}

/// Probabilities of faults, for each attempt unless stated otherwise.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    pub rejected: f64,
    pub error: f64,
    pub connection_lost: f64,
    pub unreachable: f64,
    /// The worker never answers.
    pub unanswered: f64,
    /// The run takes ten times as long.
    pub slow: f64,
    /// The replica was evicted.
    pub replica_evicted: f64,
    /// A load fails; drawn for each load.
    pub load_failed: f64,
    /// The share of workers that answer most requests with an error.
    pub failing_workers: f64,
}

/// Probabilities that workers report their load and honor cancellations.
#[derive(Clone, Debug)]
pub(crate) struct Reporting {
    /// An answer carries a load report.
    pub load_reports: f64,
    /// A load poll is answered.
    pub polls_answered: f64,
    /// A cancelled attempt is stopped.
    pub cancels_honored: f64,
}

/// Changes of the set of workers.
#[derive(Clone, Debug)]
pub(crate) struct EndpointChanges {
    /// The mean time between updates of the endpoint list; 0: there are none.
    pub mean_gap: Time,
    /// Whether updates may be lost, stale or contradictory.
    pub irregular: bool,
    /// From when until when the zone `z1` does not answer; `None`: it always does.
    pub silent_zone: Option<(Time, Time)>,
    /// When one worker in seven is removed, to return after a third of the scenario; `None`: never.
    pub mass_removal_at: Option<Time>,
}

impl Scenario {
    /// A large fleet with hardly any faults: 1,700 front ends, 7 zones, usual run times of 50 to 300 ms, and 95% of the
    /// replicas loaded before.
    pub(crate) fn healthy(
        seed: u64,
        workers: usize,
        functions: u64,
        requests_per_second: u64,
        duration: Time,
    ) -> Scenario {
        Scenario {
            seed,
            settings: large_fleet_settings(),
            start: 1_000_000 * MS,
            duration,
            workers: WorkerProfile {
                count: workers,
                zones: LARGE_FLEET_ZONES,
                just_started: 0.0,
                concurrency_limit: UNLIMITED,
            },
            functions: FunctionProfile {
                count: functions,
                called_once: false,
                run_time: (50 * MS, 300 * MS),
                load_time: (300 * MS, 900 * MS),
                load_time_known: 1.0,
                loaded_before: 0.95,
            },
            clients: ClientProfile {
                mean_gap: 1_000 * MS / requests_per_second.max(1),
                burst: 1,
                cancels: 0.002,
                cancels_within: 1_000 * MS,
                streams: 0.05,
                retries: 0.5,
            },
            other_front_ends: OtherFrontEnds {
                mean_in_flight: 3.0,
                same_function: 12.0,
            },
            faults: Faults {
                error: 0.002,
                connection_lost: 0.001,
                slow: 0.01,
                ..Faults::default()
            },
            reporting: Reporting {
                load_reports: 1.0,
                polls_answered: 1.0,
                cancels_honored: 0.9,
            },
            endpoint_changes: EndpointChanges {
                mean_gap: 0,
                irregular: false,
                silent_zone: None,
                mass_removal_at: None,
            },
            discovery_outages: Vec::new(),
        }
    }

    /// Variants of this scenario with one kind of fault each, by name.
    pub(crate) fn with_faults(self) -> Vec<(&'static str, Scenario)> {
        let end = self.start + self.duration;
        let first_third = self.start + self.duration / 3;
        let mut rejecting = self.clone();
        rejecting.faults.rejected = 0.9;
        let mut cold = self.clone();
        cold.functions.loaded_before = 0.0;
        cold.functions.load_time = (1_000 * MS, 3_000 * MS);
        cold.workers.just_started = 1.0;
        let mut silent_zone = self.clone();
        silent_zone.endpoint_changes.silent_zone = Some((first_third, end));
        let mut mass_removal = self.clone();
        mass_removal.endpoint_changes.mass_removal_at = Some(first_third);
        let mut called_once = self;
        called_once.functions.called_once = true;
        vec![
            (PREFERRED_WORKERS_REJECT, rejecting),
            (ALL_WORKERS_WARMING_UP, cold),
            (ZONE_SILENT, silent_zone),
            (MASS_REMOVAL, mass_removal),
            (FUNCTIONS_CALLED_ONCE, called_once),
        ]
    }
}

/// The names of the scenarios of [`Scenario::with_faults`], as they stand in the figures of the benchmark.
pub(crate) const PREFERRED_WORKERS_REJECT: &str = "homes full";
pub(crate) const ALL_WORKERS_WARMING_UP: &str = "all cold";
pub(crate) const ZONE_SILENT: &str = "a zone silent";
pub(crate) const MASS_REMOVAL: &str = "a seventh gone";
pub(crate) const FUNCTIONS_CALLED_ONCE: &str = "each function once";

fn large_fleet_settings() -> Settings {
    Settings {
        front_ends: LARGE_FLEET_FRONT_ENDS,
        tick: 2 * MS,
        classes: vec![Class {
            late_answer_weight: 0.3,
            client_timeout: 4_000 * MS,
            ..Class::default()
        }],
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            load_polls: true,
            health_checks: true,
            retry_after: true,
            max_retry_after: 500 * MS,
        },
        slow_start: SlowStart {
            initial_weight: 0.2,
            window: 15_000 * MS,
            overload_factor: 3.0,
            overload_window: 2_000 * MS,
        },
        loading: FunctionLoading {
            reports_cold_starts: true,
            reports_concurrency: true,
            ..FunctionLoading::default()
        },
        costs: Costs { load_poll: 0.02 },
        zone: "z0".to_string(),
        ..Settings::default()
    }
}
