//! The platform's front end. Clients speak JSON-RPC with it and workers a line protocol; the coordinator sends it the
//! endpoint list as server-sent events.
//!
//! [`core`] is the front end without sockets, clock or threads: bytes and time go in, effects come out. It contains the
//! engine, the clients ([`client_sessions`]) and the connections to workers ([`connection_pool`]). [`shell`] is a thin
//! layer on tokio, on one thread, that moves bytes and time; [`coordinator`] follows the endpoint list. Whether
//! and where a call runs is decided by the policy alone; this crate limits its own connections, memory and queues.

pub mod cancelled_work;
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
