//! What operators are told: the view, and why it became so. Bounded, and written whole.

use std::collections::VecDeque;

use pipithub_members::{Event, JoinState, MemberState, Time, View};
use serde::{Deserialize, Serialize};

/// The latest happenings that are kept.
const HAPPENINGS: usize = 200;

/// A change of view with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEvent {
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// Whom it is about; the own name where it is this process.
    pub member: String,
    /// What was seen, as a sentence.
    pub what: String,
}

/// A member as reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// `alive`, `suspect` or `down`.
    pub state: String,
    /// For how long it has stood so, in milliseconds.
    pub for_ms: u64,
    /// How long ago it spoke to this process itself; `None`: it never did.
    pub heard_ms: Option<u64>,
    /// Which start of its name.
    pub generation: u64,
    /// `kept`, `empty` or `old`.
    pub disk: String,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When it was written, in Unix milliseconds.
    pub at_ms: u64,
    /// The cluster.
    pub cluster: String,
    /// The process that wrote it.
    pub process: u32,
    /// Where it listens.
    pub listen: String,
    /// This process, whose `state` is how it stands.
    pub me: MemberReport,
    /// Local health: 0 is sound, 8 the worst.
    pub doubt: u32,
    /// How old the newest word in it was then; `None`: there never was any.
    pub age_ms: Option<u64>,
    /// The others.
    pub members: Vec<MemberReport>,
    /// What happened lately, oldest first.
    pub happenings: VecDeque<ReportedEvent>,
}

fn ms(time: Time) -> u64 {
    time / 1_000_000
}

fn disk(disk: pipithub_members::DiskState) -> String {
    match disk {
        pipithub_members::DiskState::Intact => "kept",
        pipithub_members::DiskState::Empty => "empty",
        pipithub_members::DiskState::Stale => "old",
    }
    .to_string()
}

/// How a process stands, in a word.
pub(crate) fn standing(standing: &JoinState) -> String {
    match standing {
        JoinState::SavingGeneration => "saving".into(),
        JoinState::Alone => "alone".into(),
        JoinState::Joined => "joined".into(),
        JoinState::DuplicateIdentity(by) => {
            format!("barred by {} (generation {})", by.address, by.generation)
        }
        JoinState::Left => "left".into(),
    }
}

/// An event as a happening; `None` for what is only of use in the log.
pub(crate) fn happening(event: &Event, me: &str, at_ms: u64, now: Time) -> ReportedEvent {
    let heard = |m: &pipithub_members::Member| match m.last_heard {
        Some(heard) => format!("last heard {} ms ago", ms(now.saturating_sub(heard))),
        None => "never heard by this process itself".to_string(),
    };
    let (member, what) = match event {
        Event::Up(m) => (
            m.identity.name.clone(),
            format!(
                "there, generation {} at {}",
                m.identity.generation, m.identity.address
            ),
        ),
        Event::Suspected(m) => (
            m.identity.name.clone(),
            format!("suspected: a probe got no answer; {}", heard(m)),
        ),
        Event::Down {
            member,
            suspected: true,
        } => (
            member.identity.name.clone(),
            format!("held for dead: it did not speak up; {}", heard(member)),
        ),
        Event::Down {
            member,
            suspected: false,
        } => (
            member.identity.name.clone(),
            format!("gone: it left, or others found it dead; {}", heard(member)),
        ),
        Event::Replaced { before, now } => (
            now.name.clone(),
            format!(
                "another run: generation {} after {}, disk {}",
                now.generation,
                before.generation,
                disk(now.disk)
            ),
        ),
        Event::JoinStateChanged(s) => (me.to_string(), format!("stands {}", standing(s))),
        Event::Stalled { by } => (
            me.to_string(),
            format!(
                "was held up for {} ms: what it knew is that much older",
                ms(*by)
            ),
        ),
        Event::StaleDisk { disk, seen } => (
            me.to_string(),
            format!(
                "its disk says generation {disk}, the fleet has seen {seen}: the disk is old or empty"
            ),
        ),
        Event::DatagramsRejected {
            from,
            reason: why,
            count,
        } => (
            from.to_string(),
            format!("{count} datagrams turned away: {why}"),
        ),
        Event::MemberLimitReached(who) => (
            who.name.clone(),
            "not let in: as many members as max-members allows".to_string(),
        ),
    };
    ReportedEvent {
        at_ms,
        member,
        what,
    }
}

/// Keeps the latest happenings.
#[derive(Debug, Default)]
pub(crate) struct Happenings(VecDeque<ReportedEvent>);

impl Happenings {
    pub(crate) fn push(&mut self, happening: ReportedEvent) {
        if self.0.len() == HAPPENINGS {
            self.0.pop_front();
        }
        self.0.push_back(happening);
    }

    pub(crate) fn report(&self, cluster: &str, listen: &str, view: &View, at_ms: u64) -> Report {
        let state = |s: MemberState| match s {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
        };
        let member = |m: &pipithub_members::Member| MemberReport {
            name: m.identity.name.clone(),
            address: m.identity.address.to_string(),
            zone: m.identity.zone.clone(),
            state: state(m.state).to_string(),
            for_ms: ms(view.taken_at.saturating_sub(m.since)),
            heard_ms: m.last_heard.map(|h| ms(view.taken_at.saturating_sub(h))),
            generation: m.identity.generation,
            disk: disk(m.identity.disk),
        };
        let me = MemberReport {
            name: view.local.name.clone(),
            address: view.local.address.to_string(),
            zone: view.local.zone.clone(),
            state: standing(&view.join_state),
            for_ms: 0,
            heard_ms: None,
            generation: view.local.generation,
            disk: disk(view.local.disk),
        };
        Report {
            at_ms,
            cluster: cluster.to_string(),
            process: std::process::id(),
            listen: listen.to_string(),
            me,
            doubt: view.health_score,
            age_ms: view.age().map(ms),
            members: view.members.iter().map(member).collect(),
            happenings: self.0.clone(),
        }
    }
}
