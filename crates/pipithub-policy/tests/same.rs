//! In more than a thousand random scenarios the module and its reference take the same actions.
//!
//! Each scenario draws its settings, workers, requests and faults from a seed, and gives the same
//! events to both. What happens is counted, so that no rule of the module goes untested.

mod reference;
mod simulated_fleet;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;

use pipithub_policy::api::{
    Action, AttemptFinished, Class, Endpoint, EndpointUpdate, Event, FunctionId, Idempotency,
    LoadReport, Outcome, Request, RequestId, Settings, Time, WorkerId,
};
use pipithub_policy::{FrontEnd, work};
use simulated_fleet::{EventCounts, Scenario, SimulatedFleet};

/// Scenarios of each part; each part is a test of its own, so that parts run in parallel.
const SCENARIOS_PER_PART: u64 = 125;
/// The largest number of workers in a scenario.
const MAX_WORKERS: u64 = 300;
/// The largest number of front ends in a small deployment. In a larger one load reports are relied on.
const MAX_SMALL_DEPLOYMENT: u32 = 8;

/// The module and the reference, which are given the same events.
struct Comparison {
    seed: u64,
    module: FrontEnd,
    reference: reference::FrontEnd,
    /// The actions of the reference after the last event.
    expected: Vec<Action>,
    /// The actions of the module after the last event.
    decided: Vec<Action>,
    /// The number of events that both were given.
    events: u64,
}

impl Comparison {
    fn new(seed: u64, settings: &Settings) -> Self {
        Comparison {
            seed,
            module: FrontEnd::new(settings.clone(), seed),
            reference: reference::FrontEnd::new(settings.clone(), seed),
            expected: Vec::new(),
            decided: Vec::new(),
            events: 0,
        }
    }

    /// Gives one event to both and compares the actions; `None` if the reference panics, as it does
    /// on an arithmetic overflow, so that there are no actions to compare with.
    fn handle(&mut self, now: Time, event: &Event) -> Option<&[Action]> {
        self.events += 1;
        self.expected.clear();
        self.decided.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            self.reference
                .handle(now, event.clone(), &mut self.expected);
        }));
        if handled.is_err() {
            return None;
        }
        self.module.handle(now, event.clone(), &mut self.decided);
        assert!(
            self.expected == self.decided,
            "scenario {}, event {} at {now}: {event:?}\nreference {:?}\nmodule {:?}",
            self.seed,
            self.events,
            self.expected,
            self.decided
        );
        Some(&self.expected)
    }
}

/// Runs one scenario and returns how often each kind of event happened in it.
fn run_scenario(seed: u64, scenario: Scenario) -> EventCounts {
    let is_large = scenario.settings.front_ends > MAX_SMALL_DEPLOYMENT;
    let mut comparison = Comparison::new(seed, &scenario.settings);
    let mut fleet = SimulatedFleet::new(scenario);
    let mut next = Some((fleet.scenario.start, fleet.endpoint_snapshot()));
    while let Some((now, event)) = next {
        let Some(actions) = comparison.handle(now, &event) else {
            fleet.counts.insert("scenario cut short", 1);
            break;
        };
        fleet.apply(actions);
        next = fleet.next_event();
    }
    let mut counts = std::mem::take(&mut fleet.counts);
    let (scenarios_key, attempts_key) = if is_large {
        ("scenario, large deployment", "attempt, large deployment")
    } else {
        ("scenario, small deployment", "attempt, small deployment")
    };
    let attempts = counts.get("attempt").copied().unwrap_or_default();
    *counts.entry(scenarios_key).or_default() += 1;
    *counts.entry(attempts_key).or_default() += attempts;
    counts.insert("event", comparison.events);
    counts
}

