//! Elections in simulated time, over links of 1 to 1.5 ms.

use pipithub_consensus::{Input, Output, Voter};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};

use super::{MILLISECOND, TICK, new_voter};
use crate::Result;

/// The earliest time at which the leader crashes; by then all voters follow it.
const CRASH_TIME: Time = 2_000 * MILLISECOND;
/// The maximum duration of a simulation.
const END: Time = 60_000 * MILLISECOND;
/// The distance between the seeds of two clusters, which is more than a cluster has voters.
const SEEDS_PER_CLUSTER: u64 = 64;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Simulated seconds from the crash of the leader until another voter leads; `None` if none does before `END`.
pub(super) fn seconds_without_leader(voters: usize, seed: u64) -> Result<Option<f64>> {
    let mut network: Network<Vec<u8>> = Network::new(seed, Link::default());
    let mut all: Vec<Option<Voter>> = (1..=voters as u64)
        .map(|id| new_voter(id, voters, seed * SEEDS_PER_CLUSTER + id).map(Some))
        .collect::<Result<_>>()?;
    for voter in 0..voters {
        network.set_timer(voter, Some(TICK));
    }
    let mut crashed_at: Option<Time> = None;
    while let Some(event) = network.next_event(END) {
        let (index, input) = match event {
            NetworkEvent::Delivery { to, message, .. } => (to, Input::Raft(message)),
            NetworkEvent::Timer(index) => (index, Input::Tick),
        };
        let now = network.now();
        let Some(voter) = &mut all[index] else {
            continue;
        };
        handle(&mut network, index, voter, input);
        let is_leader = voter.leadership().is_leader;
        network.set_timer(index, Some(voter.next_due().max(now + 1)));
        match crashed_at {
            Some(crash) if is_leader => {
                return Ok(Some((now - crash) as f64 / NANOSECONDS_PER_SECOND));
            }
            None if is_leader && now > CRASH_TIME => {
                all[index] = None;
                network.crash(index);
                crashed_at = Some(now);
            }
            _ => {}
        }
    }
    Ok(None)
}

/// Passes an input to a voter, sends the messages that result and confirms each write immediately.
fn handle(network: &mut Network<Vec<u8>>, index: usize, voter: &mut Voter, input: Input) {
    let now = network.now();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        let mut outputs = Vec::new();
        voter.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, bytes } => network.send(index, to as usize - 1, bytes),
                Output::Persist(batch) if batch.compact_to.is_none() => {
                    inputs.insert(0, Input::Persisted(batch.number));
                }
                _ => {}
            }
        }
    }
}
