//! Traffic as the stand-ins saw it on their sockets, and the rules decided from it alone.
//!
//! [`record`] is the form in which brokers, workers and list servers write down what came and went. [`rules`] reads
//! such records and nothing else: no log and no counter of the gateway's.

pub mod fleet;
pub mod record;
pub mod report;
pub mod rules;
