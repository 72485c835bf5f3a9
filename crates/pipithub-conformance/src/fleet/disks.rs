//! Checks that a run that starts from a stale or empty disk reports that, and uses a higher generation than all known
//! ones.

use super::{Bounds, Breach, Disk, History, Rule};

/// Checks the last claim that each run from a stale or empty disk made as an active member.
pub(super) fn check(history: &History, bounds: Bounds, breaches: &mut Vec<Breach>) {
    for (index, run) in history.runs.iter().enumerate() {
        let expected = match run.disk {
            Disk::Current => continue,
            Disk::Empty => "empty",
            Disk::Stale => "old",
        };
        let last_claim = history
            .claims
            .iter()
            .rfind(|claim| claim.run == index && claim.joined);
        let (Some(highest), Some(claim)) =
            (highest_known_generation(history, bounds, index), last_claim)
        else {
            continue;
        };
        // A disk whose next generation is higher than all that the fleet knows of cannot be recognised as stale.
        if highest < run.expected_generation {
            continue;
        }
        if claim.disk != expected || claim.generation <= highest {
            breaches.push(Breach {
                rule: Rule::StaleDiskReported,
                what: format!(
                    "{} started from a disk that was {expected}, but reports it as {} with generation {}; {highest} had been used before",
                    run.name, claim.disk, claim.generation
                ),
            });
        }
    }
}

/// The highest generation that earlier runs of the same name used long enough before this run for the fleet to know it;
/// `None` if there is none.
fn highest_known_generation(history: &History, bounds: Bounds, run: usize) -> Option<u64> {
    let started = history.runs[run].started;
    let name = &history.runs[run].name;
    history
        .generations_used
        .iter()
        .filter(|used| used.run < run && history.runs[used.run].name == *name)
        .filter(|used| used.first_seen + bounds.convergence < started)
        .map(|used| used.generation)
        .max()
}
