//! What a membership scenario showed; written as JSON by one process and read by another.

use serde::{Deserialize, Serialize};

/// What a scenario showed. Times are simulated seconds; -1 where it did not come to that.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Measurements {
    /// Until all knew all after the start.
    #[serde(rename = "together")]
    pub convergence: f64,
    /// From the fault (a death, a healed partition, the last restart) until the first member knew of it, in the
    /// scenarios with deaths.
    #[serde(rename = "first")]
    pub first_detection: f64,
    /// From the fault until each knew exactly who is there.
    #[serde(rename = "all")]
    pub full_detection: f64,
    /// Suspicions of the living, for each member, from the settled fleet on.
    pub suspected: f64,
    /// How often somebody that lived was held for dead, in all, from the settled fleet on.
    pub false_deaths: f64,
    /// Bytes a second a member at rest, with IP and UDP headers: mean over the members, and the one that sent most.
    pub bytes: f64,
    /// See `bytes`.
    pub bytes_worst: f64,
    /// Datagrams a second a member at rest: mean, and the one that sent most.
    pub messages: f64,
    /// See `messages`.
    pub messages_worst: f64,
    /// Bytes a second a member, mean, in the worst second while the fleet converged.
    pub bytes_start: f64,
    /// The same from the fault on, for the mean, and for the single member that sent most in a second.
    #[serde(rename = "bytes_blow")]
    pub bytes_after_fault: f64,
    /// See `bytes_after_fault`.
    #[serde(rename = "bytes_blow_worst")]
    pub bytes_after_fault_worst: f64,
    /// CPU of the cores at rest, for each member, as a share of a processor core.
    pub cpu: f64,
    /// The same while the fleet converged.
    pub cpu_start: f64,
    /// CPU of the simulation itself, in the same unit, at rest.
    pub cpu_simulation: f64,
    /// Resident bytes for each member once all knew all, the simulation's own part among them.
    pub memory: f64,
    /// Members that were not let in, in the eyes of whom they asked.
    #[serde(rename = "full")]
    pub rejected_members: f64,
    /// How many the least-knowing member knows at the end of the convergence, itself counted.
    pub least_known: f64,
}
