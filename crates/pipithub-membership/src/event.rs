//! Inputs and outputs of [`Membership`](crate::Membership), and the events that it reports.

use std::net::SocketAddr;

use crate::Time;
use crate::envelope::RejectReason;
use crate::generation::GenerationRecord;
use crate::identity::Identity;
use crate::view::{JoinState, Member};

/// An input of [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A datagram was received.
    Datagram {
        /// Source address, as the operating system reports it.
        from: SocketAddr,
        /// Content of the datagram.
        bytes: &'a [u8],
    },
    /// The record of this generation is on disk and synced. Any other generation than the current one is ignored.
    GenerationSaved(u64),
    /// Nothing but time has passed; timers that are due are handled.
    Tick,
    /// Leave the cluster. The membership cannot be used to join again.
    Leave,
}

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram, on which nothing depends: datagrams may be lost.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// Write this record to disk, sync it, then pass [`Input::GenerationSaved`]. Until then nothing is sent under the
    /// new generation.
    SaveGeneration(GenerationRecord),
    /// Report an event to the operators.
    Event(Event),
}

/// A change that an operator may want to know of. None of them requires an action by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is alive that was unknown, suspected or down before, or that is a new run of its name.
    Up(Member),
    /// A member is suspected of having failed and may still refute it.
    Suspected(Member),
    /// A member is down.
    Down {
        /// The member after the change.
        member: Member,
        /// Whether it was suspected here before. If not, it left, or other members declared it dead.
        suspected: bool,
    },
    /// Another run uses the name of a known member: it was restarted, or is a duplicate.
    Replaced {
        /// The run that used the name until now.
        previous: Identity,
        /// The run that uses the name from now on.
        current: Identity,
    },
    /// The join state of this process changed.
    JoinStateChanged(JoinState),
    /// This process was not scheduled in time, so that its knowledge of the members is older than usual.
    Stalled {
        /// How late a due timer was handled.
        delay: Time,
    },
    /// The cluster knows a later generation of this name than the local disk: the disk was emptied or restored from an
    /// old copy.
    StaleDisk {
        /// Generation that this process took from its disk.
        disk_generation: u64,
        /// Latest generation that the cluster has seen.
        seen_generation: u64,
    },
    /// Datagrams were rejected. There is at most one such event in a second.
    DatagramsRejected {
        /// Source of the last of them.
        from: SocketAddr,
        /// Why the last of them was rejected.
        reason: RejectReason,
        /// How many were rejected since the last such event, this one included.
        count: u64,
    },
    /// This process was not admitted: as many members are known as
    /// [`Settings::max_members`](crate::Settings::max_members) allows.
    MemberLimitReached(Identity),
}
