//! Checks that no request takes effect twice, unless it is idempotent.

use super::{Attempt, Breach, ClassRules, Idempotency, RequestTrace, Rule, RuleConfig};

/// Checks the effects and retries of one request.
pub(super) fn check(
    id: &str,
    trace: &RequestTrace,
    config: &RuleConfig,
    breaches: &mut Vec<Breach>,
) {
    let Some(class) = config.classes.get(&trace.class) else {
        return;
    };
    if class.idempotency == Idempotency::Idempotent {
        return;
    }
    let mut add = |at, what: String| {
        breaches.push(Breach {
            rule: Rule::EffectAtMostOnce,
            at,
            what,
        });
    };
    if let [_, second, ..] = trace.effects[..] {
        let (class, count) = (&trace.class, trace.effects.len());
        add(
            second,
            format!("call {id} of class {class} took effect {count} times"),
        );
    }
    check_rejection(id, trace, class, &mut add);
    check_retries(id, trace, class, &mut add);
}

/// Reports a rejected request that took effect: a rejection tells the client that it may safely retry.
fn check_rejection(
    id: &str,
    trace: &RequestTrace,
    class: &ClassRules,
    add: &mut impl FnMut(u64, String),
) {
    if class.idempotency != Idempotency::NonIdempotent {
        return;
    }
    let rejection = trace.answers.iter().find(|a| a.verdict == "refused");
    if let (Some(rejection), Some(effect)) = (rejection, trace.effects.first()) {
        let at = rejection.at.max(*effect);
        add(
            at,
            format!("call {id} took effect although it was answered as refused"),
        );
    }
}

/// Reports each retry without proof that every earlier attempt did not run or, with an idempotency key, is recent
/// enough for workers to recognise the key.
fn check_retries(
    id: &str,
    trace: &RequestTrace,
    class: &ClassRules,
    add: &mut impl FnMut(u64, String),
) {
    for (index, retry) in trace.attempts.iter().enumerate() {
        let unproven = trace.attempts[..index].iter().find(|earlier| {
            let recognised = class.idempotency == Idempotency::WithKey
                && retry.at < earlier.at + class.deduplication_window;
            !recognised && !is_proven_not_run(earlier, retry.at, trace)
        });
        if let Some(earlier) = unproven {
            let (worker, earlier) = (&retry.id.worker, &earlier.id.worker);
            add(
                retry.at,
                format!("call {id} was sent to {worker} although it may have run on {earlier}"),
            );
        }
    }
}

/// Whether a reply that was written by `until` says that the attempt did not run.
fn is_proven_not_run(attempt: &Attempt, until: u64, trace: &RequestTrace) -> bool {
    trace
        .replies
        .iter()
        .any(|reply| reply.not_run && reply.attempt == attempt.id && reply.at <= until)
}
