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

use crate::envelope::{Envelope, RejectReason, mark, swim_sender};
use crate::generation::GenerationRecord;
use crate::health::Health;
use crate::identity::{DiskState, Identity};
use crate::settings::{Settings, SettingsError};
use crate::view::{JoinState, Member, MemberState, Table, View};
use crate::{MS, Time};

/// Datagrams stay under what any usual path carries whole; the envelope takes a part of it.
const PACKET: usize = 1_300;
/// First and longest wait between two questions to the seeds.
const ASK_FIRST: Time = 200 * MS;
const ASK_MOST: Time = 5_000 * MS;
/// How long further answers are awaited after the first welcome: a seed that was just started knows nothing of earlier
/// runs, and one that knows better may answer some milliseconds later.
const JOIN_WAIT: Time = 200 * MS;
/// Who has joined asks a member for further names in each probe period, until so many in a row told nothing new: one
/// answer holds some 25 names, and in a large fleet that starts at once the rest came by chance alone, in minutes.
const LEARN_IN_VAIN: u32 = 5;
/// Newcomers that are remembered as let in.
const LET_IN: usize = 32;
/// Known members that are asked beside the seeds: all seeds may be stale.
const ASK_MEMBERS: usize = 4;
/// RejectReason datagrams are told of once in this time, or strangers could flood the log.
const REFUSED_EVERY: Time = 1_000 * MS;

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
    Ask,
    Join,
    Learn,
    Forget,
}

type Engine = Foca<Identity, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// Takes what the engine wants done.
#[derive(Default)]
struct Wants {
    sends: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Time, Timer<Identity>)>,
    notes: Vec<OwnedNotification<Identity>>,
}

impl foca::Runtime<Identity> for Wants {
    fn notify(&mut self, notification: foca::Notification<'_, Identity>) {
        self.notes.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after.as_nanos() as Time, event));
    }
}

