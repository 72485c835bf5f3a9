//! Checks that failed members are detected, and that running members are not taken for failed.

use super::{Belief, Bounds, Breach, Claim, History, Rule};

/// Compares what each claim of an active member says about every other run with what was true.
pub(super) fn check(history: &History, bounds: Bounds, breaches: &mut Vec<Breach>) {
    for claim in history.claims.iter().filter(|claim| claim.joined) {
        let own_name = &history.runs[claim.run].name;
        for (other, run) in history.runs.iter().enumerate() {
            if run.name == *own_name {
                continue;
            }
            breaches.extend(undetected_failure(history, bounds, claim, other));
            breaches.extend(false_positive(history, bounds, claim, other));
        }
    }
}

/// Reports a member that has failed and is still believed to be alive, although there was time to detect the failure.
fn undetected_failure(
    history: &History,
    bounds: Bounds,
    claim: &Claim,
    other: usize,
) -> Option<Breach> {
    let (observer, failed) = (&history.runs[claim.run], &history.runs[other]);
    let ended = failed.ended?;
    let could_detect = ended + bounds.detection <= claim.at
        && history.undisturbed(ended, claim.at)
        && history.responsive(
            claim.run,
            ended.saturating_sub(bounds.convergence),
            claim.at,
        )
        && !history.has_other_run(other, ended, claim.at);
    if !could_detect || claim.others.get(&failed.name) != Some(&Belief::Alive) {
        return None;
    }
    Some(Breach {
        rule: Rule::FailureDetected,
        what: format!(
            "at {:.1} s {} takes {} for alive, which ended at {:.1} s",
            history.seconds(claim.at),
            observer.name,
            failed.name,
            history.seconds(ended)
        ),
    })
}

/// Reports a member that runs and could be reached, but is believed to be dead or is unknown.
fn false_positive(
    history: &History,
    bounds: Bounds,
    claim: &Claim,
    other: usize,
) -> Option<Breach> {
    let (observer, running) = (&history.runs[claim.run], &history.runs[other]);
    let (since, at) = (claim.at.saturating_sub(bounds.convergence), claim.at);
    let could_know = history.undisturbed(since, at)
        && history.responsive(claim.run, since, at)
        && history.responsive(other, since, at)
        && !history.has_other_run(other, since, at)
        && !history.has_other_run(claim.run, since, at);
    if !could_know {
        return None;
    }
    let how = match claim.others.get(&running.name) {
        Some(Belief::Alive) => return None,
        Some(Belief::Dead) => "failed",
        None => "unknown",
    };
    Some(Breach {
        rule: Rule::NoFalsePositive,
        what: format!(
            "at {:.1} s {} takes {} for {how}, which is running",
            history.seconds(at),
            observer.name,
            running.name
        ),
    })
}
