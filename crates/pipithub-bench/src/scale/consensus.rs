//! The cost of the consensus core without a store and links, which it does not have yet.

mod cluster;
mod election;

use std::hint::black_box;
use std::time::Instant;

use pipithub_consensus::{
    Command, Request, State, StoredLog, TimestampedRequest, Voter, VoterSettings,
};
use pipithub_simnet::Time;

use super::{Plan, Series, SizeAxis};
use crate::Result;
use cluster::Cluster;

const MILLISECOND: Time = 1_000_000;
const TICK: Time = 20 * MILLISECOND;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// The planned number of configuration changes per day.
const PLANNED_CHANGES_PER_DAY: f64 = 1_500.0;
/// The number of entries that result from these changes in a year.
const PLANNED_ENTRIES: u64 = 547_500;
const PLANNED_BATCH: u64 = 100;
const PLANNED_LEASES: u64 = 10_000;
/// The number of entries that are committed during a measurement.
const ENTRIES: u64 = 20_000;
/// The number of entries that are committed before a measurement.
const WARM_UP_ENTRIES: u64 = 2_000;
/// The number of entries whose messages are counted after many others have been committed.
const LATER_ENTRIES: u64 = 100;
/// The core does not support clusters of seven voters.
const CLUSTER_SIZES: [usize; 2] = [3, 5];
const BATCHES: [u64; 5] = [1, 3, 10, 30, 100];
const LEASE_COUNTS: [u64; 4] = [10, 100, 1_000, 10_000];
const LEASE_DURATION: Time = 30_000 * MILLISECOND;
/// The number of elections for each cluster size.
const ELECTIONS: u64 = 20;

/// The axis of measurements on cores without a store and links.
fn core_axis(size_unit: &'static str, planned: u64) -> SizeAxis {
    SizeAxis {
        part: "council",
        size_unit,
        method: "core, no store and no links",
        planned,
    }
}

fn new_voter(id: u64, voters: usize, seed: u64) -> Result<Voter> {
    let settings = VoterSettings {
        id,
        voters: (1..=voters as u64).collect(),
        tick: TICK,
    };
    Ok(Voter::new(settings, &StoredLog::default(), 0, seed)?)
}

/// Measures entries, snapshots and elections. They run on one thread, and CPU time is measured as elapsed time, so no
/// other load may run on the machine.
pub(super) fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let mut all = Vec::new();
    for voters in CLUSTER_SIZES {
        all.extend(measure_entries(plan, voters)?);
    }
    all.extend(measure_leases(plan)?);
    all.push(measure_elections(plan)?);
    Ok(all)
}

/// The cost of an entry in one run.
struct EntryCosts {
    entries_per_second: f64,
    cpu_us: f64,
    sent_bytes: f64,
    stored_bytes: f64,
}

impl EntryCosts {
    fn measure(voters: usize, seed: u64, batch: u64) -> Result<EntryCosts> {
        let mut cluster = Cluster::new(voters, seed)?;
        cluster.commit_entries(WARM_UP_ENTRIES, batch)?;
        let sent_before = cluster.sent_bytes;
        let stored_before = cluster.stored_bytes();
        let begun = Instant::now();
        cluster.commit_entries(ENTRIES, batch)?;
        let seconds = begun.elapsed().as_secs_f64().max(1e-9);
        let per_entry = |now: u64, before: u64| (now - before) as f64 / ENTRIES as f64;
        Ok(EntryCosts {
            entries_per_second: ENTRIES as f64 / seconds,
            cpu_us: seconds * 1e6 / ENTRIES as f64,
            sent_bytes: per_entry(cluster.sent_bytes, sent_before),
            stored_bytes: per_entry(cluster.stored_bytes(), stored_before),
        })
    }
}

