//! LDAP v3 without I/O (RFC 4511), for gateways that search directories and for the emulator that serves one.
//!
//! The message types are those of `rasn-ldap`. This crate adds the following parts: [`frame`] splits a byte stream into
//! messages, and checks their size and nesting before they are decoded; [`Dn`] compares distinguished names (RFC 4514);
//! [`filter`] builds search filters from values, which cannot become filter syntax (RFC 4515); [`Client`] is the state
//! machine of one connection; [`sync`] encodes and decodes the controls of paged results (RFC 2696) and content
//! synchronization (RFC 4533); [`ldif`] reads directory trees (RFC 2849).

pub mod client;
pub mod dn;
pub mod filter;
pub mod frame;
pub mod ldif;
pub mod sync;

pub use client::{Client, ClientSettings, Event, Outcome, Search, SearchId, SimpleBind};
pub use dn::Dn;
pub use rasn_ldap as message;
pub use secrecy::{ExposeSecret, SecretString};

/// Object identifiers of the supported extensions and controls.
pub mod oid {
    /// `StartTLS` (RFC 4511, 4.14).
    pub const START_TLS: &[u8] = b"1.3.6.1.4.1.1466.20037";
    /// Notice of disconnection (RFC 4511, 4.4.1).
    pub const NOTICE_OF_DISCONNECTION: &[u8] = b"1.3.6.1.4.1.1466.20036";
    /// Paged results (RFC 2696).
    pub const PAGED: &[u8] = b"1.2.840.113556.1.4.319";
    /// Sync request (RFC 4533, 2.2).
    pub const SYNC_REQUEST: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.1";
    /// Sync state (RFC 4533, 2.3).
    pub const SYNC_STATE: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.2";
    /// Sync done (RFC 4533, 2.4).
    pub const SYNC_DONE: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.3";
    /// Sync info (RFC 4533, 2.5).
    pub const SYNC_INFO: &[u8] = b"1.3.6.1.4.1.4203.1.9.1.4";
}
