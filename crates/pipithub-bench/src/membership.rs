//! One day of a fleet's membership in simulated time, over the very cores: what it costs and how soon it knows.

use clap::{Args, ValueEnum};
use pipithub_membership::{Event, Settings, Time};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::process_usage::ProcessUsage;

const SECOND: Time = 1_000_000_000;
/// How often the fleet's state is looked at: the step of all times told.
const STEP: Time = SECOND / 10;
/// Regions; zones and regions take turns over the members.
const REGIONS: usize = 3;

/// What happens in a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Scenario {
    /// All start at once; later one dies.
    Ordinary,
    /// The same, and each link loses 1% of the datagrams.
    Loss,
    /// A seventh dies at once.
    Seventh,
    /// One in 21 dies at once.
    TwentyFirst,
    /// Three regions lose each other for a minute.
    Regions,
    /// All are restarted, each once, at times drawn within a minute.
    Restart,
}

/// A day to be played; its figures go to standard output as JSON.
#[derive(Args)]
pub(crate) struct MembershipArguments {
    /// Members.
    #[arg(long, default_value_t = 60)]
    size: usize,
    /// The day.
    #[arg(
        long = "day",
        value_name = "DAY",
        value_enum,
        default_value = "ordinary"
    )]
    scenario: Scenario,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds, in simulated time, over which cost at rest is measured.
    #[arg(long, default_value_t = 60)]
    rest: u64,
    /// `max-members`; by default as many as there are and one more.
    #[arg(long = "most", value_name = "MOST")]
    max_members: Option<usize>,
    /// Seconds, in simulated time, after which a day has not come to what is awaited.
    #[arg(long, default_value_t = 600)]
    patience: u64,
}

/// What a day showed. Times are simulated seconds; -1 where it did not come to that.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Measurements {
    /// Until all knew all after the start.
    #[serde(rename = "together")]
    pub convergence: f64,
    /// From the blow (a death, a mended cut, the last restart) until the first knew of it, in the days with deaths.
    #[serde(rename = "first")]
    pub first_detection: f64,
    /// From the blow until each knew exactly who is there.
    #[serde(rename = "all")]
    pub full_detection: f64,
    /// Suspicions of the living, for each member, from the settled fleet on.
    pub suspected: f64,
    /// How often somebody that lived was held for dead, in all, from the settled fleet on.
    pub false_deaths: f64,
    /// Bytes a second a member at rest, with IP and UDP headers: mean over the members, and the one that sent most.
    pub bytes: f64,
    /// See `bytes`.
    pub bytes_worst: f64,
    /// Datagrams a second a member at rest: mean, and the one that sent most.
    pub messages: f64,
    /// See `messages`.
    pub messages_worst: f64,
    /// Bytes a second a member, mean, in the worst second while it came together.
    pub bytes_start: f64,
    /// The same from the blow on, for the mean, and for the single member that sent most in a second.
    #[serde(rename = "bytes_blow")]
    pub bytes_after_fault: f64,
    /// See `bytes_after_fault`.
    #[serde(rename = "bytes_blow_worst")]
    pub bytes_after_fault_worst: f64,
    /// CPU of the cores at rest, for each member, as a share of a processor core.
    pub cpu: f64,
    /// The same while it came together.
    pub cpu_start: f64,
    /// CPU of the simulation itself, in the same unit, at rest.
    pub cpu_simulation: f64,
    /// Resident bytes for each member once all knew all, the simulation's own part among them.
    pub memory: f64,
    /// Members that were not let in, in the eyes of whom they asked.
    #[serde(rename = "full")]
    pub rejected_members: f64,
    /// How many the least-knowing member knows at the end of the coming together, itself counted.
    pub least_known: f64,
}

/// Reads the meters once in each simulated second.
struct Meter {
    /// Bytes of each at the last reading, and when that was.
    before: (Vec<u64>, Time),
    /// The worst second so far: of the mean, and of any one.
    worst: (f64, f64),
    suspected: f64,
    false_deaths: f64,
    rejected_members: f64,
    patience: Time,
}

impl Meter {
    fn new(fleet: &Fleet, patience: Time) -> Meter {
        let before = (fleet.sent_bytes.clone(), fleet.network.now());
        Meter {
            before,
            worst: (0.0, 0.0),
            suspected: 0.0,
            false_deaths: 0.0,
            rejected_members: 0.0,
            patience,
        }
    }

