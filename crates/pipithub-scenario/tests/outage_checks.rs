//! The checks of outage runs find each violation in a history, and none in a history that follows the rules.

use std::time::Duration;

use pipithub_scenario::outage::{
    AnswerKind, CallRecord, ClientEnd, EndpointChange, EndpointState, Execution, History,
    ListRequest, NodeEvent, NodeRecord, OutageKind, OutageRecord, Plan, Rates, ReceivedWork, Rule,
    Settings, WorkKind, WorkerStart, check,
};

const SLACK: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);
const GRACE: Duration = SECOND;
const TIMEOUT: Duration = SECOND;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn plan() -> Plan {
    Plan {
        seed: 1,
        nodes: 1,
        workers: 2,
        rates: Rates {
            calls: 10,
            functions: 1,
        },
        settings: Settings {
            drain_grace: GRACE,
            client_timeout: TIMEOUT,
            slow_start: at(4_000),
            health_checks: true,
        },
        duration: at(20_000),
        steps: Vec::new(),
    }
}

/// A history in which the front end starts at 0 s, an outage begins at 5 s, and worker 1 begins to drain at 5.6 s.
fn outage(kind: OutageKind) -> History {
    let change = EndpointChange {
        at: at(5_600),
        worker: 1,
        state: EndpointState::Draining,
    };
    History {
        changes: vec![change],
        outages: vec![OutageRecord {
            node: 0,
            begin: at(5_000),
            end: None,
            notification_delay: kind.notification_delay(),
        }],
        nodes: vec![node_event(0, NodeEvent::Started)],
        ..History::default()
    }
}

fn node_event(milliseconds: u64, event: NodeEvent) -> NodeRecord {
    NodeRecord {
        at: at(milliseconds),
        node: 0,
        event,
    }
}

fn work(milliseconds: u64, kind: WorkKind) -> ReceivedWork {
    ReceivedWork {
        at: at(milliseconds),
        node: 0,
        worker: 1,
        kind,
    }
}

fn call(sent: u64, end: ClientEnd) -> CallRecord {
    CallRecord {
        node: 0,
        call: format!("{sent:016x}"),
        sent: at(sent),
        timeout: TIMEOUT,
        further_answers: 0,
        end,
    }
}

fn answered(milliseconds: u64) -> ClientEnd {
    ClientEnd::Answered {
        at: at(milliseconds),
        kind: AnswerKind::Served,
    }
}

