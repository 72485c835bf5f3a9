//! The council's core alone: it has no store and no links yet, so none are in these figures.

use std::collections::VecDeque;
use std::time::Instant;

use pipithub_consensus::{
    Command, Input, Output, Request, State, StoredLog, TimestampedRequest, Voter, VoterSettings,
};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};

use super::{Plan, Series};
use crate::Result;

const MILLISECOND: Time = 1_000_000;
const TICK: Time = 20 * MILLISECOND;
/// Changes of configuration that are planned for, a day.
const PLANNED_CHANGES_PER_DAY: f64 = 1_500.0;
/// Entries of each measurement.
const ENTRIES: u64 = 20_000;
/// Seven are refused by the core.
const CLUSTER_SIZES: [usize; 2] = [3, 5];
const BATCHES: [u64; 5] = [1, 3, 10, 30, 100];
const LEASE_COUNTS: [u64; 4] = [10, 100, 1_000, 10_000];

fn new_voter(id: u64, voters: usize, seed: u64) -> Result<Voter> {
    let settings = VoterSettings {
        id,
        voters: (1..=voters as u64).collect(),
        tick: TICK,
    };
    Ok(Voter::new(settings, &StoredLog::default(), 0, seed)?)
}

/// Voters whose messages arrive at once and in order, and whose disks store at once and keep nothing.
struct Cluster {
    voters: Vec<Voter>,
    now: Time,
    queue: VecDeque<(usize, Input)>,
    sent: u64,
    stored: u64,
    snapshots: u64,
    answers: u64,
    number: u64,
}

impl Cluster {
    fn new(voters: usize, seed: u64) -> Result<Cluster> {
        let all = (1..=voters as u64)
            .map(|id| new_voter(id, voters, seed + id))
            .collect::<Result<_>>()?;
        let queue = VecDeque::new();
        let mut core = Cluster {
            voters: all,
            now: 0,
            queue,
            sent: 0,
            stored: 0,
            snapshots: 0,
            answers: 0,
            number: 0,
        };
        for _ in 0..10_000 {
            if core.leader().is_some() {
                return Ok(core);
            }
            core.now += TICK;
            core.queue.extend((0..voters).map(|n| (n, Input::Tick)));
            core.deliver_all();
        }
        Err("no leader".into())
    }

    fn leader(&self) -> Option<usize> {
        self.voters.iter().position(|v| v.leadership().is_leader)
    }

    fn deliver_all(&mut self) {
        let mut out = Vec::new();
        while let Some((to, input)) = self.queue.pop_front() {
            self.voters[to].handle(self.now, input, &mut out);
            for output in out.drain(..) {
                match output {
                    Output::Send { to, bytes } => {
                        self.sent += bytes.len() as u64;
                        self.queue.push_back((to as usize - 1, Input::Raft(bytes)));
                    }
                    Output::Persist(batch) => {
                        self.stored += batch
                            .entries
                            .iter()
                            .map(|e| e.bytes.len() as u64)
                            .sum::<u64>();
                        self.stored += batch.hard_state.as_ref().map_or(0, |b| b.len() as u64);
                        self.snapshots += batch.snapshot.as_ref().map_or(0, |b| b.len() as u64);
                        if batch.compact_to.is_none() {
                            self.queue.push_back((to, Input::Persisted(batch.number)));
                        }
                    }
                    Output::Reply { .. } => self.answers += 1,
                    _ => {}
                }
            }
        }
    }

    /// Agrees on entries, so many asked at once, of 1,700 front ends in turn.
    fn commit_entries(&mut self, entries: u64, batch: u64) -> Result<()> {
        let before = self.answers;
        let mut left = entries;
        while left > 0 {
            let leader = self.leader().ok_or("no leader")?;
            let now = batch.min(left);
            for _ in 0..now {
                self.number += 1;
                let command = Command::SetSettings {
                    version: self.number,
                    digest: u64::MAX - self.number,
                };
                let name = format!("front-{}", self.number % 1_700);
                let asked = Request {
                    client: name,
                    boot_id: 1,
                    sequence: self.number,
                    command,
                };
                self.queue.push_back((leader, Input::Request(asked)));
            }
            self.deliver_all();
            left -= now;
        }
        match self.answers - before {
            answered if answered == entries => Ok(()),
            answered => Err(format!("{answered} of {entries} entries were answered").into()),
        }
    }
}

/// Simulated seconds from a leader's death until another leads, over links of 1 to 1.5 ms.
fn election(voters: usize, seed: u64) -> Result<Option<f64>> {
    let mut net: Network<Vec<u8>> = Network::new(seed, Link::default());
    let mut all: Vec<Option<Voter>> = (1..=voters as u64)
        .map(|id| new_voter(id, voters, seed * 64 + id).map(Some))
        .collect::<Result<_>>()?;
    (0..voters).for_each(|n| net.set_timer(n, Some(TICK)));
    let mut died: Option<Time> = None;
    while let Some(next) = net.next_event(60_000 * MILLISECOND) {
        let (n, input) = match next {
            NetworkEvent::Delivery { to, message, .. } => (to, Input::Raft(message)),
            NetworkEvent::Timer(n) => (n, Input::Tick),
        };
        let now = net.now();
        let Some(core) = &mut all[n] else { continue };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            core.handle(now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, bytes } => net.send(n, to as usize - 1, bytes),
                    Output::Persist(batch) if batch.compact_to.is_none() => {
                        inputs.insert(0, Input::Persisted(batch.number));
                    }
                    _ => {}
                }
            }
        }
        let leads = core.leadership().is_leader;
        net.set_timer(n, Some(core.next_due().max(now + 1)));
        match died {
            Some(at) if leads => return Ok(Some((now - at) as f64 / 1e9)),
            // Two seconds on, all follow it.
            None if leads && now > 2_000 * MILLISECOND => {
                all[n] = None;
                net.crash(n);
                died = Some(now);
            }
            _ => {}
        }
    }
    Ok(None)
}

