//! The membership of one process: its state, its inputs and its timers.
//!
//! Three concerns have modules of their own: `join` is the protocol by which a process enters the cluster, `swim`
//! drives the failure detector, and `reconcile` copies the members of the failure detector into the member table and
//! reports the changes as events.

mod join;
mod reconcile;
mod swim;

use std::collections::VecDeque;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Time;
use crate::envelope::{ClusterTag, Envelope, cluster_tag, swim_sender};
use crate::event::{Event, Input, Output};
use crate::generation::GenerationRecord;
use crate::health::LocalHealth;
use crate::identity::Identity;
use crate::member_table::MemberTable;
use crate::rejection::RejectionCounter;
use crate::settings::{Settings, SettingsError};
use crate::timers::{Timer, TimerQueue};
use crate::view::{JoinState, Member, View};

use join::Discovery;
use swim::{Engine, EngineEffects};

/// How often members that are down are checked for removal within one retention period.
const EXPIRY_CHECKS_PER_RETENTION: u64 = 8;
/// Probe periods by which a timer must be late for the process to count as stalled.
const STALL_THRESHOLD_PERIODS: u64 = 2;
/// Longest name of a member, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// The membership of one process. It has no clock, socket, file or thread: equal inputs give equal outputs. Times are
/// nanoseconds of a monotonic clock of the caller's choice.
pub struct Membership {
    settings: Settings,
    cluster_tag: ClusterTag,
    identity: Identity,
    join_state: JoinState,
    engine: Option<Engine>,
    table: MemberTable,
    health: LocalHealth,
    /// Checksum of the engine's members when they were last compared with the table; `None` forces a comparison.
    last_checksum: Option<u64>,
    full_comparisons: u64,
    rng: SmallRng,
    timers: TimerQueue,
    now: Time,
    /// Rounds of join requests in the current series, from which the backoff is computed.
    join_attempts: u32,
    /// Whether a member accepted this run, or there is no seed to ask. Until then SWIM messages are ignored, except
    /// those of admitted processes: other members still send messages to the former run at this address, which would
    /// make a run from a stale disk a member.
    name_confirmed: bool,
    /// Whether this process sends join requests even while it is a member. Set if it became a member before its name
    /// was confirmed, or was declared dead while it ran; never cleared.
    needs_confirmation: bool,
    discovery: Discovery,
    /// Names of processes that were admitted before this run's own name was confirmed; their SWIM messages are
    /// accepted.
    admitted: VecDeque<String>,
    /// Members that accepted the current join request.
    accepted_by: Vec<Identity>,
    rejections: RejectionCounter,
}

impl Membership {
    /// Creates the membership of a process that starts as `identity`. `seed` determines its random choices.
    ///
    /// # Errors
    /// The settings or the name in `identity` are invalid.
    pub fn new(
        settings: Settings,
        identity: Identity,
        seed: u64,
    ) -> Result<Membership, SettingsError> {
        settings.validate()?;
        let name = &identity.name;
        if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains('\n') {
            return Err(SettingsError::InvalidMemberName);
        }
        Ok(Membership {
            cluster_tag: cluster_tag(&settings.cluster),
            settings,
            identity,
            join_state: JoinState::SavingGeneration,
            engine: None,
            table: MemberTable::default(),
            health: LocalHealth::default(),
            last_checksum: None,
            full_comparisons: 0,
            rng: SmallRng::seed_from_u64(seed),
            timers: TimerQueue::default(),
            now: 0,
            join_attempts: 0,
            name_confirmed: false,
            needs_confirmation: false,
            discovery: Discovery::default(),
            admitted: VecDeque::new(),
            accepted_by: Vec::new(),
            rejections: RejectionCounter::default(),
        })
    }

    /// Starts the membership by requesting that the generation be saved. Outputs are appended to `out`.
    pub fn start(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = now;
        out.push(Output::SaveGeneration(self.generation_record()));
    }

    fn generation_record(&self) -> GenerationRecord {
        GenerationRecord {
            cluster: self.settings.cluster.clone(),
            name: self.identity.name.clone(),
            generation: self.identity.generation,
        }
    }

    /// The latest time at which [`Membership::handle`] should be called next, with [`Input::Tick`] if there is no other
    /// input. `None` if no timer is pending.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// A copy of the current state of all members.
    pub fn view(&self, now: Time) -> View {
        View {
            taken_at: now,
            local: self.identity.clone(),
            join_state: self.join_state.clone(),
            last_heard: self.table.last_heard(),
            health_score: self.health.score(),
            members: self.table.members().cloned().collect(),
        }
    }

    /// How far this process has joined the cluster.
    pub fn join_state(&self) -> &JoinState {
        &self.join_state
    }

