//! Draws scenarios from seeds: any number of workers, any settings, any mix of faults.
//!
//! The order of the draws must stay: in another order the same seed gives another scenario.

use pipithub_policy::api::{
    Class, Costs, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit,
    Settings, SlowStart, Time,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::scenario::{
    ClientProfile, EndpointChanges, Faults, FunctionProfile, MS, OtherFrontEnds, Reporting,
    Scenario, WorkerProfile,
};

/// Makes these random numbers differ from those that the fleet draws with the same seed.
const SEED_MASK: u64 = 0x5eed_da75;
/// The probability of the focus on load commands and, if that was not drawn, of the focus on a silent zone.
const FOCUS_PROBABILITY: f64 = 0.12;

/// What a scenario concentrates on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Focus {
    /// Any mix of settings and faults.
    Mixed,
    /// Many functions that are loaded by command only, without faults.
    LoadCommands,
    /// A zone that does not answer while many clients cancel, with at least nine front ends.
    SilentZone,
}

/// Draws one scenario; each method draws one part of it.
struct Generator {
    random: SmallRng,
    focus: Focus,
    /// Whether the faults of [`Faults`], cancellations by clients and regular changes of workers are left out, except
    /// those of the focus.
    healthy: bool,
}

impl Scenario {
    /// A scenario drawn from a seed, with up to `max_workers` workers.
    pub(crate) fn random(seed: u64, max_workers: u64) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        let focus = draw_focus(&mut random);
        let generator = Generator {
            random,
            focus,
            healthy: focus != Focus::Mixed,
        };
        generator.scenario(seed, max_workers)
    }
}

fn draw_focus(random: &mut SmallRng) -> Focus {
    let load_commands = random.random_bool(FOCUS_PROBABILITY);
    let silent_zone = !load_commands && random.random_bool(FOCUS_PROBABILITY);
    if load_commands {
        Focus::LoadCommands
    } else if silent_zone {
        Focus::SilentZone
    } else {
        Focus::Mixed
    }
}

impl Generator {
    fn scenario(mut self, seed: u64, max_workers: u64) -> Scenario {
        let worker_count = self.worker_count(max_workers);
        let duration = self.duration(worker_count);
        let start = self.pick(&[0, 1, 77_000_000 * MS]);
        let zones = self.zone_count();
        self.healthy = self.healthy || self.chance(0.15);
        let requests = self.request_count(worker_count);
        let faults = self.faults();
        let cancels = self.cancellation_probability();
        let settings = self.settings();
        let silent_zone = self.silent_zone(start, duration, zones);
        let workers_just_started = self.pick(&[0.0, 0.0, 0.3, 1.0]);
        let function_count = self.function_count();
        let called_once = self.chance(0.05);
        let burst = self.burst();
        let functions = self.functions(function_count, called_once);
        let other_front_ends = OtherFrontEnds {
            mean_in_flight: self.pick(&[0.0, 3.0, 10.0]),
            same_function: self.pick(&[0.0, 3.0, 12.0, 60.0]),
        };
        let concurrency_limit = self.pick(&[8.0, 30.0, 1e9]);
        let clients = self.clients(duration / requests, burst, cancels);
        let reporting = self.reporting();
        let endpoint_changes = self.endpoint_changes(start, duration, silent_zone);
        Scenario {
            seed,
            settings,
            start,
            duration,
            workers: WorkerProfile {
                count: worker_count as usize,
                zones,
                just_started: workers_just_started,
                concurrency_limit,
            },
            functions,
            clients,
            other_front_ends,
            faults,
            reporting,
            endpoint_changes,
            discovery_outages: Vec::new(),
        }
    }

    fn worker_count(&mut self, max_workers: u64) -> u64 {
        if self.focus == Focus::LoadCommands {
            self.log_uniform(5, max_workers.min(30))
        } else {
            self.log_uniform(1, max_workers)
        }
    }

    /// The longest duration falls with the number of workers, as long scenarios with many workers take long to run.
    fn duration(&mut self, workers: u64) -> Time {
        let shortest = if self.focus == Focus::LoadCommands {
            20_000
        } else {
            5_000
        };
        let milliseconds = self.log_uniform(shortest, 90_000);
        let longest = if self.focus == Focus::SilentZone {
            20_000
        } else {
            5_000 + 400_000 / workers
        };
        milliseconds.min(longest) * MS
    }

