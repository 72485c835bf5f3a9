//! A view of the cluster: the state of each member as one process knows it, and how old that knowledge is.

use crate::Time;
use crate::identity::Identity;

/// The state of a member, as the observing process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes, or other members report that it does.
    Alive,
    /// It did not answer a probe, and is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// It was declared dead, or it left the cluster.
    Down,
}

/// A member, as the observing process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The run that uses the name.
    pub identity: Identity,
    /// Whether it is alive, suspected or down.
    pub state: MemberState,
    /// When it entered that state.
    pub since: Time,
    /// When the observing process last received a message from this run itself; `None` if it knows of the run only
    /// through others.
    pub last_heard: Option<Time>,
}

/// How far this process has joined the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinState {
    /// Its new generation is being saved. Nothing is sent until it is on disk.
    SavingGeneration,
    /// No other member is known to be reachable.
    Alone,
    /// It is a member of the cluster.
    Joined,
    /// The given other run of its name is a member, so this process stays out and keeps sending join requests. The
    /// other run is a duplicate, or the former run of this process that has not been declared dead yet.
    DuplicateIdentity(Identity),
    /// It left the cluster on request.
    Left,
}

/// The cluster as one process knows it at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// When the view was taken.
    pub taken_at: Time,
    /// Identity of the process that took the view.
    pub local: Identity,
    /// How far that process has joined.
    pub join_state: JoinState,
    /// When the last message from any other member was received; `None` if none was. The view is only as recent as
    /// that message.
    pub last_heard: Option<Time>,
    /// Local health score of the process, 0 (healthy) to 8.
    pub health_score: u32,
    /// The other members, in the order of their names.
    pub members: Vec<Member>,
}

impl View {
    /// Time since the last message from any other member; `None` if none was received.
    pub fn age(&self) -> Option<Time> {
        self.last_heard.map(|at| self.taken_at.saturating_sub(at))
    }

    /// The other members that are not down.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.state != MemberState::Down)
    }
}