    /// The identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The other members by name, as in [`Membership::view`], without a copy.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// The other member of this name, without a copy; `None` if it is unknown.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// How often all members of the engine were compared with the table. The cost of a comparison grows with the
    /// cluster, so tests check that it is rare.
    pub fn full_comparisons(&self) -> u64 {
        self.full_comparisons
    }

    /// Handles one input, then all timers that are due at `now`. Outputs are appended to `out`. A time before that of
    /// an earlier call is treated as the time of that call.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        let now = self.now.max(now);
        self.postpone_timers_after_stall(now, out);
        self.now = now;
        match input {
            Input::Datagram { from, bytes } => match Envelope::decode(bytes, self.cluster_tag) {
                Ok(envelope) => self.on_envelope(envelope, out),
                Err(reason) => {
                    if let Some(count) = self.rejections.record(now) {
                        let event = Event::DatagramsRejected {
                            from,
                            reason,
                            count,
                        };
                        out.push(Output::Event(event));
                    }
                }
            },
            Input::GenerationSaved(generation) => self.on_generation_saved(generation, out),
            Input::Leave => self.on_leave(out),
            Input::Tick => {}
        }
        while let Some(timer) = self.timers.pop_due(now) {
            self.on_timer(timer, out);
        }
    }

    /// After a stall (SIGSTOP, swapping, CPU starvation) the answers to probes are still unread. If the timers fired
    /// first, they would declare every other member dead, so all timers are postponed by the duration of the stall.
    fn postpone_timers_after_stall(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(due) = self.next_due() else { return };
        let delay = now.saturating_sub(due);
        if delay < STALL_THRESHOLD_PERIODS * self.settings.probe_period {
            return;
        }
        self.health.stalled();
        out.push(Output::Event(Event::Stalled { delay }));
        self.timers.postpone_all(delay);
    }

    fn on_envelope(&mut self, envelope: Envelope, out: &mut Vec<Output>) {
        match envelope {
            Envelope::JoinRequest(requester) => self.on_join_request(requester, out),
            Envelope::JoinAccepted(member) => self.on_join_accepted(member, out),
            Envelope::NameTaken { known, active } => self.on_name_taken(known, active, out),
            Envelope::Swim(data) => {
                if self.accepts_swim(&data) {
                    self.drive_engine(out, |engine, effects| engine.handle_data(&data, effects));
                }
            }
        }
    }

    fn accepts_swim(&self, data: &[u8]) -> bool {
        let from_admitted =
            || swim_sender(data).is_some_and(|sender| self.admitted.contains(&sender.name));
        (self.name_confirmed || from_admitted())
            && matches!(self.join_state, JoinState::Alone | JoinState::Joined)
    }

    fn on_generation_saved(&mut self, generation: u64, out: &mut Vec<Output>) {
        if self.join_state != JoinState::SavingGeneration || generation != self.identity.generation
        {
            return;
        }
        self.set_join_state(JoinState::Alone, out);
        self.build_engine();
        let own_address = self.identity.address;
        self.name_confirmed = self.settings.seeds.iter().all(|seed| *seed == own_address);
        self.join_attempts = 0;
        self.timers.schedule(self.now, Timer::SendJoinRequests);
        self.schedule_expiry();
    }

    fn on_leave(&mut self, out: &mut Vec<Output>) {
        if let Some(engine) = &mut self.engine {
            let mut effects = EngineEffects::default();
            // The engine fails only if it has no member to notify, which does not keep this process from leaving.
            let _ = engine.leave_cluster(&mut effects);
            self.apply_effects(effects, out);
        }
        self.engine = None;
        self.timers.cancel_all();
        self.set_join_state(JoinState::Left, out);
    }

    fn on_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Swim(timer) => {
                self.drive_engine(out, |engine, effects| engine.handle_timer(timer, effects));
            }
            Timer::SendJoinRequests => self.send_join_requests(out),
            Timer::CompleteJoin => self.complete_join(out),
            Timer::Discover => self.discover_members(out),
            Timer::ExpireDead => {
                self.table
                    .expire_dead(self.now, self.settings.dead_retention);
                self.last_checksum = None;
                self.schedule_expiry();
            }
        }
    }

    fn schedule_expiry(&mut self) {
        let due = self.now + self.settings.dead_retention / EXPIRY_CHECKS_PER_RETENTION;
        self.timers.schedule(due, Timer::ExpireDead);
    }

    fn set_join_state(&mut self, state: JoinState, out: &mut Vec<Output>) {
        if self.join_state != state {
            self.join_state = state.clone();
            out.push(Output::Event(Event::JoinStateChanged(state)));
        }
    }
}
