//! The cost of a committed entry must not depend on the number of entries before it, in counted messages and bytes.

use std::collections::VecDeque;

use pipithub_consensus::{
    Command, Input, Output, Request, StoredLog, Voter, VoterSettings, WriteBatch,
};

const TICK: u64 = 20_000_000;
const CLIENTS: u64 = 10;

/// Messages and bytes between voters for each committed entry.
struct EntryCost {
    messages: f64,
    bytes: f64,
}

struct QueuedInput {
    voter: usize,
    input: Input,
}

/// Three voters whose messages arrive in order and whose disks store each batch at once.
struct Group {
    voters: Vec<Voter>,
    now: u64,
    messages: u64,
    bytes: u64,
    responses: u64,
    /// Bytes of the last snapshot of the first voter.
    snapshot_bytes: usize,
    last_sequence: u64,
}

impl Group {
    /// Creates a group and runs it until it has a leader.
    fn new() -> Group {
        let ids = vec![1, 2, 3];
        let voter = |id: u64| {
            let settings = VoterSettings {
                id,
                voters: ids.clone(),
                tick: TICK,
            };
            Voter::new(settings, &StoredLog::default(), 0, id).unwrap()
        };
        let mut group = Group {
            voters: ids.iter().map(|id| voter(*id)).collect(),
            now: 0,
            messages: 0,
            bytes: 0,
            responses: 0,
            snapshot_bytes: 0,
            last_sequence: 0,
        };
        while group.leader().is_none() {
            group.tick();
        }
        group
    }

    fn leader(&self) -> Option<usize> {
        self.voters
            .iter()
            .position(|voter| voter.leadership().is_leader)
    }

    fn tick(&mut self) {
        self.now += TICK;
        (0..self.voters.len()).for_each(|voter| self.handle(voter, Input::Tick));
    }

    /// Handles an input and all messages that result from it.
    fn handle(&mut self, voter: usize, input: Input) {
        let mut queue = VecDeque::from([QueuedInput { voter, input }]);
        while let Some(QueuedInput { voter, input }) = queue.pop_front() {
            let mut outputs = Vec::new();
            self.voters[voter].handle(self.now, input, &mut outputs);
            let results = outputs
                .into_iter()
                .filter_map(|output| self.apply_output(voter, output));
            queue.extend(results);
        }
    }

    /// Counts an output and returns the input that results from it.
    fn apply_output(&mut self, voter: usize, output: Output) -> Option<QueuedInput> {
        match output {
            Output::Send { to, bytes } => {
                self.messages += 1;
                self.bytes += bytes.len() as u64;
                Some(QueuedInput {
                    voter: to as usize - 1,
                    input: Input::Raft(bytes),
                })
            }
            Output::Persist(batch) => self.persist(voter, &batch),
            Output::Reply { .. } => {
                self.responses += 1;
                None
            }
            _ => None,
        }
    }

    fn persist(&mut self, voter: usize, batch: &WriteBatch) -> Option<QueuedInput> {
        if let Some(snapshot) = batch.snapshot.as_ref().filter(|_| voter == 0) {
            self.snapshot_bytes = snapshot.len();
        }
        let needs_confirmation = batch.compact_to.is_none();
        needs_confirmation.then_some(QueuedInput {
            voter,
            input: Input::Persisted(batch.number),
        })
    }

    /// Commits this number of entries from ten front ends and returns the cost of an entry.
    fn commit(&mut self, entries: u64) -> EntryCost {
        let (messages, bytes, responses) = (self.messages, self.bytes, self.responses);
        for _ in 0..entries {
            self.last_sequence += 1;
            let request = Request {
                client: format!("front-{}", self.last_sequence % CLIENTS),
                boot_id: 1,
                sequence: self.last_sequence,
                command: Command::SetSettings {
                    version: self.last_sequence,
                    digest: 7,
                },
            };
            let leader = self.leader().unwrap();
            self.handle(leader, Input::Request(request));
        }
        assert_eq!(
            self.responses - responses,
            entries,
            "each request has one response"
        );
        EntryCost {
            messages: (self.messages - messages) as f64 / entries as f64,
            bytes: (self.bytes - bytes) as f64 / entries as f64,
        }
    }
}

#[test]
fn cost_of_an_entry_and_size_of_a_snapshot_do_not_grow_with_the_log() {
    let mut group = Group::new();
    group.commit(100);
    let early = group.commit(200);
    // The first snapshot is taken after some 1,000 entries.
    group.commit(1_000);
    let first_snapshot = group.snapshot_bytes;
    assert!(
        first_snapshot > 100 && early.messages >= 2.0 && early.bytes > 50.0,
        "{first_snapshot} bytes in a snapshot, {} messages and {} bytes per entry",
        early.messages,
        early.bytes
    );
    group.commit(3_000);
    let late = group.commit(200);
    assert!(
        late.messages <= early.messages * 1.01,
        "messages per entry: {} early, {} late",
        early.messages,
        late.messages
    );
    // Larger indexes and sequence numbers take more bytes.
    assert!(
        late.bytes <= early.bytes * 1.1,
        "bytes per entry: {} early, {} late",
        early.bytes,
        late.bytes
    );
    assert!(
        group.snapshot_bytes <= first_snapshot + first_snapshot / 5,
        "bytes of a snapshot: {first_snapshot} for the first, {} for the last",
        group.snapshot_bytes
    );
}