/// How often each kind of event must have happened in each part at least, so that no rule goes
/// untested.
const MIN_COUNTS: [(&str, u64); 40] = [
    ("not loaded", 1000),
    ("request arrived", 10000),
    ("request retried", 1500),
    ("connection lost", 40),
    ("cancel", 200),
    ("attempt cancelled", 150),
    ("scenario, large deployment", 40),
    ("scenario, small deployment", 25),
    ("evict command", 5),
    ("error", 400),
    ("request failed", 250),
    ("endpoint watch", 30),
    ("rejected by worker", 600),
    ("load command", 300),
    ("client cancelled", 25),
    ("endpoint snapshot", 50),
    ("endpoints lost", 25),
    ("endpoint delta", 700),
    ("endpoints cached", 25),
    ("endpoint listed twice", 50),
    ("load awaited", 35),
    ("load started", 120),
    ("load failed", 10),
    ("not sent", 5),
    ("load command done", 300),
    ("load command failed", 10),
    ("load poll", 1200),
    ("load poll answered", 800),
    ("load poll not answered", 150),
    ("request rejected", 3500),
    ("request rejected with retry-after", 800),
    ("attempt", 6000),
    ("attempt, large deployment", 2500),
    ("attempt, small deployment", 2500),
    ("retry", 500),
    ("served", 2500),
    ("mass removal", 12),
    ("streaming", 120),
    ("timed out", 60),
    ("unreachable", 150),
];
/// The largest number of scenarios in a part that may be cut short by an overflow in the reference.
const MAX_CUT_SHORT: u64 = 3;

/// Runs the scenarios of one part, and checks that enough happened in them.
fn run_part(part: u64) {
    let seeds = part * SCENARIOS_PER_PART..(part + 1) * SCENARIOS_PER_PART;
    run_scenarios(seeds, &MIN_COUNTS, |seed| {
        Scenario::random(seed, MAX_WORKERS)
    });
}

/// Scenarios of each part with outages of discovery.
const OUTAGE_SCENARIOS_PER_PART: u64 = 120;
/// The largest number of workers in a scenario with outages of discovery.
const MAX_WORKERS_IN_OUTAGES: u64 = 40;
/// How often each kind of event must have happened at least in each part with outages of discovery.
const MIN_OUTAGE_COUNTS: [(&str, u64); 9] = [
    ("request arrived", 6000),
    ("attempt", 3000),
    ("discovery contact", 300),
    ("change delayed", 250),
    ("worker disconnected", 50),
    ("health check", 1000),
    ("health check answered well", 700),
    ("health check failed", 20),
    ("health check not answered", 50),
];

/// Runs the scenarios of one part with outages of discovery.
fn run_outage_part(part: u64) {
    let seeds = part * OUTAGE_SCENARIOS_PER_PART..(part + 1) * OUTAGE_SCENARIOS_PER_PART;
    run_scenarios(seeds, &MIN_OUTAGE_COUNTS, |seed| {
        Scenario::random(seed, MAX_WORKERS_IN_OUTAGES).with_outages()
    });
}

/// How often each kind of event must have happened at least with outages of discovery and without health checks.
const MIN_UNCHECKED_OUTAGE_COUNTS: [(&str, u64); 5] = [
    ("request arrived", 6000),
    ("attempt", 2000),
    ("discovery contact", 300),
    ("change delayed", 250),
    ("request rejected", 2500),
];

/// Runs the scenarios of one part with outages of discovery and without health checks.
fn run_unchecked_outage_part(part: u64) {
    let seeds = part * OUTAGE_SCENARIOS_PER_PART..(part + 1) * OUTAGE_SCENARIOS_PER_PART;
    run_scenarios(seeds, &MIN_UNCHECKED_OUTAGE_COUNTS, |seed| {
        Scenario::random(seed, MAX_WORKERS_IN_OUTAGES)
            .with_outages()
            .without_health_checks()
    });
}

/// Runs the scenarios of these seeds, and checks that enough happened in them.
fn run_scenarios(
    seeds: std::ops::Range<u64>,
    min_counts: &[(&str, u64)],
    scenario: impl Fn(u64) -> Scenario,
) {
    let (mut totals, started_at) = (EventCounts::new(), Instant::now());
    for seed in seeds.clone() {
        for (name, count) in run_scenario(seed, scenario(seed)) {
            *totals.entry(name).or_default() += count;
        }
    }
    println!(
        "seeds {seeds:?}: {:.1} s, {totals:?}",
        started_at.elapsed().as_secs_f64()
    );
    let total = |name: &str| totals.get(name).copied().unwrap_or_default();
    for (name, min) in min_counts {
        let count = total(name);
        assert!(
            count >= *min,
            "seeds {seeds:?}: {name} happened {count} times, not at least {min} times"
        );
    }
    assert!(
        total("scenario cut short") <= MAX_CUT_SHORT,
        "seeds {seeds:?}: too many scenarios were cut short"
    );
}

