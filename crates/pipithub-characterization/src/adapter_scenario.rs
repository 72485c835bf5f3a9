//! A scripted scenario on the adapter's line protocol.
//!
//! One to three front ends share the same workers. Each action of a front end is answered after a randomly drawn time with a
//! drawn outcome; incidents (crashes, drains, outages of a zone, failing loads, evictions, restarts) happen at drawn times.

mod actions;
mod discovery;
mod event;
mod incidents;
mod requests;
mod settings;
mod tier;
mod world;

pub use world::{LineProtocol, run};

/// Kinds of scenarios, events and actions. Each of them must occur in the drawn scenarios at least once.
pub const KINDS: &[&str] = &[
    "scenario with at most 512 workers",
    "scenario with more than 512 workers",
    "in attach",
    "in backends_changed incr",
    "in backends_changed lost",
    "in backends_changed total",
    "in backends_changed warm_copy",
    "in brought_up C",
    "in brought_up E",
    "in brought_up F",
    "in brought_up S",
    "in brought_up T",
    "in completed C",
    "in completed E",
    "in completed F",
    "in completed M",
    "in completed N",
    "in completed R",
    "in completed S",
    "in completed T",
    "in completed X",
    "in head_received",
    "in health_result C",
    "in health_result S",
    "in heard",
    "in killed",
    "in lapsed",
    "in query",
    "in wake",
    "out abort",
    "out bring_up",
    "out hand_off",
    "out recall",
    "out reject with a time",
    "out reject without a time",
    "out remind",
    "out shelve",
    "out tail",
    "out touch",
];

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;
