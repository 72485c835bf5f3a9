//! The platform's front end: clients over JSON-RPC, workers over lines, the coordinator over server-sent events.
//!
//! [`core`] is the front end without sockets, clock or threads: bytes and time go in, effects come out. It holds the
//! engine, the clients ([`client_sessions`]) and the connections to workers ([`connection_pool`]). [`shell`] is a thin
//! layer on tokio, on one thread, that moves bytes and time; [`coordinator`] watches the endpoint list. The policy
//! alone decides where a call runs, and whether; this crate bounds its own connections, memory and queues.

pub mod client_sessions;
pub mod connection_pool;
pub mod coordinator;
pub mod core;
pub mod effect;
mod executed_calls;
pub mod idle_timeout;
pub mod shell;
pub mod sockets;
pub mod start_times;