/// The membership of one process: no clock, socket, file or thread; equal inputs give equal outputs.
pub struct Membership {
    settings: Settings,
    mark: [u8; 8],
    me: Identity,
    standing: JoinState,
    engine: Option<Engine>,
    table: Table,
    health: Health,
    /// What the engine's whole membership summed to when it was last compared with the table; `None`: compare anyway.
    taken_in: Option<u64>,
    /// How often it was compared.
    comparisons: u64,
    rng: SmallRng,
    due: BTreeMap<(Time, u64), Due>,
    number: u64,
    now: Time,
    asked: u32,
    /// Somebody who would know said that its name is free, or there is nobody to ask. Until then nothing of the engine's
    /// is taken: others still talk to the dead run of this name, and would draw a run from an old disk in.
    cleared: bool,
    /// It takes part, but wants to hear from somebody that its name is still its own.
    unsure: bool,
    /// How many names it knew when it last asked for more, and how often that told nothing.
    learnt: (usize, u32),
    /// Whom it let in while it knew nothing itself: they may talk to it.
    let_in: VecDeque<String>,
    /// Who welcomed it since it asked.
    welcomes: Vec<Identity>,
    /// Since when refused datagrams are counted, and how many.
    refused: (Time, u64),
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
            mark: mark(&settings.cluster),
            settings,
            me,
            standing: JoinState::SavingGeneration,
            engine: None,
            table: Table::default(),
            health: Health::default(),
            taken_in: None,
            comparisons: 0,
            rng: SmallRng::seed_from_u64(seed),
            due: BTreeMap::new(),
            number: 0,
            now: 0,
            asked: 0,
            cleared: false,
            unsure: false,
            learnt: (0, 0),
            let_in: VecDeque::new(),
            welcomes: Vec::new(),
            refused: (0, 0),
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
            name: self.me.name.clone(),
            generation: self.me.generation,
        }
    }

    /// When [`Input::Tick`] is wanted at the latest.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// What is believed now.
    pub fn view(&self, now: Time) -> View {
        View {
            taken_at: now,
            local: self.me.clone(),
            join_state: self.standing.clone(),
            last_heard: self.table.touched,
            health_score: self.health.score(),
            members: self.table.rows().cloned().collect(),
        }
    }

    /// How this process itself stands.
    pub fn join_state(&self) -> &JoinState {
        &self.standing
    }

    /// Which run of which name this process is.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// The others, by name, as [`Membership::view`] has them, without a copy.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.rows()
    }

    /// One of the others, without a copy.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// How often the whole membership was compared with the table: work that grows with the fleet, so it must be rare.
    pub fn full_comparisons(&self) -> u64 {
        self.comparisons
    }

    /// Takes one input and appends what to do about it.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        let now = self.now.max(now);
        self.wake(now, out);
        self.now = now;
        match input {
            Input::Datagram { from, bytes } => match Envelope::decode(bytes, self.mark) {
                Ok(envelope) => self.envelope(envelope, out),
                Err(why) => self.refuse(from, why, out),
            },
            Input::GenerationSaved(generation) => {
                if self.standing == JoinState::SavingGeneration && generation == self.me.generation
                {
                    self.stand(JoinState::Alone, out);
                    self.build();
                    self.cleared = self.settings.seeds.iter().all(|s| *s == self.me.address);
                    self.asked = 0;
                    self.at(now, Due::Ask);
                    self.at(now + self.settings.dead_retention / 8, Due::Forget);
                }
            }
            Input::Leave => {
                if let Some(engine) = &mut self.engine {
                    let mut wants = Wants::default();
                    let _ = engine.leave_cluster(&mut wants);
                    self.carry(wants, out);
                }
                self.engine = None;
                self.due.clear();
                self.stand(JoinState::Left, out);
            }
            Input::Tick => {}
        }
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Due::Swim(timer) => {
                    self.swim(out, |engine, wants| engine.handle_timer(timer, wants));
                }
                Due::Ask => self.ask(out),
                Due::Join => self.join(out),
                Due::Learn => self.learn(out),
                Due::Forget => {
                    self.table.forget(now, self.settings.dead_retention);
                    self.taken_in = None;
                    self.at(now + self.settings.dead_retention / 8, Due::Forget);
                }
            }
        }
    }

    fn at(&mut self, at: Time, due: Due) {
        self.number += 1;
        self.due.insert((at, self.number), due);
    }

    /// A process that was held up (paused, swapped out, a starved core) must not act on what it did not hear while
    /// it slept: its timers would declare all others dead at once. Its own time stood still, so they go on from here.
    fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(due) = self.next_due() else { return };
        let by = now.saturating_sub(due);
        if by < 2 * self.settings.probe_period {
            return;
        }
        self.health.overslept();
        out.push(Output::Event(Event::Stalled { by }));
        let due = std::mem::take(&mut self.due);
        self.due = due
            .into_iter()
            .map(|((at, n), d)| ((at + by, n), d))
            .collect();
    }

    fn stand(&mut self, standing: JoinState, out: &mut Vec<Output>) {
        if self.standing != standing {
            self.standing = standing.clone();
            out.push(Output::Event(Event::JoinStateChanged(standing)));
        }
    }

    fn refuse(&mut self, from: SocketAddr, why: RejectReason, out: &mut Vec<Output>) {
        self.refused.1 += 1;
        if self.now >= self.refused.0 {
            let count = std::mem::take(&mut self.refused.1);
            self.refused.0 = self.now + REFUSED_EVERY;
            out.push(Output::Event(Event::DatagramsRejected {
                from,
                reason: why,
                count,
            }));
        }
    }

    /// A new engine for the present identity.
    fn build(&mut self) {
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
            max_packet_size: NonZeroUsize::new(PACKET).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: seldom(30, 1),
            periodic_announce_to_down_members: seldom(10, 2),
            periodic_gossip: Some(PeriodicParams {
                frequency: period / 4,
                num_members: three,
            }),
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.due.retain(|_, due| !matches!(due, Due::Swim(_)));
        self.taken_in = None;
        self.engine = Some(Foca::new(self.me.clone(), config, rng, PostcardCodec));
    }

    /// Asks the seeds, and some whom it knows, who is there and whether its name is free.
    fn ask(&mut self, out: &mut Vec<Output>) {
        self.due.retain(|_, due| !matches!(due, Due::Ask));
        let known: Vec<SocketAddr> = self.table.rows().map(|m| m.identity.address).collect();
        let mut asked: Vec<SocketAddr> = self.settings.seeds.clone();
        for _ in 0..ASK_MEMBERS.min(known.len()) {
            asked.push(known[self.rng.random_range(0..known.len())]);
        }
        asked.sort_unstable();
        asked.dedup();
        if let Some(bytes) = Envelope::JoinRequest(self.me.clone()).encode(self.mark) {
            for to in asked.into_iter().filter(|a| *a != self.me.address) {
                out.push(Output::Send {
                    to,
                    bytes: bytes.clone(),
                });
            }
        }
        // Half of the wait is drawn, so that a fleet restarted at once does not ask in step.
        let wait = (ASK_FIRST << self.asked.min(10)).min(ASK_MOST);
        self.asked += 1;
        let wait = wait / 2 + self.rng.random_range(0..=wait / 2);
        self.at(self.now + wait, Due::Ask);
    }

    fn envelope(&mut self, envelope: Envelope, out: &mut Vec<Output>) {
        match envelope {
            Envelope::JoinRequest(newcomer) => self.hello(newcomer, out),
            Envelope::JoinAccepted(seed) => {
                if seed.name == self.me.name
                    || !matches!(
                        self.standing,
                        JoinState::Alone | JoinState::DuplicateIdentity(_)
                    )
                {
                    return;
                }
                // What it knows of that name may be later than what that name's disk said.
                if let Some(taken @ Envelope::NameTaken { .. }) = self.answer(&seed) {
                    return self.tell(seed.address, &taken, out);
                }
                if self.welcomes.is_empty() {
                    self.at(self.now + JOIN_WAIT, Due::Join);
                }
                if self.welcomes.len() < self.settings.seeds.len() + ASK_MEMBERS {
                    self.welcomes.push(seed);
                }
            }
            Envelope::NameTaken { known, active } => self.taken(known, active, out),
            Envelope::Swim(data) => {
                let from =
                    || swim_sender(&data).is_some_and(|from| self.let_in.contains(&from.name));
                let may = self.cleared || from();
                if may && matches!(self.standing, JoinState::Alone | JoinState::Joined) {
                    self.swim(out, |engine, wants| engine.handle_data(&data, wants));
                }
            }
        }
    }

    /// Joins through those who welcomed it, since nobody has said that its name is taken.
    fn join(&mut self, out: &mut Vec<Output>) {
        let welcomes = std::mem::take(&mut self.welcomes);
        if welcomes.is_empty()
            || !matches!(
                self.standing,
                JoinState::Alone | JoinState::DuplicateIdentity(_)
            )
        {
            return;
        }
        if self.engine.is_none() {
            self.me.renewal = self.me.renewal.saturating_add(1);
            self.build();
        }
        self.cleared = true;
        self.stand(JoinState::Alone, out);
        for seed in welcomes {
            self.swim(out, |engine, wants| engine.announce(seed, wants));
        }
        self.learnt = (0, 0);
        self.due.retain(|_, due| !matches!(due, Due::Learn));
        self.at(self.now + self.settings.probe_period, Due::Learn);
    }

    /// Asks a member for further names, as long as that tells any.
    fn learn(&mut self, out: &mut Vec<Output>) {
        let names = self.table.len();
        self.learnt = if names > self.learnt.0 {
            (names, 0)
        } else {
            (names, self.learnt.1 + 1)
        };
        if self.learnt.1 >= LEARN_IN_VAIN
            || !matches!(self.standing, JoinState::Alone | JoinState::Joined)
        {
            return;
        }
        let there: Vec<&Identity> = self
            .table
            .rows()
            .filter(|m| m.state == MemberState::Alive)
            .map(|m| &m.identity)
            .collect();
        if !there.is_empty() {
            let one = there[self.rng.random_range(0..there.len())].clone();
            self.swim(out, |engine, wants| engine.announce(one, wants));
        }
        self.at(self.now + self.settings.probe_period, Due::Learn);
    }

    /// A process asks who is here. It is told of a run of its name that is not older than itself: that is a twin, or
    /// its own later self, of which its disk knows nothing.
    fn hello(&mut self, newcomer: Identity, out: &mut Vec<Output>) {
        if !matches!(self.standing, JoinState::Alone | JoinState::Joined) {
            return;
        }
        match self.answer(&newcomer) {
            Some(answer) => {
                // Once for each name: who asks again and again must not fill the list that others need.
                let welcome = matches!(answer, Envelope::JoinAccepted(_));
                if !self.cleared && welcome && !self.let_in.contains(&newcomer.name) {
                    self.let_in.push_back(newcomer.name.clone());
                    if self.let_in.len() > LET_IN {
                        self.let_in.pop_front();
                    }
                }
                // Told where it says that it is: what stands between may show another address.
                self.tell(newcomer.address, &answer, out);
            }
            None => out.push(Output::Event(Event::MemberLimitReached(newcomer))),
        }
    }

    /// What a run of a name is told; nothing where no more are let in.
    fn answer(&self, run: &Identity) -> Option<Envelope> {
        let known = match self.table.get(&run.name) {
            _ if run.name == self.me.name => Some((self.me.clone(), true)),
            Some(row) => Some((
                row.identity.clone(),
                row.state != MemberState::Down && self.in_touch(),
            )),
            None => None,
        };
        match known {
            Some((known, _)) if known.same_run(run) => {
                Some(Envelope::JoinAccepted(self.me.clone()))
            }
            Some((known, active)) if known.generation >= run.generation => {
                Some(Envelope::NameTaken { known, active })
            }
            None if self.table.len() + 1 >= self.settings.max_members => None,
            _ => Some(Envelope::JoinAccepted(self.me.clone())),
        }
    }

    /// Whether what it believes to be there is more than memory: two that slept would bar each other's next runs by
    /// runs that are long dead.
    fn in_touch(&self) -> bool {
        let fresh = 4 * self.settings.probe_period;
        self.standing == JoinState::Joined
            && self
                .table
                .touched
                .is_some_and(|t| self.now.saturating_sub(t) < fresh)
    }

    fn tell(&self, to: SocketAddr, envelope: &Envelope, out: &mut Vec<Output>) {
        if let Some(bytes) = envelope.encode(self.mark) {
            out.push(Output::Send { to, bytes });
        }
    }

    fn taken(&mut self, known: Identity, active: bool, out: &mut Vec<Output>) {
        let ours = known.name == self.me.name && !known.same_run(&self.me);
        if !ours || known.generation < self.me.generation || self.standing == JoinState::Left {
            return;
        }
        // Who is there stays before who comes; of twins that both take part the higher draw stays.
        if active && self.standing == JoinState::Joined && known.rank() < self.me.rank() {
            return;
        }
        self.welcomes.clear();
        self.cleared = false;
        if active {
            self.engine = None;
            self.due.retain(|_, due| !matches!(due, Due::Swim(_)));
            if !self.due.values().any(|d| matches!(d, Due::Ask)) {
                self.asked = 0;
                self.at(self.now + ASK_FIRST, Due::Ask);
            }
            self.stand(JoinState::DuplicateIdentity(known), out);
            return;
        }
        let Some(next) = known
            .generation
            .checked_add(1)
            .filter(|_| self.standing != JoinState::SavingGeneration)
        else {
            return;
        };
        out.push(Output::Event(Event::StaleDisk {
            disk: self.me.generation,
            seen: known.generation,
        }));
        self.me.generation = next;
        self.me.renewal = 0;
        if self.me.disk == DiskState::Intact {
            self.me.disk = DiskState::Stale;
        }
        self.engine = None;
        self.due.clear();
        self.stand(JoinState::SavingGeneration, out);
        out.push(Output::SaveGeneration(self.record()));
    }

    /// Has the engine do something, then carries out what it wants and takes in what it found.
    fn swim<T>(
        &mut self,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Engine, &mut Wants) -> Result<T, foca::Error>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut wants = Wants::default();
        // An error is a datagram that says nothing usable, or is our own: both are passed over.
        let _ = act(engine, &mut wants);
        self.carry(wants, out);
        self.take_in(out);
    }

    fn carry(&mut self, wants: Wants, out: &mut Vec<Output>) {
        for (to, data) in wants.sends {
            if let Some(bytes) = Envelope::Swim(data).encode(self.mark) {
                out.push(Output::Send { to, bytes });
            }
        }
        for note in wants.notes {
            self.note(note, out);
        }
        // Suspicion lasts longer in a large fleet, as word spreads in logarithmic time. Own probes last longer while this
        // process is unwell; suspicion does not: the first probe of a dead member fails too, and would double it.
        let size = || (self.table.active() as f64 + 1.0).log10().max(1.0);
        let timers: Vec<(Time, Timer<Identity>)> = wants
            .timers
            .into_iter()
            .map(|(after, timer)| match &timer {
                Timer::ChangeSuspectToDown { .. } => ((after as f64 * size()) as Time, timer),
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                    (self.health.stretched(after), timer)
                }
                _ => (after, timer),
            })
            .collect();
        for (after, timer) in timers {
            self.at(self.now.saturating_add(after), Due::Swim(timer));
        }
    }

    fn note(&mut self, note: OwnedNotification<Identity>, out: &mut Vec<Output>) {
        match note {
            OwnedNotification::DataReceived(header) => {
                self.table.heard(&header.src, self.now);
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
                self.unsure |= !std::mem::replace(&mut self.cleared, true);
                if !self.unsure {
                    self.due.retain(|_, due| !matches!(due, Due::Ask));
                }
                self.stand(JoinState::Joined, out);
            }
            OwnedNotification::Idle => {
                // All are gone, or this process is: it asks until somebody is there.
                self.stand(JoinState::Alone, out);
                self.asked = 0;
                self.at(self.now + ASK_FIRST, Due::Ask);
            }
            OwnedNotification::Rejoin(me) => {
                self.me = me;
                self.health.was_doubted();
                // The engine stands still until a member answers it, and those it knew may be gone by now: without
                // asking elsewhere a run that slept through the others' restarts would stay by itself for ever.
                // It may also be another run of its name that is held for the later one, against which no renewal helps.
                self.unsure = true;
                self.stand(JoinState::Alone, out);
                self.asked = 0;
                self.at(self.now + ASK_FIRST, Due::Ask);
            }
            OwnedNotification::Defunct => {
                self.engine = None;
                self.cleared = false;
                self.due.retain(|_, due| !matches!(due, Due::Swim(_)));
                self.stand(JoinState::Alone, out);
                self.asked = 0;
                self.at(self.now + ASK_FIRST, Due::Ask);
            }
            _ => {}
        }
    }

    /// Compares what the engine believes with the table, and tells what changed.
    fn take_in(&mut self, out: &mut Vec<Output>) {
        let Some(engine) = &self.engine else { return };
        // Most datagrams tell nothing new. A look-up of each member's name after each of them was most of a member's CPU
        // and grew faster than the fleet; a sum over numbers that stand in a row tells that nothing changed.
        let sum = engine
            .iter_membership_state()
            .fold(0u64, |sum, member| sum.wrapping_add(summand(member)));
        if self.taken_in.replace(sum) == Some(sum) {
            return;
        }
        self.comparisons += 1;
        for member in engine.iter_membership_state() {
            let state = match member.state() {
                foca::State::Alive => MemberState::Alive,
                foca::State::Suspect => MemberState::Suspect,
                foca::State::Down => MemberState::Down,
            };
            let identity = member.id();
            let Some(before) = self.table.set(identity, state, self.now) else {
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
fn summand(member: &foca::Member<Identity>) -> u64 {
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
