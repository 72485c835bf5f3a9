//! Elections in simulated time, over links of 1 to 1.5 ms.

use pipithub_consensus::{Input, Output, Voter};
use pipithub_simnet::{Link, Network, NetworkEvent, Time};

use super::{MILLISECOND, TICK, new_voter};
use crate::Result;

/// When the first leader is killed; by then all voters follow it.
const DEATH: Time = 2_000 * MILLISECOND;
/// The maximum duration of a simulation.
const END: Time = 60_000 * MILLISECOND;
/// The distance between the seeds of two clusters, which is more than a cluster has voters.
const SEEDS_PER_CLUSTER: u64 = 64;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Simulated seconds from the end of a leader until there is a new one; `None` if there is none in time.
pub(super) fn seconds_without_leader(voters: usize, seed: u64) -> Result<Option<f64>> {
    let mut network: Network<Vec<u8>> = Network::new(seed, Link::default());
    let mut all: Vec<Option<Voter>> = (1..=voters as u64)
        .map(|id| new_voter(id, voters, seed * SEEDS_PER_CLUSTER + id).map(Some))
        .collect::<Result<_>>()?;
    for voter in 0..voters {
        network.set_timer(voter, Some(TICK));
    }
    let mut died_at: Option<Time> = None;
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
        match died_at {
            Some(death) if is_leader => {
                return Ok(Some((now - death) as f64 / NANOSECONDS_PER_SECOND));
            }
            None if is_leader && now > DEATH => {
                all[index] = None;
                network.crash(index);
                died_at = Some(now);
            }
            _ => {}
        }
    }
    Ok(None)
}

/// Hands an input to a voter, sends its messages and confirms at once what it stores.
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
