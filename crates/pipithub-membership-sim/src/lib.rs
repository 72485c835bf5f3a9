//! A cluster of membership state machines in simulated time.
//!
//! The state machines are the ones that run on sockets; links, disks, crashes and pauses are simulated. The true state at
//! each moment is known here, so that views can be judged from outside the processes that hold them.

mod address;
mod fleet;

pub use address::address;
pub use fleet::{Fleet, ObservedEvent, Opinions};
