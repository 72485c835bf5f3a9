//! The platform's protocol without I/O.
//!
//! Bytes go in and plain types come out, and the other way round: bounded lines ([`mod@line`]), JSON-RPC lines of clients
//! ([`client`]), lines of workers ([`worker`]), server-sent events ([`sse`]) with changes of the worker list
//! ([`list`]), the configuration of one front end ([`config`]) and the settings that a front end is given, which the
//! simulator's adapter reads too ([`settings`]). Nothing here decides where a call runs.

pub mod client;
pub mod config;
pub mod line;
pub mod list;
pub mod settings;
pub mod sse;
pub mod worker;
