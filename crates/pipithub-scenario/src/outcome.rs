//! The faults that were injected while a scenario ran.

use pipithub_clock::{Time, wall_ns};
use serde::Serialize;
use tracing::info;

use crate::units::seconds;

/// An action that begins or ends a fault, as it was carried out. In JSON it is a pair of the time and the code.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, String)")]
pub struct InjectedFault {
    /// Seconds since the start of the scenario.
    pub at_s: f64,
    /// The action in the notation of JSON reports and logs, for example `Kill(1)`.
    pub code: String,
    /// The description of the action that tables show.
    pub description: String,
}

impl From<InjectedFault> for (f64, String) {
    fn from(fault: InjectedFault) -> Self {
        (fault.at_s, fault.code)
    }
}

/// An action that was carried out.
struct InjectedAction {
    /// When it was carried out, in Unix nanoseconds.
    at: Time,
    code: String,
    description: String,
}

/// Collects the actions that were carried out.
#[derive(Default)]
pub(crate) struct FaultLog {
    actions: Vec<InjectedAction>,
}

impl FaultLog {
    /// Records that an action is carried out now, and logs it.
    pub(crate) fn record(&mut self, code: String, description: String) {
        info!(act = code, "scenario action");
        self.actions.push(InjectedAction {
            at: wall_ns(),
            code,
            description,
        });
    }

    /// All actions so far, with their times since a time in Unix nanoseconds; earlier ones are at 0.
    pub(crate) fn since(&self, start: Time) -> Vec<InjectedFault> {
        self.actions
            .iter()
            .map(|action| InjectedFault {
                at_s: seconds(action.at.saturating_sub(start)),
                code: action.code.clone(),
                description: action.description.clone(),
            })
            .collect()
    }
}
