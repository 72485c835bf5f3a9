//! A consensus group without I/O: what a cluster agrees on.
//!
//! Three or five voters replicate one log with Raft ([`Voter`], around the engine of `raft`). The log is applied to a small
//! typed state ([`State`]): epochs of front ends, leases, versions of settings. Any front end sends its commands through a
//! [`Client`], which retries a request until it has one response. Time in the state is the log's own: it advances with the
//! timestamps of leaders and never faster than real time, so that a lease expires for its holder, by the holder's own
//! clock, before another can acquire it.
//!
//! Sources: Ongaro, *Consensus: Bridging Theory and Practice* (2014); Gray and Cheriton, *Leases* (SOSP 1989). What was
//! considered and what is guaranteed is described in `docs/consensus.md`.

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
