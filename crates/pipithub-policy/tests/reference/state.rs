//! What a front end remembers, as plain data. What is made of it stands in `src/decide.rs`.

use super::counting_map::CountingMap;
use pipithub_policy::api::{Endpoint, FunctionId, Request, RequestId, Settings, Time, WorkerId};
use std::collections::{BTreeMap, VecDeque};

/// One front end.
#[derive(Debug, Default)]
pub(crate) struct FrontEnd {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) seed: u64,
    pub(crate) workers: CountingMap<WorkerState>,
    pub(crate) functions: BTreeMap<FunctionId, FunctionState>,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    /// Mean run time of each class.
    pub(crate) class_run_times: Vec<Option<f64>>,
    /// Seen load time over the told one, and the mean load where none is told.
    pub(crate) load_slowdown: f64,
    pub(crate) mean_load_time: Option<f64>,
    pub(crate) load_observed_at: Time,
    /// Health of what loads come from, and loads that failed since the last that was done.
    pub(crate) store_health: Health,
    pub(crate) consecutive_failed_loads: u32,
    /// Arrivals and orders within the ration's window, arrivals within the rate span at least.
    pub(crate) arrivals: VecDeque<Time>,
    pub(crate) load_commands: VecDeque<Time>,
    pub(crate) next_rebalancing_at: Time,
    pub(crate) rebalancing_allowance: f64,
    /// Calls that a warm worker serves this front end, for each unit of time.
    pub(crate) warm_rate: f64,
    /// Its mean over a longer time.
    pub(crate) mean_warm_rate: RunningMean,
    /// Mean of what workers told to hold, and of how far runs were stretched there.
    pub(crate) reported_queues: (f64, f64),
    /// Calls that may now be sent on a guess.
    pub(crate) speculation_tokens: f64,
    /// Zones that say nothing.
    pub(crate) silent_zones: BTreeMap<String, Health>,
    /// Mean share of their worth that own sends lost: answered late, in error or not at all.
    pub(crate) mean_lost_value: f64,
}

/// A mean over the last samples: each weighs as much as the others while there are few, and fades later.
#[derive(Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    samples: u32,
}

impl RunningMean {
    /// So many samples weigh alike before the oldest ones fade.
    const MAX_SAMPLES: u32 = 400;

    /// Takes in a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(Self::MAX_SAMPLES);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }

    /// A value held to the mean at most; before the first sample nothing bounds it.
    pub(crate) fn cap(&self, value: f64) -> f64 {
        if self.samples == 0 {
            value
        } else {
            value.min(self.mean)
        }
    }
}

/// A send that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) at: Time,
    /// When the replay foresaw its answer.
    pub(crate) predicted_finish: Time,
    /// The deadline that the replay held it to.
    pub(crate) target_deadline: Time,
    /// The run alone, at the usual pace.
    pub(crate) run: f64,
    /// An answer after this is late.
    pub(crate) latency_objective: Time,
    /// It was believed to wait for a load; or no answer had shown the copy yet.
    pub(crate) cold: bool,
    pub(crate) unconfirmed: bool,
    /// All lanes were taken; and own sends of the function there, itself included.
    pub(crate) adds_replica: bool,
    pub(crate) same: f64,
    /// Own sends at the worker when it left, itself included.
    pub(crate) concurrency: f64,
    /// It was withdrawn, but its work may go on.
    pub(crate) cancelled: bool,
}

/// What is believed of a function's copies at one worker.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub(crate) count: u32,
    /// Calls of it that other front ends have there.
    pub(crate) others: f64,
    /// When they stand loaded.
    pub(crate) ready: Time,
    /// The last sign that they were in use.
    pub(crate) used: Time,
    /// An answer or order reply has shown them.
    pub(crate) confirmed: bool,
    /// Placed by an order of this front end.
    pub(crate) placed: bool,
    /// An order for them is under way.
    pub(crate) ordered: bool,
    /// Run time admitted here in this interval.
    pub(crate) admitted_run_time: f64,
    /// Run time that moved on in this interval because no copy stood here, and how often.
    pub(crate) missed_run_time: f64,
    pub(crate) placement_misses: u32,
    /// Least time to spare beyond the run among those.
    pub(crate) min_slack: f64,
}

