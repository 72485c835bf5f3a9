//! Who is which tenant's, without I/O.
//!
//! A [`Directory`] turns what is wanted and what directory servers answer into searches to make and facts to keep; it
//! knows no socket, clock or thread. Readers look users up in a [`Roster`], a persistent map that is replaced as a
//! whole: a reader never waits for a refresh, however many entries it changes. [`Waiting`] holds the calls of users that
//! nobody knows yet, each for a bounded time. [`snapshot`] keeps what is known over a restart.
//!
//! Every fact has an age, and every decision weighs it: see [`Roster::look`].

mod core;
mod facts;
mod map;
mod peak;
mod publish;
mod servers;
pub mod snapshot;
mod waiting;

pub use core::{
    Answer, Directory, DirectorySettings, Failure, Found, Input, News, Output, SearchId, Settings,
    Stats, TenantBase, What,
};
pub use facts::{Claim, Lifetimes, Person, Refresh, Roster, TenantId, Told, User, View};
pub use peak::Peak;
pub use publish::Publisher;
pub use waiting::{Waiting, Woken};

/// Nanoseconds on the caller's clock.
pub type Time = u64;