/// The state with so many leases, each of a front end of its own.
fn state_with_leases(leases: u64) -> Result<State> {
    let mut state = State::default();
    let mut number = 0;
    for n in 0..leases {
        let name = format!("front-{n}");
        number += 1;
        let apply = |state: &mut State, number, command| {
            let asked = Request {
                client: name.clone(),
                boot_id: u64::MAX / (n + 1),
                sequence: number,
                command,
            };
            state.apply(&TimestampedRequest {
                at: number,
                request: asked,
            });
        };
        apply(&mut state, number, Command::NewEpoch);
        let epoch = state.epoch(&name).ok_or("no epoch")?;
        let lease = format!("lease-{n}");
        number += 1;
        apply(
            &mut state,
            number,
            Command::AcquireLease {
                lease,
                epoch,
                duration: 30_000 * MILLISECOND,
            },
        );
    }
    Ok(state)
}

/// All of it is of one thread; CPU is the wall clock's time of it, so nothing else may run beside it.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let how = "core, no store and no links";
    let series = |what: &str, unit: &str, of: &str, planned| {
        Series::new("council", what, unit, of, how, planned)
    };
    let mut all = Vec::new();
    for voters in CLUSTER_SIZES {
        let named = |what: &str| format!("{voters} voters: {what}");
        let mut rate = series(&named("entries agreed"), "1/s", "at once", 100);
        let mut cpu = series(
            &named("CPU of all voters for an entry"),
            "us",
            "at once",
            100,
        );
        let mut sent = series(
            &named("bytes between voters for an entry"),
            "B",
            "at once",
            100,
        );
        let mut stored = series(
            &named("bytes stored at all voters for an entry"),
            "B",
            "at once",
            100,
        );
        let mut factor = series(
            &named("times the 1 500 changes a day"),
            "times",
            "at once",
            100,
        );
        for batch in plan.sizes_or(&BATCHES) {
            let mut values: [Vec<f64>; 4] = Default::default();
            for play in 0..plan.plays as u64 {
                let mut core = Cluster::new(voters, plan.seed + play)?;
                core.commit_entries(2_000, batch)?;
                let before = (core.sent, core.stored + core.snapshots);
                let begun = Instant::now();
                core.commit_entries(ENTRIES, batch)?;
                let took = begun.elapsed().as_secs_f64().max(1e-9);
                let each = |now: u64, then: u64| (now - then) as f64 / ENTRIES as f64;
                values[0].push(ENTRIES as f64 / took);
                values[1].push(took * 1e6 / ENTRIES as f64);
                values[2].push(each(core.sent, before.0));
                values[3].push(each(core.stored + core.snapshots, before.1));
            }
            factor.push(
                batch,
                values[0]
                    .iter()
                    .map(|v| v * 86_400.0 / PLANNED_CHANGES_PER_DAY)
                    .collect(),
            );
            for (one, values) in [&mut rate, &mut cpu, &mut sent, &mut stored]
                .into_iter()
                .zip(values)
            {
                one.push(batch, values);
            }
        }
        all.extend([rate, cpu, sent, stored, factor]);
    }
    let mut before = series(
        "3 voters: bytes between voters for an entry",
        "B",
        "entries before",
        547_500,
    );
    let mut bytes = series("bytes of the state as a snapshot", "B", "leases", 10_000);
    let mut took = series(
        "CPU to write the state as a snapshot",
        "us",
        "leases",
        10_000,
    );
    for size in LEASE_COUNTS {
        let mut core = Cluster::new(3, plan.seed)?;
        core.commit_entries(size, 1)?;
        let then = core.sent;
        core.commit_entries(100, 1)?;
        before.push(size, vec![(core.sent - then) as f64 / 100.0]);
        let state = state_with_leases(size)?;
        bytes.push(size, vec![postcard::to_stdvec(&state)?.len() as f64]);
        let mut times = Vec::new();
        for _ in 0..plan.plays {
            let begun = Instant::now();
            std::hint::black_box(postcard::to_stdvec(&state)?);
            times.push(begun.elapsed().as_secs_f64() * 1e6);
        }
        took.push(size, times);
    }
    let mut elections = Series::new(
        "council",
        "a leader's death until another leads",
        "s",
        "voters",
        "simulated time",
        5,
    );
    for voters in CLUSTER_SIZES {
        let mut values = Vec::new();
        for seed in 0..20 {
            match election(voters, plan.seed + seed)? {
                Some(time) => values.push(time),
                None => eprintln!(
                    "{voters} voters, seed {}: nobody led again in 58 s",
                    plan.seed + seed
                ),
            }
        }
        elections.push(voters as u64, values);
    }
    all.extend([before, bytes, took, elections]);
    Ok(all)
}
