//! The join protocol: how a process enters the cluster, and how members answer it.
//!
//! A process sends join requests to its seeds and to some members that it knows. A member accepts the process, or
//! answers that it knows another run of the same name with the same or a later generation. In the second case the
//! process waits until the other run is dead. If the other run is dead already, the disk of this process is stale, and
//! it takes the generation after that run's.

use std::net::SocketAddr;

use rand::RngExt;

use super::Membership;
use crate::envelope::Envelope;
use crate::event::{Event, Output};
use crate::identity::{DiskState, Identity};
use crate::timers::Timer;
use crate::view::{JoinState, MemberState};
use crate::{MS, Time};

/// Backoff after the first round of join requests; it doubles with each round.
const MIN_JOIN_BACKOFF: Time = 200 * MS;
/// Longest backoff between two rounds of join requests.
const MAX_JOIN_BACKOFF: Time = 5_000 * MS;
/// Bound on the exponent of the backoff, which keeps the shift within range.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// How long to wait for further answers after the first acceptance. A seed that was just started knows nothing of
/// earlier runs; a member that knows one may answer a few milliseconds later.
const JOIN_ANSWER_WINDOW: Time = 200 * MS;
/// Largest number of known members to which join requests are sent in addition to the seeds, because possibly no seed
/// knows the current members.
const MAX_ASKED_MEMBERS: usize = 4;
/// Consecutive rounds without a new member after which discovery ends. An answer holds about 25 members; in a large
/// cluster whose processes all start at once, gossip alone would take minutes to spread the others.
const MAX_ROUNDS_WITHOUT_NEW_MEMBER: u32 = 5;
/// Upper bound of [`Membership::admitted`]; the oldest names are forgotten.
const MAX_ADMITTED: usize = 32;
/// Probe periods after the last message from another member during which the member table counts as current.
const MAX_TABLE_AGE_PERIODS: u64 = 4;

/// Progress of the discovery of further members.
#[derive(Debug, Default)]
pub(super) struct Discovery {
    known_members: usize,
    rounds_without_new_member: u32,
}

impl Discovery {
    fn record_round(&mut self, known_members: usize) {
        self.rounds_without_new_member = if known_members > self.known_members {
            0
        } else {
            self.rounds_without_new_member + 1
        };
        self.known_members = known_members;
    }
}

/// The latest run of a name that this process knows.
struct KnownRun {
    identity: Identity,
    active: bool,
}

impl Membership {
    /// Sends a round of join requests to the seeds and some known members, and schedules the next round.
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

    /// The time until the next round: half of the backoff, plus a random time up to the other half, so that processes
    /// that were restarted together do not send their requests at the same times.
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

    /// Starts a new series of join requests, the first one after the shortest backoff.
    pub(super) fn restart_join_requests(&mut self) {
        self.join_attempts = 0;
        self.timers
            .schedule(self.now + MIN_JOIN_BACKOFF, Timer::SendJoinRequests);
    }

    /// Answers a join request, unless this process is saving its generation, waits for the death of a duplicate, or has
    /// left.
    pub(super) fn on_join_request(&mut self, requester: Identity, out: &mut Vec<Output>) {
        if !matches!(self.join_state, JoinState::Alone | JoinState::Joined) {
            return;
        }
        let Some(answer) = self.answer_to(&requester) else {
            out.push(Output::Event(Event::MemberLimitReached(requester)));
            return;
        };
        let accepted = matches!(answer, Envelope::JoinAccepted(_));
        if accepted && !self.name_confirmed {
            self.remember_admitted(&requester.name);
        }
        // The answer goes to the address in the identity: the source address may be that of a relay.
        self.send_envelope(requester.address, &answer, out);
    }

    /// Remembers the name of an admitted process. Each name is kept once, so that repeated requests of one process do
    /// not displace the others.
    fn remember_admitted(&mut self, name: &String) {
        if self.admitted.contains(name) {
            return;
        }
        self.admitted.push_back(name.clone());
        if self.admitted.len() > MAX_ADMITTED {
            self.admitted.pop_front();
        }
    }

    /// The answer to a run that asks to join; `None` if the member limit is reached.
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
            active: member.state != MemberState::Down && self.is_table_current(),
        })
    }

    /// Whether the table reflects recent messages. Without this check, two processes that were both stalled would
    /// reject each other's next runs because of former runs that are dead by now.
    fn is_table_current(&self) -> bool {
        let limit = MAX_TABLE_AGE_PERIODS * self.settings.probe_period;
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

    /// Records a member that accepts this process. The first one starts the wait for further answers.
    pub(super) fn on_join_accepted(&mut self, member: Identity, out: &mut Vec<Output>) {
        if member.name == self.identity.name || !self.is_joining() {
            return;
        }
        // The member may itself run from a stale disk: then this process knows another run of it with the same or a
        // later generation.
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

    /// Joins through the members that accepted this process. Does nothing if there are none any more, because another
    /// answer stated that the name is taken.
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

    /// Asks a random member that is alive for its members. The rounds end once [`MAX_ROUNDS_WITHOUT_NEW_MEMBER`]
    /// consecutive ones have brought no new member.
    pub(super) fn discover_members(&mut self, out: &mut Vec<Output>) {
        self.discovery.record_round(self.table.len());
        if self.discovery.rounds_without_new_member >= MAX_ROUNDS_WITHOUT_NEW_MEMBER
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

    /// Handles the answer that another run of this process's name is known. Runs of an earlier generation are ignored.
    pub(super) fn on_name_taken(&mut self, known: Identity, active: bool, out: &mut Vec<Output>) {
        let other_run = known.name == self.identity.name && !known.same_run(&self.identity);
        if !other_run
            || known.generation < self.identity.generation
            || self.join_state == JoinState::Left
        {
            return;
        }
        // A joining run gives way to a member; of two members of one name, the one of higher rank stays.
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

    /// Stops taking part while another run of the same name is a member, and sends join requests until that run is
    /// dead.
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

    /// Takes the generation after `seen_generation`, which the cluster has already seen, and requests that it be saved.
    /// The disk of this process is stale or empty.
    fn advance_generation_past(&mut self, seen_generation: u64, out: &mut Vec<Output>) {
        if self.join_state == JoinState::SavingGeneration {
            return;
        }
        let Some(next) = seen_generation.checked_add(1) else {
            return;
        };
        out.push(Output::Event(Event::StaleDisk {
            disk_generation: self.identity.generation,
            seen_generation,
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
