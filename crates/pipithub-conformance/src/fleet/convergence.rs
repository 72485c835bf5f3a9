//! Checks that in the end the beliefs of all members are true.

use std::collections::BTreeSet;

use super::{Belief, Breach, Claim, History, Rule};

/// Checks the last claim since [`History::end`] of each run that has not ended.
pub(super) fn check(history: &History, breaches: &mut Vec<Breach>) {
    let running: Vec<usize> = (0..history.runs.len())
        .filter(|run| history.runs[*run].ended.is_none())
        .collect();
    let name_of = |run: usize| history.runs[run].name.as_str();
    let names: BTreeSet<&str> = running.iter().map(|run| name_of(*run)).collect();
    for run in running.iter().copied() {
        let name = name_of(run);
        let last_claim = history
            .claims
            .iter()
            .rfind(|claim| claim.run == run && claim.at >= history.end);
        let fault = match last_claim {
            None => Some(format!("{name} (run {run}) reported nothing in the end")),
            // Of two runs with the same name, one need not join.
            Some(claim) if !claim.joined => {
                let has_duplicate = running
                    .iter()
                    .any(|other| *other != run && name_of(*other) == name);
                (!has_duplicate)
                    .then(|| format!("{name} (run {run}) has not joined the fleet in the end"))
            }
            Some(claim) => wrong_membership(name, claim, &names),
        };
        breaches.extend(fault.map(|what| Breach {
            rule: Rule::Convergence,
            what,
        }));
    }
}

/// Describes the difference between the members that a run believes to be alive and those that run; `None` if there is
/// none.
fn wrong_membership(name: &str, claim: &Claim, names: &BTreeSet<&str>) -> Option<String> {
    let mut alive: BTreeSet<&str> = claim
        .others
        .iter()
        .filter(|(_, belief)| **belief == Belief::Alive)
        .map(|(other, _)| other.as_str())
        .collect();
    alive.insert(name);
    (alive != *names)
        .then(|| format!("{name} sees the members {alive:?}, but {names:?} are running"))
}
