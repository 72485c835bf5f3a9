//! Cluster membership without I/O: the SWIM failure detector with suspicion, generations that survive restarts, and
//! views that state their age.
//!
//! [`Membership`] takes datagrams, the time and confirmations that a generation is on disk. It returns datagrams to
//! send, generation records to save, and events. To the SWIM engine of the `foca` crate it adds a cluster tag that
//! rejects datagrams of other clusters, joining through several seeds, a *generation* on disk that distinguishes a
//! restarted process from its former run, local health as in Lifeguard, detection of stale disks and of duplicate
//! identities, and the time of the last message from each member. A view is only information about the cluster; no
//! decision about requests depends on it.
//!
//! Sources: Das, Gupta, Motivala, *SWIM* (DSN 2002); Dadgar, Phillips, Currey, *Lifeguard* (DSN-W 2018). The options
//! that were considered are listed in `docs/membership.md`.

mod envelope;
mod event;
mod generation;
mod health;
mod identity;
mod member_table;
mod membership;
mod rejection;
mod settings;
mod timers;
mod view;

pub use crate::envelope::{RejectReason, sender_identity};
pub use crate::event::{Event, Input, Output};
pub use crate::generation::{GenerationRecord, NextGeneration, RecordDamage, RecordError};
pub use crate::identity::{DiskState, Identity};
pub use crate::membership::Membership;
pub use crate::settings::{Settings, SettingsError};
pub use crate::view::{JoinState, Member, MemberState, View};

pub use pipithub_clock::Time;

/// Nanoseconds in a millisecond.
pub(crate) const MS: Time = 1_000_000;
