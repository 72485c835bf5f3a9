//! One voter of the consensus group: the Raft engine, the log, and the state that results from it.

mod ready;

use std::collections::BTreeMap;

use raft::eraftpb::Message;
use raft::{Config, RawNode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Time;
use crate::command::{Command, Request, TimestampedRequest};
use crate::log::{Log, LogError, decode};
use crate::message::{Input, Output, WireMessage};
use crate::state::State;
use crate::storage::StoredLog;

/// Numbers of voters that a consensus group may have; a single voter is for trials.
const GROUP_SIZES: [usize; 3] = [1, 3, 5];
/// Shortest election timeout in ticks; timeouts are drawn between this and twice as many ticks.
const MIN_ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Largest message with entries, in bytes.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Largest number of messages with entries in flight to one voter.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// Largest size of a leader's uncommitted entries, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 16 << 20;
/// Largest number of proposals in flight at a leader; further ones are rejected.
const MAX_PROPOSALS_IN_FLIGHT: usize = 4_096;
/// Ticks without a proposal after which a leader proposes an advance of the log's time.
const CLOCK_ADVANCE_TICKS: u32 = 10;
/// Base-2 logarithm of the number of ticks after which a new election timeout is drawn: 64 ticks.
const REDRAW_TICKS_LOG2: u32 = 6;

/// Configuration of a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSettings {
    /// Id of this voter, not 0. It must never be reused with another disk.
    pub id: u64,
    /// Ids of all voters, this one included; three or five, or one for trials. Once the log has a snapshot, the voters
    /// listed in it are used instead.
    pub voters: Vec<u64>,
    /// Duration of a tick in nanoseconds, over 0.
    pub tick: Time,
}

impl VoterSettings {
    fn validate(&self) -> Result<(), VoterError> {
        if !GROUP_SIZES.contains(&self.voters.len()) {
            return Err(VoterError::InvalidGroupSize(self.voters.len()));
        }
        if self.id == 0 || !self.voters.contains(&self.id) {
            return Err(VoterError::NotInGroup(self.id));
        }
        if self.tick == 0 {
            return Err(VoterError::InvalidTick);
        }
        Ok(())
    }
}

/// Why a voter cannot start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterError {
    /// The number of voters in the settings is not supported.
    #[error("a consensus group has three or five voters (one for trials), not {0}")]
    InvalidGroupSize(usize),
    /// The id of the voter is 0 or not in its list of voters.
    #[error("voter {0} is not in the list of voters")]
    NotInGroup(u64),
    /// The duration of a tick is 0.
    #[error("the duration of a tick must be over 0")]
    InvalidTick,
    /// The log on its disk is damaged. The voter must not start with an empty log, because it could vote twice in one
    /// term.
    #[error("the log is damaged: {0}; replace this voter by one with a new id")]
    DamagedLog(LogError),
    /// The Raft engine does not start.
    #[error("failed to start the Raft engine: {0}")]
    Engine(String),
}

/// Whether a voter is the leader, according to its own knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Whether it believes that it is the leader.
    pub is_leader: bool,
    /// The latest term that it knows.
    pub term: u64,
}

/// A time of the log and the time of the local clock that corresponds to it.
#[derive(Clone, Copy, Debug)]
struct ClockBase {
    log_time: Time,
    local_time: Time,
}

/// One voter of the consensus group. It has no clock, socket, file or thread: equal inputs give equal outputs.
pub struct Voter {
    settings: VoterSettings,
    node: RawNode<Log>,
    state: State,
    applied: u64,
    /// Messages that may be sent only once a batch is on disk, by the number of the batch.
    awaiting_persistence: BTreeMap<u64, Vec<Message>>,
    /// Number of the batch with a received snapshot; `None` if no such batch is pending. Until the batch is on disk,
    /// the engine must not count the snapshot as applied.
    restoring_batch: Option<u64>,
    seed: u64,
    ticks: u64,
    is_leader: bool,
    last_tick: Time,
    now: Time,
    /// The log's time when this voter last became the leader or ceased to be the leader.
    clock_base: ClockBase,
    ticks_since_proposal: u32,
    proposals_in_flight: usize,
}

