//! The number of workers that a decision examines does not grow with the size of the fleet. It is counted, not timed,
//! at two sizes, in a healthy scenario and in scenarios with faults.

mod reference;
mod simulated_fleet;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Action, Event, Settings, Time};
use simulated_fleet::cost::{Cost, DecisionModule, MeteredRun, median};
use simulated_fleet::scenario::{
    ALL_WORKERS_WARMING_UP, FUNCTIONS_CALLED_ONCE, MASS_REMOVAL, PREFERRED_WORKERS_REJECT,
    ZONE_SILENT,
};
use simulated_fleet::{MS, Scenario};

impl DecisionModule for reference::FrontEnd {
    fn start(settings: Settings, seed: u64) -> Self {
        reference::FrontEnd::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        reference::FrontEnd::handle(self, now, event, actions);
    }
}

/// The number of workers in the small fleet of a comparison.
const SMALL: usize = 300;
/// The number of workers in the large fleet of a comparison.
const LARGE: usize = 16_000;
/// The largest number of workers that a decision may examine in the large fleet, as a multiple of the number in the
/// small fleet.
const MAX_GROWTH: f64 = 2.0;
/// A run stops early once its requests examined this multiple of the allowed number of workers: the result is known
/// then.
const CUT_OFF: f64 = 4.0;
/// The name of the scenario without faults.
const HEALTHY: &str = "healthy";
const FUNCTIONS: u64 = 43_000;
const REQUESTS_PER_SECOND: u64 = 100;
/// Requests in a scenario.
const REQUESTS: u64 = 400;
/// Requests in a window, over which the workers examined are averaged.
const WINDOW: usize = 10;
/// The number of maintenance timers without requests that are counted.
const IDLE_MAINTENANCE: usize = 40;
/// The number of updates of one endpoint that are counted.
const SMALL_UPDATES: usize = 40;

/// The mean numbers of workers examined in one scenario.
#[derive(Debug, Default)]
struct Examined {
    /// Per request.
    request: f64,
    /// Per request, in the median window.
    middle_window: f64,
    /// Per request, in the window with the most.
    worst_window: f64,
    /// Per maintenance timer while requests arrive.
    busy_maintenance: f64,
    /// Per maintenance timer after all requests have ended; the same as `busy_maintenance` if the run stopped early.
    idle_maintenance: f64,
    /// Per update of one endpoint.
    small_update: f64,
    /// Per worker that a mass removal names.
    removed_worker: f64,
}

/// A figure that grew by more than [`MAX_GROWTH`] from the small to the large fleet.
#[derive(Debug)]
#[allow(
    dead_code,
    reason = "the sizes are read in the message of a failed test"
)]
struct Growth {
    what: &'static str,
    small: f64,
    large: f64,
}

const REQUEST_MEAN: &str = "a request, mean";
const REQUEST_MIDDLE: &str = "a request, middle window";
const REQUEST_WORST: &str = "a request, worst window";
const BUSY_MAINTENANCE: &str = "maintenance beside requests";
const IDLE: &str = "maintenance without requests";
const SMALL_UPDATE: &str = "an update of one endpoint";
const REMOVED_WORKER: &str = "a worker of a mass removal";

