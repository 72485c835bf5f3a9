//! The member table: the last known identity and state of each other member, by name.

use std::collections::BTreeMap;

use crate::Time;
use crate::identity::Identity;
use crate::view::{Member, MemberState};

/// A change of one row of the table.
#[derive(Debug)]
pub(crate) struct Change<'a> {
    /// The row before the change; `None` if the name was unknown.
    pub(crate) before: Option<Member>,
    /// The row after the change.
    pub(crate) after: &'a Member,
}

impl Change<'_> {
    /// The run that used the name before; `None` if the name was unknown or the run is still the same.
    pub(crate) fn replaced_run(&self) -> Option<&Identity> {
        let before = &self.before.as_ref()?.identity;
        (!before.same_run(&self.after.identity)).then_some(before)
    }

    /// The state that this run was in before; `None` if the run was unknown.
    pub(crate) fn previous_state(&self) -> Option<MemberState> {
        let before = self.before.as_ref()?;
        before
            .identity
            .same_run(&self.after.identity)
            .then_some(before.state)
    }
}

/// All other members, and the time of the last message from any of them.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    rows: BTreeMap<String, Member>,
    last_heard: Option<Time>,
}

impl MemberTable {
    /// The member of this name, if it is known.
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    /// All members, in the order of their names.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values()
    }

    /// Number of known members, including those that are down.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Number of members that are not down.
    pub(crate) fn active_count(&self) -> usize {
        self.members()
            .filter(|member| member.state != MemberState::Down)
            .count()
    }

    /// When the last message from any member was received; `None` before the first one.
    pub(crate) fn last_heard(&self) -> Option<Time> {
        self.last_heard
    }

    /// Sets the identity and state of a member. Returns the change, or `None` if the row already has both.
    pub(crate) fn update(
        &mut self,
        identity: &Identity,
        state: MemberState,
        now: Time,
    ) -> Option<Change<'_>> {
        let known = self.rows.get(&identity.name);
        if known.is_some_and(|row| row.identity == *identity && row.state == state) {
            return None;
        }
        // A renewed identity is the same run, so the time of its last message stays; another run has sent nothing yet.
        let last_heard = known
            .filter(|row| row.identity.same_run(identity))
            .and_then(|row| row.last_heard);
        let row = Member {
            identity: identity.clone(),
            state,
            since: now,
            last_heard,
        };
        let before = self.rows.insert(identity.name.clone(), row);
        let after = self.rows.get(&identity.name)?;
        Some(Change { before, after })
    }

    /// Records that a message from this member itself was received.
    pub(crate) fn record_heard(&mut self, identity: &Identity, now: Time) {
        self.last_heard = Some(now);
        if let Some(row) = self
            .rows
            .get_mut(&identity.name)
            .filter(|row| row.identity.same_run(identity))
        {
            row.last_heard = Some(now);
        }
    }

    /// Removes members that have been down for at least `retention`.
    pub(crate) fn expire_dead(&mut self, now: Time, retention: Time) {
        self.rows.retain(|_, member| {
            member.state != MemberState::Down || now.saturating_sub(member.since) < retention
        });
    }
}
