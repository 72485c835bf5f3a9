//! Records of the traffic that emulated services saw on their sockets, and checks of these records against rules.
//!
//! [`record`] is the format in which the emulated brokers, workers and endpoint lists record what arrived and left.
//! [`rules`] checks such records against the rules of request handling and reads nothing else: no log and no counter
//! of the gateway. [`report`] summarizes the records. [`fleet`] checks what the members of a fleet report about each
//! other.

pub mod fleet;
pub mod record;
pub mod report;
pub mod rules;
