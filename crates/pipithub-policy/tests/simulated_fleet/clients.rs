//! The clients: the requests that they send, and those that are still pending.

use std::collections::BTreeMap;

use pipithub_policy::api::{FunctionId, Request, RequestId, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};

use super::draws::{Purpose, generator, mix};
use super::scenario::{MS, Scenario};

/// The client timeout if the settings have no class.
const DEFAULT_CLIENT_TIMEOUT: Time = 4_000 * MS;
/// Set in all request ids, so that they are large numbers: timer tokens combine an id with flags in higher bits.
const REQUEST_ID_BIT: u64 = 1 << 40;
/// Clients do not retry while this many requests are pending.
const MAX_PENDING_FOR_RETRY: usize = 400;
/// Makes the random numbers of arrivals differ from others with the same seed.
const ARRIVAL_SEED_MASK: u64 = 1;

/// A request whose client still waits, or that has attempts in flight.
pub(crate) struct PendingRequest {
    pub request: Request,
    /// Attempts that have begun.
    pub attempts: u32,
    /// The worker of each attempt in flight, by the attempt's number.
    pub in_flight: BTreeMap<u32, usize>,
    /// The client has its answer, or has cancelled.
    pub settled: bool,
}

/// All clients of the front end.
pub(crate) struct Clients {
    pending: BTreeMap<RequestId, PendingRequest>,
    next_number: u64,
    next_function: u64,
    random: SmallRng,
    popularity: Zipf<f64>,
}

impl Clients {
    pub(crate) fn new(scenario: &Scenario) -> Clients {
        let functions = scenario.functions.count.max(1) as f64;
        Clients {
            pending: BTreeMap::new(),
            next_number: 1,
            next_function: 0,
            random: SmallRng::seed_from_u64(mix(scenario.seed ^ ARRIVAL_SEED_MASK)),
            popularity: Zipf::new(functions, 1.0).expect("there is at least one function"),
        }
    }

    /// Draws a new request; its memory, load time and concurrency are those of its function.
    pub(crate) fn draw_request(&mut self, scenario: &Scenario) -> Request {
        let function = self.draw_function(scenario);
        let class = self
            .random
            .random_range(0..scenario.settings.classes.len().max(1));
        let client_timeout = scenario
            .settings
            .classes
            .get(class)
            .map_or(DEFAULT_CLIENT_TIMEOUT, |class| class.client_timeout);
        let mut function_random = generator(scenario.seed, Purpose::Function, function, 0);
        let (shortest, longest) = scenario.functions.load_time;
        let load_time_known =
            function_random.random_range(0.0..1.0) < scenario.functions.load_time_known;
        let load_time = load_time_known
            .then(|| function_random.random_range(shortest..=longest.max(shortest + 1)));
        let replica_concurrency = function_random.random_range(0..6);
        let memory_mb = [0.0, 100.0, 900.0][function_random.random_range(0..3)];
        let timeout = match self.random.random_range(0..8) {
            0 => None,
            1 => Some(client_timeout / 3),
            _ => Some(client_timeout),
        };
        let work_known = self.random.random_bool(0.5);
        Request {
            id: self.next_id(),
            expected_work: work_known.then(|| usual_run_time(scenario, function)),
            memory_mb,
            replica_concurrency,
            class,
            load_time,
            function: FunctionId(function),
            timeout,
        }
    }

    fn draw_function(&mut self, scenario: &Scenario) -> u64 {
        if scenario.functions.called_once {
            self.next_function += 1;
            self.next_function
        } else {
            self.popularity.sample(&mut self.random) as u64
        }
    }

    /// Draws the time until the next request: 0 within a burst, otherwise exponentially distributed.
    pub(crate) fn draw_gap(&mut self, scenario: &Scenario) -> Time {
        let profile = &scenario.clients;
        let within_burst = profile.burst > 1 && !self.next_number.is_multiple_of(profile.burst);
        let mean = if within_burst {
            0
        } else {
            profile.mean_gap * profile.burst
        };
        let uniform = self.random.random_range(0.0..1.0f64);
        (mean as f64 * -(1.0 - uniform).ln()) as Time
    }

    /// An id that no request had before.
    pub(crate) fn next_id(&mut self) -> RequestId {
        let id = RequestId(self.next_number | REQUEST_ID_BIT);
        self.next_number += 1;
        id
    }

    /// Adds a request, whose client begins to wait.
    pub(crate) fn begin(&mut self, request: Request) {
        let pending = PendingRequest {
            request,
            attempts: 0,
            in_flight: BTreeMap::new(),
            settled: false,
        };
        self.pending.insert(pending.request.id, pending);
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&request)
    }

    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&request)
    }

    /// Forgets a request that is settled and has no attempt in flight.
    pub(crate) fn forget_if_complete(&mut self, request: RequestId) {
        let complete = |pending: &PendingRequest| pending.settled && pending.in_flight.is_empty();
        if self.pending.get(&request).is_some_and(complete) {
            self.pending.remove(&request);
        }
    }

    pub(crate) fn may_retry(&self) -> bool {
        self.pending.len() < MAX_PENDING_FOR_RETRY
    }

    /// Whether no client waits and no attempt is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }
}

/// The run time of a function at an idle worker, before random variation.
pub(crate) fn usual_run_time(scenario: &Scenario, function: u64) -> Time {
    let (shortest, longest) = scenario.functions.run_time;
    generator(scenario.seed, Purpose::Function, function, 1)
        .random_range(shortest..=longest.max(shortest + 1))
}

/// The load time of a function whose requests do not state it.
pub(crate) fn usual_load_time(scenario: &Scenario, function: u64) -> Time {
    let (shortest, longest) = scenario.functions.load_time;
    generator(scenario.seed, Purpose::Function, function, 2).random_range(shortest..=longest)
}
