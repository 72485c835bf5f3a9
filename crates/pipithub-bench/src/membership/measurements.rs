//! The result of a membership scenario, which one process writes as JSON and another reads.

use serde::{Deserialize, Serialize};

/// The result of a scenario. Times are in simulated seconds; -1 for an event that did not happen. If the fleet does not
/// converge after the start, the scenario ends there and all later values are 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Measurements {
    /// The time from the start until all members knew each other.
    #[serde(rename = "together")]
    pub convergence: f64,
    /// The time from the fault until the first member detected it, in scenarios with failed members; 0 in the others.
    /// The fault is a failure, the end of a partition or the last restart.
    #[serde(rename = "first")]
    pub first_detection: f64,
    /// The time from the fault until all members knew exactly the running ones.
    #[serde(rename = "all")]
    pub full_detection: f64,
    /// Suspicions of running members, per member, after the fleet had settled.
    pub suspected: f64,
    /// How often a running member was declared failed, in total, after the fleet had settled.
    pub false_deaths: f64,
    /// Bytes per second that a member of an idle fleet sends, with IP and UDP headers; the mean over all members.
    pub bytes: f64,
    /// The same of the member that sent most.
    pub bytes_worst: f64,
    /// Datagrams per second that a member of an idle fleet sends; the mean over all members.
    pub messages: f64,
    /// The same of the member that sent most.
    pub messages_worst: f64,
    /// Bytes sent per member, mean over all members, in the worst second until the fleet converged.
    pub bytes_start: f64,
    /// Bytes sent per member, mean over all members, in the worst second after the fault.
    #[serde(rename = "bytes_blow")]
    pub bytes_after_fault: f64,
    /// The most bytes that any member sent in a second after the fault.
    #[serde(rename = "bytes_blow_worst")]
    pub bytes_after_fault_worst: f64,
    /// CPU of the membership core of each member of an idle fleet, as a fraction of a processor core.
    pub cpu: f64,
    /// The same until the fleet converged.
    pub cpu_start: f64,
    /// CPU of the simulation itself while the fleet is idle, in the same unit.
    pub cpu_simulation: f64,
    /// Resident bytes per member after the fleet had converged, including those of the simulation.
    pub memory: f64,
    /// How often a member rejected another one because of `max-members`.
    #[serde(rename = "full")]
    pub rejected_members: f64,
    /// The smallest number of members, including itself, that any member knew after the convergence.
    pub least_known: f64,
}