fn broken_rules(history: &History) -> Vec<Rule> {
    let verdict = check(&plan(), history, SLACK);
    verdict.breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn work_at_a_draining_worker_is_checked_from_the_notified_time_of_the_kind_of_outage() {
    for (kind, last) in [
        (OutageKind::Refused, 5_000 + 2_000 + 1_000 + 50),
        (OutageKind::Unanswered, 5_000 + 4_000 + 1_000 + 50),
        (OutageKind::HalfEvent, 5_000 + 4_000 + 1_000 + 50),
    ] {
        let mut history = outage(kind);
        history.work.push(work(last, WorkKind::Call));
        history.work.push(work(last + 1_000, WorkKind::HealthCheck));
        assert_eq!(broken_rules(&history), [], "{kind:?}");
        history.work.push(work(last + 1, WorkKind::Call));
        history.work.push(work(last + 2, WorkKind::LoadCommand));
        assert_eq!(
            broken_rules(&history),
            [Rule::DrainedCall, Rule::DrainedLoadCommand],
            "{kind:?}"
        );
    }
}

/// Guards against a checker that knows only the delays after a break and a stop: work at a draining worker is too late from
/// the drain grace after the front end has requested the list again.
#[test]
fn a_request_for_the_list_counts_as_the_notification_of_changes_before_it() {
    for kind in [OutageKind::BrokenEvent, OutageKind::Unanswered] {
        let mut history = outage(kind);
        // One before the change, the first after it, and one of another front end.
        for (milliseconds, node) in [(5_550, 0), (5_900, 0), (6_400, 0), (5_700, 1)] {
            history.list_requests.push(ListRequest {
                at: at(milliseconds),
                node,
            });
        }
        let last = 5_900 + 1_000 + 50;
        history.work.push(work(last, WorkKind::Call));
        assert_eq!(broken_rules(&history), [], "{kind:?}");
        history.work.push(work(last + 1, WorkKind::Call));
        assert_eq!(broken_rules(&history), [Rule::DrainedCall], "{kind:?}");
    }
    // A request after the delay of the outage does not postpone the notification.
    let mut history = outage(OutageKind::BrokenEvent);
    history.list_requests.push(ListRequest {
        at: at(7_500),
        node: 0,
    });
    history
        .work
        .push(work(5_000 + 2_000 + 1_000 + 51, WorkKind::Call));
    assert_eq!(broken_rules(&history), [Rule::DrainedCall]);
}

#[test]
fn a_drain_long_after_the_begin_of_an_outage_counts_as_notified_at_once() {
    let mut history = outage(OutageKind::Unanswered);
    history.changes[0].at = at(12_000);
    history.work.push(work(13_050, WorkKind::Call));
    assert_eq!(broken_rules(&history), []);
    history.work.push(work(13_051, WorkKind::Call));
    assert_eq!(broken_rules(&history), [Rule::DrainedCall]);
}

#[test]
fn a_front_end_that_starts_in_an_outage_knows_the_list_of_its_start() {
    let mut history = outage(OutageKind::Unanswered);
    history.nodes.push(node_event(5_500, NodeEvent::Started));
    history.work.push(work(6_650, WorkKind::Call));
    assert_eq!(broken_rules(&history), []);
    history.work.push(work(6_651, WorkKind::Call));
    assert_eq!(broken_rules(&history), [Rule::DrainedCall]);
}

#[test]
fn a_worker_that_is_in_service_again_may_get_work() {
    let mut history = outage(OutageKind::Refused);
    history.changes.push(EndpointChange {
        at: at(10_000),
        worker: 1,
        state: EndpointState::Serving,
    });
    history.work.push(work(10_001, WorkKind::Call));
    assert_eq!(broken_rules(&history), []);
    history.work.push(work(9_999, WorkKind::Call));
    assert_eq!(broken_rules(&history), [Rule::DrainedCall]);
}

#[test]
fn a_call_that_must_not_be_repeated_runs_once() {
    let execution = |worker, unsafe_to_repeat| Execution {
        at: at(1_000),
        worker,
        call: "c1".to_string(),
        unsafe_to_repeat,
    };
    let mut history = History {
        executions: vec![execution(0, false), execution(1, false), execution(0, true)],
        ..History::default()
    };
    assert_eq!(broken_rules(&history), []);
    history.executions.push(execution(1, true));
    assert_eq!(broken_rules(&history), [Rule::EffectOnce]);
}

#[test]
fn each_call_has_one_answer_in_time() {
    let kept = [
        call(1_000, answered(2_550)),
        call(1_001, ClientEnd::Closed { at: at(1_090) }),
    ];
    for call in kept {
        let history = History {
            calls: vec![call],
            ..History::default()
        };
        assert_eq!(broken_rules(&history), [], "{history:?}");
    }
    let mut twice = call(1_000, answered(1_100));
    twice.further_answers = 1;
    let lost = [
        call(1_000, answered(2_551)),
        call(1_000, ClientEnd::Pending),
        call(1_000, ClientEnd::Closed { at: at(1_200) }),
        twice,
    ];
    for call in lost {
        let history = History {
            calls: vec![call],
            ..History::default()
        };
        assert_eq!(broken_rules(&history), [Rule::FinalAnswer], "{history:?}");
    }
}

#[test]
fn a_terminated_front_end_must_answer_calls_that_came_in_time() {
    let history = |sent, closed| History {
        nodes: vec![
            node_event(0, NodeEvent::Started),
            node_event(1_000, NodeEvent::Terminated),
            node_event(4_700, NodeEvent::Killed),
        ],
        calls: vec![call(sent, ClientEnd::Closed { at: at(closed) })],
        ..History::default()
    };
    assert_eq!(
        broken_rules(&history(1_600, 4_700)),
        [Rule::FinalAnswer],
        "came in time"
    );
    assert_eq!(
        broken_rules(&history(1_800, 4_700)),
        [],
        "came too late to need an answer"
    );
    assert_eq!(broken_rules(&history(900, 1_300)), [Rule::FinalAnswer]);
    let mut killed = history(3_000, 3_100);
    killed.nodes.remove(1);
    killed.nodes[1].at = at(3_100);
    assert_eq!(broken_rules(&killed), [], "killed without notice");
}

#[test]
fn a_cold_worker_must_not_be_overloaded_by_notified_front_ends() {
    // Worker 1 usually gets 20 calls in an overload window. Just after its start it may get some 36.
    let usual = (0..200).map(|number| work(number * 100, WorkKind::Call));
    let burst = (0..60).map(|number| work(12_000 + number * 5, WorkKind::Call));
    let mut history = History {
        nodes: vec![node_event(0, NodeEvent::Started)],
        work: usual.clone().collect(),
        worker_starts: vec![WorkerStart {
            at: at(11_800),
            worker: 1,
        }],
        ..History::default()
    };
    assert_eq!(broken_rules(&history), []);
    history.work.extend(burst);
    history.work.sort_by_key(|work| work.at);
    assert_eq!(broken_rules(&history), [Rule::SlowStart]);
    // With an outage that began before the start, the front end does not count as notified of it yet.
    history.outages.push(OutageRecord {
        node: 0,
        begin: at(11_000),
        end: None,
        notification_delay: at(4_000),
    });
    assert_eq!(broken_rules(&history), []);
}

#[test]
fn equal_seeds_draw_equal_plans_with_steps_in_order() {
    for seed in 0..200 {
        let plan = Plan::draw(seed, seed % 2 == 0);
        assert_eq!(plan, Plan::draw(seed, seed % 2 == 0));
        assert!(plan.steps.is_sorted_by_key(|timed| timed.at));
        assert!(plan.steps.iter().all(|timed| timed.at <= plan.duration));
    }
    assert_ne!(Plan::draw(1, false), Plan::draw(2, false));
}
