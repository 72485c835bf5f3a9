//! What a fleet agrees on, without I/O.
//!
//! Three or five voters keep one log ([`Voter`], around the engine of `raft`); what it says becomes one small typed state
//! ([`State`]): epochs of front ends, leases, versions of settings. Any front end asks through a [`Client`], which repeats a
//! question until it is answered once. Time in the state is the log's own: it advances with what leaders stamp, never
//! faster than real time, so that a lease ends for its holder, by the holder's own clock, before another can get it.
//!
//! Sources: Ongaro, *Consensus: Bridging Theory and Practice* (2014); Gray and Cheriton, *Leases* (SOSP 1989). What was
//! weighed, and what is promised, stands in `docs/council.md`.

mod client;
mod log;
mod state;
mod voter;

pub use client::{Client, HeldLease, Notification};
pub use log::{LogEntry, StoredLog, WriteBatch};
pub use state::{Command, Lease, Request, Response, State, TimestampedRequest};
pub use voter::{Input, Output, Voter, VoterError, VoterSettings, WireMessage};

/// A point in time or a length of it, in nanoseconds.
pub type Time = u64;
