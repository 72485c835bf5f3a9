//! One voter: the engine, the log and the state that comes of it.

use std::collections::BTreeMap;

use raft::eraftpb::{Entry, EntryType, Message, Snapshot};
use raft::{Config, RawNode, StateRole};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::Time;
use crate::log::{Log, StoredLog, WriteBatch, decode, encode, encode_entry};
use crate::state::{Command, Request, Response, State, TimestampedRequest};

/// Ticks without word of a leader before a voter stands, at the least; up to twice as many are drawn.
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// A snapshot is made after so many entries.
const COMPACT: u64 = 1_000;
/// Proposals under way at a leader; further ones are turned away.
const UNDER_WAY: usize = 4_096;
/// A leader stamps the time into the log after so many ticks without any entry.
const CLOCK_TICKS: u32 = 10;

/// How a voter is set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSettings {
    /// Its number, never used for another disk.
    pub id: u64,
    /// All voters at the start, this one included; three or five.
    pub voters: Vec<u64>,
    /// How long a tick lasts.
    pub tick: Time,
}

/// Why a voter cannot start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterError {
    /// Settings.
    #[error("{0}")]
    InvalidSettings(&'static str),
    /// What its disk holds is no log. It must not start as an empty one: it would vote again where it has voted.
    #[error("the council's log is damaged: {0}; replace this voter under a new number")]
    DamagedLog(String),
    /// The engine refuses.
    #[error("the council's engine cannot start: {0}")]
    Engine(String),
}

/// What goes between voters and those who ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireMessage {
    /// The engine's.
    Raft(Vec<u8>),
    /// A question.
    Request(Request),
    /// Its answer.
    Response {
        /// Whose question.
        client: String,
        /// Of which run.
        boot_id: u64,
        /// Which.
        sequence: u64,
        /// The answer.
        response: Response,
    },
    /// Not here: this voter leads nothing; who does, as far as it knows.
    NotLeader {
        /// Whose question.
        client: String,
        /// Which.
        sequence: u64,
        /// The leader.
        leader: Option<u64>,
    },
}

/// What comes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of another voter's engine.
    Raft(Vec<u8>),
    /// A question of a front end.
    Request(Request),
    /// A batch is on disk, synced, and so are all before it.
    Persisted(u64),
    /// Time has passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send to another voter.
    Send {
        /// Which.
        to: u64,
        /// What.
        bytes: Vec<u8>,
    },
    /// Send to a front end, by its name.
    Reply {
        /// Which.
        client: String,
        /// What.
        message: WireMessage,
    },
    /// Store, in order, and say so.
    Persist(WriteBatch),
    /// An entry was agreed and taken in here.
    Applied {
        /// Its place.
        index: u64,
        /// Its term.
        term: u64,
        /// The entry; `None` where the engine put it there.
        request: Option<TimestampedRequest>,
    },
    /// The state was taken from another voter's snapshot.
    SnapshotRestored {
        /// It holds all up to this place.
        index: u64,
    },
    /// This voter leads, or does no longer.
    LeadershipChanged {
        /// Whether.
        is_leader: bool,
        /// In which term.
        term: u64,
    },
}

/// One voter: no clock, socket, file or thread.
pub struct Voter {
    settings: VoterSettings,
    node: RawNode<Log>,
    state: State,
    applied: u64,
    /// Messages that may go only once a batch is stored.
    held: BTreeMap<u64, Vec<Message>>,
    /// The batch whose snapshot must be stored before the engine may count it as taken in.
    restoring: Option<u64>,
    seed: u64,
    ticks: u64,
    leads: bool,
    ticked: Time,
    now: Time,
    /// The log's time as this leader has it: its base, and the own time that belongs to it.
    stamp: (Time, Time),
    idle: u32,
    under_way: usize,
}

