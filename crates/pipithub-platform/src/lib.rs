//! The platform's protocol without I/O.
//!
//! The modules convert bytes to plain types and back: bounded lines ([`mod@line`]), JSON-RPC lines of clients
//! ([`client`]), lines of workers ([`worker`]), server-sent events ([`sse`]) with changes of the endpoint list
//! ([`list`]), the configuration of one front end ([`config`]) and the settings of a front end, which the simulator's
//! adapter reads too ([`settings`]). Nothing here decides where a call runs.

pub mod client;
pub mod config;
pub mod line;
pub mod list;
pub mod settings;
pub mod sse;
pub mod worker;
