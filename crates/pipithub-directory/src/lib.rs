//! Who is which tenant's, without I/O.
//!
//! A [`Directory`] turns what is wanted and what directory servers answer into searches to make and facts to keep; it
//! knows no socket, clock or thread. Readers look users up in a [`Roster`], a persistent map that is replaced as a
//! whole: a reader never waits for a refresh, however many entries it changes. [`PendingLookups`] holds the calls of users that
//! nobody knows yet, each for a bounded time. [`snapshot`] keeps what is known over a restart.
//!
//! Every fact has an age, and every decision weighs it: see [`Roster::resolve`].

mod daily_peak;
mod directory;
mod jitter;
mod messages;
mod pending_lookups;
mod persistent_map;
mod publisher;
mod record;
mod roster;
mod search;
mod server;
mod settings;
pub mod snapshot;
mod stats;
mod time;

pub use daily_peak::DailyPeak;
pub use directory::Directory;
pub use messages::{Input, Output, SyncEvent};
pub use pending_lookups::{EndedLookup, PendingLookups};
pub use publisher::Publisher;
pub use record::{LookupRecord, LookupResult, PersonId, TenantId, User};
pub use roster::{Refresh, Resolution, Roster};
pub use search::{DirectoryEntry, Query, SearchError, SearchId, SearchResponse};
pub use settings::{Backoff, DirectorySettings, Lifetimes, Settings, TenantBase};
pub use stats::Stats;
pub use time::Time;
