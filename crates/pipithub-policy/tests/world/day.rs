//! What a day is like: settings, tier, calls and faults, drawn from a seed or told.

use pipithub_policy::api::{
    Class, Costs, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit,
    Settings, SlowStart, Time,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Nanoseconds in a millisecond.
pub(crate) const MS: Time = 1_000_000;

/// A day of one front end. Shares and chances are from 0 to 1, times nanoseconds.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    /// Seed of all that the world draws.
    pub seed: u64,
    /// What the front end is told at its start.
    pub settings: Settings,
    /// When it starts, and how long it lasts.
    pub start: Time,
    pub length: Time,
    /// Workers at first, and zones that they are spread over unequally; 0: none is named.
    pub workers: usize,
    pub zones: usize,
    /// Share of the workers that have just started.
    pub started: f64,
    /// Functions, with a long tail (Zipf); or each called once, in turn.
    pub functions: u64,
    pub once: bool,
    /// Mean time between calls of clients, and how many come at once.
    pub gap: Time,
    pub burst: u64,
    /// Least and greatest run and load of a function.
    pub run: (Time, Time),
    pub load: (Time, Time),
    /// Share of functions whose load time is told.
    pub told_load: f64,
    /// Chance that a copy stands at a worker before this front end's first call there.
    pub warm: f64,
    /// Mean calls of the other front ends that a worker holds; calls of its function by them, at the most
    /// wanted one.
    pub others: f64,
    pub alike: f64,
    /// Calls that a worker takes at a time.
    pub cap: f64,
    /// Chances of an attempt: turned away, error, broken, unreachable, no answer, ten times as long, copy gone.
    pub full: f64,
    pub error: f64,
    pub broken: f64,
    pub unreachable: f64,
    pub mute: f64,
    pub slow: f64,
    pub gone: f64,
    /// Chance that a load fails.
    pub load_fails: f64,
    /// Share of workers that answer most calls with an error.
    pub bad: f64,
    /// Chances of a client: it leaves early, its answer streams, it asks again after a refusal.
    pub leaves: f64,
    pub streams: f64,
    pub retries: f64,
    /// One that leaves early does so within this.
    pub leaves_within: Time,
    /// Chance that an answer tells the worker's load; a probe is answered; a cancelled attempt stops.
    pub tells: f64,
    pub probes: f64,
    pub stops: f64,
    /// Mean time between news of workers, 0: none; and whether lists are as odd as they may be.
    pub changes: Time,
    pub odd: bool,
    /// A zone says nothing from, until; a seventh of the workers goes then.
    pub silent: Option<(Time, Time)>,
    pub seventh: Option<Time>,
}

impl Day {
    /// A day without faults at a site of many front ends, as planned for: 1,700 front ends, 7 zones, an answer
    /// after 50 to 300 ms, most copies standing.
    pub(crate) fn quiet(seed: u64, workers: usize, functions: u64, rate: u64, length: Time) -> Day {
        let class = Class {
            late_answer_weight: 0.3,
            client_timeout: 4_000 * MS,
            ..Class::default()
        };
        let limits = Limits {
            max_attempts: 3,
            cancel: true,
            load_polls: true,
            retry_after: true,
            max_retry_after: 500 * MS,
        };
        let loading = FunctionLoading {
            reports_cold_starts: true,
            reports_concurrency: true,
            ..FunctionLoading::default()
        };
        let settings = Settings {
            front_ends: 1_700,
            tick: 2 * MS,
            classes: vec![class],
            limits,
            slow_start: SlowStart {
                initial_weight: 0.2,
                window: 15_000 * MS,
                overload_factor: 3.0,
                overload_window: 2_000 * MS,
            },
            loading,
            costs: Costs { load_poll: 0.02 },
            zone: "z0".to_string(),
            ..Settings::default()
        };
        Day {
            seed,
            settings,
            start: 1_000_000 * MS,
            length,
            workers,
            zones: 7,
            started: 0.0,
            functions,
            once: false,
            gap: 1_000 * MS / rate.max(1),
            burst: 1,
            run: (50 * MS, 300 * MS),
            load: (300 * MS, 900 * MS),
            told_load: 1.0,
            warm: 0.95,
            others: 3.0,
            alike: 12.0,
            cap: 1e9,
            full: 0.0,
            error: 0.002,
            broken: 0.001,
            unreachable: 0.0,
            mute: 0.0,
            slow: 0.01,
            gone: 0.0,
            load_fails: 0.0,
            bad: 0.0,
            leaves: 0.002,
            streams: 0.05,
            retries: 0.5,
            leaves_within: 1_000 * MS,
            tells: 1.0,
            probes: 1.0,
            stops: 0.9,
            changes: 0,
            odd: false,
            silent: None,
            seventh: None,
        }
    }

