//! Who is in the fleet, without I/O.
//!
//! [`Membership`] takes datagrams, time and the word that a generation is on disk, and gives datagrams, what to write to
//! disk and events. Around the SWIM engine of `foca` it adds what a front end needs: a cluster name that keeps
//! strangers out, joins by several seeds, a *generation* on disk so that a restarted process is never taken for its
//! former self, local health as in Lifeguard, the finding of a process whose disk came back old or that runs twice
//! under one name, and a view that tells how old each part of it is. The view is evidence, never an order.
//!
//! Sources: Das, Gupta, Motivala, *SWIM* (DSN 2002); Dadgar, Phillips, Currey, *Lifeguard* (DSN-W 2018). Options that
//! were weighed stand in `docs/members.md`.

mod core;
mod envelope;
mod generation;
mod health;
mod identity;
mod settings;
mod view;

pub use crate::core::{Event, Input, Membership, Output};
pub use crate::envelope::{
    Envelope, MIN_WIRE_VERSION, RejectReason, WIRE_VERSION, sender_identity,
};
pub use crate::generation::{GenerationRecord, RecordError};
pub use crate::identity::{DiskState, Identity};
pub use crate::settings::{Settings, SettingsError};
pub use crate::view::{JoinState, Member, MemberState, View};

/// A point in time or a length of it, in nanoseconds.
pub type Time = u64;

/// Nanoseconds in a millisecond.
pub(crate) const MS: Time = 1_000_000;
