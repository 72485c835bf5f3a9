//! The membership of one process.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    Foca, Message, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::envelope::{Envelope, RejectReason, cluster_tag, swim_sender};
use crate::generation::GenerationRecord;
use crate::health::LocalHealth;
use crate::identity::{DiskState, Identity};
use crate::settings::{Settings, SettingsError};
use crate::view::{JoinState, Member, MemberState, MemberTable, View};
use crate::{MS, Time};

/// Datagrams stay under what any usual path carries whole; the envelope takes a part of it.
const MAX_PACKET_BYTES: usize = 1_300;
/// First and longest wait between two questions to the seeds.
const MIN_JOIN_BACKOFF: Time = 200 * MS;
const MAX_JOIN_BACKOFF: Time = 5_000 * MS;
/// How long further answers are awaited after the first welcome: a seed that was just started knows nothing of earlier
/// runs, and one that knows better may answer some milliseconds later.
const JOIN_ANSWER_WINDOW: Time = 200 * MS;
/// Who has joined asks a member for further names in each probe period, until so many in a row told nothing new: one
/// answer holds some 25 names, and in a large fleet that starts at once the rest came by chance alone, in minutes.
const MAX_FRUITLESS_ROUNDS: u32 = 5;
/// Newcomers that are remembered as let in.
const MAX_ADMITTED: usize = 32;
/// Known members that are asked beside the seeds: all seeds may be stale.
const MAX_ASKED_MEMBERS: usize = 4;
/// Rejected datagrams are reported of once in this time, or strangers could flood the log.
const REPORT_INTERVAL: Time = 1_000 * MS;

/// What comes in.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A datagram.
    Datagram {
        /// Who sent it, as the system tells.
        from: SocketAddr,
        /// All of it.
        bytes: &'a [u8],
    },
    /// The record of this generation is on disk, synced.
    GenerationSaved(u64),
    /// Time has passed.
    Tick,
    /// Leave for good.
    Leave,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram; it may get lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// All of it.
        bytes: Vec<u8>,
    },
    /// Write this record to disk, sync it, and say [`Input::GenerationSaved`]. Nothing is sent under its number before.
    SaveGeneration(GenerationRecord),
    /// Something changed that others may want to know.
    Event(Event),
}

/// A change, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there.
    Up(Member),
    /// A member is suspected.
    Suspected(Member),
    /// A member is held for dead.
    Down {
        /// As it was known.
        member: Member,
        /// It was suspected before; if not it left, or others told of it.
        suspected: bool,
    },
    /// A name has another run now.
    Replaced {
        /// The run before.
        before: Identity,
        /// The run that counts.
        now: Identity,
    },
    /// This process stands otherwise.
    JoinStateChanged(JoinState),
    /// This process was held up for so long beyond its time: what it knew is that much older.
    Stalled {
        /// How long.
        by: Time,
    },
    /// The fleet knows a generation of this name that the own disk does not: the disk came back old or empty.
    StaleDisk {
        /// What the disk said.
        disk: u64,
        /// What the fleet has seen.
        seen: u64,
    },
    /// Datagrams were turned away.
    DatagramsRejected {
        /// Where the last of them came from.
        from: SocketAddr,
        /// Why.
        reason: RejectReason,
        /// How many since the last such event.
        count: u64,
    },
    /// A newcomer was not let in, since as many members are known as the settings allow.
    MemberLimitReached(Identity),
}

#[derive(Debug)]
enum Due {
    Swim(Timer<Identity>),
    SendJoinRequests,
    CompleteJoin,
    Discover,
    ExpireDead,
}

type Engine = Foca<Identity, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// Takes what the engine wants done.
#[derive(Default)]
struct EngineEffects {
    messages: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Time, Timer<Identity>)>,
    notifications: Vec<OwnedNotification<Identity>>,
}

impl foca::Runtime<Identity> for EngineEffects {
    fn notify(&mut self, notification: foca::Notification<'_, Identity>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.messages.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after.as_nanos() as Time, event));
    }
}