    /// Lets one step pass.
    fn step(&mut self, fleet: &mut Fleet) {
        fleet.run_for(STEP);
        for told in std::mem::take(&mut fleet.history) {
            let lives = |name: &str| {
                name.strip_prefix("front-")
                    .and_then(|n| n.parse().ok())
                    .is_some_and(|n| fleet.is_running(n))
            };
            match &told.event {
                Event::Suspected(member) if lives(&member.identity.name) => self.suspected += 1.0,
                Event::Down { member, .. } if lives(&member.identity.name) => {
                    self.false_deaths += 1.0;
                }
                Event::MemberLimitReached(_) => self.rejected_members += 1.0,
                _ => {}
            }
        }
        if fleet.network.now() >= self.before.1 + SECOND {
            let span = seconds(fleet.network.now() - self.before.1);
            let rates = || {
                fleet
                    .sent_bytes
                    .iter()
                    .zip(&self.before.0)
                    .map(|(now, then)| (now - then) as f64 / span)
            };
            let mean = rates().sum::<f64>() / fleet.size() as f64;
            self.worst = (
                self.worst.0.max(mean),
                self.worst.1.max(rates().fold(0.0, f64::max)),
            );
            self.before = (fleet.sent_bytes.clone(), fleet.network.now());
        }
    }

    fn pass(&mut self, fleet: &mut Fleet, time: Time) {
        let until = fleet.network.now() + time;
        while fleet.network.now() < until {
            self.step(fleet);
        }
    }

    /// Seconds until something is so; -1 where it never was.
    fn until(&mut self, fleet: &mut Fleet, so: impl Fn(&Fleet) -> bool) -> f64 {
        let begun = fleet.network.now();
        while fleet.network.now() < begun + self.patience {
            if so(fleet) {
                return seconds(fleet.network.now() - begun);
            }
            self.step(fleet);
        }
        -1.0
    }
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// Process CPU and the cores' part of the time, to be told apart later.
struct Cpu(f64, f64, std::time::Instant);

impl Cpu {
    fn read(fleet: &Fleet) -> Cpu {
        let used = ProcessUsage::of_this_process().cpu_seconds;
        Cpu(
            used,
            fleet.membership_time.as_secs_f64(),
            std::time::Instant::now(),
        )
    }

    /// CPU for each member and simulated second: of the cores, and of the simulation. The process has one thread, so
    /// its CPU is shared out as its time was.
    fn since(&self, fleet: &Fleet, simulated: f64) -> (f64, f64) {
        let now = Cpu::read(fleet);
        let (used, cores) = (now.0 - self.0, now.1 - self.1);
        let share = cores / now.2.duration_since(self.2).as_secs_f64().max(1e-9);
        let each = used / fleet.size() as f64 / simulated.max(1e-9);
        (each * share, each * (1.0 - share))
    }
}

impl MembershipArguments {
    /// Plays the day and prints its row.
    pub(crate) fn run(&self) -> crate::Result<()> {
        println!("{}", serde_json::to_string(&self.row())?);
        Ok(())
    }

