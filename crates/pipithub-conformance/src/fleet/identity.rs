//! Checks that of two runs with the same name only one is an active member.

use super::{Bounds, Breach, History, Rule, Time};

/// Claims that are less than this apart count as simultaneous, in nanoseconds.
const SIMULTANEOUS: Time = 1_000_000_000;

/// Reports each pair of runs with the same name that were active members at the same time.
pub(super) fn check(history: &History, bounds: Bounds, breaches: &mut Vec<Breach>) {
    for (first, run) in history.runs.iter().enumerate() {
        for (second, other) in history.runs.iter().enumerate().skip(first + 1) {
            if other.name != run.name {
                continue;
            }
            if let Some(at) = both_joined(history, bounds, first, second) {
                breaches.push(Breach {
                    rule: Rule::SingleRunPerName,
                    what: format!(
                        "at {:.1} s runs {first} and {second} of {} are both active",
                        history.seconds(at),
                        run.name
                    ),
                });
            }
        }
    }
}

/// The first time at which both runs claim to be active members, although the fleet had time to decide on one of them;
/// `None` if there is no such time.
fn both_joined(history: &History, bounds: Bounds, first: usize, second: usize) -> Option<Time> {
    let started = history.runs[first]
        .started
        .max(history.runs[second].started);
    let from = started + bounds.convergence;
    let joined = |run: usize| {
        history
            .claims
            .iter()
            .filter(move |claim| claim.run == run && claim.joined && claim.at >= from)
            .map(|claim| claim.at)
    };
    joined(first).find(|at| {
        history.undisturbed(at.saturating_sub(bounds.convergence), *at)
            && joined(second).any(|other| other.abs_diff(*at) < SIMULTANEOUS)
    })
}
