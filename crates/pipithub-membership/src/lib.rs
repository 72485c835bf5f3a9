//! Cluster membership without I/O: SWIM with suspicion, incarnations that outlive restarts, and views that show their age.
//!
//! [`Membership`] takes datagrams, time and the confirmation that a generation is on disk; it returns datagrams, records to
//! save and events. Around the SWIM engine of `foca` it adds what a front end needs: a cluster tag that keeps foreign
//! datagrams out, joining through several seeds, a *generation* on disk so that a restarted process is never taken for its
//! former run, local health as in Lifeguard, detection of stale disks and of duplicate identities, and a view that shows how
//! old each part of it is. The view is evidence, never an order.
//!
//! Sources: Das, Gupta, Motivala, *SWIM* (DSN 2002); Dadgar, Phillips, Currey, *Lifeguard* (DSN-W 2018). The options that
//! were considered are listed in `docs/membership.md`.

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
pub use crate::generation::{GenerationRecord, NextGeneration, RecordError};
pub use crate::identity::{DiskState, Identity};
pub use crate::membership::Membership;
pub use crate::settings::{Settings, SettingsError};
pub use crate::view::{JoinState, Member, MemberState, View};

pub use pipithub_clock::Time;

/// Nanoseconds in a millisecond.
pub(crate) const MS: Time = 1_000_000;
