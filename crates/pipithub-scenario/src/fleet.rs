//! Scenarios of a fleet of front ends that know each other: many processes of this program, each with a data folder of
//! its own, and a relay on each direction of each link between two of them.

pub mod run;
pub mod scenario;

pub use run::{Outcome, run};
pub use scenario::FleetScenario;
