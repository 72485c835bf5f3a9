//! A worker that has just started is never sent more than its budget, neither by one front end nor by all together.

mod common;

use common::{FrontEndHarness, MS, THREE_WORKERS, endpoint, forwarded_to, settings};
use pipithub_policy::api::{
    Endpoint, Event, Idempotency, Outcome, RequestId, Settings, SlowStart, Time, WorkerId,
};

/// Front ends of a large fleet.
const FRONT_ENDS: u32 = 100;
/// The function whose preferred worker restarts; the others are numbered from [`OTHER_FUNCTIONS`].
const FUNCTION: u64 = 1;
const OTHER_FUNCTIONS: u64 = 10;
/// The number of other functions, which clients request before they turn to [`FUNCTION`].
const OTHER_FUNCTION_COUNT: u64 = 16;
/// The requests that a warm worker is assumed to serve in a second, fewer than it can serve in these tests.
const SERVED_PER_SECOND: f64 = 50.0;

/// Tells the front end that a worker has restarted now.
fn restart(front_end: &mut FrontEndHarness, worker: &WorkerId) {
    front_end.update_endpoints(vec![Endpoint {
        started_at: Some(front_end.now),
        ..endpoint(&worker.0)
    }]);
}

/// The number of attempts in the overload window that ends at `end`. All times are ages of the worker.
fn attempts_in_window(slow_start: &SlowStart, attempts: &[Time], end: Time) -> usize {
    let in_window = |at: &&Time| **at <= end && **at + slow_start.overload_window > end;
    attempts.iter().filter(in_window).count()
}

/// The attempts that a worker of this age may be sent in one overload window, if it serves `served_per_second` when
/// warm.
fn budget(slow_start: &SlowStart, age: Time, served_per_second: f64) -> f64 {
    let progress = (age as f64 / slow_start.window as f64).min(1.0);
    let weight = slow_start.initial_weight + (1.0 - slow_start.initial_weight) * progress;
    let window_seconds = slow_start.overload_window as f64 / 1e9;
    slow_start.overload_factor * weight * served_per_second * window_seconds
}

/// Fails if one overload window holds more attempts than the budget and this tolerance.
fn assert_within_budget(
    slow_start: &SlowStart,
    attempts: &[Time],
    served_per_second: f64,
    tolerance: f64,
) {
    for &age in attempts {
        let sent = attempts_in_window(slow_start, attempts, age) as f64;
        let allowed = budget(slow_start, age, served_per_second) + tolerance;
        assert!(
            sent <= allowed,
            "{sent} attempts, {allowed:.1} allowed at {} ms",
            age / MS
        );
    }
}

/// Serves ten requests a second for each of three functions, for 6 s.
fn serve_at_all_workers(front_end: &mut FrontEndHarness) {
    for _ in 0..60 {
        for function in 0..3 {
            let (id, actions) = front_end.request(OTHER_FUNCTIONS + function);
            front_end.advance(33 * MS);
            let worker = forwarded_to(&actions).expect("an idle fleet accepts requests");
            front_end.finish_attempt(id, 0, &worker, Outcome::Served);
        }
    }
}

/// Requests [`FUNCTION`] 200 times a second, and returns the ages of the worker at which it was sent attempts.
///
/// Every second request is rejected by the worker that gets it: rejected attempts count too, as they have arrived there.
fn request_of_warming_worker(
    front_end: &mut FrontEndHarness,
    worker: &WorkerId,
    requests: usize,
) -> Vec<Time> {
    let started_at = front_end.now;
    let mut attempts = Vec::new();
    for number in 0..requests {
        let (id, actions) = front_end.request(FUNCTION);
        front_end.advance(5 * MS);
        front_end.finish_load_commands(&actions, Outcome::Served, 1);
        let Some(chosen) = forwarded_to(&actions) else {
            continue;
        };
        if chosen == *worker {
            attempts.push(front_end.now - started_at);
        }
        let outcome = if number % 2 == 0 {
            Outcome::Served
        } else {
            Outcome::Rejected
        };
        front_end.finish_attempt(id, 0, &chosen, outcome);
    }
    attempts
}

#[test]
fn warming_worker_gets_no_more_than_its_budget_in_any_window() {
    let settings = settings(Idempotency::Idempotent);
    let slow_start = settings.slow_start.clone();
    let mut front_end = FrontEndHarness::new(settings, &THREE_WORKERS);
    let worker = front_end.warm_up(FUNCTION);
    serve_at_all_workers(&mut front_end);
    restart(&mut front_end, &worker);
    let requests = 1_500;
    let attempts = request_of_warming_worker(&mut front_end, &worker, requests);
    assert!(!attempts.is_empty(), "a warming worker gets some requests");
    // They arrive in 7.5 seconds, and every second attempt is served.
    let served_per_second = requests as f64 / 7.5 / 2.0;
    assert_within_budget(&slow_start, &attempts, served_per_second, 1.0);
    let in_first_window = attempts
        .iter()
        .filter(|age| **age < slow_start.overload_window)
        .count();
    assert!(
        in_first_window < 60,
        "the first burst is limited: {in_first_window} of 400 requests"
    );
}

/// Sends one request a second to a front end for 20 seconds, for several functions.
fn request_other_functions(front_end: &mut FrontEndHarness) {
    for number in 0..20 {
        let function = (number * 7 + front_end.now / MS) % OTHER_FUNCTION_COUNT;
        let (id, actions) = front_end.request(OTHER_FUNCTIONS + function);
        front_end.advance(50 * MS);
        if let Some(worker) = forwarded_to(&actions) {
            front_end.finish_attempt(id, 0, &worker, Outcome::Served);
        }
        front_end.advance(950 * MS);
    }
}

