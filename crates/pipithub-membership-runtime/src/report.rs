//! The report for operators: the current view, and the latest events that led to it. Its size is bounded.
//!
//! The names of the fields are the keys of the JSON text, which other programs read.

use std::collections::VecDeque;

use pipithub_membership::{Identity, Member, MemberState, Time, View};
use serde::{Deserialize, Serialize};

use crate::event_text::{disk_text, join_state_text};

/// Most events that are kept.
const MAX_EVENTS: usize = 200;
const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;

/// A change of the view with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEvent {
    /// When it happened, in Unix milliseconds.
    pub at_ms: u64,
    /// Name of the member that it is about; the own name where it is about this process.
    pub member: String,
    /// What happened, as a sentence.
    pub what: String,
}

/// A member in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// `alive`, `suspect` or `down`; for this process, how far it has joined.
    pub state: String,
    /// For how long it has been in that state, in milliseconds.
    pub for_ms: u64,
    /// How long ago this process itself heard from it, in milliseconds; `None` where it never did.
    pub heard_ms: Option<u64>,
    /// Counts the starts of its name.
    pub generation: u64,
    /// `kept`, `empty` or `old`.
    pub disk: String,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When it was written, in Unix milliseconds.
    pub at_ms: u64,
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the process that wrote it.
    pub process: u32,
    /// Address that the process listens on.
    pub listen: String,
    /// This process.
    pub me: MemberReport,
    /// Local health score: 0 is healthy, 8 the worst.
    pub doubt: u32,
    /// Time since any member was last heard from, in milliseconds; `None` where none ever was.
    pub age_ms: Option<u64>,
    /// The other members.
    pub members: Vec<MemberReport>,
    /// The latest events, oldest first.
    pub happenings: VecDeque<ReportedEvent>,
}

/// Nanoseconds as whole milliseconds.
pub(crate) fn milliseconds(time: Time) -> u64 {
    time / NANOSECONDS_PER_MILLISECOND
}

impl MemberReport {
    fn of_member(member: &Member, now: Time) -> MemberReport {
        let ago = |at: Time| milliseconds(now.saturating_sub(at));
        let state = match member.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
        };
        MemberReport {
            for_ms: ago(member.since),
            heard_ms: member.last_heard.map(ago),
            ..MemberReport::of_identity(&member.identity, state.to_string())
        }
    }

    fn of_identity(identity: &Identity, state: String) -> MemberReport {
        MemberReport {
            name: identity.name.clone(),
            address: identity.address.to_string(),
            zone: identity.zone.clone(),
            state,
            for_ms: 0,
            heard_ms: None,
            generation: identity.generation,
            disk: disk_text(identity.disk).to_string(),
        }
    }
}

/// The latest events.
#[derive(Debug, Default)]
pub(crate) struct EventHistory(VecDeque<ReportedEvent>);

impl EventHistory {
    /// Adds an event; the oldest is dropped where there are too many.
    pub(crate) fn push(&mut self, event: ReportedEvent) {
        if self.0.len() == MAX_EVENTS {
            self.0.pop_front();
        }
        self.0.push_back(event);
    }

    /// The report of a view, with these events.
    pub(crate) fn report(&self, cluster: &str, listen: &str, view: &View, at_ms: u64) -> Report {
        let members = view.members.iter();
        Report {
            at_ms,
            cluster: cluster.to_string(),
            process: std::process::id(),
            listen: listen.to_string(),
            me: MemberReport::of_identity(&view.local, join_state_text(&view.join_state)),
            doubt: view.health_score,
            age_ms: view.age().map(milliseconds),
            members: members
                .map(|member| MemberReport::of_member(member, view.taken_at))
                .collect(),
            happenings: self.0.clone(),
        }
    }
}