    /// The bad days, by name, made of a quiet one.
    pub(crate) fn bad(self) -> Vec<(&'static str, Day)> {
        let end = self.start + self.length;
        let third = self.start + self.length / 3;
        let cold_load = (1_000 * MS, 3_000 * MS);
        vec![
            (
                "homes full",
                Day {
                    full: 0.9,
                    ..self.clone()
                },
            ),
            (
                "all cold",
                Day {
                    warm: 0.0,
                    started: 1.0,
                    load: cold_load,
                    ..self.clone()
                },
            ),
            (
                "a zone silent",
                Day {
                    silent: Some((third, end)),
                    ..self.clone()
                },
            ),
            (
                "a seventh gone",
                Day {
                    seventh: Some(third),
                    ..self.clone()
                },
            ),
            ("each function once", Day { once: true, ..self }),
        ]
    }

    /// A drawn day: any size of tier up to `most` workers, any rules, any mix of faults.
    #[allow(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    pub(crate) fn drawn(seed: u64, most: u64) -> Day {
        let mut dice = SmallRng::seed_from_u64(seed ^ 0x5eed_da75);
        let d = &mut dice;
        // Some days are there for the orders: many functions, all placed by orders, no faults.
        let placing = d.random_bool(0.12);
        // Some for a zone that says nothing while clients come and go, seen by one of many front ends.
        let muted = !placing && d.random_bool(0.12);
        let workers = between(
            d,
            if placing { 5 } else { 1 },
            if placing { most.min(30) } else { most },
        ) as usize;
        // A long day of a large tier costs the most: it is rare.
        let seconds = between(d, if placing { 20_000 } else { 5_000 }, 90_000);
        let seconds = seconds.min(if muted {
            20_000
        } else {
            5_000 + 400_000 / workers as u64
        });
        let (start, length) = (pick(d, &[0, 1, 77_000_000 * MS]), seconds * MS);
        let zones = if muted {
            d.random_range(2..5)
        } else {
            between(d, 1, 9) as usize - 1
        };
        let quiet = placing || muted || d.random_bool(0.15);
        let calls = if placing || muted {
            400
        } else {
            between(d, 50, if workers > 100 { 90 } else { 220 })
        };
        let mut fault = |chance: f64, most: f64| {
            if quiet || !d.random_bool(chance) {
                0.0
            } else {
                d.random_range(0.0..most)
            }
        };
        let (full, error, broken) = (fault(0.3, 0.6), fault(0.5, 0.3), fault(0.3, 0.2));
        let (unreachable, mute, slow) = (fault(0.3, 0.3), fault(0.3, 0.3), fault(0.4, 0.3));
        let (gone, load_fails, bad) = (fault(0.2, 0.3), fault(0.3, 0.8), fault(0.4, 0.6));
        let leaves = if muted { 0.4 } else { fault(0.5, 0.2) };
        let some =
            |d: &mut SmallRng, chance: f64| d.random_bool(chance).then(|| start + length / 3);
        let class = |d: &mut SmallRng| {
            let aim = between(d, if muted { 500 } else { 150 }, 2_000) * MS;
            Class {
                latency_objective: aim,
                objective_per_work: pick(d, &[0.0, 0.0, 3.0]),
                client_timeout: aim * between(d, if muted { 5 } else { 1 }, 8),
                late_answer_weight: pick(d, &[0.0, 0.3, 0.3, 0.8]),
                idempotency: pick(
                    d,
                    &[
                        Idempotency::Idempotent,
                        Idempotency::Idempotent,
                        Idempotency::WithKey,
                        Idempotency::WithKey,
                        Idempotency::NonIdempotent,
                    ],
                ),
                deduplication_scope: pick(
                    d,
                    &[
                        DeduplicationScope::All,
                        DeduplicationScope::Zone,
                        DeduplicationScope::Cell,
                    ],
                ),
                deduplication_window: pick(d, &[0, 700, 5_000]) * MS,
            }
        };
        let classes = (0..d.random_range(0..4)).map(|_| class(d)).collect();
        let limits = Limits {
            max_attempts: d.random_range(1..6),
            cancel: muted || d.random_bool(0.6),
            load_polls: d.random_bool(0.6),
            retry_after: d.random_bool(0.5),
            max_retry_after: pick(d, &[0, 500 * MS]),
        };
        let rules = SlowStart {
            initial_weight: d.random_range(0.05..1.0),
            window: between(d, 1_000, 20_000) * MS,
            overload_factor: pick(d, &[0.0, 1.0, 3.0]),
            overload_window: pick(d, &[0, 500, 2_000]) * MS,
        };
        let call_loads = !placing && d.random_bool(0.7);
        let ration = LoadRateLimit {
            window: 3_000 * MS,
            burst: d.random_range(1.0..6.0),
            per_request: 0.15,
        };
        let loading = FunctionLoading {
            load_commands: d.random_bool(if call_loads { 0.6 } else { 0.95 }),
            loads_on_request: call_loads,
            keep_alive: between(d, 500, if placing { 4_000 } else { 40_000 }) * MS,
            reports_cold_starts: d.random_bool(0.5),
            reports_concurrency: d.random_bool(0.5),
            rate_limit: (!placing && d.random_bool(0.4)).then_some(ration),
        };
        let settings = Settings {
            front_ends: between(
                d,
                if muted { 9 } else { 1 },
                if placing { 3 } else { 1_700 },
            ) as u32,
            tick: pick(d, &[0, 1, 2, 5]) * MS,
            classes,
            limits,
            slow_start: rules,
            loading,
            costs: Costs {
                load_poll: pick(d, &[0.0, 0.001, 0.01, 1.0]),
            },
            zone: pick(d, &["", "z0", "z1", "elsewhere"]).to_string(),
            watch_on_request: d.random_bool(0.5),
        };
        let silent = some(d, if muted { 1.0 } else { 0.3 }).filter(|_| zones > 1);
        let silent = silent.map(|from| (from, from + length / if muted { 2 } else { 3 }));
        Day {
            seed,
            settings,
            start,
            length,
            workers,
            zones,
            started: pick(d, &[0.0, 0.0, 0.3, 1.0]),
            functions: between(d, if placing { 30 } else { 1 }, 60),
            once: d.random_bool(0.05),
            gap: length / calls,
            burst: if muted {
                pick(d, &[1, 3, 8])
            } else {
                pick(d, &[1, 1, 4, 12, 30])
            },
            run: (
                between(d, 5, 50) * MS,
                between(d, 50, if muted { 150 } else { 600 }) * MS,
            ),
            load: (between(d, 50, 400) * MS, between(d, 400, 4_000) * MS),
            told_load: pick(d, &[0.0, 0.5, 1.0]),
            warm: if placing {
                0.0
            } else {
                pick(d, &[0.0, 0.5, 0.9, 1.0])
            },
            others: pick(d, &[0.0, 3.0, 10.0]),
            alike: pick(d, &[0.0, 3.0, 12.0, 60.0]),
            cap: pick(d, &[8.0, 30.0, 1e9]),
            full,
            error,
            broken,
            unreachable,
            mute,
            slow,
            gone,
            load_fails,
            bad,
            leaves,
            streams: pick(d, &[0.0, 0.1]),
            retries: pick(d, &[0.0, 0.3, 0.6]),
            leaves_within: if muted { 100 * MS } else { 1_000 * MS },
            tells: pick(d, &[0.0, 0.6, 1.0]),
            probes: pick(d, &[1.0, 0.8, 0.3]),
            stops: pick(d, &[1.0, 0.8]),
            changes: if quiet {
                0
            } else {
                pick(d, &[0, 300, 2_000]) * MS
            },
            odd: d.random_bool(0.5),
            silent,
            seventh: some(d, 0.3),
        }
    }
}

/// A number from `least` up to `most`, as likely in each power of ten.
fn between(dice: &mut SmallRng, least: u64, most: u64) -> u64 {
    let (least, most) = (least as f64, most.max(least) as f64 + 1.0);
    (least * (most / least).powf(dice.random_range(0.0..1.0))) as u64
}

fn pick<T: Clone>(dice: &mut SmallRng, of: &[T]) -> T {
    of[dice.random_range(0..of.len())].clone()
}
