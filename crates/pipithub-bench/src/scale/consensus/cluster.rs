//! Voters whose messages arrive immediately and in order, and whose writes complete immediately but are not kept.

use std::collections::VecDeque;

use pipithub_consensus::{Command, Input, Output, Request, Voter, WriteBatch};
use pipithub_simnet::Time;

use super::{TICK, new_voter};
use crate::Result;

/// The number of front ends that send requests in turn.
const CLIENTS: u64 = 1_700;
/// The number of ticks within which the first leader must be elected.
const MAX_TICKS: usize = 10_000;

/// An input on its way to a voter.
struct PendingInput {
    voter: usize,
    input: Input,
}

/// A consensus group with a leader, and what it has sent and stored so far.
pub(super) struct Cluster {
    voters: Vec<Voter>,
    now: Time,
    pending: VecDeque<PendingInput>,
    /// Bytes of all messages between voters.
    pub sent_bytes: u64,
    log_bytes: u64,
    snapshot_bytes: u64,
    answers: u64,
    requests: u64,
}

impl Cluster {
    /// Starts the voters and runs them until one leads. Fails if none does within `MAX_TICKS`.
    pub(super) fn new(voters: usize, seed: u64) -> Result<Cluster> {
        let mut cluster = Cluster {
            voters: (1..=voters as u64)
                .map(|id| new_voter(id, voters, seed + id))
                .collect::<Result<_>>()?,
            now: 0,
            pending: VecDeque::new(),
            sent_bytes: 0,
            log_bytes: 0,
            snapshot_bytes: 0,
            answers: 0,
            requests: 0,
        };
        for _ in 0..MAX_TICKS {
            if cluster.leader().is_some() {
                return Ok(cluster);
            }
            cluster.now += TICK;
            for voter in 0..voters {
                cluster.enqueue(voter, Input::Tick);
            }
            cluster.deliver_all();
        }
        Err("no leader".into())
    }

    /// Bytes that all voters have stored, snapshots included.
    pub(super) fn stored_bytes(&self) -> u64 {
        self.log_bytes + self.snapshot_bytes
    }

    fn leader(&self) -> Option<usize> {
        self.voters
            .iter()
            .position(|voter| voter.leadership().is_leader)
    }

    fn enqueue(&mut self, voter: usize, input: Input) {
        self.pending.push_back(PendingInput { voter, input });
    }

    fn deliver_all(&mut self) {
        let mut outputs = Vec::new();
        while let Some(PendingInput { voter, input }) = self.pending.pop_front() {
            self.voters[voter].handle(self.now, input, &mut outputs);
            for output in outputs.drain(..) {
                self.execute(voter, output);
            }
        }
    }

    fn execute(&mut self, voter: usize, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                self.sent_bytes += bytes.len() as u64;
                self.enqueue(to as usize - 1, Input::Raft(bytes));
            }
            Output::Persist(batch) => {
                self.count_stored(&batch);
                if batch.compact_to.is_none() {
                    self.enqueue(voter, Input::Persisted(batch.number));
                }
            }
            Output::Reply { .. } => self.answers += 1,
            _ => {}
        }
    }

    fn count_stored(&mut self, batch: &WriteBatch) {
        let entries = batch.entries.iter().map(|entry| entry.bytes.len() as u64);
        let length = |bytes: &Vec<u8>| bytes.len() as u64;
        self.log_bytes += entries.sum::<u64>();
        self.log_bytes += batch.hard_state.as_ref().map_or(0, length);
        self.snapshot_bytes += batch.snapshot.as_ref().map_or(0, length);
    }

    /// Commits entries in batches, requested by the front ends in turn. Fails if an entry is not answered.
    pub(super) fn commit_entries(&mut self, entries: u64, batch: u64) -> Result<()> {
        let answers_before = self.answers;
        let mut left = entries;
        while left > 0 {
            let leader = self.leader().ok_or("no leader")?;
            let count = batch.min(left);
            for _ in 0..count {
                let request = self.next_request();
                self.enqueue(leader, Input::Request(request));
            }
            self.deliver_all();
            left -= count;
        }
        match self.answers - answers_before {
            answered if answered == entries => Ok(()),
            answered => Err(format!("{answered} of {entries} entries were answered").into()),
        }
    }

    fn next_request(&mut self) -> Request {
        self.requests += 1;
        Request {
            client: format!("front-{}", self.requests % CLIENTS),
            boot_id: 1,
            sequence: self.requests,
            command: Command::SetSettings {
                version: self.requests,
                digest: u64::MAX - self.requests,
            },
        }
    }
}
