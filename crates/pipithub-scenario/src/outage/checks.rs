//! Checks a history against the rules of request handling.
//!
//! Only the history and the plan are read. When a front end counts as notified of a change of the endpoint list follows
//! from the platform's time limits, whether or not the front end could reach discovery; see [`notified_at`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::history::{
    AnswerKind, CallRecord, ClientEnd, EndpointChange, History, Instant, NodeEvent, WorkKind,
};
use super::node::{INITIAL_WEIGHT, OVERLOAD_FACTOR, OVERLOAD_WINDOW};
use super::plan::{EndpointState, Plan};

/// A front end that lost its stream may take this long to connect again once discovery is back. A change within this time
/// is treated as one within the outage.
const RECONNECT_TIME: Duration = Duration::from_millis(1_500);
/// An answer that comes later than this after its client's timeout counts as missing.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// A call whose connection is closed within this time after it was sent is not lost, because a client may send it again.
const CLOSE_RACE_GRACE: Duration = Duration::from_millis(50);
/// A front end that was terminated need not answer calls that are sent later than this after SIGTERM, if it ends.
const ARRIVAL_GRACE: Duration = Duration::from_millis(700);

/// A rule of request handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each call has exactly one final answer, in time.
    FinalAnswer,
    /// A call that must not be repeated runs at most once.
    EffectOnce,
    /// Draining and removed workers get no new call after the time of notification and the drain grace.
    DrainedCall,
    /// Draining and removed workers get no load command after the time of notification and the drain grace.
    DrainedLoadCommand,
    /// A worker in slow start is not overloaded by front ends that were notified of its start.
    SlowStart,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule that was violated.
    pub rule: Rule,
    /// The time at which the rule was violated.
    pub at: Instant,
    /// A description of the violation, for reports.
    pub what: String,
}

/// The result of the checks of a history.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// All violations, by rule and time.
    pub breaches: Vec<Breach>,
    /// The number of calls that clients sent.
    pub calls: usize,
    /// The number of calls that were served in time.
    pub served: usize,
    /// The number of health checks and load polls that workers got.
    pub health_checks: usize,
}

impl Verdict {
    /// The share of calls that were served in time, from 0 to 1.
    pub fn served_ratio(&self) -> f64 {
        self.served as f64 / self.calls.max(1) as f64
    }

    /// How often a rule was violated.
    pub fn count(&self, rule: Rule) -> usize {
        self.breaches
            .iter()
            .filter(|breach| breach.rule == rule)
            .count()
    }
}

/// Checks all rules. `slack` is added to the time limits, to allow for the time in transit and for delays of the machine.
pub fn check(plan: &Plan, history: &History, slack: Duration) -> Verdict {
    let mut breaches = Vec::new();
    check_drains(plan, history, slack, &mut breaches);
    check_effects(history, &mut breaches);
    check_answers(history, slack, &mut breaches);
    check_slow_start(plan, history, slack, &mut breaches);
    breaches.sort_by(|a, b| (a.rule, a.at, &a.what).cmp(&(b.rule, b.at, &b.what)));
    let is_check = |work: &&super::history::ReceivedWork| work.kind == WorkKind::HealthCheck;
    Verdict {
        breaches,
        calls: history.calls.len(),
        served: history.calls.iter().filter(|call| is_served(call)).count(),
        health_checks: history.work.iter().filter(is_check).count(),
    }
}

fn is_served(call: &CallRecord) -> bool {
    matches!(call.end, ClientEnd::Answered { at, kind: AnswerKind::Served } if at <= call.sent + call.timeout)
}