impl Voter {
    /// A voter that starts from what its disk holds.
    pub fn new(
        settings: VoterSettings,
        disk: &StoredLog,
        now: Time,
        seed: u64,
    ) -> Result<Voter, VoterError> {
        if ![1, 3, 5].contains(&settings.voters.len()) {
            return Err(VoterError::InvalidSettings(
                "a council has three or five voters (one for trying out)",
            ));
        }
        if settings.id == 0 || !settings.voters.contains(&settings.id) {
            return Err(VoterError::InvalidSettings(
                "this voter is not in the list of voters",
            ));
        }
        if settings.tick == 0 {
            return Err(VoterError::InvalidSettings("a tick must last"));
        }
        let log = Log::load(disk, &settings.voters).map_err(VoterError::DamagedLog)?;
        let data = log.snapshot.get_data();
        let state = if data.is_empty() {
            State::default()
        } else {
            postcard::from_bytes(data).map_err(|e| VoterError::DamagedLog(e.to_string()))?
        };
        let applied = log.snapshot.get_metadata().index;
        let config = Config {
            id: settings.id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            // A leader that cannot reach a majority stands down; one that was away disturbs no one when it comes back.
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 16 << 20,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node =
            RawNode::new(&config, log, &logger).map_err(|e| VoterError::Engine(e.to_string()))?;
        let mut voter = Voter {
            settings,
            node,
            state,
            applied,
            held: BTreeMap::new(),
            restoring: None,
            seed,
            ticks: 0,
            leads: false,
            ticked: now,
            now,
            stamp: (0, now),
            idle: 0,
            under_way: 0,
        };
        voter.draw();
        Ok(voter)
    }

    /// The engine draws its patience from the system, anew at each change of its role; drawn here instead, from the
    /// seed, the term and the ticks, equal seeds give equal runs.
    fn draw(&mut self) {
        let from = self.seed ^ self.node.raft.term.rotate_left(32) ^ (self.ticks >> 6);
        let drawn = SmallRng::seed_from_u64(from).random_range(ELECTION..2 * ELECTION);
        self.node.raft.set_randomized_election_timeout(drawn);
    }

    /// The state as taken in so far. It may be older than what the majority has.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this voter believes to lead, and in which term.
    pub fn leads(&self) -> (bool, u64) {
        (self.leads, self.node.raft.term)
    }

    /// How many entries were taken in.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Time {
        self.ticked + self.settings.tick
    }

    /// The log's time now, as this leader has it: what stood in the log when it was elected, and what has passed
    /// since by its own clock. So it never runs faster than real time, whoever leads.
    fn log_time(&self) -> Time {
        self.stamp.0 + self.now.saturating_sub(self.stamp.1)
    }

