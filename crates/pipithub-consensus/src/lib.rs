//! A consensus group without I/O, for the facts that all front ends of a cluster must agree on.
//!
//! Three or five voters replicate one log with Raft ([`Voter`], around the engine of the `raft` crate). The log is
//! applied to a small typed state ([`State`]): epochs of front ends, leases, the version of the settings. A front end
//! sends its commands through a [`Client`], which retries a request until it has a response. Leases expire by the log's
//! time, which advances with the timestamps of leaders and never faster than real time. A lease therefore expires by
//! its holder's own clock before another front end can acquire it.
//!
//! Sources: Ongaro, *Consensus: Bridging Theory and Practice* (2014); Gray and Cheriton, *Leases* (SOSP 1989). The
//! options that were considered and the guarantees are described in `docs/consensus.md`.

mod client;
mod command;
mod log;
mod message;
mod state;
mod storage;
mod voter;

pub use client::{Client, HeldLease, Notification, OutgoingMessage};
pub use command::{Command, Request, Response, TimestampedRequest};
pub use log::LogError;
pub use message::{Input, Output, WireMessage};
pub use state::{Lease, SettingsVersion, State};
pub use storage::{LogEntry, StoredLog, WriteBatch};
pub use voter::{Leadership, Voter, VoterError, VoterSettings};

pub use pipithub_clock::Time;
