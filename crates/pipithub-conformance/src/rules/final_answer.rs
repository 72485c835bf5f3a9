//! Checks that each request has exactly one final answer, in time, and that a served one ran.

use super::{Answer, Breach, MS, RequestTrace, Rule, RuleConfig};

/// Checks the number and times of the answers to one request, and that no attempt follows the answer.
pub(super) fn check(
    id: &str,
    trace: &RequestTrace,
    config: &RuleConfig,
    breaches: &mut Vec<Breach>,
) {
    if config
        .published_until
        .is_some_and(|until| trace.published > until)
    {
        return;
    }
    let mut add = |at, what: String| {
        breaches.push(Breach {
            rule: Rule::OneFinalAnswer,
            at,
            what,
        });
    };
    match &trace.answers[..] {
        [] => add(
            trace.published + trace.timeout,
            format!(
                "call {id} has no answer; it was delivered {} times",
                trace.deliveries.len()
            ),
        ),
        [answer] => {
            check_lateness(id, answer, trace, config, &mut add);
            check_later_attempts(id, answer, trace, config, &mut add);
            check_served(id, answer, trace, &mut add);
        }
        [_, second, ..] => {
            let answers: Vec<String> = trace
                .answers
                .iter()
                .map(|answer| format!("{} at {} ns", answer.verdict, answer.at))
                .collect();
            let what = format!(
                "call {id} has {} answers: {}",
                answers.len(),
                answers.join(", ")
            );
            add(second.at, what);
        }
    }
}

/// Reports an answer that comes after the client has stopped waiting.
fn check_lateness(
    id: &str,
    answer: &Answer,
    trace: &RequestTrace,
    config: &RuleConfig,
    add: &mut impl FnMut(u64, String),
) {
    // A request that a front end held when it ended is delivered again and gets its full time from then on. A request
    // that is delivered after its deadline must be answered at once.
    let last_delivery = trace.deliveries.last().map_or(trace.published, |d| d.at);
    let redelivered = trace.deliveries.iter().any(|d| d.redelivered);
    let start = if redelivered {
        last_delivery
    } else {
        trace.published
    };
    let deadline = (start + trace.timeout).max(last_delivery);
    if answer.at > deadline + config.slack {
        let late = (answer.at - deadline) / MS;
        let verdict = &answer.verdict;
        add(
            answer.at,
            format!("call {id} was {verdict} {late} ms after its deadline"),
        );
    }
}

/// Reports a request that was answered as served although no worker ran it, for example because a worker took it for the
/// repeat of another one. A request with several attempts may be a repeat of itself.
fn check_served(
    id: &str,
    answer: &Answer,
    trace: &RequestTrace,
    add: &mut impl FnMut(u64, String),
) {
    let may_be_own_repeat = trace.attempts.len() > 1;
    if answer.verdict == "served" && trace.effects.is_empty() && !may_be_own_repeat {
        let what = format!("call {id} was answered as served and never ran");
        add(answer.at, what);
    }
}

/// Reports the first attempt that was made after the request had been answered.
fn check_later_attempts(
    id: &str,
    answer: &Answer,
    trace: &RequestTrace,
    config: &RuleConfig,
    add: &mut impl FnMut(u64, String),
) {
    let is_later = |at: u64| at > answer.at + config.slack;
    if let Some(attempt) = trace.attempts.iter().find(|a| is_later(a.at)) {
        let after = (attempt.at - answer.at) / MS;
        let worker = &attempt.id.worker;
        add(
            attempt.at,
            format!("call {id} was sent to {worker} {after} ms after its answer"),
        );
    }
}