/// The membership of one process: no clock, socket, file or thread; equal inputs give equal outputs.
pub struct Membership {
    settings: Settings,
    cluster_tag: [u8; 8],
    identity: Identity,
    join_state: JoinState,
    engine: Option<Engine>,
    table: MemberTable,
    health: LocalHealth,
    /// What the engine's whole membership summed to when it was last compared with the table; `None`: compare anyway.
    last_checksum: Option<u64>,
    /// How often it was compared.
    full_comparisons: u64,
    rng: SmallRng,
    timers: BTreeMap<(Time, u64), Due>,
    last_sequence: u64,
    now: Time,
    join_attempts: u32,
    /// Somebody who would know said that its name is free, or there is nobody to ask. Until then nothing of the engine's
    /// is taken: others still talk to the dead run of this name, and would draw a run from an old disk in.
    name_confirmed: bool,
    /// It takes part, but wants to hear from somebody that its name is still its own.
    needs_confirmation: bool,
    /// How many names it knew when it last asked for more, and how often that told nothing.
    discovery: (usize, u32),
    /// Whom it let in while it knew nothing itself: they may talk to it.
    admitted: VecDeque<String>,
    /// Who welcomed it since it asked.
    accepted_by: Vec<Identity>,
    /// Since when refused datagrams are counted, and how many.
    rejections: (Time, u64),
}

impl Membership {
    /// A process that starts: its name, address and zone, the record its disk gave, whether that disk was empty, a
    /// number drawn for this start, and a seed for its choices.
    pub fn new(
        settings: Settings,
        me: (String, SocketAddr, String),
        record: &GenerationRecord,
        empty: bool,
        boot: u64,
        seed: u64,
    ) -> Result<Membership, SettingsError> {
        settings.validate()?;
        let (name, address, zone) = me;
        if name.is_empty() || name.len() > 200 || name.contains('\n') {
            return Err(SettingsError::InvalidMemberName);
        }
        let disk = if empty {
            DiskState::Empty
        } else {
            DiskState::Intact
        };
        let generation = record.generation;
        let me = Identity {
            name,
            address,
            zone,
            generation,
            boot_id: boot,
            renewal: 0,
            disk,
        };
        Ok(Membership {
            cluster_tag: cluster_tag(&settings.cluster),
            settings,
            identity: me,
            join_state: JoinState::SavingGeneration,
            engine: None,
            table: MemberTable::default(),
            health: LocalHealth::default(),
            last_checksum: None,
            full_comparisons: 0,
            rng: SmallRng::seed_from_u64(seed),
            timers: BTreeMap::new(),
            last_sequence: 0,
            now: 0,
            join_attempts: 0,
            name_confirmed: false,
            needs_confirmation: false,
            discovery: (0, 0),
            admitted: VecDeque::new(),
            accepted_by: Vec::new(),
            rejections: (0, 0),
        })
    }

    /// The first thing to do: the generation goes to disk.
    pub fn start(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = now;
        out.push(Output::SaveGeneration(self.record()));
    }

    fn record(&self) -> GenerationRecord {
        GenerationRecord {
            cluster: self.settings.cluster.clone(),
            name: self.identity.name.clone(),
            generation: self.identity.generation,
        }
    }

    /// When [`Input::Tick`] is wanted at the latest.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// What is believed now.
    pub fn view(&self, now: Time) -> View {
        View {
            taken_at: now,
            local: self.identity.clone(),
            join_state: self.join_state.clone(),
            last_heard: self.table.last_heard,
            health_score: self.health.score(),
            members: self.table.members().cloned().collect(),
        }
    }

    /// How this process itself stands.
    pub fn join_state(&self) -> &JoinState {
        &self.join_state
    }

