//! A view of the cluster: what one process believes about each member, and how old that knowledge is.

use crate::Time;
use crate::identity::Identity;

/// The state of a member, as far as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, or others say that it does.
    Alive,
    /// It did not answer a probe; it has time to refute the suspicion.
    Suspect,
    /// It was declared dead, or it left.
    Down,
}

/// A member as known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The run that uses the name.
    pub identity: Identity,
    /// Its state.
    pub state: MemberState,
    /// Since when it is in that state.
    pub since: Time,
    /// When this process itself last heard from it; `None` where it only knows of it through others.
    pub last_heard: Option<Time>,
}

/// How far this process has joined the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinState {
    /// A new generation is being saved; nothing is sent before it is on disk.
    SavingGeneration,
    /// No other member is known to be there.
    Alone,
    /// It takes part.
    Joined,
    /// Another run of its name takes part, so this one waits: the other may be a duplicate, or its own former run that has
    /// not been found dead yet. It keeps asking.
    DuplicateIdentity(Identity),
    /// It left on request.
    Left,
}

/// What is believed at one moment. It is evidence about the cluster, never an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// When the view was taken.
    pub taken_at: Time,
    /// This process.
    pub local: Identity,
    /// How far this process has joined.
    pub join_state: JoinState,
    /// When any other member was last heard from. Without recent messages a view shows the state of that time.
    pub last_heard: Option<Time>,
    /// Local health score: 0 is healthy, 8 the worst.
    pub health_score: u32,
    /// The other members, by name.
    pub members: Vec<Member>,
}

impl View {
    /// Time since any member was last heard from; `None` where none ever was.
    pub fn age(&self) -> Option<Time> {
        self.last_heard.map(|at| self.taken_at.saturating_sub(at))
    }

    /// The members that are not down.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.state != MemberState::Down)
    }
}
