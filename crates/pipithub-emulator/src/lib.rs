//! Emulations of the services around the gateway, each on loopback sockets: an AMQP broker ([`broker`]), workers that
//! load models on demand ([`worker`]), their model store ([`store`]), the endpoint list ([`list`]), the coordinator that
//! streams it to front ends ([`coordinator`]), an LDAP directory server ([`directory`]), a TCP proxy that injects faults
//! ([`proxy`]), and a relay for the datagrams of one direction of a link ([`relay`]). The broker and the worker have
//! sans-I/O cores.
//!
//! They are test tools: they store nothing on disk and do not authenticate their peers unless a test asks for it, so they
//! must listen on loopback only.

pub mod accept;
pub mod broker;
pub mod coordinator;
pub mod credentials;
pub mod directory;
mod http;
pub mod list;
pub mod proxy;
pub mod recorder;
pub mod relay;
pub mod store;
pub mod worker;

/// The clock that all emulations use.
pub use pipithub_clock as clock;
