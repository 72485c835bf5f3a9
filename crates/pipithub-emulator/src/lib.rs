//! Emulations of the services around the gateway, each on loopback sockets: an AMQP broker ([`broker`]), workers that
//! load models on demand ([`worker`]), their shared model store ([`store`]), the worker list ([`list`]), the coordinator
//! that streams it to front ends ([`coordinator`]), an LDAP directory server ([`directory`]), a proxy that injects faults
//! between them ([`proxy`]), and one direction of a link for datagrams ([`relay`]). The broker and the worker decide in a
//! core without I/O.
//!
//! They are test tools: they store nothing on disk and trust every client, so they listen on loopback only.

pub mod accept;
pub mod broker;
pub mod coordinator;
pub mod directory;
pub mod list;
pub mod proxy;
pub mod recorder;
pub mod relay;
pub mod store;
pub mod worker;

/// The clock that all emulations use.
pub use pipithub_clock as clock;
