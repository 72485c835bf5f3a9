//! Inputs and outputs of [`Membership`](crate::Membership), and the events that it reports.

use std::net::SocketAddr;

use crate::Time;
use crate::envelope::RejectReason;
use crate::generation::GenerationRecord;
use crate::identity::Identity;
use crate::view::{JoinState, Member};

/// An input of the membership.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A datagram arrived.
    Datagram {
        /// Source address as the operating system reports it.
        from: SocketAddr,
        /// The whole datagram.
        bytes: &'a [u8],
    },
    /// The record of this generation is on disk and synced.
    GenerationSaved(u64),
    /// Time has passed.
    Tick,
    /// Leave the cluster for good.
    Leave,
}

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram; it may get lost.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// Write this record to disk, sync it, then pass [`Input::GenerationSaved`]. Nothing is sent under the new
    /// generation before that.
    SaveGeneration(GenerationRecord),
    /// Report an event.
    Event(Event),
}

/// A change of membership, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is alive.
    Up(Member),
    /// A member is suspected of having failed.
    Suspected(Member),
    /// A member is down.
    Down {
        /// The member as it was known.
        member: Member,
        /// Whether this process knew of the suspicion before. If not, the member left or others found it dead.
        suspected: bool,
    },
    /// A name is used by another run now.
    Replaced {
        /// The run before.
        before: Identity,
        /// The run that counts from now on.
        now: Identity,
    },
    /// The join state of this process changed.
    JoinStateChanged(JoinState),
    /// This process was not scheduled for so long after its timer was due: what it knows is that much older.
    Stalled {
        /// How late the timer was handled.
        by: Time,
    },
    /// The cluster knows a later generation of this name than the local disk: the disk came back old or empty.
    StaleDisk {
        /// Generation from the disk.
        disk: u64,
        /// Latest generation that the cluster has seen.
        seen: u64,
    },
    /// Datagrams were rejected.
    DatagramsRejected {
        /// Source of the last of them.
        from: SocketAddr,
        /// Why the last of them was rejected.
        reason: RejectReason,
        /// How many were rejected since the last such event.
        count: u64,
    },
    /// A process was not admitted, because as many members are known as the settings allow.
    MemberLimitReached(Identity),
}