    fn zone_count(&mut self) -> usize {
        if self.focus == Focus::SilentZone {
            self.random.random_range(2..5)
        } else {
            self.log_uniform(1, 9) as usize - 1
        }
    }

    fn request_count(&mut self, workers: u64) -> u64 {
        if self.focus == Focus::Mixed {
            self.log_uniform(50, if workers > 100 { 90 } else { 220 })
        } else {
            400
        }
    }

    fn faults(&mut self) -> Faults {
        Faults {
            rejected: self.fault(0.3, 0.6),
            error: self.fault(0.5, 0.3),
            connection_lost: self.fault(0.3, 0.2),
            unreachable: self.fault(0.3, 0.3),
            unanswered: self.fault(0.3, 0.3),
            slow: self.fault(0.4, 0.3),
            replica_evicted: self.fault(0.2, 0.3),
            load_failed: self.fault(0.3, 0.8),
            failing_workers: self.fault(0.4, 0.6),
        }
    }

    fn cancellation_probability(&mut self) -> f64 {
        if self.focus == Focus::SilentZone {
            0.4
        } else {
            self.fault(0.5, 0.2)
        }
    }

    /// The probability of a fault: with the probability `chance` a number up to `highest`, otherwise 0.
    fn fault(&mut self, chance: f64, highest: f64) -> f64 {
        if self.healthy || !self.chance(chance) {
            0.0
        } else {
            self.random.random_range(0.0..highest)
        }
    }

    fn settings(&mut self) -> Settings {
        let class_count = self.random.random_range(0..4);
        let classes = (0..class_count).map(|_| self.class()).collect();
        let limits = self.limits();
        let slow_start = self.slow_start();
        let loading = self.loading();
        let (fewest, most) = match self.focus {
            Focus::Mixed => (1, 1_700),
            Focus::LoadCommands => (1, 3),
            Focus::SilentZone => (9, 1_700),
        };
        Settings {
            front_ends: self.log_uniform(fewest, most) as u32,
            tick: self.pick(&[0, 1, 2, 5]) * MS,
            classes,
            limits,
            slow_start,
            loading,
            costs: Costs {
                load_poll: self.pick(&[0.0, 0.001, 0.01, 1.0]),
            },
            zone: self.pick(&["", "z0", "z1", "elsewhere"]).to_string(),
            drain_grace: None,
            watch_on_request: self.chance(0.5),
        }
    }

    fn class(&mut self) -> Class {
        let silent_zone = self.focus == Focus::SilentZone;
        let latency_objective = self.log_uniform(if silent_zone { 500 } else { 150 }, 2_000) * MS;
        Class {
            latency_objective,
            objective_per_work: self.pick(&[0.0, 0.0, 3.0]),
            client_timeout: latency_objective
                * self.log_uniform(if silent_zone { 5 } else { 1 }, 8),
            late_answer_weight: self.pick(&[0.0, 0.3, 0.3, 0.8]),
            idempotency: self.pick(&[
                Idempotency::Idempotent,
                Idempotency::Idempotent,
                Idempotency::WithKey,
                Idempotency::WithKey,
                Idempotency::NonIdempotent,
            ]),
            deduplication_scope: self.pick(&[
                DeduplicationScope::All,
                DeduplicationScope::Zone,
                DeduplicationScope::Cell,
            ]),
            deduplication_window: self.pick(&[0, 700, 5_000]) * MS,
        }
    }

    fn limits(&mut self) -> Limits {
        Limits {
            max_attempts: self.random.random_range(1..6),
            cancel: self.focus == Focus::SilentZone || self.chance(0.6),
            load_polls: self.chance(0.6),
            health_checks: true,
            retry_after: self.chance(0.5),
            max_retry_after: self.pick(&[0, 500 * MS]),
        }
    }

    fn slow_start(&mut self) -> SlowStart {
        SlowStart {
            initial_weight: self.random.random_range(0.05..1.0),
            window: self.log_uniform(1_000, 20_000) * MS,
            overload_factor: self.pick(&[0.0, 1.0, 3.0]),
            overload_window: self.pick(&[0, 500, 2_000]) * MS,
        }
    }

