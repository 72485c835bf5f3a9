//! The parameters of a simulated fleet, what its warming workers survive, and the results.

use pipithub_policy::api::{SlowStart, Time};

use crate::SECOND;

/// The traffic of one busy front end, as a multiple of the mean.
const BUSY_FACTOR: f64 = 7.0;

/// How the calls of clients are spread over the front ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum Traffic {
    Equal,
    /// Front end `i` gets a share proportional to `1 / (i + 1)`.
    Unequal,
    /// One front end gets seven times the mean, or nearly all traffic where there are too few front ends for that.
    OneBusy,
}

impl Traffic {
    /// The traffic of a front end in proportion to that of the others.
    pub(super) fn weight(self, front_end: usize, front_ends: usize) -> f64 {
        let others = front_ends as f64 - 1.0;
        match self {
            Traffic::Equal => 1.0,
            Traffic::Unequal => 1.0 / (front_end as f64 + 1.0),
            Traffic::OneBusy if front_end == 0 => {
                BUSY_FACTOR * others / (front_ends as f64 - BUSY_FACTOR).max(1.0)
            }
            Traffic::OneBusy => 1.0,
        }
    }
}

/// The front ends, workers and traffic of one simulated fleet.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) front_ends: usize,
    pub(super) traffic: Traffic,
    /// Whether about half of the front ends restart at a random time in each slow-start window.
    pub(super) restarts: bool,
    /// The requests that a worker may be sent within `overload_window` when it starts; the budget grows as it warms up.
    pub(super) first_budget: f64,
    /// The number of workers that are warm throughout.
    pub(super) warm_workers: usize,
    /// The number of places in which one warming worker replaces another.
    pub(super) warming_places: usize,
    /// The size of the workers in every other warming place; all others have size 1.
    pub(super) small_size: f64,
    /// Arrivals as a multiple of what all workers would serve if they were warm.
    pub(super) demand: f64,
    pub(super) slow_start: SlowStart,
    /// The least number of starts of workers.
    pub(super) starts: usize,
    /// The seed of all random numbers.
    pub(super) seed: u64,
}

impl Scenario {
    pub(super) fn new(
        front_ends: usize,
        traffic: Traffic,
        first_budget: f64,
        starts: usize,
    ) -> Scenario {
        Scenario {
            front_ends,
            traffic,
            restarts: false,
            first_budget,
            warm_workers: 3,
            warming_places: 9,
            small_size: 1.0,
            demand: 1.5,
            slow_start: SlowStart {
                initial_weight: 0.2,
                window: 6 * SECOND,
                overload_factor: 3.0,
                overload_window: 2 * SECOND,
            },
            starts,
            seed: 43,
        }
    }

    /// Calls that a warm worker of size 1 serves in a second.
    pub(super) fn capacity(&self) -> f64 {
        let window_seconds = self.slow_start.overload_window as f64 / SECOND as f64;
        self.first_budget
            / (self.slow_start.overload_factor * self.slow_start.initial_weight * window_seconds)
    }

    /// The capacity of a worker of this age, as a share of that of the same worker when warm.
    pub(super) fn capacity_share(&self, age: Time) -> f64 {
        let progress = (age as f64 / self.slow_start.window as f64).min(1.0);
        self.slow_start.initial_weight + (1.0 - self.slow_start.initial_weight) * progress
    }

    /// The size of the workers in a warming place.
    pub(super) fn size(&self, place: usize) -> f64 {
        if place % 2 == 1 { self.small_size } else { 1.0 }
    }

    /// How often each place gets a new worker.
    pub(super) fn rounds(&self) -> u64 {
        self.starts.div_ceil(self.warming_places) as u64
    }

    /// The budget N of a worker of size 1 and this age.
    pub(super) fn budget(&self, age: Time) -> f64 {
        self.first_budget * self.capacity_share(age) / self.slow_start.initial_weight
    }
}

/// The most requests within `overload_window` that a warming worker with this budget survives: the budget and a margin
/// for chance.
pub(super) fn max_survivable(budget: f64) -> f64 {
    if budget < 30.0 {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// The results of all starts of a scenario.
#[derive(Debug, Default)]
pub(super) struct Summary {
    pub(super) starts: usize,
    /// Starts in which some window held more than the budget allows.
    pub(super) over_budget: usize,
    /// The most attempts in one window, as a share of what the worker survives.
    pub(super) fullest_window: f64,
    /// Requests sent to warming workers.
    pub(super) sent: f64,
    /// The sum of the budgets of the warming workers over the simulated time.
    pub(super) budgeted: f64,
}
