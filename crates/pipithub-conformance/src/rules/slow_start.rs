//! Checks that no worker is overloaded while it warms up.

use super::{Breach, Rule};
use crate::record::{Record, Seen};

/// Reports each worker that was overloaded while it warmed up.
pub(super) fn check(records: &[Record], breaches: &mut Vec<Breach>) {
    for record in records {
        if let Seen::Overloaded { sent, bound } = &record.seen {
            let worker = &record.observer;
            breaches.push(Breach {
                rule: Rule::SlowStartRespected,
                at: record.time_ns,
                what: format!("{worker} was overloaded while it warmed up: {sent} calls sent, {bound:.1} allowed"),
            });
        }
    }
}