    /// Which run of which name this process is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The others, by name, as [`Membership::view`] has them, without a copy.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// One of the others, without a copy.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// How often the whole membership was compared with the table: work that grows with the fleet, so it must be rare.
    pub fn full_comparisons(&self) -> u64 {
        self.full_comparisons
    }

    /// Takes one input and appends what to do about it.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        let now = self.now.max(now);
        self.postpone_timers_after_stall(now, out);
        self.now = now;
        match input {
            Input::Datagram { from, bytes } => match Envelope::decode(bytes, self.cluster_tag) {
                Ok(envelope) => self.on_envelope(envelope, out),
                Err(why) => self.reject(from, why, out),
            },
            Input::GenerationSaved(generation) => {
                if self.join_state == JoinState::SavingGeneration
                    && generation == self.identity.generation
                {
                    self.set_join_state(JoinState::Alone, out);
                    self.build_engine();
                    self.name_confirmed = self
                        .settings
                        .seeds
                        .iter()
                        .all(|s| *s == self.identity.address);
                    self.join_attempts = 0;
                    self.schedule(now, Due::SendJoinRequests);
                    self.schedule(now + self.settings.dead_retention / 8, Due::ExpireDead);
                }
            }
            Input::Leave => {
                if let Some(engine) = &mut self.engine {
                    let mut effects = EngineEffects::default();
                    let _ = engine.leave_cluster(&mut effects);
                    self.apply_effects(effects, out);
                }
                self.engine = None;
                self.timers.clear();
                self.set_join_state(JoinState::Left, out);
            }
            Input::Tick => {}
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Due::Swim(timer) => {
                    self.drive_engine(out, |engine, effects| engine.handle_timer(timer, effects));
                }
                Due::SendJoinRequests => self.send_join_requests(out),
                Due::CompleteJoin => self.complete_join(out),
                Due::Discover => self.discover_members(out),
                Due::ExpireDead => {
                    self.table.expire_dead(now, self.settings.dead_retention);
                    self.last_checksum = None;
                    self.schedule(now + self.settings.dead_retention / 8, Due::ExpireDead);
                }
            }
        }
    }

    fn schedule(&mut self, at: Time, due: Due) {
        self.last_sequence += 1;
        self.timers.insert((at, self.last_sequence), due);
    }

    /// A process that was held up (paused, swapped out, a starved core) must not act on what it did not hear while
    /// it slept: its timers would declare all others dead at once. Its own time stood still, so they go on from here.
    fn postpone_timers_after_stall(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(due) = self.next_due() else { return };
        let by = now.saturating_sub(due);
        if by < 2 * self.settings.probe_period {
            return;
        }
        self.health.stalled();
        out.push(Output::Event(Event::Stalled { by }));
        let due = std::mem::take(&mut self.timers);
        self.timers = due
            .into_iter()
            .map(|((at, n), d)| ((at + by, n), d))
            .collect();
    }

    fn set_join_state(&mut self, standing: JoinState, out: &mut Vec<Output>) {
        if self.join_state != standing {
            self.join_state = standing.clone();
            out.push(Output::Event(Event::JoinStateChanged(standing)));
        }
    }

    fn reject(&mut self, from: SocketAddr, why: RejectReason, out: &mut Vec<Output>) {
        self.rejections.1 += 1;
        if self.now >= self.rejections.0 {
            let count = std::mem::take(&mut self.rejections.1);
            self.rejections.0 = self.now + REPORT_INTERVAL;
            out.push(Output::Event(Event::DatagramsRejected {
                from,
                reason: why,
                count,
            }));
        }
    }

    /// A new engine for the present identity.
    fn build_engine(&mut self) {
        let period = Duration::from_nanos(self.settings.probe_period);
        let seldom = |periods: u32, members: usize| {
            let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
            Some(PeriodicParams {
                frequency: period * periods,
                num_members,
            })
        };
        let three = NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN);
        let config = foca::Config {
            probe_period: period,
            probe_rtt: Duration::from_nanos(self.settings.probe_timeout),
            num_indirect_probes: three,
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            // Stretched further where the timer is taken.
            suspect_to_down_after: period * self.settings.suspicion_multiplier,
            remove_down_after: Some(Duration::from_nanos(self.settings.dead_retention)),
            max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: seldom(30, 1),
            periodic_announce_to_down_members: seldom(10, 2),
            periodic_gossip: Some(PeriodicParams {
                frequency: period / 4,
                num_members: three,
            }),
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.timers.retain(|_, due| !matches!(due, Due::Swim(_)));
        self.last_checksum = None;
        self.engine = Some(Foca::new(self.identity.clone(), config, rng, PostcardCodec));
    }

    /// Asks the seeds, and some whom it knows, who is there and whether its name is free.
    fn send_join_requests(&mut self, out: &mut Vec<Output>) {
        self.timers
            .retain(|_, due| !matches!(due, Due::SendJoinRequests));
        let known: Vec<SocketAddr> = self.table.members().map(|m| m.identity.address).collect();
        let mut asked: Vec<SocketAddr> = self.settings.seeds.clone();
        for _ in 0..MAX_ASKED_MEMBERS.min(known.len()) {
            asked.push(known[self.rng.random_range(0..known.len())]);
        }
        asked.sort_unstable();
        asked.dedup();
        if let Some(bytes) = Envelope::JoinRequest(self.identity.clone()).encode(self.cluster_tag) {
            for to in asked.into_iter().filter(|a| *a != self.identity.address) {
                out.push(Output::Send {
                    to,
                    bytes: bytes.clone(),
                });
            }
        }
        // Half of the wait is drawn, so that a fleet restarted at once does not ask in step.
        let wait = (MIN_JOIN_BACKOFF << self.join_attempts.min(10)).min(MAX_JOIN_BACKOFF);
        self.join_attempts += 1;
        let wait = wait / 2 + self.rng.random_range(0..=wait / 2);
        self.schedule(self.now + wait, Due::SendJoinRequests);
    }

    fn on_envelope(&mut self, envelope: Envelope, out: &mut Vec<Output>) {
        match envelope {
            Envelope::JoinRequest(newcomer) => self.on_join_request(newcomer, out),
            Envelope::JoinAccepted(seed) => {
                if seed.name == self.identity.name
                    || !matches!(
                        self.join_state,
                        JoinState::Alone | JoinState::DuplicateIdentity(_)
                    )
                {
                    return;
                }
                // What it knows of that name may be later than what that name's disk said.
                if let Some(taken @ Envelope::NameTaken { .. }) = self.answer_to(&seed) {
                    return self.send_envelope(seed.address, &taken, out);
                }
                if self.accepted_by.is_empty() {
                    self.schedule(self.now + JOIN_ANSWER_WINDOW, Due::CompleteJoin);
                }
                if self.accepted_by.len() < self.settings.seeds.len() + MAX_ASKED_MEMBERS {
                    self.accepted_by.push(seed);
                }
            }
            Envelope::NameTaken { known, active } => self.on_name_taken(known, active, out),
            Envelope::Swim(data) => {
                let from =
                    || swim_sender(&data).is_some_and(|from| self.admitted.contains(&from.name));
                let may = self.name_confirmed || from();
                if may && matches!(self.join_state, JoinState::Alone | JoinState::Joined) {
                    self.drive_engine(out, |engine, effects| engine.handle_data(&data, effects));
                }
            }
        }
    }

    /// Joins through those who welcomed it, since nobody has said that its name is taken.
    fn complete_join(&mut self, out: &mut Vec<Output>) {
        let accepted_by = std::mem::take(&mut self.accepted_by);
        if accepted_by.is_empty()
            || !matches!(
                self.join_state,
                JoinState::Alone | JoinState::DuplicateIdentity(_)
            )
        {
            return;
        }
        if self.engine.is_none() {
            self.identity.renewal = self.identity.renewal.saturating_add(1);
            self.build_engine();
        }
        self.name_confirmed = true;
        self.set_join_state(JoinState::Alone, out);
        for seed in accepted_by {
            self.drive_engine(out, |engine, effects| engine.announce(seed, effects));
        }
        self.discovery = (0, 0);
        self.timers.retain(|_, due| !matches!(due, Due::Discover));
        self.schedule(self.now + self.settings.probe_period, Due::Discover);
    }

    /// Asks a member for further names, as long as that tells any.
    fn discover_members(&mut self, out: &mut Vec<Output>) {
        let names = self.table.len();
        self.discovery = if names > self.discovery.0 {
            (names, 0)
        } else {
            (names, self.discovery.1 + 1)
        };
        if self.discovery.1 >= MAX_FRUITLESS_ROUNDS
            || !matches!(self.join_state, JoinState::Alone | JoinState::Joined)
        {
            return;
        }
        let there: Vec<&Identity> = self
            .table
            .members()
            .filter(|m| m.state == MemberState::Alive)
            .map(|m| &m.identity)
            .collect();
        if !there.is_empty() {
            let one = there[self.rng.random_range(0..there.len())].clone();
            self.drive_engine(out, |engine, effects| engine.announce(one, effects));
        }
        self.schedule(self.now + self.settings.probe_period, Due::Discover);
    }

    /// A process asks who is here. It is told of a run of its name that is not older than itself: that is a twin, or
    /// its own later self, of which its disk knows nothing.
    fn on_join_request(&mut self, newcomer: Identity, out: &mut Vec<Output>) {
        if !matches!(self.join_state, JoinState::Alone | JoinState::Joined) {
            return;
        }
        match self.answer_to(&newcomer) {
            Some(answer) => {
                // Once for each name: who asks again and again must not fill the list that others need.
                let welcome = matches!(answer, Envelope::JoinAccepted(_));
                if !self.name_confirmed && welcome && !self.admitted.contains(&newcomer.name) {
                    self.admitted.push_back(newcomer.name.clone());
                    if self.admitted.len() > MAX_ADMITTED {
                        self.admitted.pop_front();
                    }
                }
                // Told where it says that it is: what stands between may show another address.
                self.send_envelope(newcomer.address, &answer, out);
            }
            None => out.push(Output::Event(Event::MemberLimitReached(newcomer))),
        }
    }

    /// What a run of a name is told; nothing where no more are let in.
    fn answer_to(&self, run: &Identity) -> Option<Envelope> {
        let known = match self.table.get(&run.name) {
            _ if run.name == self.identity.name => Some((self.identity.clone(), true)),
            Some(row) => Some((
                row.identity.clone(),
                row.state != MemberState::Down && self.is_current(),
            )),
            None => None,
        };
        match known {
            Some((known, _)) if known.same_run(run) => {
                Some(Envelope::JoinAccepted(self.identity.clone()))
            }
            Some((known, active)) if known.generation >= run.generation => {
                Some(Envelope::NameTaken { known, active })
            }
            None if self.table.len() + 1 >= self.settings.max_members => None,
            _ => Some(Envelope::JoinAccepted(self.identity.clone())),
        }
    }

    /// Whether what it believes to be there is more than memory: two that slept would bar each other's next runs by
    /// runs that are long dead.
    fn is_current(&self) -> bool {
        let fresh = 4 * self.settings.probe_period;
        self.join_state == JoinState::Joined
            && self
                .table
                .last_heard
                .is_some_and(|t| self.now.saturating_sub(t) < fresh)
    }

    fn send_envelope(&self, to: SocketAddr, envelope: &Envelope, out: &mut Vec<Output>) {
        if let Some(bytes) = envelope.encode(self.cluster_tag) {
            out.push(Output::Send { to, bytes });
        }
    }

    fn on_name_taken(&mut self, known: Identity, active: bool, out: &mut Vec<Output>) {
        let ours = known.name == self.identity.name && !known.same_run(&self.identity);
        if !ours
            || known.generation < self.identity.generation
            || self.join_state == JoinState::Left
        {
            return;
        }
        // Who is there stays before who comes; of twins that both take part the higher draw stays.
        if active && self.join_state == JoinState::Joined && known.rank() < self.identity.rank() {
            return;
        }
        self.accepted_by.clear();
        self.name_confirmed = false;
        if active {
            self.engine = None;
            self.timers.retain(|_, due| !matches!(due, Due::Swim(_)));
            if !self
                .timers
                .values()
                .any(|d| matches!(d, Due::SendJoinRequests))
            {
                self.join_attempts = 0;
                self.schedule(self.now + MIN_JOIN_BACKOFF, Due::SendJoinRequests);
            }
            self.set_join_state(JoinState::DuplicateIdentity(known), out);
            return;
        }
        let Some(next) = known
            .generation
            .checked_add(1)
            .filter(|_| self.join_state != JoinState::SavingGeneration)
        else {
            return;
        };
        out.push(Output::Event(Event::StaleDisk {
            disk: self.identity.generation,
            seen: known.generation,
        }));
        self.identity.generation = next;
        self.identity.renewal = 0;
        if self.identity.disk == DiskState::Intact {
            self.identity.disk = DiskState::Stale;
        }
        self.engine = None;
        self.timers.clear();
        self.set_join_state(JoinState::SavingGeneration, out);
        out.push(Output::SaveGeneration(self.record()));
    }

    /// Has the engine do something, then carries out what it wants and takes in what it found.
    fn drive_engine<T>(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Engine, &mut EngineEffects) -> Result<T, foca::Error>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut effects = EngineEffects::default();
        // An error is a datagram that says nothing usable, or is our own: both are passed over.
        let _ = act(engine, &mut effects);
        self.apply_effects(effects, out);
        self.reconcile_members(out);
    }

    fn apply_effects(&mut self, effects: EngineEffects, out: &mut Vec<Output>) {
        for (to, data) in effects.messages {
            if let Some(bytes) = Envelope::Swim(data).encode(self.cluster_tag) {
                out.push(Output::Send { to, bytes });
            }
        }
        for note in effects.notifications {
            self.on_notification(note, out);
        }
        // Suspicion lasts longer in a large fleet, as word spreads in logarithmic time. Own probes last longer while this
        // process is unwell; suspicion does not: the first probe of a dead member fails too, and would double it.
        let size = || (self.table.active_count() as f64 + 1.0).log10().max(1.0);
        let timers: Vec<(Time, Timer<Identity>)> = effects
            .timers
            .into_iter()
            .map(|(after, timer)| match &timer {
                Timer::ChangeSuspectToDown { .. } => ((after as f64 * size()) as Time, timer),
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                    (self.health.scaled(after), timer)
                }
                _ => (after, timer),
            })
            .collect();
        for (after, timer) in timers {
            self.schedule(self.now.saturating_add(after), Due::Swim(timer));
        }
    }

    fn on_notification(&mut self, note: OwnedNotification<Identity>, out: &mut Vec<Output>) {
        match note {
            OwnedNotification::DataReceived(header) => {
                self.table.record_heard(&header.src, self.now);
                if matches!(
                    header.message,
                    Message::Ack(_) | Message::ForwardedAck { .. }
                ) {
                    self.health.probe_answered();
                }
            }
            OwnedNotification::ProbeFailed(..) => self.health.probe_failed(),
            OwnedNotification::Active => {
                // Whom it let in drew it in, and may know as little as itself: it takes part, and asks on.
                self.needs_confirmation |= !std::mem::replace(&mut self.name_confirmed, true);
                if !self.needs_confirmation {
                    self.timers
                        .retain(|_, due| !matches!(due, Due::SendJoinRequests));
                }
                self.set_join_state(JoinState::Joined, out);
            }
            OwnedNotification::Idle => {
                // All are gone, or this process is: it asks until somebody is there.
                self.set_join_state(JoinState::Alone, out);
                self.join_attempts = 0;
                self.schedule(self.now + MIN_JOIN_BACKOFF, Due::SendJoinRequests);
            }
            OwnedNotification::Rejoin(me) => {
                self.identity = me;
                self.health.declared_dead();
                // The engine stands still until a member answers it, and those it knew may be gone by now: without
                // asking elsewhere a run that slept through the others' restarts would stay by itself for ever.
                // It may also be another run of its name that is held for the later one, against which no renewal helps.
                self.needs_confirmation = true;
                self.set_join_state(JoinState::Alone, out);
                self.join_attempts = 0;
                self.schedule(self.now + MIN_JOIN_BACKOFF, Due::SendJoinRequests);
            }
            OwnedNotification::Defunct => {
                self.engine = None;
                self.name_confirmed = false;
                self.timers.retain(|_, due| !matches!(due, Due::Swim(_)));
                self.set_join_state(JoinState::Alone, out);
                self.join_attempts = 0;
                self.schedule(self.now + MIN_JOIN_BACKOFF, Due::SendJoinRequests);
            }
            _ => {}
        }
    }

    /// Compares what the engine believes with the table, and tells what changed.
    fn reconcile_members(&mut self, out: &mut Vec<Output>) {
        let Some(engine) = &self.engine else { return };
        // Most datagrams tell nothing new. A look-up of each member's name after each of them was most of a member's CPU
        // and grew faster than the fleet; a sum over numbers that stand in a row tells that nothing changed.
        let sum = engine
            .iter_membership_state()
            .fold(0u64, |sum, member| sum.wrapping_add(member_hash(member)));
        if self.last_checksum.replace(sum) == Some(sum) {
            return;
        }
        self.full_comparisons += 1;
        for member in engine.iter_membership_state() {
            let state = match member.state() {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down => MemberState::Down,
            };
            let identity = member.id();
            let Some(before) = self.table.update(identity, state, self.now) else {
                continue;
            };
            let Some(row) = self.table.get(&identity.name) else {
                continue;
            };
            let known = before.as_ref().filter(|b| b.identity.same_run(identity));
            if let Some(before) = before.as_ref().filter(|b| !b.identity.same_run(identity)) {
                let (before, now) = (before.identity.clone(), identity.clone());
                out.push(Output::Event(Event::Replaced { before, now }));
            }
            let was = known.map(|b| b.state);
            let event = match (was, state) {
                (Some(MemberState::Suspect | MemberState::Alive), MemberState::Alive) => continue,
                (_, MemberState::Alive) => Event::Up(row.clone()),
                (Some(MemberState::Suspect), MemberState::Suspect) => continue,
                (_, MemberState::Suspect) => Event::Suspected(row.clone()),
                (Some(MemberState::Down), MemberState::Down) => continue,
                // Who was never known to be there is no news when dead.
                (None, MemberState::Down) => continue,
                (Some(was), MemberState::Down) => Event::Down {
                    member: row.clone(),
                    suspected: was == MemberState::Suspect,
                },
            };
            out.push(Output::Event(event));
        }
    }
}

/// What a member adds to the sum over all: another number for another run, renewal or state. The boot number was drawn,
/// so that two memberships of one sum are as rare as two equal draws.
fn member_hash(member: &foca::Member<Identity>) -> u64 {
    let id = member.id();
    let ip = match id.address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    let state = match member.state() {
        foca::State::Alive => 1u64,
        foca::State::Suspect => 2,
        foca::State::Down => 3,
    };
    let small = (u64::from(id.renewal) << 32) | (u64::from(id.address.port()) << 4) | state;
    // SplitMix64's last steps, over each part in turn.
    [id.boot_id, id.generation, ip, small]
        .into_iter()
        .fold(0, |sum: u64, part| {
            let x = (sum ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
            let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            x ^ (x >> 31)
        })
}
