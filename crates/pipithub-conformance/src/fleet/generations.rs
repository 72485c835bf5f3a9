//! Checks that no two runs of one name use the same generation.

use std::collections::BTreeMap;

use super::{Bounds, Breach, GenerationUse, History, Rule};

/// A generation of a member.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation<'a> {
    name: &'a str,
    generation: u64,
}

/// Reports each use of a generation that an earlier run had used, if the fleet had time to learn of the first use.
pub(super) fn check(history: &History, bounds: Bounds, breaches: &mut Vec<Breach>) {
    let mut uses = history.generations_used.clone();
    uses.sort_unstable_by_key(|generation_use| generation_use.first_seen);
    let mut first_uses: BTreeMap<Incarnation<'_>, GenerationUse> = BTreeMap::new();
    for current in uses {
        let name = history.runs[current.run].name.as_str();
        let generation = current.generation;
        let first = *first_uses
            .entry(Incarnation { name, generation })
            .or_insert(current);
        if first.run != current.run && could_know(history, bounds, first, current) {
            let (first, second) = (first.run, current.run);
            breaches.push(Breach {
                rule: Rule::UniqueGeneration,
                what: format!(
                    "{name}: runs {first} and {second} both used generation {generation}"
                ),
            });
        }
    }
}

/// Whether the fleet had time to learn of the first use before the second one. Only members that agree on epochs could
/// prevent two uses within that time, or on both sides of a partition.
fn could_know(
    history: &History,
    bounds: Bounds,
    first: GenerationUse,
    second: GenerationUse,
) -> bool {
    let (since, at) = (first.first_seen, second.first_seen);
    let from = since.max(at.saturating_sub(bounds.convergence));
    history.undisturbed(from, at) && since + bounds.convergence <= at
}
