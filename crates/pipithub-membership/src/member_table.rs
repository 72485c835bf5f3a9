//! The member table: what this process believes about each other member, by name.

use std::collections::BTreeMap;

use crate::Time;
use crate::identity::Identity;
use crate::view::{Member, MemberState};

/// A change of one row.
#[derive(Debug)]
pub(crate) struct Change<'a> {
    /// The row before; `None` where the name was unknown.
    pub(crate) before: Option<Member>,
    /// The row now.
    pub(crate) after: &'a Member,
}

impl Change<'_> {
    /// The run that the name belonged to before, where it was another one.
    pub(crate) fn replaced_run(&self) -> Option<&Identity> {
        let before = &self.before.as_ref()?.identity;
        (!before.same_run(&self.after.identity)).then_some(before)
    }

    /// The state that the same run was in before.
    pub(crate) fn previous_state(&self) -> Option<MemberState> {
        let before = self.before.as_ref()?;
        before
            .identity
            .same_run(&self.after.identity)
            .then_some(before.state)
    }
}

/// All other members, and when any of them was last heard from.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    rows: BTreeMap<String, Member>,
    last_heard: Option<Time>,
}

impl MemberTable {
    /// The member of this name.
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    /// All members, by name.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values()
    }

    /// How many members are known, dead ones included.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// How many members are not down.
    pub(crate) fn active_count(&self) -> usize {
        self.members()
            .filter(|member| member.state != MemberState::Down)
            .count()
    }

    /// When any member was last heard from.
    pub(crate) fn last_heard(&self) -> Option<Time> {
        self.last_heard
    }

    /// Records a member's identity and state; `None` where both are known already.
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
        // A renewed identity is the same process; another run was never heard from.
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

    /// A member itself sent a message.
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

    /// Removes members that have been down for the whole retention.
    pub(crate) fn expire_dead(&mut self, now: Time, retention: Time) {
        self.rows.retain(|_, member| {
            member.state != MemberState::Down || now.saturating_sub(member.since) < retention
        });
    }
}
