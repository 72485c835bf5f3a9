//! Who is which tenant's, without I/O.
//!
//! A [`Directory`] turns what is wanted and what directory servers answer into searches to make and facts to keep; it
//! knows no socket, clock or thread. Readers look users up in a [`Roster`], a persistent map that is replaced as a
//! whole: a reader never waits for a refresh, however many entries it changes. [`PendingLookups`] holds the calls of users that
//! nobody knows yet, each for a bounded time. [`snapshot`] keeps what is known over a restart.
//!
//! Every fact has an age, and every decision weighs it: see [`Roster::resolve`].

mod core;
mod facts;
mod map;
mod peak;
mod publish;
mod servers;
pub mod snapshot;
mod waiting;

pub use core::{
    Backoff, Directory, DirectoryEntry, DirectorySettings, Input, Output, Query, SearchError,
    SearchId, SearchResponse, Settings, Stats, SyncEvent, TenantBase,
};
pub use facts::{
    Lifetimes, LookupRecord, LookupResult, PersonId, Refresh, Resolution, Roster, TenantId, User,
};
pub use peak::DailyPeak;
pub use publish::Publisher;
pub use waiting::{EndedLookup, PendingLookups};

/// Nanoseconds on the caller's clock.
pub type Time = u64;
