//! The load of a directory by the daily peaks of many front ends, in simulated time: a plain cache compared with the
//! directory core.

mod front_end;

use std::collections::{BTreeMap, HashMap};

use clap::Args;
use pipithub_directory::Time;
use pipithub_scenario::random::SplitMix64;

use front_end::SimulatedFrontEnd;

const SECOND: Time = 1_000_000_000;
const HOUR: Time = 3_600 * SECOND;
const DAY: Time = 24 * HOUR;
const DAYS: u64 = 5;
/// The peak begins three hours after the start of each day.
const PEAK_START: Time = 3 * HOUR;
const PEAK_LENGTH: Time = HOUR;
/// How long an answer of the directory is cached.
const FRESH_TIME: Time = 2 * HOUR;
/// The seed of all calls.
const SEED: u64 = 11;

/// Arguments of `pipithub-bench morning`.
#[derive(Args)]
pub(crate) struct MorningArguments {
    /// The number of front ends.
    #[arg(long = "fronts", value_name = "FRONTS", default_value_t = 130)]
    front_ends: u64,
    /// The number of users.
    #[arg(long, default_value_t = 2_000)]
    users: usize,
    /// The number of calls of each user within the peak hour.
    #[arg(long, default_value_t = 60)]
    calls: usize,
}

/// A call of a user at a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    at: Time,
    user: usize,
}

/// How front ends look up users.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    PlainCache,
    DirectoryCore,
}

impl Strategy {
    fn name(self) -> &'static str {
        match self {
            Strategy::PlainCache => "plain cache, two hours",
            Strategy::DirectoryCore => "directory core",
        }
    }
}

/// The load of the directory, and the outcome of the calls.
#[derive(Default)]
struct DirectoryLoad {
    searches_by_second: BTreeMap<Time, u64>,
    users_asked_for: u64,
    waited: u64,
    refused: u64,
}

/// The searches of one peak.
struct PeakLoad {
    searches: u64,
    worst_second: u64,
}

impl MorningArguments {
    /// Simulates the daily peaks with each strategy and prints the load of the directory.
    pub(crate) fn run(&self) {
        let calls = self.generate_calls();
        println!(
            "{} front ends, {} users, {} calls each in an hour, {DAYS} days; facts fresh for two hours",
            self.front_ends, self.users, self.calls
        );
        for strategy in [Strategy::PlainCache, Strategy::DirectoryCore] {
            let mut load = DirectoryLoad::default();
            for (number, calls) in calls.iter().enumerate() {
                match strategy {
                    Strategy::PlainCache => simulate_cache(calls, &mut load),
                    Strategy::DirectoryCore => {
                        SimulatedFrontEnd::new(number as u64, &mut load).run(calls);
                    }
                }
            }
            load.print(strategy.name());
        }
    }

    /// Generates the calls of each front end, in the order of their times.
    fn generate_calls(&self) -> Vec<Vec<Call>> {
        let mut random = SplitMix64::new(SEED);
        let mut calls: Vec<Vec<Call>> = vec![Vec::new(); self.front_ends as usize];
        for day in 0..DAYS {
            for user in 0..self.users {
                for _ in 0..self.calls {
                    let offset = (random.unit() * PEAK_LENGTH as f64) as Time;
                    let at = day * DAY + PEAK_START + offset;
                    calls[random.below(self.front_ends as usize)].push(Call { at, user });
                }
            }
        }
        for calls in &mut calls {
            calls.sort_unstable();
        }
        calls
    }
}

/// Simulates a cache that looks up each user who is unknown or whose record is no longer fresh, while the call waits.
fn simulate_cache(calls: &[Call], load: &mut DirectoryLoad) {
    let mut known_since: HashMap<usize, Time> = HashMap::new();
    for Call { at, user } in calls {
        let fresh = known_since
            .get(user)
            .is_some_and(|since| at - since < FRESH_TIME);
        if !fresh {
            known_since.insert(*user, *at);
            load.count_search(*at, 1);
            load.waited += 1;
        }
    }
}

impl DirectoryLoad {
    /// Records a search for a number of users.
    fn count_search(&mut self, at: Time, users: u64) {
        *self.searches_by_second.entry(at / SECOND).or_default() += 1;
        self.users_asked_for += users;
    }

    fn peak(&self, day: u64) -> PeakLoad {
        let from = (day * DAY + PEAK_START) / SECOND;
        let seconds = from..from + PEAK_LENGTH / SECOND;
        let searches = || self.searches_by_second.range(seconds.clone()).map(|s| *s.1);
        PeakLoad {
            searches: searches().sum(),
            worst_second: searches().max().unwrap_or(0),
        }
    }

    fn print(&self, name: &str) {
        let searches: u64 = self.searches_by_second.values().sum();
        let peaks: Vec<String> = (0..DAYS)
            .map(|day| self.peak(day))
            .map(|peak| format!("{} ({})", peak.searches, peak.worst_second))
            .collect();
        println!(
            "{name:<24} searches {searches}, users asked for {}; in each peak, with the worst second: {}; calls that waited \
             {}, refused {}",
            self.users_asked_for,
            peaks.join(", "),
            self.waited,
            self.refused
        );
    }
}
