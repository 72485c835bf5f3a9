//! Scripted fault scenarios.
//!
//! A [`scenario`] defines the processes, their load and the faults with their times. [`run`] starts brokers, workers,
//! endpoint lists and gateways as processes, injects the faults, and checks the rules against the traffic that the
//! emulated services recorded. [`fleet`] does the same for front ends that form a fleet, and [`outage`] for the
//! platform's front ends while discovery is out of reach. [`client`] is the queue client that publishes the load;
//! `pipithub publish` uses it too.

pub mod client;
mod document;
pub mod error;
pub mod fleet;
pub mod load;
pub mod outage;
pub mod outcome;
pub mod process;
pub mod random;
pub mod run;
pub mod scenario;
pub mod schedule;
mod units;

pub use document::ScenarioError;
