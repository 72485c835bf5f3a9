//! The cost of a committed entry must not depend on how many there were before it; in counted messages and bytes.

use std::collections::VecDeque;

use pipithub_consensus::{Command, Input, Output, Request, Voter, VoterSettings};

const TICK: u64 = 20_000_000;

/// Three voters whose messages arrive in order and whose disks store at once.
struct Group {
    voters: Vec<Voter>,
    now: u64,
    messages: u64,
    bytes: u64,
    responses: u64,
    /// Bytes of the last snapshot of the first voter.
    snapshot: usize,
    last_sequence: u64,
}

impl Group {
    fn new() -> Group {
        let ids = vec![1, 2, 3];
        let voter = |id: u64| {
            let settings = VoterSettings {
                id,
                voters: ids.clone(),
                tick: TICK,
            };
            Voter::new(settings, &pipithub_consensus::StoredLog::default(), 0, id).unwrap()
        };
        let voters = ids.iter().map(|id| voter(*id)).collect();
        let mut group = Group {
            voters,
            now: 0,
            messages: 0,
            bytes: 0,
            responses: 0,
            snapshot: 0,
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
        (0..self.voters.len()).for_each(|n| self.input(n, Input::Tick));
    }

    fn input(&mut self, to: usize, input: Input) {
        let mut queue = VecDeque::from([(to, input)]);
        while let Some((to, input)) = queue.pop_front() {
            let mut out = Vec::new();
            self.voters[to].handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, bytes } => {
                        self.messages += 1;
                        self.bytes += bytes.len() as u64;
                        queue.push_back((to as usize - 1, Input::Raft(bytes)));
                    }
                    Output::Persist(batch) => {
                        if let Some(snapshot) = batch.snapshot.as_ref().filter(|_| to == 0) {
                            self.snapshot = snapshot.len();
                        }
                        if batch.compact_to.is_none() {
                            queue.push_back((to, Input::Persisted(batch.number)));
                        }
                    }
                    Output::Reply { .. } => self.responses += 1,
                    _ => {}
                }
            }
        }
    }

    /// Commits entries of ten front ends; returns the messages and bytes between voters for each.
    fn commit(&mut self, entries: u64) -> (f64, f64) {
        let before = (self.messages, self.bytes, self.responses);
        for _ in 0..entries {
            self.last_sequence += 1;
            let command = Command::SetSettings {
                version: self.last_sequence,
                digest: 7,
            };
            let client = format!("front-{}", self.last_sequence % 10);
            let leader = self.leader().unwrap();
            self.input(
                leader,
                Input::Request(Request {
                    client,
                    boot_id: 1,
                    sequence: self.last_sequence,
                    command,
                }),
            );
        }
        assert_eq!(
            self.responses - before.2,
            entries,
            "not all have a response"
        );
        let each = |now: u64, then: u64| (now - then) as f64 / entries as f64;
        (each(self.messages, before.0), each(self.bytes, before.1))
    }
}

#[test]
fn an_entry_costs_the_same_after_thousands_and_a_snapshot_does_not_hold_them() {
    let mut group = Group::new();
    group.commit(100);
    let (messages, bytes) = group.commit(200);
    // The first snapshot is of 1,000 entries or so.
    group.commit(1_000);
    let snapshot = group.snapshot;
    assert!(
        snapshot > 100 && messages >= 2.0 && bytes > 50.0,
        "{snapshot} {messages} {bytes}"
    );
    group.commit(3_000);
    let (messages_late, bytes_late) = group.commit(200);
    assert!(
        messages_late <= messages * 1.01,
        "messages an entry: {messages} and {messages_late}"
    );
    // Numbers of more digits take a byte more here and there.
    assert!(
        bytes_late <= bytes * 1.1,
        "bytes an entry: {bytes} and {bytes_late}"
    );
    assert!(
        group.snapshot <= snapshot + snapshot / 5,
        "bytes of a snapshot: {snapshot} and {}",
        group.snapshot
    );
}