/// When a front end counts as notified of a change: when discovery published the change or, if the change falls into an
/// outage of that front end, at the first of two later times:
/// [`notification_delay`](super::OutageRecord::notification_delay) after the outage began, and the next request of the
/// front end for the list. Outages that began before the last start of the front end do not count.
fn notified_at(history: &History, node: usize, change: &EndpointChange) -> Instant {
    let started = history
        .nodes
        .iter()
        .filter(|record| record.node == node && record.event == NodeEvent::Started)
        .filter(|record| record.at <= change.at)
        .map(|record| record.at)
        .max()
        .unwrap_or_default();
    let requested = history
        .list_requests
        .iter()
        .filter(|request| request.node == node && request.at >= change.at)
        .map(|request| request.at)
        .min()
        .unwrap_or(Instant::MAX);
    history
        .outages
        .iter()
        .filter(|outage| outage.node == node)
        // A process that was started within an outage has the list of that time in its configuration.
        .filter(|outage| outage.begin >= started)
        .filter(|outage| {
            let end = outage.end.unwrap_or(Instant::MAX);
            outage.begin <= change.at && change.at <= end.saturating_add(RECONNECT_TIME)
        })
        .map(|outage| outage.begin + outage.notification_delay)
        .fold(change.at, Instant::max)
        .min(requested)
}

/// An interval in which a worker must get no new work from a front end.
struct ClosedInterval {
    from: Instant,
    /// When the worker is in service again according to discovery; [`Instant::MAX`] if that does not happen.
    until: Instant,
}

/// The intervals in which a worker must get no new work from a front end.
fn closed_intervals(
    plan: &Plan,
    history: &History,
    node: usize,
    worker: usize,
    slack: Duration,
) -> Vec<ClosedInterval> {
    let mut closed = Vec::new();
    let mut closed_from: Option<Instant> = None;
    for change in history
        .changes
        .iter()
        .filter(|change| change.worker == worker)
    {
        if change.state == EndpointState::Serving {
            if let Some(from) = closed_from.take() {
                closed.push(ClosedInterval {
                    from,
                    until: change.at,
                });
            }
        } else if closed_from.is_none() {
            let notified = notified_at(history, node, change);
            closed_from = Some(notified + plan.settings.drain_grace + slack);
        }
    }
    closed.extend(closed_from.map(|from| ClosedInterval {
        from,
        until: Instant::MAX,
    }));
    closed
}

fn check_drains(plan: &Plan, history: &History, slack: Duration, breaches: &mut Vec<Breach>) {
    let mut closed: BTreeMap<(usize, usize), Vec<ClosedInterval>> = BTreeMap::new();
    for work in &history.work {
        let rule = match work.kind {
            WorkKind::Call => Rule::DrainedCall,
            WorkKind::LoadCommand => Rule::DrainedLoadCommand,
            WorkKind::HealthCheck => continue,
        };
        let times = closed
            .entry((work.node, work.worker))
            .or_insert_with(|| closed_intervals(plan, history, work.node, work.worker, slack));
        let is_closed = |time: &ClosedInterval| time.from < work.at && work.at < time.until;
        if let Some(time) = times.iter().find(|time| is_closed(time)) {
            let late = work.at.saturating_sub(time.from).as_millis();
            breaches.push(Breach {
                rule,
                at: work.at,
                what: format!(
                    "worker {} got work from front end {} {late} ms after the notified time, the grace and the slack",
                    work.worker, work.node
                ),
            });
        }
    }
}

fn check_effects(history: &History, breaches: &mut Vec<Breach>) {
    let mut ran: BTreeSet<&str> = BTreeSet::new();
    for execution in history.executions.iter().filter(|e| e.unsafe_to_repeat) {
        if !ran.insert(&execution.call) {
            breaches.push(Breach {
                rule: Rule::EffectOnce,
                at: execution.at,
                what: format!(
                    "call {} ran twice, now at worker {}",
                    execution.call, execution.worker
                ),
            });
        }
    }
}

fn check_answers(history: &History, slack: Duration, breaches: &mut Vec<Breach>) {
    for call in &history.calls {
        let last_time = call.sent + call.timeout + LATE_ANSWER_GRACE + slack;
        let fault = match call.end {
            _ if call.further_answers > 0 => "got a second answer",
            ClientEnd::Answered { at, .. } if at > last_time => "was answered too late",
            ClientEnd::Answered { .. } => continue,
            ClientEnd::Closed { at } if !is_lost_at_close(history, call, at, slack) => continue,
            ClientEnd::Closed { .. } => "was closed without an answer",
            ClientEnd::Pending => "got no answer",
        };
        breaches.push(Breach {
            rule: Rule::FinalAnswer,
            at: call.sent,
            what: format!("call {} of front end {} {fault}", call.call, call.node),
        });
    }
}

