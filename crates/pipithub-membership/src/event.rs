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
    /// The record of this generation is on disk and synced. Ignored unless it is the current generation.
    GenerationSaved(u64),
    /// Nothing but time has passed; timers that are due are handled.
    Tick,
    /// Leave the cluster. The membership cannot be used to join again.
    Leave,
}

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram. It may be lost: the protocol does not rely on the delivery of any datagram.
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

/// A change that an operator may want to know about. No event requires an action by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is alive that was unknown or down before, or that is a new run of its name. A refuted suspicion is not
    /// reported.
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
        /// How late the earliest due timer was handled, in nanoseconds.
        delay: Time,
    },
    /// The cluster has already seen the generation that this process took, or a later one: the disk was emptied or
    /// restored from an old copy.
    StaleDisk {
        /// Generation that this process took, based on the record on its disk.
        disk_generation: u64,
        /// Latest generation that the cluster has seen.
        seen_generation: u64,
    },
    /// Datagrams were rejected. There is at most one such event per second.
    DatagramsRejected {
        /// Source of the last of them.
        from: SocketAddr,
        /// Why the last of them was rejected.
        reason: RejectReason,
        /// How many were rejected since the last such event, this one included.
        count: u64,
    },
    /// The process with this identity asked to join and was not admitted, because the number of known members has
    /// reached [`Settings::max_members`](crate::Settings::max_members).
    MemberLimitReached(Identity),
}