/// Troubles not yet outweighed by answers, and until when the worker is left alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) bad: u32,
    pub(crate) ejected_until: Time,
    /// When it was shut last.
    pub(crate) since: Time,
    /// Share of errors among the last ends, and the function of the last one.
    pub(crate) errors: f64,
    pub(crate) record_error: Option<FunctionId>,
}

/// What a worker last told of its load: when, the calls it held and how busy its cores were.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    pub(crate) at: Time,
    pub(crate) held: f64,
    pub(crate) busy: f64,
    /// The calls it held over a longer time.
    pub(crate) usual: f64,
}

#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) endpoint: Endpoint,
    pub(crate) hash: u64,
    pub(crate) replicas: BTreeMap<FunctionId, Replicas>,
    pub(crate) in_flight: Vec<Attempt>,
    /// Served time over the usual, and own sends there meanwhile.
    pub(crate) slowdown: f64,
    pub(crate) concurrency: f64,
    pub(crate) heard: Time,
    /// The most own sends to have there; a refusal cuts it, answers raise it.
    pub(crate) concurrency_limit: f64,
    /// Its health for each class: what stands behind a worker may fail one class alone.
    pub(crate) health: Vec<Health>,
    /// Failed or broken connections since its last answer.
    pub(crate) consecutive_connect_failures: u32,
    pub(crate) told: ReportedLoad,
    /// Sends within the last rate span.
    pub(crate) sends: VecDeque<Time>,
    /// Answers served within it, with their class.
    pub(crate) served: VecDeque<(Time, usize)>,
}

impl WorkerState {
    /// A worker of which nothing is known but its entry.
    pub(crate) fn new(endpoint: Endpoint, classes: usize) -> Self {
        let hash = endpoint
            .worker
            .0
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
                (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
            });
        WorkerState {
            endpoint,
            hash: mix(hash),
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            slowdown: 1.0,
            concurrency: 1.0,
            concurrency_limit: f64::INFINITY,
            heard: 0,
            health: vec![Health::default(); classes],
            consecutive_connect_failures: 0,
            told: ReportedLoad::default(),
            sends: VecDeque::new(),
            served: VecDeque::new(),
        }
    }
}

/// A function as this front end knows it.
#[derive(Debug, Default)]
pub(crate) struct FunctionState {
    pub(crate) replica_concurrency: u32,
    pub(crate) memory_mb: f64,
    pub(crate) declared_load_time: Option<Time>,
    /// The longest load seen, fading.
    pub(crate) observed_load_time: Option<f64>,
    pub(crate) run: Option<f64>,
    pub(crate) last_requested_at: Time,
    /// Homes that it needs in a large tier, of one copy each; under 1 while nothing was told.
    pub(crate) preferred_workers: f64,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub(crate) call: Request,
    pub(crate) latency_objective: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: u32,
    pub(crate) attempt_in_flight: bool,
    /// The first attempt that may have run: when, and in which zone and cell.
    pub(crate) possible_execution: Option<(Time, String, u64)>,
    pub(crate) attempted_workers: Vec<WorkerId>,
    pub(crate) streaming: bool,
    /// It waits, unsent, for an order's reply.
    pub(crate) awaits_load: bool,
    /// It waits, unsent, for a worker to tell its load; and how often it has.
    pub(crate) polled_worker: Option<WorkerId>,
    pub(crate) load_polls: u32,
}

/// What the replay of one worker foresees for a newcomer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    pub(crate) cold: bool,
    /// All lanes are taken: the worker may well start a further copy for it.
    pub(crate) adds_replica: bool,
    /// Every queued deadline still holds.
    pub(crate) others_meet_deadlines: bool,
    /// When it would be served if a copy stood, and with any load counted.
    pub(crate) warm_finish: Time,
    pub(crate) finish: Time,
}

/// A number drawn from 0 up to 1: equal for equal seeds.
pub(crate) fn draw(seed: u64) -> f64 {
    (mix(seed) >> 11) as f64 / (1u64 << 53) as f64
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
