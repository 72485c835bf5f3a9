//! The report for operators, `members.json`: the current view and the latest events. Its size is bounded.
//!
//! Other programs read the JSON text, so its keys must not change. `serde(rename)` gives the key of a field whose name
//! differs from it.

use std::collections::VecDeque;

use pipithub_membership::{Identity, Member, MemberState, Time, View};
use serde::{Deserialize, Serialize};

use crate::event_text::{disk_text, join_state_text};

/// Number of events that are kept.
const MAX_EVENTS: usize = 200;
const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;

/// An event of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEvent {
    /// When it happened, in Unix milliseconds.
    pub at_ms: u64,
    /// Name of the member that it is about, which may be the reporting process itself; the sender's address where
    /// datagrams were rejected.
    pub member: String,
    /// Description of the event for operators.
    #[serde(rename = "what")]
    pub description: String,
}

/// A member, or the reporting process itself, as the report shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the front end.
    pub name: String,
    /// Address that it announces to other members.
    pub address: String,
    /// Name of its zone; empty if it has none.
    pub zone: String,
    /// `alive`, `suspect` or `down`; for the reporting process, its join state.
    pub state: String,
    /// Time that it has been in that state, in milliseconds; 0 for the reporting process.
    #[serde(rename = "for_ms")]
    pub state_age_ms: u64,
    /// Time since its last message to the reporting process, in milliseconds; `None` if there was none.
    #[serde(rename = "heard_ms")]
    pub last_message_age_ms: Option<u64>,
    /// Number of the start under this name, from 1.
    pub generation: u64,
    /// State of its disk: `kept`, `empty` or `old`.
    pub disk: String,
}

/// Content of the report file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When it was written, in Unix milliseconds.
    pub at_ms: u64,
    /// Name of the cluster.
    pub cluster: String,
    /// Process id of the process that wrote it.
    #[serde(rename = "process")]
    pub process_id: u32,
    /// UDP address that the process listens on.
    pub listen: String,
    /// The process that wrote the report.
    #[serde(rename = "me")]
    pub local: MemberReport,
    /// Local health score: 0 is healthy, 8 the worst.
    #[serde(rename = "doubt")]
    pub health_score: u32,
    /// Time since the last message from any member, in milliseconds; `None` if there was none.
    pub age_ms: Option<u64>,
    /// The other members, in the order of their names.
    pub members: Vec<MemberReport>,
    /// The latest events, oldest first.
    #[serde(rename = "happenings")]
    pub events: VecDeque<ReportedEvent>,
}

/// Converts nanoseconds to milliseconds, rounded down.
pub(crate) fn milliseconds(time: Time) -> u64 {
    time / NANOSECONDS_PER_MILLISECOND
}

impl MemberReport {
    fn of_member(member: &Member, now: Time) -> MemberReport {
        let age_ms = |at: Time| milliseconds(now.saturating_sub(at));
        let state = match member.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
        };
        MemberReport {
            state_age_ms: age_ms(member.since),
            last_message_age_ms: member.last_heard.map(age_ms),
            ..MemberReport::of_identity(&member.identity, state.to_string())
        }
    }

    fn of_identity(identity: &Identity, state: String) -> MemberReport {
        MemberReport {
            name: identity.name.clone(),
            address: identity.address.to_string(),
            zone: identity.zone.clone(),
            state,
            state_age_ms: 0,
            last_message_age_ms: None,
            generation: identity.generation,
            disk: disk_text(identity.disk).to_string(),
        }
    }
}

/// The latest events, at most [`MAX_EVENTS`].
#[derive(Debug, Default)]
pub(crate) struct EventHistory(VecDeque<ReportedEvent>);

impl EventHistory {
    /// Adds an event, in place of the oldest if the history is full.
    pub(crate) fn push(&mut self, event: ReportedEvent) {
        if self.0.len() == MAX_EVENTS {
            self.0.pop_front();
        }
        self.0.push_back(event);
    }

    /// Creates the report of a view, with these events. `at_ms` is the current Unix time in milliseconds.
    pub(crate) fn report(&self, cluster: &str, listen: &str, view: &View, at_ms: u64) -> Report {
        let members = view.members.iter();
        Report {
            at_ms,
            cluster: cluster.to_string(),
            process_id: std::process::id(),
            listen: listen.to_string(),
            local: MemberReport::of_identity(&view.local, join_state_text(&view.join_state)),
            health_score: view.health_score,
            age_ms: view.age().map(milliseconds),
            members: members
                .map(|member| MemberReport::of_member(member, view.taken_at))
                .collect(),
            events: self.0.clone(),
        }
    }
}