/// Requests [`FUNCTION`] thirty times, twice a second, after this delay. Returns the ages of the worker at which it was
/// sent attempts.
fn request_twice_a_second(
    front_end: &mut FrontEndHarness,
    worker: &WorkerId,
    delay: Time,
) -> Vec<Time> {
    let started_at = front_end.now;
    let mut attempts = Vec::new();
    front_end.advance(delay);
    for _ in 0..30 {
        let (id, actions) = front_end.request(FUNCTION);
        if let Some(chosen) = forwarded_to(&actions) {
            attempts.extend((chosen == *worker).then(|| front_end.now - started_at));
            front_end.advance(50 * MS);
            front_end.finish_attempt(id, 0, &chosen, Outcome::Served);
        }
        front_end.advance(450 * MS);
    }
    attempts
}

/// Each of a hundred front ends has a budget of less than one attempt in a window, and all of them together must keep
/// to the budget of the worker.
#[test]
fn front_ends_of_large_fleet_do_not_overload_warming_worker() {
    let settings = Settings {
        front_ends: FRONT_ENDS,
        ..settings(Idempotency::Idempotent)
    };
    let workers = ["w1", "w2", "w3", "w4"];
    let mut front_ends: Vec<FrontEndHarness> = (0..u64::from(FRONT_ENDS))
        .map(|seed| FrontEndHarness::seeded(settings.clone(), &workers, seed))
        .collect();
    let worker = forwarded_to(&front_ends[0].request(FUNCTION).1).expect("it is forwarded");
    front_ends[0].finish_attempt(RequestId(1), 0, &worker, Outcome::Served);
    for front_end in &mut front_ends {
        request_other_functions(front_end);
        restart(front_end, &worker);
    }
    let mut attempts = Vec::new();
    for (front_end, delay) in front_ends.iter_mut().zip((0..).step_by(5)) {
        attempts.extend(request_twice_a_second(front_end, &worker, delay * MS));
    }
    assert!(
        attempts.len() > 30,
        "a warming worker gets some requests: {}",
        attempts.len()
    );
    // The other three workers serve about sixty requests a second meanwhile.
    assert_within_budget(&settings.slow_start, &attempts, SERVED_PER_SECOND, 0.0);
}

/// A hundred front ends that begin to send requests to a warming worker at the same time.
struct Surge {
    /// Requests a second at each front end before that time. One in two seconds is served, the others are cancelled.
    requests_per_second: u64,
    /// How long the worker is idle after its start.
    idle_time: Time,
}

impl Surge {
    fn settings() -> Settings {
        let mut settings = settings(Idempotency::Idempotent);
        settings.front_ends = FRONT_ENDS;
        settings.slow_start.overload_factor = 2.0;
        settings.slow_start.overload_window = 1_000 * MS;
        settings
    }

    /// Runs one front end, and returns the ages of the worker at which that front end sent it attempts.
    fn run(&self, front_end: &mut FrontEndHarness) -> Vec<Time> {
        let worker = front_end.warm_up(FUNCTION);
        front_end.advance(5_000 * MS);
        let started_at = front_end.now;
        restart(front_end, &worker);
        let requests_before = self.idle_time / (1_000 * MS) * self.requests_per_second;
        let mut attempts = Vec::new();
        for number in 0..requests_before + 8 {
            let has_begun = front_end.now >= started_at + self.idle_time;
            let (id, actions) = front_end.request(if has_begun {
                FUNCTION
            } else {
                OTHER_FUNCTIONS + number % OTHER_FUNCTION_COUNT
            });
            if let Some(chosen) = forwarded_to(&actions) {
                attempts.extend((chosen == worker).then(|| front_end.now - started_at));
                let served = !has_begun && number % (2 * self.requests_per_second) == 0;
                end_for_cancelled_client(front_end, id, &chosen, served);
            }
            front_end.advance(if has_begun {
                250 * MS
            } else {
                1_000 * MS / self.requests_per_second
            });
        }
        attempts
    }

    /// Runs all front ends, and fails if they send the worker more than its budget.
    fn assert_not_overloaded(&self) {
        let settings = Surge::settings();
        let mut attempts = Vec::new();
        for seed in 0..u64::from(FRONT_ENDS) {
            let workers = ["w1", "w2"];
            let mut front_end = FrontEndHarness::seeded(settings.clone(), &workers, seed);
            attempts.extend(self.run(&mut front_end));
        }
        assert!(
            attempts.len() > 20,
            "a warming worker gets some requests: {}",
            attempts.len()
        );
        assert_within_budget(&settings.slow_start, &attempts, SERVED_PER_SECOND, 0.0);
    }
}

/// Ends an attempt whose client has cancelled: served nevertheless, or cancelled.
fn end_for_cancelled_client(
    front_end: &mut FrontEndHarness,
    request: RequestId,
    worker: &WorkerId,
    served: bool,
) {
    front_end.handle(Event::ClientCancelled { request });
    let outcome = if served {
        Outcome::Served
    } else {
        Outcome::Cancelled
    };
    front_end.finish_attempt(request, 0, worker, outcome);
}

/// If front ends saved up their budgets while a worker is idle, all of them would spend these at once.
#[test]
fn idle_warming_worker_is_not_overloaded_when_all_front_ends_turn_to_it() {
    let surge = Surge {
        requests_per_second: 1,
        idle_time: 6_000 * MS,
    };
    surge.assert_not_overloaded();
}

/// Retries of rejected requests increase the arrivals, but say nothing about what a worker can serve (scenario h75f524).
#[test]
fn client_retries_do_not_raise_budget_of_warming_worker() {
    let surge = Surge {
        requests_per_second: 7,
        idle_time: 4_000 * MS,
    };
    surge.assert_not_overloaded();
}