/// Defines a test for each part.
macro_rules! parts {
    ($run:ident: $($name:ident $part:literal),* $(,)?) => {
        $(#[test]
        fn $name() {
            $run($part);
        })*
    };
}

parts! {
    run_outage_part:
    module_decides_as_reference_in_outages_part_0 0,
    module_decides_as_reference_in_outages_part_1 1,
    module_decides_as_reference_in_outages_part_2 2,
}

parts! {
    run_unchecked_outage_part:
    module_decides_as_reference_in_outages_without_health_checks 3,
}

parts! {
    run_part:
    module_decides_as_reference_in_part_0 0,
    module_decides_as_reference_in_part_1 1,
    module_decides_as_reference_in_part_2 2,
    module_decides_as_reference_in_part_3 3,
    module_decides_as_reference_in_part_4 4,
    module_decides_as_reference_in_part_5 5,
    module_decides_as_reference_in_part_6 6,
    module_decides_as_reference_in_part_7 7,
}

#[test]
fn reference_counts_each_worker_that_it_looks_at() {
    const WORKERS: u8 = 20;
    let mut reference = reference::FrontEnd::new(Settings::default(), 7);
    let endpoint = |number: u8| Endpoint {
        worker: WorkerId::new(&format!("10.0.0.{number}:80")),
        ..Endpoint::default()
    };
    let snapshot = Event::Endpoints {
        update: EndpointUpdate::Snapshot,
        endpoints: (0..WORKERS).map(endpoint).collect(),
    };
    let request = Request {
        id: RequestId(1),
        function: FunctionId(42),
        timeout: Some(2_000_000_000),
        ..Request::default()
    };
    let mut actions = Vec::new();
    reference.handle(0, snapshot, &mut actions);
    work::take_examined();
    reference.handle(1_000_000, Event::Arrived(request), &mut actions);
    assert!(
        work::take_examined() >= u64::from(WORKERS),
        "the reference examines every worker"
    );
    assert!(actions.iter().any(|action| matches!(
        action,
        Action::Forward {
            request: RequestId(1),
            ..
        }
    )));
}

// The tests below reach limits that random scenarios hardly ever reach.

/// Nanoseconds in a second.
const SECOND: Time = 1_000_000_000;
/// Nanoseconds in a millisecond.
const MILLISECOND: Time = 1_000_000;

fn snapshot(workers: &[&WorkerId]) -> Event {
    let endpoint = |worker: &&WorkerId| Endpoint {
        worker: (*worker).clone(),
        ..Endpoint::default()
    };
    Event::Endpoints {
        update: EndpointUpdate::Snapshot,
        endpoints: workers.iter().map(endpoint).collect(),
    }
}

fn forwarded_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { worker, .. } => Some(worker.clone()),
        _ => None,
    })
}