fn measure_entries(plan: &Plan, voters: usize) -> Result<Vec<Series>> {
    let axis = core_axis("at once", PLANNED_BATCH);
    let series = |what: &str, unit: &str| axis.series(&format!("{voters} voters: {what}"), unit);
    let mut rate = series("entries agreed", "1/s");
    let mut cpu = series("CPU of all voters for an entry", "us");
    let mut sent = series("bytes between voters for an entry", "B");
    let mut stored = series("bytes stored at all voters for an entry", "B");
    let mut factor = series("times the 1 500 changes a day", "times");
    for batch in plan.sizes_or(&BATCHES) {
        let runs = (0..plan.runs as u64)
            .map(|run| EntryCosts::measure(voters, plan.seed + run, batch))
            .collect::<Result<Vec<EntryCosts>>>()?;
        let values = |value: fn(&EntryCosts) -> f64| runs.iter().map(value).collect();
        rate.push(batch, values(|run| run.entries_per_second));
        cpu.push(batch, values(|run| run.cpu_us));
        sent.push(batch, values(|run| run.sent_bytes));
        stored.push(batch, values(|run| run.stored_bytes));
        factor.push(
            batch,
            values(|run| run.entries_per_second * SECONDS_PER_DAY / PLANNED_CHANGES_PER_DAY),
        );
    }
    Ok(vec![rate, cpu, sent, stored, factor])
}

fn measure_leases(plan: &Plan) -> Result<Vec<Series>> {
    let mut sent = core_axis("entries before", PLANNED_ENTRIES)
        .series("3 voters: bytes between voters for an entry", "B");
    let lease_axis = core_axis("leases", PLANNED_LEASES);
    let mut bytes = lease_axis.series("bytes of the state as a snapshot", "B");
    let mut cpu = lease_axis.series("CPU to write the state as a snapshot", "us");
    for size in LEASE_COUNTS {
        sent.push(size, vec![sent_bytes_after(size, plan.seed)?]);
        let state = state_with_leases(size)?;
        bytes.push(size, vec![postcard::to_stdvec(&state)?.len() as f64]);
        let mut times = Vec::new();
        for _ in 0..plan.runs {
            let begun = Instant::now();
            black_box(postcard::to_stdvec(&state)?);
            times.push(begun.elapsed().as_secs_f64() * 1e6);
        }
        cpu.push(size, times);
    }
    Ok(vec![sent, bytes, cpu])
}

/// Bytes sent between three voters for an entry after a number of others.
fn sent_bytes_after(entries: u64, seed: u64) -> Result<f64> {
    let mut cluster = Cluster::new(3, seed)?;
    cluster.commit_entries(entries, 1)?;
    let before = cluster.sent_bytes;
    cluster.commit_entries(LATER_ENTRIES, 1)?;
    Ok((cluster.sent_bytes - before) as f64 / LATER_ENTRIES as f64)
}

/// A state with a number of leases, each held by another front end.
fn state_with_leases(leases: u64) -> Result<State> {
    let mut state = State::default();
    for number in 0..leases {
        let client = format!("front-{number}");
        let boot_id = u64::MAX / (number + 1);
        let request = |sequence: u64, command: Command| TimestampedRequest {
            at: sequence,
            request: Request {
                client: client.clone(),
                boot_id,
                sequence,
                command,
            },
        };
        // Each client sends two requests; sequence numbers increase over all clients.
        let sequence = 2 * number + 1;
        state.apply(&request(sequence, Command::NewEpoch));
        let acquire = Command::AcquireLease {
            lease: format!("lease-{number}"),
            epoch: state.epoch(&client).ok_or("no epoch")?,
            duration: LEASE_DURATION,
        };
        state.apply(&request(sequence + 1, acquire));
    }
    Ok(state)
}

fn measure_elections(plan: &Plan) -> Result<Series> {
    let axis = SizeAxis {
        part: "council",
        size_unit: "voters",
        method: "simulated time",
        planned: 5,
    };
    let mut elections = axis.series("a leader's death until another leads", "s");
    for voters in CLUSTER_SIZES {
        let mut values = Vec::new();
        for number in 0..ELECTIONS {
            let seed = plan.seed + number;
            match election::seconds_without_leader(voters, seed)? {
                Some(seconds) => values.push(seconds),
                None => eprintln!("{voters} voters, seed {seed}: no new leader within 58 s"),
            }
        }
        elections.push(voters as u64, values);
    }
    Ok(elections)
}