/// Whether a front end is at fault for a call whose connection ended without an answer.
fn is_lost_at_close(
    history: &History,
    call: &CallRecord,
    closed: Instant,
    slack: Duration,
) -> bool {
    let events = || {
        history
            .nodes
            .iter()
            .filter(|record| record.node == call.node)
    };
    let killed = events()
        .filter(|record| record.event == NodeEvent::Killed && record.at + slack >= call.sent)
        .map(|record| record.at)
        .min();
    let terminated = events()
        .filter(|record| record.event == NodeEvent::Terminated && record.at <= closed)
        .map(|record| record.at)
        .max();
    let Some(killed) = killed else {
        return closed > call.sent + CLOSE_RACE_GRACE + slack;
    };
    match terminated.filter(|terminated| *terminated < killed) {
        // A front end that is killed without SIGTERM owes no answers to the calls that it had at that time.
        None => closed + slack < killed,
        // After SIGTERM a front end may end once it has answered the calls that came in time. A call whose connection is
        // closed just after it was sent may be sent again by its client.
        Some(terminated) => {
            call.sent <= terminated + ARRIVAL_GRACE && closed > call.sent + CLOSE_RACE_GRACE + slack
        }
    }
}

/// The maximum number of calls that a worker in slow start may be sent within the overload window, `age` after its start.
/// `served` is the mean number of calls of a worker within such a window; the capacity of a warm worker is assumed to be
/// twice that number. Two or three standard deviations and as many calls are added for random fluctuation.
fn warming_budget(served: f64, age: Duration, slow_start: Duration) -> f64 {
    let warmth = (age.as_secs_f64() / slow_start.as_secs_f64()).min(1.0);
    let capacity = 2.0 * served * (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * warmth);
    let mean = OVERLOAD_FACTOR * capacity;
    if mean < 30.0 {
        mean + 3.0 * mean.sqrt() + 3.0
    } else {
        mean + 2.0 * mean.sqrt() + 2.0
    }
}

fn check_slow_start(plan: &Plan, history: &History, slack: Duration, breaches: &mut Vec<Breach>) {
    let calls: Vec<_> = history
        .work
        .iter()
        .filter(|work| work.kind == WorkKind::Call)
        .collect();
    let window = OVERLOAD_WINDOW.as_secs_f64();
    let windows = (plan.duration.as_secs_f64() / window).max(1.0);
    let served = calls.len() as f64 / plan.workers as f64 / windows;
    for start in &history.worker_starts {
        let change = EndpointChange {
            at: start.at,
            worker: start.worker,
            state: EndpointState::Serving,
        };
        let arrivals: Vec<_> = calls
            .iter()
            .filter(|work| work.worker == start.worker)
            .filter(|work| work.at >= start.at && work.at < start.at + plan.settings.slow_start)
            .collect();
        for (end, last) in arrivals.iter().enumerate() {
            let first = arrivals.partition_point(|work| work.at + OVERLOAD_WINDOW <= last.at);
            let within = &arrivals[first..=end];
            let budget = warming_budget(
                served,
                last.at.saturating_sub(start.at),
                plan.settings.slow_start,
            );
            if within.len() as f64 <= budget {
                continue;
            }
            let notified = within
                .iter()
                .filter(|work| work.at > notified_at(history, work.node, &change) + slack)
                .count();
            if notified * 3 > within.len() * 2 {
                breaches.push(Breach {
                    rule: Rule::SlowStart,
                    at: last.at,
                    what: format!(
                        "worker {} got {} calls within its overload window, {notified} of them from front ends that were told, where {budget:.0} are allowed",
                        start.worker,
                        within.len()
                    ),
                });
            }
            break;
        }
    }
}
