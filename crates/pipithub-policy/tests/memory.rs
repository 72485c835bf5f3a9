//! The memory of a front end is bounded: its state for functions that are no longer called, and for workers that were
//! removed, is freed.

mod common;
mod simulated_fleet;

use allocation_counter::measure;
use common::{FrontEndHarness, THREE_WORKERS, endpoint, forwarded_to, settings};
use pipithub_policy::FrontEnd;
use pipithub_policy::api::{Endpoint, EndpointState, Idempotency, Outcome};
use simulated_fleet::{MS, Scenario, SimulatedFleet};

const SEED: u64 = 3;
const WORKERS: usize = 60;
const REQUESTS_PER_SECOND: u64 = 100;
const MS_PER_REQUEST: u64 = 1_000 / REQUESTS_PER_SECOND;
/// The keep-alive of replicas, which is the interval of rebalancing here too. Functions are forgotten after six
/// intervals without a request.
const KEEP_ALIVE: u64 = 1_000 * MS;
/// How long a scenario continues after the last request, so that functions are forgotten.
const FORGETTING_TIME: u64 = 20_000 * MS;
/// More than 0, as queues keep the capacity that they once had. A function that is not forgotten would take a hundred
/// bytes or more.
const MAX_BYTES_PER_FUNCTION: i64 = 20;
/// Room for all actions of one event, so that no growth of their list is counted.
const MAX_ACTIONS: usize = 10_000;

/// The bytes that a front end holds some time after this number of functions were called once each.
fn bytes_after_calling_once(functions: u64) -> i64 {
    let duration = functions * MS_PER_REQUEST * MS;
    let mut scenario = Scenario::healthy(SEED, WORKERS, functions, REQUESTS_PER_SECOND, duration);
    scenario.functions.called_once = true;
    scenario.settings.loading.keep_alive = KEEP_ALIVE;
    let settings = scenario.settings.clone();
    let mut fleet = SimulatedFleet::new(scenario);
    let mut actions = Vec::with_capacity(MAX_ACTIONS);
    let mut front_end = None;
    let mut bytes =
        measure(|| front_end = Some(FrontEnd::new(settings.clone(), SEED))).bytes_current;
    let mut front_end = front_end.expect("the front end was created");
    let mut next = Some((fleet.now(), fleet.endpoint_snapshot()));
    let mut arrivals_stopped = false;
    while let Some((at, event)) = next {
        actions.clear();
        // The event is cloned inside the measurement, as the front end keeps parts of it.
        bytes += measure(|| front_end.handle(at, event.clone(), &mut actions)).bytes_current;
        fleet.apply(&actions);
        next = fleet.next_event();
        if next.is_none() && !arrivals_stopped {
            arrivals_stopped = true;
            fleet.stop_arrivals(FORGETTING_TIME);
            next = fleet.next_event();
        }
    }
    assert!(
        arrivals_stopped && fleet.is_idle(),
        "some requests have not ended"
    );
    assert!(
        fleet.counts["request arrived"] >= functions * 8 / 10,
        "too few requests arrived to call nearly every function"
    );
    bytes
}

#[test]
fn memory_of_functions_that_are_no_longer_called_is_freed() {
    let (few, many) = (1_000, 4_000);
    let bytes_of_few = bytes_after_calling_once(few);
    let bytes_of_many = bytes_after_calling_once(many);
    println!("{bytes_of_few} bytes after {few} functions, {bytes_of_many} after {many}");
    assert!(
        bytes_of_few > 0,
        "no memory was counted, though the workers take some"
    );
    assert!(
        bytes_of_many < bytes_of_few + (many - few) as i64 * MAX_BYTES_PER_FUNCTION,
        "{bytes_of_few} bytes after {few} functions, {bytes_of_many} after {many}"
    );
}

#[test]
fn state_stays_bounded_while_functions_and_workers_come_and_go() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let mut sizes = Vec::new();
    for round in 0..30u64 {
        for function in 0..200u64 {
            let (id, actions) = front_end.request(round * 1_000 + function);
            front_end.advance(50 * MS);
            if let Some(worker) = forwarded_to(&actions) {
                front_end.finish_attempt(id, 0, &worker, Outcome::Served);
            }
        }
        let name = format!("n{round}");
        front_end.update_endpoints(vec![endpoint(&name)]);
        front_end.update_endpoints(vec![Endpoint {
            state: EndpointState::Removed,
            ..endpoint(&name)
        }]);
        sizes.push(format!("{:?}", front_end.module).len());
    }
    assert!(
        sizes[29] < sizes[9] * 3 / 2,
        "the debug text of the state grows: {sizes:?}"
    );
}