    fn row(&self) -> Measurements {
        let size = self.size;
        // Beyond `max-members` nobody is let in, so the bound stands above what is measured unless it is what is measured.
        let max_members = self.max_members.unwrap_or(size + 1).clamp(2, 10_000);
        let settings = Settings {
            cluster: "bench".into(),
            max_members,
            ..Settings::default()
        };
        let loss = if self.scenario == Scenario::Loss {
            0.01
        } else {
            0.0
        };
        let usual = Link {
            loss,
            jitter: 3_000_000,
            ..Link::default()
        };
        let zones = if self.scenario == Scenario::TwentyFirst {
            21
        } else {
            7
        };
        let empty = ProcessUsage::of_this_process().resident_mib;
        let mut fleet = Fleet::new(size, zones, 3, self.seed, settings, usual);
        fleet.event_filter = |e| {
            matches!(
                e,
                Event::Suspected(_) | Event::Down { .. } | Event::MemberLimitReached(_)
            )
        };
        (0..size)
            .filter(|n| fleet.start(*n).is_err())
            .for_each(|n| eprintln!("member {n} did not start"));
        let mut meter = Meter::new(&fleet, self.patience.min(86_400) * SECOND);
        let cpu = Cpu::read(&fleet);
        let begun = fleet.network.now();
        let mut row = Measurements {
            convergence: meter.until(&mut fleet, Fleet::has_converged),
            ..Measurements::default()
        };
        row.cpu_start = cpu.since(&fleet, seconds(fleet.network.now() - begun)).0;
        row.memory =
            (ProcessUsage::of_this_process().resident_mib - empty) * 1_048_576.0 / size as f64;
        row.bytes_start = meter.worst.0;
        row.rejected_members = meter.rejected_members;
        let known = |n| fleet.view(n).map_or(0, |v| v.active().count() + 1);
        row.least_known = (0..size).map(known).min().unwrap_or(0) as f64;
        if row.convergence < 0.0 {
            return row;
        }
        meter.pass(&mut fleet, 10 * SECOND);
        let mut meter = Meter::new(&fleet, self.patience.min(86_400) * SECOND);
        let (bytes, datagrams, cpu) = (
            fleet.sent_bytes.clone(),
            fleet.sent_datagrams.clone(),
            Cpu::read(&fleet),
        );
        let rest = self.rest.max(1) as f64;
        meter.pass(&mut fleet, self.rest.max(1) * SECOND);
        (row.cpu, row.cpu_simulation) = cpu.since(&fleet, rest);
        let rate = |now: &[u64], then: &[u64]| {
            let each = || {
                now.iter()
                    .zip(then)
                    .map(|(now, then)| (now - then) as f64 / rest)
            };
            (
                each().sum::<f64>() / size as f64,
                each().fold(0.0, f64::max),
            )
        };
        (row.bytes, row.bytes_worst) = rate(&fleet.sent_bytes, &bytes);
        (row.messages, row.messages_worst) = rate(&fleet.sent_datagrams, &datagrams);
        meter.worst = (0.0, 0.0);
        (row.first_detection, row.full_detection) = self.inject_fault(&mut fleet, &mut meter);
        (row.bytes_after_fault, row.bytes_after_fault_worst) = meter.worst;
        (row.suspected, row.false_deaths) = (meter.suspected / size as f64, meter.false_deaths);
        row
    }

    /// What the day brings; when the first knew, and when all did.
    fn inject_fault(&self, fleet: &mut Fleet, meter: &mut Meter) -> (f64, f64) {
        let size = self.size;
        let dies = |n: &usize| match self.scenario {
            Scenario::Ordinary | Scenario::Loss => *n == size - 1,
            // The last zone: the seeds are the first members, in the first zones.
            Scenario::Seventh => n % 7 == 6,
            Scenario::TwentyFirst => n % 21 == 20,
            Scenario::Regions | Scenario::Restart => false,
        };
        match self.scenario {
            Scenario::Regions => {
                let of = |region| {
                    (0..size)
                        .filter(|n| n % REGIONS == region)
                        .collect::<Vec<_>>()
                };
                for (a, b) in [(0, 1), (0, 2), (1, 2)] {
                    fleet.network.set_partition(&of(a), &of(b), true);
                }
                meter.pass(fleet, 60 * SECOND);
                fleet.network.heal();
                (0.0, meter.until(fleet, Fleet::has_converged))
            }
            Scenario::Restart => {
                let mut times: Vec<(Time, usize)> = (0..size)
                    .map(|n| (fleet.network.rng.random_range(0..60 * SECOND), n))
                    .collect();
                times.sort_unstable();
                let begun = fleet.network.now();
                for (at, n) in times {
                    while fleet.network.now() + STEP < begun + at {
                        meter.step(fleet);
                    }
                    fleet.kill(n);
                    if fleet.start(n).is_err() {
                        eprintln!("member {n} did not start");
                    }
                }
                (0.0, meter.until(fleet, Fleet::has_converged))
            }
            _ => {
                let dead: Vec<usize> = (0..size).filter(dies).collect();
                dead.iter().for_each(|n| fleet.kill(*n));
                let first = meter.until(fleet, |fleet| {
                    dead.iter().any(|n| fleet.opinions(*n).down > 0)
                });
                let all = meter.until(fleet, Fleet::has_converged);
                (
                    first,
                    if all < 0.0 || first < 0.0 {
                        -1.0
                    } else {
                        first + all
                    },
                )
            }
        }
    }
}
