//! Descriptions of events for operators, in the report, in `pipithub membership explain` and in the log.

use pipithub_membership::{DiskState, Event, JoinState, Member, Time};

use crate::report::{ReportedEvent, milliseconds};

/// The join state as the report shows it.
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

/// The state of a disk as the report shows it.
pub(crate) fn disk_text(disk: DiskState) -> &'static str {
    match disk {
        DiskState::Intact => "kept",
        DiskState::Empty => "empty",
        DiskState::Stale => "old",
    }
}

/// An event as the report shows it. `own_name` is the name of this process. The event is reported at the Unix time
/// `at_ms` (milliseconds) and the monotonic time `now` (nanoseconds).
pub(crate) fn reported_event(
    event: &Event,
    own_name: &str,
    at_ms: u64,
    now: Time,
) -> ReportedEvent {
    ReportedEvent {
        at_ms,
        member: subject(event, own_name),
        description: description(event, now),
    }
}

/// The name of the member that an event is about, or the address of an unknown sender.
fn subject(event: &Event, own_name: &str) -> String {
    match event {
        Event::Up(member) | Event::Suspected(member) | Event::Down { member, .. } => {
            member.identity.name.clone()
        }
        Event::Replaced { current, .. } => current.name.clone(),
        Event::JoinStateChanged(_) | Event::Stalled { .. } | Event::StaleDisk { .. } => {
            own_name.to_string()
        }
        Event::DatagramsRejected { from, .. } => from.to_string(),
        Event::MemberLimitReached(requester) => requester.name.clone(),
    }
}

fn description(event: &Event, now: Time) -> String {
    match event {
        Event::Up(member) => {
            let identity = &member.identity;
            format!(
                "alive: generation {} at {}",
                identity.generation, identity.address
            )
        }
        Event::Suspected(member) => {
            let last_heard = last_heard_text(member, now);
            format!("suspected: a probe was not answered; {last_heard}")
        }
        Event::Down { member, suspected } => {
            let last_heard = last_heard_text(member, now);
            if *suspected {
                format!("down: it did not refute the suspicion; {last_heard}")
            } else {
                format!("down: it left, or other members declared it dead; {last_heard}")
            }
        }
        Event::Replaced { previous, current } => {
            format!(
                "replaced by another run: generation {} after {}, disk {}",
                current.generation,
                previous.generation,
                disk_text(current.disk)
            )
        }
        Event::JoinStateChanged(state) => format!("join state: {}", join_state_text(state)),
        Event::Stalled { delay } => {
            let delay_ms = milliseconds(*delay);
            format!("stalled for {delay_ms} ms: its view is older by that time")
        }
        Event::StaleDisk {
            disk_generation,
            seen_generation,
        } => {
            format!(
                "stale disk: it has generation {disk_generation}, the fleet has seen {seen_generation}"
            )
        }
        Event::DatagramsRejected { reason, count, .. } => {
            format!("{count} datagrams rejected: {reason}")
        }
        Event::MemberLimitReached(_) => "not admitted: max-members is reached".to_string(),
    }
}

fn last_heard_text(member: &Member, now: Time) -> String {
    match member.last_heard {
        Some(at) => {
            let ago = milliseconds(now.saturating_sub(at));
            format!("last message {ago} ms ago")
        }
        None => "no message received by this process".to_string(),
    }
}
