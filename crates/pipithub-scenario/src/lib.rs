//! Scripted bad days.
//!
//! A [`scenario`] says what runs, what is asked and what goes wrong when; [`run`] starts brokers, workers, lists and
//! gateways as processes, does it, and has the checker judge what the stand-ins saw on their sockets. [`client`] is
//! the queue client that asks; `pipithub publish` uses it too.

pub mod client;
pub mod fleet;
pub mod load;
pub mod outcome;
pub mod process;
pub mod random;
pub mod run;
pub mod scenario;
