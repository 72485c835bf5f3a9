//! What both kinds of scenario report beside their own findings.

use serde::Serialize;

/// A fault or its end, as it was injected; in JSON a pair of the time and the description.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, String)")]
pub struct InjectedFault {
    /// Seconds since the scenario began.
    pub at_s: f64,
    /// The words of the report.
    pub description: String,
}

impl From<InjectedFault> for (f64, String) {
    fn from(fault: InjectedFault) -> Self {
        (fault.at_s, fault.description)
    }
}
