//! A simulated network and clock: messages are delivered late, duplicated or lost.
//!
//! Each direction of each pair of processes has faults of its own. Equal seeds and calls give equal runs.

mod link;
mod network;

pub use link::Link;
pub use network::{Network, NetworkEvent};

pub use pipithub_clock::Time;
