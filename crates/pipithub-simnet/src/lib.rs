//! A simulated network with its clock, in which messages are delayed, duplicated and lost.
//!
//! Each direction of a link between two processes has its own faults. Equal seeds and calls give equal runs.

mod link;
mod network;

pub use link::Link;
pub use network::{Network, NetworkEvent};

pub use pipithub_clock::Time;