/// In random scenarios a worker hardly ever reaches its limit of late requests, which are admitted
/// for an answer after their objective: the estimated run time keeps further ones away before that.
#[test]
fn module_decides_as_reference_at_the_limit_of_late_requests() {
    const REQUESTS: u64 = 12;
    const MAX_LATE_REQUESTS: usize = 8;
    let class = Class {
        latency_objective: SECOND,
        objective_per_work: 1.0,
        client_timeout: 60 * SECOND,
        late_answer_weight: 0.5,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let mut comparison = Comparison::new(1, &settings);
    let request = |number: u64| Request {
        id: RequestId(number),
        replica_concurrency: 64,
        expected_work: Some(4 * SECOND),
        load_time: Some(20 * SECOND),
        ..Request::default()
    };
    comparison.handle(0, &snapshot(&[&WorkerId::default()]));
    // A replica is presumed for the first request. That request stays unanswered, so that a load is
    // predicted for the others.
    comparison.handle(1, &Event::Arrived(request(0)));
    let mut forwarded = 0;
    let mut rejected = 0;
    for number in 1..=REQUESTS {
        let arrived = Event::Arrived(request(number));
        for action in comparison
            .handle(SECOND + number, &arrived)
            .unwrap_or_default()
        {
            forwarded += usize::from(matches!(action, Action::Forward { .. }));
            rejected += usize::from(matches!(action, Action::Reject { .. }));
        }
    }
    assert_eq!(forwarded, MAX_LATE_REQUESTS);
    assert_eq!(forwarded + rejected, REQUESTS as usize);
}

/// Whether a request is retried if its first attempt times out at this time after it was sent.
fn is_retried_after(elapsed: Time, class: &Class) -> bool {
    let settings = Settings {
        classes: vec![class.clone()],
        tick: 5 * MILLISECOND,
        ..Settings::default()
    };
    let mut comparison = Comparison::new(1, &settings);
    let workers = [WorkerId::new("10.0.0.1:80"), WorkerId::new("10.0.0.2:80")];
    comparison.handle(0, &snapshot(&[&workers[0], &workers[1]]));
    let arrived = Event::Arrived(Request::default());
    let first = comparison.handle(SECOND, &arrived).and_then(forwarded_to);
    let timed_out = Event::AttemptFinished(AttemptFinished {
        request: RequestId::default(),
        attempt: 0,
        worker: first.expect("the first attempt is forwarded"),
        outcome: Outcome::TimedOut,
        elapsed,
        settled: false,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
    });
    let actions = comparison.handle(SECOND + elapsed, &timed_out);
    actions.and_then(forwarded_to).is_some()
}

/// The least number of whole milliseconds before the limit at which a request is still retried;
/// `None` if it is not retried within the last 99 ms.
fn last_retry_before(limit: Time, class: &Class) -> Option<u64> {
    (0..100).find(|early| is_retried_after(limit - early * MILLISECOND, class))
}

#[test]
fn module_retries_until_two_ticks_before_the_client_timeout() {
    let class = Class {
        latency_objective: MILLISECOND / 10,
        client_timeout: 4 * SECOND,
        late_answer_weight: 0.5,
        ..Class::default()
    };
    assert_eq!(last_retry_before(class.client_timeout, &class), Some(11));
}

#[test]
fn module_retries_until_four_ticks_before_the_deduplication_window_ends() {
    let class = Class {
        latency_objective: MILLISECOND / 10,
        client_timeout: 4 * SECOND,
        late_answer_weight: 0.5,
        idempotency: Idempotency::WithKey,
        deduplication_window: 2 * SECOND,
        ..Class::default()
    };
    assert_eq!(
        last_retry_before(class.deduplication_window, &class),
        Some(21)
    );
}

/// The worker that a request is forwarded to in a large deployment of two workers, where the first
/// one reports this CPU utilization in thousandths and the second one reports 500.
fn chosen_beside_busy_cores(per_mille: u32, workers: &[WorkerId; 2]) -> Option<WorkerId> {
    let settings = Settings {
        front_ends: MAX_SMALL_DEPLOYMENT + 1,
        classes: vec![Class {
            late_answer_weight: 0.5,
            ..Class::default()
        }],
        ..Settings::default()
    };
    let mut comparison = Comparison::new(1, &settings);
    comparison.handle(0, &snapshot(&[&workers[0], &workers[1]]));
    for (worker, per_mille) in workers.iter().zip([per_mille, 500]) {
        let polled = Event::LoadPolled {
            worker: worker.clone(),
            answered: true,
            report: LoadReport {
                cpu_utilization: Some(f64::from(per_mille) / 1_000.0),
                ..LoadReport::default()
            },
        };
        comparison.handle(SECOND, &polled);
    }
    let arrived = Event::Arrived(Request::default());
    let actions = comparison.handle(SECOND + MILLISECOND, &arrived)?;
    forwarded_to(actions)
}

#[test]
fn module_prefers_another_worker_when_cores_are_over_95_percent_busy() {
    let workers = [WorkerId::new("10.0.0.1:80"), WorkerId::new("10.0.0.2:80")];
    let swapped = [workers[1].clone(), workers[0].clone()];
    let first_busy_at = |workers: &[WorkerId; 2]| {
        let idle = chosen_beside_busy_cores(0, workers);
        (0..1_000).find(|per_mille| chosen_beside_busy_cores(*per_mille, workers) != idle)
    };
    // Only the load report of the function's preferred worker makes a difference.
    let limits = [first_busy_at(&workers), first_busy_at(&swapped)];
    assert!(
        limits.contains(&Some(951)) && limits.contains(&None),
        "{limits:?}"
    );
}
