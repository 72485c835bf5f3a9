//! Scenarios of a fleet of front ends, which are processes with a data folder each. Every direction of every link between
//! two of them passes through a relay, which can disturb it.

pub mod run;
pub mod scenario;

pub use run::{Outcome, run};
pub use scenario::FleetScenario;
