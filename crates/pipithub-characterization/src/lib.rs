//! Support for characterization tests, which check that restructured code behaves as it did before.
//!
//! A *scenario* is a seeded, scripted environment that reacts to what the program under test does. All inputs and outputs
//! are written to a [`recording::Transcript`], whose digest is compared with the one stored in the repository. This
//! library works with bytes and text and uses no type of the other crates: each test has a small driver that connects it with
//! the program under test.
//!
//! - [`adapter_scenario`] uses the line protocol of `pipithub-adapter`; its test belongs to that crate.
//! - [`node_scenario`] simulates clients, workers and endpoint lists for the node without sockets; its test belongs to this
//!   crate.

pub mod adapter_scenario;
pub mod node_scenario;
pub mod random;
pub mod recording;
pub mod schedule;