impl Voter {
    /// Creates a voter from the content of its disk. `seed` determines its election timeouts.
    ///
    /// # Errors
    /// The settings are invalid, the log is damaged, or the engine does not start.
    pub fn new(
        settings: VoterSettings,
        stored: &StoredLog,
        now: Time,
        seed: u64,
    ) -> Result<Voter, VoterError> {
        settings.validate()?;
        let log = Log::load(stored, &settings.voters).map_err(VoterError::DamagedLog)?;
        let state = decode_state(log.snapshot.get_data())?;
        let applied = log.snapshot.get_metadata().index;
        let config = engine_config(settings.id, applied);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger)
            .map_err(|error| VoterError::Engine(error.to_string()))?;
        let mut voter = Voter {
            settings,
            node,
            state,
            applied,
            awaiting_persistence: BTreeMap::new(),
            restoring_batch: None,
            seed,
            ticks: 0,
            is_leader: false,
            last_tick: now,
            now,
            clock_base: ClockBase {
                log_time: 0,
                local_time: now,
            },
            ticks_since_proposal: 0,
            proposals_in_flight: 0,
        };
        voter.draw_election_timeout();
        Ok(voter)
    }

    /// Sets the election timeout from the seed, the term and the ticks, so that equal seeds give equal runs. The engine
    /// would draw it from the operating system's random numbers.
    fn draw_election_timeout(&mut self) {
        let term = self.node.raft.term;
        let seed = self.seed ^ term.rotate_left(32) ^ (self.ticks >> REDRAW_TICKS_LOG2);
        let timeout =
            SmallRng::seed_from_u64(seed).random_range(MIN_ELECTION_TICKS..2 * MIN_ELECTION_TICKS);
        self.node.raft.set_randomized_election_timeout(timeout);
    }

    /// The state that this voter has applied. Other voters may have applied later entries.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this voter believes that it is the leader, and its term.
    pub fn leadership(&self) -> Leadership {
        Leadership {
            is_leader: self.is_leader,
            term: self.node.raft.term,
        }
    }

    /// Index of the last entry that this voter has applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// When [`Input::Tick`] is to be passed next.
    pub fn next_due(&self) -> Time {
        self.last_tick + self.settings.tick
    }

    /// The log's time, as this leader computes it: the latest timestamp in the log at its election, plus the time since
    /// then by its own clock. The log's time therefore never advances faster than real time, even across changes
    /// of the leader.
    fn log_time(&self) -> Time {
        let elapsed = self.now.saturating_sub(self.clock_base.local_time);
        self.clock_base.log_time + elapsed
    }

    /// Handles one input and appends the outputs to `out`. A time before that of an earlier call is treated as the time
    /// of that call.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Raft(bytes) => self.on_raft_message(&bytes),
            Input::Request(request) => self.on_request(request, out),
            Input::Persisted(number) => self.on_persisted(number, out),
            Input::Tick => self.on_tick(),
        }
        self.process_ready(out);
    }

    /// Passes a message to the engine. A message that cannot be decoded or is for another voter is ignored, as if it
    /// were lost.
    fn on_raft_message(&mut self, bytes: &[u8]) {
        if let Ok(message) = decode::<Message>(bytes)
            && message.to == self.settings.id
        {
            let _ = self.node.step(message);
        }
    }

    fn on_request(&mut self, request: Request, out: &mut Vec<Output>) {
        // Only leaders propose this command; a client must not.
        if request.command == Command::AdvanceClock {
            return;
        }
        let (client, sequence) = (request.client.clone(), request.sequence);
        if self.is_leader && self.propose(request) {
            return;
        }
        let known_leader = Some(self.node.raft.leader_id);
        let leader = known_leader.filter(|id| *id != 0 && *id != self.settings.id);
        let message = WireMessage::NotLeader {
            client: client.clone(),
            sequence,
            leader,
        };
        out.push(Output::Reply { client, message });
    }

    fn on_persisted(&mut self, number: u64, out: &mut Vec<Output>) {
        self.node.on_persist_ready(number);
        if self.restoring_batch.is_some_and(|batch| batch <= number) {
            self.restoring_batch = None;
            self.node.advance_apply_to(self.applied);
        }
        while let Some(entry) = self.awaiting_persistence.first_entry()
            && *entry.key() <= number
        {
            for message in entry.remove() {
                out.push(ready::send_output(&message));
            }
        }
    }

    /// Counts a single tick, however late the call is: a voter that was stalled must not count the missed ticks as time
    /// without a message from the leader.
    fn on_tick(&mut self) {
        if self.now < self.next_due() {
            return;
        }
        self.last_tick = self.now;
        self.ticks += 1;
        self.node.tick();
        self.ticks_since_proposal += 1;
        if self.is_leader && self.ticks_since_proposal >= CLOCK_ADVANCE_TICKS {
            self.propose(Request {
                client: String::new(),
                boot_id: 0,
                sequence: 0,
                command: Command::AdvanceClock,
            });
        }
    }

    /// Proposes a request; returns whether the engine accepted it.
    fn propose(&mut self, request: Request) -> bool {
        self.ticks_since_proposal = 0;
        let entry = TimestampedRequest {
            at: self.log_time(),
            request,
        };
        let Ok(data) = postcard::to_stdvec(&entry) else {
            return false;
        };
        let accepted = self.proposals_in_flight < MAX_PROPOSALS_IN_FLIGHT
            && self.node.propose(Vec::new(), data).is_ok();
        self.proposals_in_flight += usize::from(accepted);
        accepted
    }
}

fn engine_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        election_tick: MIN_ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        // With `check_quorum` a leader that cannot reach a majority steps down; with `pre_vote` a voter that was
        // partitioned does not start an election when it returns.
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}

/// Decodes the state in a snapshot. The first snapshot is empty, which means the initial state.
fn decode_state(data: &[u8]) -> Result<State, VoterError> {
    if data.is_empty() {
        return Ok(State::default());
    }
    postcard::from_bytes(data)
        .map_err(|error| VoterError::DamagedLog(LogError::Undecodable(error.to_string())))
}
