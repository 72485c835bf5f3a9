//! A fleet's membership in simulated time, with the real membership cores: its cost, and how soon it detects a fault.

mod measurements;
mod meter;

use clap::{Args, ValueEnum};
use pipithub_membership::{Event, Settings, Time};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;
use rand::RngExt;

pub(crate) use measurements::Measurements;

use crate::process_usage::ProcessUsage;
use meter::{CpuReading, Meter, seconds};

const SECOND: Time = 1_000_000_000;
/// The interval at which the fleet's state is examined, which is the resolution of all reported times.
const STEP: Time = SECOND / 10;
/// The number of regions. Members are assigned to regions, and to zones, in turn.
const REGIONS: usize = 3;
/// The number of zones of an ordinary fleet.
const ZONES: usize = 7;
/// The number of zones in the scenario in which one in 21 members fails.
const MANY_ZONES: usize = 21;
/// The number of seeds, which are the members that others join through.
const SEEDS: usize = 3;
/// The fraction of datagrams that each link loses in the scenario `loss`.
const LOSS: f64 = 0.01;
const JITTER: Time = 3_000_000;
/// The time between the convergence and the next measurement.
const SETTLING_TIME: Time = 10 * SECOND;
/// How long regions are partitioned.
const PARTITION_TIME: Time = 60 * SECOND;
/// The time within which all members are restarted.
const RESTART_TIME: Time = 60 * SECOND;
/// The lowest valid value of `max-members`.
const MIN_MEMBER_LIMIT: usize = 2;
/// The highest valid value of `max-members`.
const MAX_MEMBER_LIMIT: usize = 10_000;
/// The highest value of `--patience`, in seconds.
const MAX_PATIENCE_SECONDS: u64 = 86_400;
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// Reported instead of a time if the event did not happen.
const NEVER: f64 = -1.0;

/// A fault of a simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Scenario {
    /// All members start at once; later one member fails.
    Ordinary,
    /// As `ordinary`, but each link loses 1% of the datagrams.
    Loss,
    /// A seventh of the members fails at once.
    Seventh,
    /// One in 21 members fails at once.
    TwentyFirst,
    /// Three regions are partitioned from each other for a minute.
    Regions,
    /// Each member is restarted once, at a random time within a minute.
    Restart,
}

/// Arguments of `pipithub-bench members`.
#[derive(Args)]
pub(crate) struct MembershipArguments {
    /// The number of members.
    #[arg(long, default_value_t = 60)]
    size: usize,
    /// The fault scenario to run.
    #[arg(
        long = "day",
        value_name = "DAY",
        value_enum,
        default_value = "ordinary"
    )]
    scenario: Scenario,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Simulated seconds over which the cost of an idle fleet is measured.
    #[arg(long, default_value_t = 60)]
    rest: u64,
    /// The setting `max-members`; by default one more than there are members.
    #[arg(long = "most", value_name = "MOST")]
    max_members: Option<usize>,
    /// Simulated seconds after which an awaited state counts as never reached.
    #[arg(long, default_value_t = 600)]
    patience: u64,
}

/// When the fleet detected a fault, in seconds since the fault; `NEVER` if it did not.
struct Detection {
    first: f64,
    all: f64,
}

impl MembershipArguments {
    /// Runs the scenario and prints its measurements.
    pub(crate) fn run(&self) -> crate::Result<()> {
        println!("{}", serde_json::to_string(&self.measure())?);
        Ok(())
    }

    fn measure(&self) -> Measurements {
        let mib_before = ProcessUsage::of_this_process().resident_mib;
        let mut fleet = self.start_fleet();
        let mut row = self.measure_start(&mut fleet, mib_before);
        if row.convergence < 0.0 {
            return row;
        }
        let mut meter = self.meter(&fleet);
        meter.run_for(&mut fleet, SETTLING_TIME);
        let mut meter = self.meter(&fleet);
        self.measure_rest(&mut fleet, &mut meter, &mut row);
        meter.worst = meter::Rate::default();
        let detection = self.inject_fault(&mut fleet, &mut meter);
        (row.first_detection, row.full_detection) = (detection.first, detection.all);
        row.bytes_after_fault = meter.worst.mean;
        row.bytes_after_fault_worst = meter.worst.highest;
        row.suspected = meter.suspected / self.size as f64;
        row.false_deaths = meter.false_deaths;
        row
    }

    fn start_fleet(&self) -> Fleet {
        // Members beyond `max-members` are rejected, so the default is above the size of the fleet.
        let max_members = self.max_members.unwrap_or(self.size + 1);
        let settings = Settings {
            cluster: "bench".into(),
            max_members: max_members.clamp(MIN_MEMBER_LIMIT, MAX_MEMBER_LIMIT),
            ..Settings::default()
        };
        let loss = if self.scenario == Scenario::Loss {
            LOSS
        } else {
            0.0
        };
        let link = Link {
            loss,
            jitter: JITTER,
            ..Link::default()
        };
        let zones = if self.scenario == Scenario::TwentyFirst {
            MANY_ZONES
        } else {
            ZONES
        };
        let mut fleet = Fleet::new(self.size, zones, SEEDS, self.seed, settings, link);
        fleet.event_filter = |event| {
            matches!(
                event,
                Event::Suspected(_) | Event::Down { .. } | Event::MemberLimitReached(_)
            )
        };
        for member in 0..self.size {
            start_member(&mut fleet, member);
        }
        fleet
    }

