//! Support for characterization tests: they hold observable behavior still while the code is restructured.
//!
//! A *scenario* is a seeded, scripted world that reacts to what the program under test does. All that goes in and comes
//! out is written to a [`recording::Transcript`]; its digest is compared with the one that is stored in the repository.
//! This library knows bytes and no type of the other crates: each test brings a small driver for the program under test.
//!
//! - [`adapter_scenario`] speaks the line protocol of `pipithub-adapter`; the test stands in that crate.
//! - [`node_scenario`] plays clients, workers and worker lists for the socketless node; the test stands in this crate.

pub mod adapter_scenario;
pub mod node_scenario;
pub mod random;
pub mod recording;
pub mod schedule;
