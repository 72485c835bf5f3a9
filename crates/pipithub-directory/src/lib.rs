//! Determines which tenant a user belongs to, without I/O.
//!
//! A [`Directory`] turns look-ups and the responses of LDAP servers into searches to make and records to cache; it uses
//! no sockets, clocks or threads. Readers resolve users in a [`Roster`], an immutable version of all cached records. Each
//! change publishes a new version, so a reader never waits for a refresh, however many records it changes.
//! [`PendingLookups`] holds requests whose user is not known yet, each for a bounded time. [`snapshot`] stores the cached
//! records across a restart.
//!
//! Every decision takes the age of the records into account: see [`Roster::resolve`].

mod daily_peak;
mod directory;
mod jitter;
mod messages;
mod pending_lookups;
mod persistent_map;
mod publisher;
mod record;
mod refresh_wheel;
mod roster;
mod search;
mod settings;
pub mod snapshot;
mod state;
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