    fn meter(&self, fleet: &Fleet) -> Meter {
        Meter::new(fleet, self.patience.min(MAX_PATIENCE_SECONDS) * SECOND)
    }

    /// Measures the time and the cost from the start until all members know each other.
    fn measure_start(&self, fleet: &mut Fleet, mib_before: f64) -> Measurements {
        let mut meter = self.meter(fleet);
        let cpu = CpuReading::take(fleet);
        let begun = fleet.network.now();
        let mut row = Measurements {
            convergence: meter.until(fleet, Fleet::has_converged),
            ..Measurements::default()
        };
        row.cpu_start = cpu.since(fleet, seconds(fleet.network.now() - begun)).cores;
        let mib = ProcessUsage::of_this_process().resident_mib - mib_before;
        row.memory = mib * BYTES_PER_MIB / self.size as f64;
        row.bytes_start = meter.worst.mean;
        row.rejected_members = meter.rejected_members;
        let known = |member| {
            fleet
                .view(member)
                .map_or(0, |view| view.active().count() + 1)
        };
        row.least_known = (0..self.size).map(known).min().unwrap_or(0) as f64;
        row
    }

    /// Measures the cost of the idle fleet.
    fn measure_rest(&self, fleet: &mut Fleet, meter: &mut Meter, row: &mut Measurements) {
        let bytes = fleet.sent_bytes.clone();
        let datagrams = fleet.sent_datagrams.clone();
        let cpu = CpuReading::take(fleet);
        let rest = self.rest.max(1);
        meter.run_for(fleet, rest * SECOND);
        let used = cpu.since(fleet, rest as f64);
        (row.cpu, row.cpu_simulation) = (used.cores, used.simulation);
        let byte_rate = meter::Rate::between(&bytes, &fleet.sent_bytes, rest as f64);
        let datagram_rate = meter::Rate::between(&datagrams, &fleet.sent_datagrams, rest as f64);
        (row.bytes, row.bytes_worst) = (byte_rate.mean, byte_rate.highest);
        (row.messages, row.messages_worst) = (datagram_rate.mean, datagram_rate.highest);
    }

    /// Injects the scenario's fault and waits until the fleet has converged again.
    fn inject_fault(&self, fleet: &mut Fleet, meter: &mut Meter) -> Detection {
        match self.scenario {
            Scenario::Regions => self.partition_regions(fleet, meter),
            Scenario::Restart => self.restart_all(fleet, meter),
            _ => self.kill_members(fleet, meter),
        }
    }

    fn partition_regions(&self, fleet: &mut Fleet, meter: &mut Meter) -> Detection {
        let members_of = |region| -> Vec<usize> {
            (0..self.size)
                .filter(|member| member % REGIONS == region)
                .collect()
        };
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            fleet
                .network
                .set_partition(&members_of(a), &members_of(b), true);
        }
        meter.run_for(fleet, PARTITION_TIME);
        fleet.network.heal();
        Detection {
            first: 0.0,
            all: meter.until(fleet, Fleet::has_converged),
        }
    }

    fn restart_all(&self, fleet: &mut Fleet, meter: &mut Meter) -> Detection {
        let mut times: Vec<(Time, usize)> = (0..self.size)
            .map(|member| (fleet.network.rng.random_range(0..RESTART_TIME), member))
            .collect();
        times.sort_unstable();
        let begun = fleet.network.now();
        for (at, member) in times {
            while fleet.network.now() + STEP < begun + at {
                meter.step(fleet);
            }
            fleet.kill(member);
            start_member(fleet, member);
        }
        Detection {
            first: 0.0,
            all: meter.until(fleet, Fleet::has_converged),
        }
    }

    fn kill_members(&self, fleet: &mut Fleet, meter: &mut Meter) -> Detection {
        let killed: Vec<usize> = (0..self.size)
            .filter(|member| self.is_killed(*member))
            .collect();
        killed.iter().for_each(|member| fleet.kill(*member));
        let first = meter.until(fleet, |fleet| {
            killed
                .iter()
                .any(|member| fleet.state_counts(*member).down > 0)
        });
        let all = meter.until(fleet, Fleet::has_converged);
        let all = if all < 0.0 || first < 0.0 {
            NEVER
        } else {
            first + all
        };
        Detection { first, all }
    }

    fn is_killed(&self, member: usize) -> bool {
        match self.scenario {
            Scenario::Ordinary | Scenario::Loss => member == self.size - 1,
            // The last zone: the seeds are the first members, in the first zones.
            Scenario::Seventh => member % ZONES == ZONES - 1,
            Scenario::TwentyFirst => member % MANY_ZONES == MANY_ZONES - 1,
            Scenario::Regions | Scenario::Restart => false,
        }
    }
}

fn start_member(fleet: &mut Fleet, member: usize) {
    if fleet.start(member).is_err() {
        eprintln!("failed to start member {member}");
    }
}