impl Examined {
    fn figures(&self) -> [(&'static str, f64); 7] {
        [
            (REQUEST_MEAN, self.request),
            (REQUEST_MIDDLE, self.middle_window),
            (REQUEST_WORST, self.worst_window),
            (BUSY_MAINTENANCE, self.busy_maintenance),
            (IDLE, self.idle_maintenance),
            (SMALL_UPDATE, self.small_update),
            (REMOVED_WORKER, self.removed_worker),
        ]
    }

    /// The figures that grew by more than [`MAX_GROWTH`]; a small figure below one worker counts as one.
    fn growth_to(&self, large: &Examined) -> Vec<Growth> {
        let both = self.figures().into_iter().zip(large.figures());
        both.map(|((what, small), (_, large))| Growth { what, small, large })
            .filter(|growth| growth.large > MAX_GROWTH * growth.small.max(1.0))
            .collect()
    }
}

fn mean_examined(costs: &[Cost]) -> f64 {
    costs.iter().map(|cost| cost.workers_examined).sum::<f64>() / costs.len().max(1) as f64
}

fn healthy(workers: usize) -> Scenario {
    let duration = REQUESTS * 1_000 * MS / REQUESTS_PER_SECOND;
    Scenario::healthy(5, workers, FUNCTIONS, REQUESTS_PER_SECOND, duration)
}

/// The scenario of this name with this number of workers.
fn scenario(name: &str, workers: usize) -> Scenario {
    let with_faults = healthy(workers).with_faults();
    let named = with_faults.into_iter().find(|(known, _)| *known == name);
    named.map_or_else(|| healthy(workers), |(_, scenario)| scenario)
}

/// Runs the requests of a scenario. Returns whether the run stopped early, as its requests examined more than `max`
/// workers each.
fn run_requests<F: DecisionModule>(run: &mut MeteredRun<F>, max: f64) -> bool {
    while run.step() {
        let requests = run.requests.len();
        let window_ends = requests >= 2 * WINDOW && requests.is_multiple_of(WINDOW);
        if window_ends && mean_examined(&run.requests) > max {
            return true;
        }
    }
    false
}

fn restart_one_worker<F: DecisionModule>(run: &mut MeteredRun<F>) -> Cost {
    let update = run.fleet.restart_one_worker();
    run.handle(run.fleet.now(), update)
}

/// The number of workers examined per worker that a mass removal names.
fn examined_by_mass_removal<F: DecisionModule>(run: &mut MeteredRun<F>) -> f64 {
    let update = run.fleet.remove_many_workers();
    let Event::Endpoints { endpoints, .. } = &update else {
        panic!("a mass removal is an update of the endpoint list: {update:?}");
    };
    let named = endpoints.len() as f64;
    run.handle(run.fleet.now(), update).workers_examined / named
}

/// Counts the workers examined in a scenario; a run that stops early measures fewer events.
fn count<F: DecisionModule>(scenario: Scenario, max: f64) -> Examined {
    let mut run: MeteredRun<F> = MeteredRun::new(scenario);
    let stopped_early = run_requests(&mut run, max);
    let windows: Vec<f64> = run
        .windows(WINDOW)
        .iter()
        .map(|window| window.workers_examined)
        .collect();
    let busy_maintenance = mean_examined(&run.maintenance);
    let request = mean_examined(&run.requests);
    let idle_maintenance = if stopped_early {
        busy_maintenance
    } else {
        mean_examined(&run.idle_maintenance(IDLE_MAINTENANCE))
    };
    let updates = if stopped_early { 1 } else { SMALL_UPDATES };
    let small_updates: Vec<Cost> = (0..updates).map(|_| restart_one_worker(&mut run)).collect();
    Examined {
        request,
        middle_window: median(windows.clone()),
        worst_window: windows.into_iter().fold(0.0, f64::max),
        busy_maintenance,
        idle_maintenance,
        small_update: mean_examined(&small_updates),
        removed_worker: examined_by_mass_removal(&mut run),
    }
}

/// Counts a scenario at both sizes and returns the figures that grew by more than [`MAX_GROWTH`].
fn growth<F: DecisionModule>(name: &str) -> Vec<Growth> {
    let small = count::<F>(scenario(name, SMALL), f64::INFINITY);
    assert!(
        small.request > 0.0,
        "{name}: the workers that a request examines are not counted"
    );
    let max = CUT_OFF * MAX_GROWTH * small.request;
    let large = count::<F>(scenario(name, LARGE), max);
    println!("{name}\n  {SMALL} workers {small:?}\n  {LARGE} workers {large:?}");
    small.growth_to(&large)
}

fn assert_no_growth(name: &str) {
    let growth = growth::<FrontEnd>(name);
    assert!(
        growth.is_empty(),
        "{name}: more than {MAX_GROWTH} times as many examined with {LARGE} as with {SMALL} workers: {growth:?}"
    );
}

/// The reference examines every worker, which is the fault that these tests must detect.
#[test]
fn growth_of_the_plain_reference_is_detected() {
    let found: Vec<_> = growth::<reference::FrontEnd>(HEALTHY)
        .iter()
        .map(|growth| growth.what)
        .collect();
    // In a mass removal the reference examines the same number per removed worker: only that figure does not grow.
    let growing = [
        REQUEST_MEAN,
        REQUEST_MIDDLE,
        REQUEST_WORST,
        BUSY_MAINTENANCE,
        IDLE,
        SMALL_UPDATE,
    ];
    for what in growing {
        assert!(
            found.contains(&what),
            "{what}: the growth with the reference was not detected: {found:?}"
        );
    }
}

#[test]
fn examined_workers_do_not_grow_when_healthy() {
    assert_no_growth(HEALTHY);
}

#[test]
fn examined_workers_do_not_grow_when_preferred_workers_reject() {
    assert_no_growth(PREFERRED_WORKERS_REJECT);
}

#[test]
fn examined_workers_do_not_grow_when_all_workers_warm_up() {
    assert_no_growth(ALL_WORKERS_WARMING_UP);
}

#[test]
fn examined_workers_do_not_grow_when_a_zone_is_silent() {
    assert_no_growth(ZONE_SILENT);
}

#[test]
fn examined_workers_do_not_grow_after_a_mass_removal() {
    assert_no_growth(MASS_REMOVAL);
}

#[test]
fn examined_workers_do_not_grow_when_each_function_is_called_once() {
    assert_no_growth(FUNCTIONS_CALLED_ONCE);
}
