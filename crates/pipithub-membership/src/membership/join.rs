//! The join protocol: how a process enters the cluster, and how members answer it.
//!
//! A process asks its seeds, and some members that it knows, whether its name is free. A member answers that it accepts
//! the process, or that it knows a run of that name which is not older. In the second case the process either waits for
//! the other run to end or, if that run is already dead, takes the generation after it: its own disk is stale.

use std::net::SocketAddr;

use rand::RngExt;

use super::Membership;
use crate::envelope::Envelope;
use crate::event::{Event, Output};
use crate::identity::{DiskState, Identity};
use crate::timers::Timer;
use crate::view::{JoinState, MemberState};
use crate::{MS, Time};

/// First backoff between two rounds of join requests; it doubles with each round.
const MIN_JOIN_BACKOFF: Time = 200 * MS;
/// Longest backoff between two rounds of join requests.
const MAX_JOIN_BACKOFF: Time = 5_000 * MS;
/// Bound on the exponent of the backoff, which keeps the shift within range.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// How long further answers are awaited after the first acceptance: a seed that was just started knows nothing of earlier
/// runs, and a member that does may answer some milliseconds later.
const JOIN_ANSWER_WINDOW: Time = 200 * MS;
/// Known members that are asked beside the seeds, because all seeds may be stale.
const MAX_ASKED_MEMBERS: usize = 4;
/// Discovery ends after so many rounds in a row without a new name. One answer holds some 25 names; without discovery, in
/// a large cluster that starts at once, the rest arrives by chance alone, over minutes.
const MAX_FRUITLESS_ROUNDS: u32 = 5;
/// Names of admitted processes that are remembered.
const MAX_ADMITTED: usize = 32;
/// A member's knowledge counts as current for so many probe periods after it last heard from another member.
const CURRENT_PERIODS: u64 = 4;

/// Progress of the discovery of further members.
#[derive(Debug, Default)]
pub(super) struct Discovery {
    known_members: usize,
    fruitless_rounds: u32,
}

impl Discovery {
    fn record_round(&mut self, known_members: usize) {
        self.fruitless_rounds = if known_members > self.known_members {
            0
        } else {
            self.fruitless_rounds + 1
        };
        self.known_members = known_members;
    }
}

/// What this process knows under a name.
struct KnownRun {
    identity: Identity,
    active: bool,
}

impl Membership {
    /// Asks the seeds, and some known members, who is there and whether the own name is free.
    pub(super) fn send_join_requests(&mut self, out: &mut Vec<Output>) {
        self.cancel_join_requests();
        let known: Vec<SocketAddr> = self.table.members().map(|m| m.identity.address).collect();
        let mut targets: Vec<SocketAddr> = self.settings.seeds.clone();
        for _ in 0..MAX_ASKED_MEMBERS.min(known.len()) {
            targets.push(known[self.rng.random_range(0..known.len())]);
        }
        targets.sort_unstable();
        targets.dedup();
        let request = Envelope::JoinRequest(self.identity.clone());
        if let Some(bytes) = request.encode(self.cluster_tag) {
            let own_address = self.identity.address;
            for to in targets.into_iter().filter(|target| *target != own_address) {
                let bytes = bytes.clone();
                out.push(Output::Send { to, bytes });
            }
        }
        let backoff = self.next_join_backoff();
        self.timers
            .schedule(self.now + backoff, Timer::SendJoinRequests);
    }