    fn loading(&mut self) -> FunctionLoading {
        let by_command_only = self.focus == Focus::LoadCommands;
        let loads_on_request = !by_command_only && self.chance(0.7);
        let rate_limit = LoadRateLimit {
            window: 3_000 * MS,
            burst: self.random.random_range(1.0..6.0),
            per_request: 0.15,
        };
        FunctionLoading {
            load_commands: self.chance(if loads_on_request { 0.6 } else { 0.95 }),
            loads_on_request,
            keep_alive: self.log_uniform(500, if by_command_only { 4_000 } else { 40_000 }) * MS,
            reports_cold_starts: self.chance(0.5),
            reports_concurrency: self.chance(0.5),
            rate_limit: (!by_command_only && self.chance(0.4)).then_some(rate_limit),
        }
    }

    fn silent_zone(&mut self, start: Time, duration: Time, zones: usize) -> Option<(Time, Time)> {
        let is_focus = self.focus == Focus::SilentZone;
        let drawn = self.chance(if is_focus { 1.0 } else { 0.3 });
        let from = start + duration / 3;
        let lasts = duration / if is_focus { 2 } else { 3 };
        (drawn && zones > 1).then_some((from, from + lasts))
    }

    fn function_count(&mut self) -> u64 {
        let by_command_only = self.focus == Focus::LoadCommands;
        self.log_uniform(if by_command_only { 30 } else { 1 }, 60)
    }

    fn burst(&mut self) -> u64 {
        if self.focus == Focus::SilentZone {
            self.pick(&[1, 3, 8])
        } else {
            self.pick(&[1, 1, 4, 12, 30])
        }
    }

    fn functions(&mut self, count: u64, called_once: bool) -> FunctionProfile {
        let silent_zone = self.focus == Focus::SilentZone;
        FunctionProfile {
            count,
            called_once,
            run_time: (
                self.log_uniform(5, 50) * MS,
                self.log_uniform(50, if silent_zone { 150 } else { 600 }) * MS,
            ),
            load_time: (
                self.log_uniform(50, 400) * MS,
                self.log_uniform(400, 4_000) * MS,
            ),
            load_time_known: self.pick(&[0.0, 0.5, 1.0]),
            loaded_before: if self.focus == Focus::LoadCommands {
                0.0
            } else {
                self.pick(&[0.0, 0.5, 0.9, 1.0])
            },
        }
    }

    fn clients(&mut self, mean_gap: Time, burst: u64, cancels: f64) -> ClientProfile {
        let cancels_within = if self.focus == Focus::SilentZone {
            100 * MS
        } else {
            1_000 * MS
        };
        ClientProfile {
            mean_gap,
            burst,
            cancels,
            cancels_within,
            streams: self.pick(&[0.0, 0.1]),
            retries: self.pick(&[0.0, 0.3, 0.6]),
        }
    }

    fn reporting(&mut self) -> Reporting {
        Reporting {
            load_reports: self.pick(&[0.0, 0.6, 1.0]),
            polls_answered: self.pick(&[1.0, 0.8, 0.3]),
            cancels_honored: self.pick(&[1.0, 0.8]),
        }
    }

    fn endpoint_changes(
        &mut self,
        start: Time,
        duration: Time,
        silent_zone: Option<(Time, Time)>,
    ) -> EndpointChanges {
        let mean_gap = if self.healthy {
            0
        } else {
            self.pick(&[0, 300, 2_000]) * MS
        };
        EndpointChanges {
            mean_gap,
            irregular: self.chance(0.5),
            silent_zone,
            mass_removal_at: self.chance(0.3).then_some(start + duration / 3),
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    /// A number from `least` to `most` whose logarithm is uniformly distributed.
    fn log_uniform(&mut self, least: u64, most: u64) -> u64 {
        let (least, most) = (least as f64, most.max(least) as f64 + 1.0);
        (least * (most / least).powf(self.random.random_range(0.0..1.0))) as u64
    }

    fn pick<T: Clone>(&mut self, choices: &[T]) -> T {
        choices[self.random.random_range(0..choices.len())].clone()
    }
}
