//! What is believed of the fleet, each part with its age.

use std::collections::BTreeMap;

use crate::Time;
use crate::identity::Identity;

/// How a member stands, as far as is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It speaks, or others say that it does.
    Alive,
    /// Somebody got no answer from it; it has time to speak up.
    Suspect,
    /// It is held for dead, or it left.
    Down,
}

/// A member as known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which run of which name.
    pub identity: Identity,
    /// How it stands.
    pub state: MemberState,
    /// Since when it stands so.
    pub since: Time,
    /// When it last spoke to us itself; `None`: it never did, others told of it.
    pub last_heard: Option<Time>,
}

/// How this process itself stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinState {
    /// A new generation is on its way to disk; nothing is sent before it is there.
    SavingGeneration,
    /// No seed has answered yet, or there is none.
    Alone,
    /// It takes part.
    Joined,
    /// Another run of its name is there, so it holds back: it may be a twin, or its own former run that has not been
    /// found dead yet. It asks again and again.
    DuplicateIdentity(Identity),
    /// It left on its own wish.
    Left,
}

/// What is believed at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// When it was taken.
    pub taken_at: Time,
    /// This process.
    pub local: Identity,
    /// How it stands.
    pub join_state: JoinState,
    /// When any other member last spoke to it. A view without fresh word says how things stood then.
    pub last_heard: Option<Time>,
    /// Local health: 0 is sound, 8 the worst.
    pub health_score: u32,
    /// The others, by name.
    pub members: Vec<Member>,
}

impl View {
    /// How old the newest word in it is; `None`: there never was any.
    pub fn age(&self) -> Option<Time> {
        self.last_heard.map(|t| self.taken_at.saturating_sub(t))
    }

    /// Those who are not held for dead.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.state != MemberState::Down)
    }
}

/// The table behind views.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    rows: BTreeMap<String, Member>,
    pub(crate) last_heard: Option<Time>,
}

impl MemberTable {
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn active_count(&self) -> usize {
        self.rows
            .values()
            .filter(|m| m.state != MemberState::Down)
            .count()
    }

    /// Takes in how a member stands; tells what it was before where that changed.
    pub(crate) fn update(
        &mut self,
        identity: &Identity,
        state: MemberState,
        now: Time,
    ) -> Option<Option<Member>> {
        match self.rows.get_mut(&identity.name) {
            Some(row) if row.identity == *identity && row.state == state => None,
            Some(row) => {
                let before = row.clone();
                // Another run was never heard by us; a renewed one is the same process.
                let heard = row.last_heard.filter(|_| row.identity.same_run(identity));
                *row = Member {
                    identity: identity.clone(),
                    state,
                    since: now,
                    last_heard: heard,
                };
                Some(Some(before))
            }
            None => {
                let row = Member {
                    identity: identity.clone(),
                    state,
                    since: now,
                    last_heard: None,
                };
                self.rows.insert(identity.name.clone(), row);
                Some(None)
            }
        }
    }

    /// A member spoke to us itself.
    pub(crate) fn record_heard(&mut self, identity: &Identity, now: Time) {
        self.last_heard = Some(now);
        if let Some(row) = self
            .rows
            .get_mut(&identity.name)
            .filter(|r| r.identity.same_run(identity))
        {
            row.last_heard = Some(now);
        }
    }

    /// Forgets the dead that have been so for long.
    pub(crate) fn expire_dead(&mut self, now: Time, after: Time) {
        self.rows
            .retain(|_, m| m.state != MemberState::Down || now.saturating_sub(m.since) < after);
    }
}