    /// Takes one input and appends what to do about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Raft(bytes) => {
                // A message that cannot be read, or is not for us, is as good as lost.
                if let Ok(message) = decode::<Message>(&bytes)
                    && message.to == self.settings.id
                {
                    let _ = self.node.step(message);
                }
            }
            Input::Request(asked) => self.ask(asked, out),
            Input::Persisted(number) => {
                self.node.on_persist_ready(number);
                if self.restoring.is_some_and(|n| n <= number) {
                    self.restoring = None;
                    self.node.advance_apply_to(self.applied);
                }
                let done: Vec<u64> = self.held.range(..=number).map(|(n, _)| *n).collect();
                for number in done {
                    for message in self.held.remove(&number).unwrap_or_default() {
                        send(&message, out);
                    }
                }
            }
            Input::Tick => {
                // One tick for a call: a voter that slept must not believe that all its ticks were silence.
                if self.now >= self.next_due() {
                    self.ticked = self.now;
                    self.ticks += 1;
                    self.node.tick();
                    self.idle += 1;
                    if self.leads && self.idle >= CLOCK_TICKS {
                        let asked = Request {
                            client: String::new(),
                            boot_id: 0,
                            sequence: 0,
                            command: Command::AdvanceClock,
                        };
                        self.propose(asked);
                    }
                }
            }
        }
        self.turn(out);
    }

    fn propose(&mut self, asked: Request) -> bool {
        self.idle = 0;
        let stamped = TimestampedRequest {
            at: self.log_time(),
            request: asked,
        };
        let Ok(data) = postcard::to_stdvec(&stamped) else {
            return false;
        };
        let taken = self.under_way < UNDER_WAY && self.node.propose(Vec::new(), data).is_ok();
        self.under_way += usize::from(taken);
        taken
    }

    fn ask(&mut self, asked: Request, out: &mut Vec<Output>) {
        let (name, number) = (asked.client.clone(), asked.sequence);
        // Clock entries are leaders' own.
        if asked.command == Command::AdvanceClock || self.leads && self.propose(asked) {
            return;
        }
        let leader =
            Some(self.node.raft.leader_id).filter(|id| *id != 0 && *id != self.settings.id);
        out.push(Output::Reply {
            client: name.clone(),
            message: WireMessage::NotLeader {
                client: name,
                sequence: number,
                leader,
            },
        });
    }

    /// Carries out what the engine has ready.
    fn turn(&mut self, out: &mut Vec<Output>) {
        self.draw();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            for message in ready.take_messages() {
                send(&message, out);
            }
            let mut batch = WriteBatch {
                number: ready.number(),
                ..WriteBatch::default()
            };
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                batch.snapshot = Some(encode(&snapshot));
                self.restoring = Some(batch.number);
                self.restore(snapshot, out);
            }
            for entry in ready.take_committed_entries() {
                self.apply(&entry, out);
            }
            if !ready.entries().is_empty() {
                batch.entries = ready.entries().iter().map(encode_entry).collect();
                self.node.mut_store().append(ready.entries());
            }
            if let Some(hard) = ready.hs() {
                batch.hard_state = Some(encode(hard));
                self.node.mut_store().hard_state = hard.clone();
            }
            let held = ready.take_persisted_messages();
            let number = ready.number();
            self.node.advance_append_async(ready);
            // Even an empty one is stored in turn: the engine counts them all.
            self.held.insert(number, held);
            out.push(Output::Persist(batch));
            if self.restoring.is_none() {
                self.node.advance_apply_to(self.applied);
            }
        }
        self.lead(out);
        self.compact(out);
    }

    fn lead(&mut self, out: &mut Vec<Output>) {
        let leads = self.node.raft.state == StateRole::Leader;
        if leads != self.leads {
            self.leads = leads;
            // All that was ever stamped and may be agreed on stands in this log.
            let stamped =
                |e: &Entry| postcard::from_bytes::<TimestampedRequest>(&e.data).map_or(0, |s| s.at);
            let newest = self
                .node
                .store()
                .entries
                .iter()
                .map(stamped)
                .max()
                .unwrap_or(0);
            self.stamp = (newest.max(self.state.clock()), self.now);
            self.under_way = 0;
            out.push(Output::LeadershipChanged {
                is_leader: leads,
                term: self.node.raft.term,
            });
        }
    }

    fn apply(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        self.applied = self.applied.max(entry.index);
        let stamped = match entry.get_entry_type() {
            EntryType::EntryNormal if !entry.data.is_empty() => {
                postcard::from_bytes::<TimestampedRequest>(&entry.data).ok()
            }
            _ => None,
        };
        out.push(Output::Applied {
            index: entry.index,
            term: entry.term,
            request: stamped.clone(),
        });
        let Some(stamped) = stamped else { return };
        let answer = self.state.apply(&stamped);
        self.under_way = self.under_way.saturating_sub(1);
        let Request {
            client: name,
            boot_id: boot,
            sequence: number,
            command,
        } = stamped.request;
        if self.leads && command != Command::AdvanceClock {
            let wire = WireMessage::Response {
                client: name.clone(),
                boot_id: boot,
                sequence: number,
                response: answer,
            };
            out.push(Output::Reply {
                client: name,
                message: wire,
            });
        }
    }

    fn restore(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let index = snapshot.get_metadata().index;
        if let Ok(state) = postcard::from_bytes(snapshot.get_data()) {
            self.state = state;
        }
        self.applied = self.applied.max(index);
        self.node.mut_store().restore(snapshot);
        out.push(Output::SnapshotRestored { index });
    }

    /// Puts a snapshot in place of a long log.
    fn compact(&mut self, out: &mut Vec<Output>) {
        let from = self.node.store().snapshot.get_metadata().index;
        // What is not stored yet must not be dropped from the disk by a batch in front of it.
        if self.applied < from + COMPACT || !self.held.is_empty() {
            return;
        }
        let Ok(term) = raft::Storage::term(self.node.store(), self.applied) else {
            return;
        };
        let Ok(data) = postcard::to_stdvec(&self.state) else {
            return;
        };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        snapshot
            .mut_metadata()
            .set_conf_state(self.node.store().conf_state.clone());
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (self.applied, term);
        let bytes = encode(&snapshot);
        self.node.mut_store().compact(snapshot);
        out.push(Output::Persist(WriteBatch {
            number: 0,
            snapshot: Some(bytes),
            compact_to: Some(self.applied),
            ..WriteBatch::default()
        }));
    }
}

fn send(message: &Message, out: &mut Vec<Output>) {
    out.push(Output::Send {
        to: message.to,
        bytes: encode(message),
    });
}
