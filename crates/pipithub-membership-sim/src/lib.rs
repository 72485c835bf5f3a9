//! A cluster of membership state machines in simulated time.
//!
//! The state machines are those of the real program; links, disks, crashes and pauses are simulated. The simulation
//! knows the true state of all processes, with which tests compare the views of the state machines.

mod address;
mod fleet;

pub use address::address;
pub use fleet::{Fleet, ObservedEvent, StateCounts};
