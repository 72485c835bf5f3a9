//! A fleet's membership in simulated time, over the very cores: what it costs and how soon it knows of a fault.

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
/// How often the fleet's state is looked at: the step of all times told.
const STEP: Time = SECOND / 10;
/// Regions; zones and regions take turns over the members.
const REGIONS: usize = 3;
/// Zones of the usual fleet, and of the one that loses one in 21.
const ZONES: usize = 7;
const MANY_ZONES: usize = 21;
/// Members that others ask to join by.
const SEEDS: usize = 3;
/// Datagrams that each link loses in the scenario of that name.
const LOSS: f64 = 0.01;
const JITTER: Time = 3_000_000;
/// Rest between the convergence and what is measured after it.
const SETTLING_TIME: Time = 10 * SECOND;
/// How long regions lose each other, and over which time restarts are drawn.
const PARTITION_TIME: Time = 60 * SECOND;
const RESTART_TIME: Time = 60 * SECOND;
/// The least and the most of `max-members` that the cores take.
const MIN_MEMBER_LIMIT: usize = 2;
const MAX_MEMBER_LIMIT: usize = 10_000;
/// The longest patience, in seconds.
const MAX_PATIENCE_SECONDS: u64 = 86_400;
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// What stands for a time at which nothing came.
const NEVER: f64 = -1.0;

/// What happens to the fleet.
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

/// A scenario to be run; its figures go to standard output as JSON.
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

/// When the fleet knew of a fault, in seconds since the fault; `NEVER` where it did not.
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
        meter.pass(&mut fleet, SETTLING_TIME);
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
        // Beyond `max-members` nobody is let in, so the bound stands above what is measured unless it is what is measured.
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

    /// What it took until all members knew all.
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

    /// What the fleet costs while nothing happens.
    fn measure_rest(&self, fleet: &mut Fleet, meter: &mut Meter, row: &mut Measurements) {
        let bytes = fleet.sent_bytes.clone();
        let datagrams = fleet.sent_datagrams.clone();
        let cpu = CpuReading::take(fleet);
        let rest = self.rest.max(1);
        meter.pass(fleet, rest * SECOND);
        let used = cpu.since(fleet, rest as f64);
        (row.cpu, row.cpu_simulation) = (used.cores, used.simulation);
        let byte_rate = meter::Rate::between(&bytes, &fleet.sent_bytes, rest as f64);
        let datagram_rate = meter::Rate::between(&datagrams, &fleet.sent_datagrams, rest as f64);
        (row.bytes, row.bytes_worst) = (byte_rate.mean, byte_rate.highest);
        (row.messages, row.messages_worst) = (datagram_rate.mean, datagram_rate.highest);
    }

    /// Lets the scenario's fault happen and waits until the fleet knows of it.
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
        meter.pass(fleet, PARTITION_TIME);
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
        let dead: Vec<usize> = (0..self.size).filter(|member| self.dies(*member)).collect();
        dead.iter().for_each(|member| fleet.kill(*member));
        let first = meter.until(fleet, |fleet| {
            dead.iter().any(|member| fleet.opinions(*member).down > 0)
        });
        let all = meter.until(fleet, Fleet::has_converged);
        let all = if all < 0.0 || first < 0.0 {
            NEVER
        } else {
            first + all
        };
        Detection { first, all }
    }

    fn dies(&self, member: usize) -> bool {
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
        eprintln!("member {member} did not start");
    }
}
