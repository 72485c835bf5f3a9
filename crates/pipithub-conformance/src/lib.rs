//! Records of the traffic that emulated services saw on their sockets, and the checks that are decided from them.
//!
//! [`record`] is the form in which the emulated brokers, workers and endpoint lists write down what arrived and left.
//! [`rules`] checks such records against the rules of request handling and reads nothing else: no log and no counter
//! of the gateway. [`report`] sums them up. [`fleet`] checks what the members of a fleet claim of each other.

pub mod fleet;
pub mod record;
pub mod report;
pub mod rules;
