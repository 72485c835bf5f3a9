//! Scripted failure scenarios.
//!
//! A [`scenario`] says which processes run, which load they get and which faults are injected when. [`run`] starts
//! brokers, workers, endpoint lists and gateways as processes, plays the scenario, and checks the rules against the
//! traffic that the emulated services recorded. [`fleet`] does the same for front ends that form a fleet. [`client`]
//! is the queue client that publishes the load; `pipithub publish` uses it too.

pub mod client;
mod document;
pub mod error;
pub mod fleet;
pub mod load;
pub mod outcome;
pub mod process;
pub mod random;
pub mod run;
pub mod scenario;
mod units;

pub use document::ScenarioError;