    /// Half of the backoff is random, so that the members of a cluster that was restarted at once do not ask in step.
    fn next_join_backoff(&mut self) -> Time {
        let doublings = self.join_attempts.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_JOIN_BACKOFF << doublings).min(MAX_JOIN_BACKOFF);
        self.join_attempts += 1;
        backoff / 2 + self.rng.random_range(0..=backoff / 2)
    }

    pub(super) fn cancel_join_requests(&mut self) {
        self.timers
            .cancel(|timer| matches!(timer, Timer::SendJoinRequests));
    }

    /// Begins a new series of join requests with the shortest backoff.
    pub(super) fn restart_join_requests(&mut self) {
        self.join_attempts = 0;
        self.timers
            .schedule(self.now + MIN_JOIN_BACKOFF, Timer::SendJoinRequests);
    }

    /// Answers a process that asks to join.
    pub(super) fn on_join_request(&mut self, newcomer: Identity, out: &mut Vec<Output>) {
        if !matches!(self.join_state, JoinState::Alone | JoinState::Joined) {
            return;
        }
        let Some(answer) = self.answer_to(&newcomer) else {
            out.push(Output::Event(Event::MemberLimitReached(newcomer)));
            return;
        };
        let accepted = matches!(answer, Envelope::JoinAccepted(_));
        if accepted && !self.name_confirmed {
            self.remember_admitted(&newcomer.name);
        }
        // To the address that the newcomer states: a relay in between may show another source address.
        self.send_envelope(newcomer.address, &answer, out);
    }

    /// Each name is kept once, so that repeated requests of one process do not push out the others.
    fn remember_admitted(&mut self, name: &String) {
        if self.admitted.contains(name) {
            return;
        }
        self.admitted.push_back(name.clone());
        if self.admitted.len() > MAX_ADMITTED {
            self.admitted.pop_front();
        }
    }

    /// The answer to a run that asks to join; `None` where the member limit is reached.
    fn answer_to(&self, run: &Identity) -> Option<Envelope> {
        match self.known_run(&run.name) {
            Some(known) if known.identity.same_run(run) => Some(self.accept()),
            Some(known) if known.identity.generation >= run.generation => {
                Some(Envelope::NameTaken {
                    known: known.identity,
                    active: known.active,
                })
            }
            None if self.table.len() + 1 >= self.settings.max_members => None,
            _ => Some(self.accept()),
        }
    }

    fn accept(&self) -> Envelope {
        Envelope::JoinAccepted(self.identity.clone())
    }

    fn known_run(&self, name: &str) -> Option<KnownRun> {
        if name == self.identity.name {
            return Some(KnownRun {
                identity: self.identity.clone(),
                active: true,
            });
        }
        let member = self.table.get(name)?;
        Some(KnownRun {
            identity: member.identity.clone(),
            active: member.state != MemberState::Down && self.is_current(),
        })
    }

    /// Whether the table holds more than memories. Two processes that were both stalled would otherwise block each
    /// other's next runs because of runs that are long dead.
    fn is_current(&self) -> bool {
        let limit = CURRENT_PERIODS * self.settings.probe_period;
        let last_heard = self.table.last_heard();
        self.join_state == JoinState::Joined
            && last_heard.is_some_and(|at| self.now.saturating_sub(at) < limit)
    }

    fn send_envelope(&self, to: SocketAddr, envelope: &Envelope, out: &mut Vec<Output>) {
        if let Some(bytes) = envelope.encode(self.cluster_tag) {
            out.push(Output::Send { to, bytes });
        }
    }

    fn is_joining(&self) -> bool {
        matches!(
            self.join_state,
            JoinState::Alone | JoinState::DuplicateIdentity(_)
        )
    }

    /// Collects the answers of members that accept this process.
    pub(super) fn on_join_accepted(&mut self, member: Identity, out: &mut Vec<Output>) {
        if member.name == self.identity.name || !self.is_joining() {
            return;
        }
        // This process may know a later generation of that member than the member's own disk had.
        if let Some(taken @ Envelope::NameTaken { .. }) = self.answer_to(&member) {
            self.send_envelope(member.address, &taken, out);
            return;
        }
        if self.accepted_by.is_empty() {
            self.timers
                .schedule(self.now + JOIN_ANSWER_WINDOW, Timer::CompleteJoin);
        }
        if self.accepted_by.len() < self.settings.seeds.len() + MAX_ASKED_MEMBERS {
            self.accepted_by.push(member);
        }
    }

    /// Joins through the members that accepted this process, since nobody has said that its name is taken.
    pub(super) fn complete_join(&mut self, out: &mut Vec<Output>) {
        let accepted_by = std::mem::take(&mut self.accepted_by);
        if accepted_by.is_empty() || !self.is_joining() {
            return;
        }
        if self.engine.is_none() {
            self.identity.renewal = self.identity.renewal.saturating_add(1);
            self.build_engine();
        }
        self.name_confirmed = true;
        self.set_join_state(JoinState::Alone, out);
        for member in accepted_by {
            self.drive_engine(out, |engine, effects| engine.announce(member, effects));
        }
        self.discovery = Discovery::default();
        self.timers.cancel(|timer| matches!(timer, Timer::Discover));
        self.schedule_discovery();
    }

    /// Asks a random member for further names, as long as the answers bring any.
    pub(super) fn discover_members(&mut self, out: &mut Vec<Output>) {
        self.discovery.record_round(self.table.len());
        if self.discovery.fruitless_rounds >= MAX_FRUITLESS_ROUNDS
            || !matches!(self.join_state, JoinState::Alone | JoinState::Joined)
        {
            return;
        }
        let alive: Vec<&Identity> = self
            .table
            .members()
            .filter(|member| member.state == MemberState::Alive)
            .map(|member| &member.identity)
            .collect();
        if !alive.is_empty() {
            let member = alive[self.rng.random_range(0..alive.len())].clone();
            self.drive_engine(out, |engine, effects| engine.announce(member, effects));
        }
        self.schedule_discovery();
    }

    fn schedule_discovery(&mut self) {
        let due = self.now + self.settings.probe_period;
        self.timers.schedule(due, Timer::Discover);
    }

    /// A member knows a run of the own name that is not older than this one.
    pub(super) fn on_name_taken(&mut self, known: Identity, active: bool, out: &mut Vec<Output>) {
        let other_run = known.name == self.identity.name && !known.same_run(&self.identity);
        if !other_run
            || known.generation < self.identity.generation
            || self.join_state == JoinState::Left
        {
            return;
        }
        // A run that takes part stays before one that comes; of two that both take part the higher rank stays.
        if active && self.join_state == JoinState::Joined && known.rank() < self.identity.rank() {
            return;
        }
        self.accepted_by.clear();
        self.name_confirmed = false;
        if active {
            self.yield_to_duplicate(known, out);
        } else {
            self.advance_generation_past(known.generation, out);
        }
    }

    /// Stops taking part while another run of the same name does, and keeps asking until that run is gone.
    fn yield_to_duplicate(&mut self, other: Identity, out: &mut Vec<Output>) {
        self.drop_engine();
        let requests_pending = self
            .timers
            .any(|timer| matches!(timer, Timer::SendJoinRequests));
        if !requests_pending {
            self.restart_join_requests();
        }
        self.set_join_state(JoinState::DuplicateIdentity(other), out);
    }

    /// The own disk is stale: takes the generation after the latest that the cluster has seen, and saves it first.
    fn advance_generation_past(&mut self, seen: u64, out: &mut Vec<Output>) {
        if self.join_state == JoinState::SavingGeneration {
            return;
        }
        let Some(next) = seen.checked_add(1) else {
            return;
        };
        out.push(Output::Event(Event::StaleDisk {
            disk: self.identity.generation,
            seen,
        }));
        self.identity.generation = next;
        self.identity.renewal = 0;
        if self.identity.disk == DiskState::Intact {
            self.identity.disk = DiskState::Stale;
        }
        self.engine = None;
        self.timers.cancel_all();
        self.set_join_state(JoinState::SavingGeneration, out);
        out.push(Output::SaveGeneration(self.generation_record()));
    }
}
