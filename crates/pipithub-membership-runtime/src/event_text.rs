//! Events as sentences for operators, in the report, in `pipithub members explain` and in the log.

use pipithub_membership::{DiskState, Event, JoinState, Member, Time};

use crate::report::{ReportedEvent, milliseconds};

/// How far a process has joined, in words.
pub(crate) fn join_state_text(state: &JoinState) -> String {
    match state {
        JoinState::SavingGeneration => "saving".into(),
        JoinState::Alone => "alone".into(),
        JoinState::Joined => "joined".into(),
        JoinState::DuplicateIdentity(other) => {
            format!(
                "barred by {} (generation {})",
                other.address, other.generation
            )
        }
        JoinState::Left => "left".into(),
    }
}

/// The state of a disk, in a word.
pub(crate) fn disk_text(disk: DiskState) -> &'static str {
    match disk {
        DiskState::Intact => "kept",
        DiskState::Empty => "empty",
        DiskState::Stale => "old",
    }
}

/// An event for the report. `own_name` is the name of this process.
pub(crate) fn reported_event(
    event: &Event,
    own_name: &str,
    at_ms: u64,
    now: Time,
) -> ReportedEvent {
    ReportedEvent {
        at_ms,
        member: subject(event, own_name),
        what: description(event, now),
    }
}

/// Whom an event is about.
fn subject(event: &Event, own_name: &str) -> String {
    match event {
        Event::Up(member) | Event::Suspected(member) | Event::Down { member, .. } => {
            member.identity.name.clone()
        }
        Event::Replaced { now, .. } => now.name.clone(),
        Event::JoinStateChanged(_) | Event::Stalled { .. } | Event::StaleDisk { .. } => {
            own_name.to_string()
        }
        Event::DatagramsRejected { from, .. } => from.to_string(),
        Event::MemberLimitReached(newcomer) => newcomer.name.clone(),
    }
}

fn description(event: &Event, now: Time) -> String {
    match event {
        Event::Up(member) => {
            let identity = &member.identity;
            format!(
                "there, generation {} at {}",
                identity.generation, identity.address
            )
        }
        Event::Suspected(member) => {
            let last_heard = last_heard_text(member, now);
            format!("suspected: a probe got no answer; {last_heard}")
        }
        Event::Down { member, suspected } => {
            let last_heard = last_heard_text(member, now);
            if *suspected {
                format!("held for dead: it did not speak up; {last_heard}")
            } else {
                format!("gone: it left, or others found it dead; {last_heard}")
            }
        }
        Event::Replaced { before, now } => {
            format!(
                "another run: generation {} after {}, disk {}",
                now.generation,
                before.generation,
                disk_text(now.disk)
            )
        }
        Event::JoinStateChanged(state) => format!("stands {}", join_state_text(state)),
        Event::Stalled { by } => {
            let by = milliseconds(*by);
            format!("was held up for {by} ms: what it knew is that much older")
        }
        Event::StaleDisk { disk, seen } => {
            format!(
                "its disk says generation {disk}, the fleet has seen {seen}: the disk is old or empty"
            )
        }
        Event::DatagramsRejected { reason, count, .. } => {
            format!("{count} datagrams turned away: {reason}")
        }
        Event::MemberLimitReached(_) => {
            "not let in: as many members as max-members allows".to_string()
        }
    }
}

fn last_heard_text(member: &Member, now: Time) -> String {
    match member.last_heard {
        Some(at) => {
            let ago = milliseconds(now.saturating_sub(at));
            format!("last heard {ago} ms ago")
        }
        None => "never heard by this process itself".to_string(),
    }
}
