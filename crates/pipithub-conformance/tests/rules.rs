//! Runs the checks on compliant traffic, and on traffic in which each rule is broken on purpose.

use std::collections::BTreeMap;

use pipithub_conformance::record::{Record, Seen};
use pipithub_conformance::rules::{
    ClassRules, Idempotency, LoadRateLimit, Rule, RuleConfig, check,
};

const MS: u64 = 1_000_000;

fn config() -> RuleConfig {
    let class = |idempotency| ClassRules {
        idempotency,
        client_timeout: 2_000 * MS,
        latency_objective: 1_000 * MS,
        priority_weight: 1.0,
        deduplication_window: 1_000 * MS,
    };
    RuleConfig {
        classes: [
            ("safe", Idempotency::Idempotent),
            ("keyed", Idempotency::WithKey),
            ("unsafe", Idempotency::NonIdempotent),
        ]
        .into_iter()
        .map(|(n, e)| (n.to_string(), class(e)))
        .collect(),
        queue: "calls".into(),
        slack: 50 * MS,
        drain_grace: 500 * MS,
        load_rate_limit: Some(LoadRateLimit {
            window: 5_000 * MS,
            burst: 1.0,
            per_request: 0.5,
        }),
        migration_grace: None,
        published_until: None,
    }
}

fn record(ms: u64, observer: &str, seen: Seen) -> Record {
    Record {
        time_ns: (1_000_000 + ms) * MS,
        observer: observer.into(),
        seen,
    }
}

fn published(ms: u64, id: &str, class: &str) -> Record {
    record(
        ms,
        "broker",
        Seen::Published {
            queues: vec!["calls".into()],
            routing_key: "calls".into(),
            message_id: Some(id.into()),
            correlation_id: Some(id.into()),
            reply_to: Some("answers".into()),
            expiration_ms: None,
            headers: BTreeMap::from([("pipithub-class".to_string(), class.to_string())]),
            size: 0,
            client: "client#1".into(),
        },
    )
}

fn answered(ms: u64, id: &str, verdict: &str) -> Record {
    record(
        ms,
        "broker",
        Seen::Published {
            queues: vec!["answers".into()],
            routing_key: "answers".into(),
            message_id: None,
            correlation_id: Some(id.into()),
            reply_to: None,
            expiration_ms: None,
            headers: BTreeMap::from([("pipithub-verdict".to_string(), verdict.to_string())]),
            size: 0,
            client: "fe#2".into(),
        },
    )
}

fn delivered(ms: u64, id: &str, redelivered: bool) -> Record {
    record(
        ms,
        "broker",
        Seen::Delivered {
            queue: "calls".into(),
            message_id: Some(id.into()),
            correlation_id: Some(id.into()),
            redelivered,
            client: "fe#2".into(),
        },
    )
}

fn call(ms: u64, id: &str, worker: &str, attempt: u32) -> Record {
    record(
        ms,
        worker,
        Seen::Call {
            front_end: "fe".into(),
            request: id.into(),
            attempt,
            function: "f".into(),
            key: None,
        },
    )
}

fn ran(ms: u64, id: &str, worker: &str) -> Record {
    record(
        ms,
        worker,
        Seen::Ran {
            request: id.into(),
            key: None,
            dropped: false,
        },
    )
}

fn replied(ms: u64, id: &str, worker: &str, attempt: u32, not_run: bool) -> Record {
    let status = if not_run { 429 } else { 200 };
    record(
        ms,
        worker,
        Seen::Replied {
            front_end: "fe".into(),
            request: id.into(),
            attempt,
            status,
            not_run,
        },
    )
}

fn load_command(ms: u64, worker: &str) -> Record {
    record(
        ms,
        worker,
        Seen::LoadCommand {
            front_end: "fe".into(),
            function: "f".into(),
            replicas: 1,
        },
    )
}

fn notified(ms: u64, worker: &str, state: &str) -> Record {
    let (front_end, worker, state) = ("fe".into(), worker.into(), state.into());
    record(
        ms,
        "list",
        Seen::EndpointNotified {
            front_end,
            worker,
            state,
            started_ms: None,
        },
    )
}

/// The records of a request that one worker rejects and another one serves.
fn compliant() -> Vec<Record> {
    vec![
        published(0, "a", "unsafe"),
        delivered(1, "a", false),
        call(2, "a", "w1", 0),
        replied(3, "a", "w1", 0, true),
        call(5, "a", "w2", 1),
        ran(6, "a", "w2"),
        replied(90, "a", "w2", 1, false),
        answered(95, "a", "served"),
        notified(100, "w1", "draining"),
        load_command(110, "w2"),
    ]
}

fn broken_rules(records: Vec<Record>) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check(&records, &config())
        .into_iter()
        .map(|b| b.rule)
        .collect();
    rules.dedup();
    rules
}

fn compliant_with(more: Vec<Record>) -> Vec<Record> {
    compliant().into_iter().chain(more).collect()
}

#[test]
fn compliant_traffic_breaks_no_rule() {
    assert_eq!(broken_rules(compliant()), []);
}

#[test]
fn missing_duplicate_and_late_answers_are_found() {
    assert_eq!(
        broken_rules(compliant_with(vec![published(10, "b", "safe")])),
        [Rule::OneFinalAnswer]
    );
    assert_eq!(
        broken_rules(compliant_with(vec![answered(200, "a", "failed")])),
        [Rule::OneFinalAnswer]
    );
    let late = |ms, again| {
        vec![
            published(10, "b", "safe"),
            delivered(11, "b", false),
            delivered(1_500, "b", again),
            ran(1_510, "b", "w1"),
            answered(ms, "b", "served"),
        ]
    };
    assert_eq!(broken_rules(compliant_with(late(2_055, false))), []);
    assert_eq!(
        broken_rules(compliant_with(late(2_100, false))),
        [Rule::OneFinalAnswer]
    );
    assert_eq!(
        broken_rules(compliant_with(late(3_400, true))),
        [],
        "the request was delivered again after its front end had ended"
    );
    assert_eq!(
        broken_rules(compliant_with(late(3_600, true))),
        [Rule::OneFinalAnswer]
    );
    assert_eq!(
        broken_rules(compliant_with(vec![call(200, "a", "w3", 2)])),
        [Rule::OneFinalAnswer, Rule::EffectAtMostOnce]
    );
}

/// A worker that takes a call for the repeat of another one answers it and does not run it.
#[test]
fn call_that_is_served_and_never_ran_is_found() {
    let repeat = Seen::Ran {
        request: "b".into(),
        key: Some("1".into()),
        dropped: true,
    };
    let served = |more: Vec<Record>| {
        let mut records = vec![
            published(10, "b", "keyed"),
            delivered(11, "b", false),
            call(12, "b", "w1", 0),
            record(13, "w1", repeat.clone()),
            answered(20, "b", "served"),
        ];
        records.extend(more);
        compliant_with(records)
    };
    assert_eq!(broken_rules(served(vec![])), [Rule::OneFinalAnswer]);
    let own_repeat = vec![call(5, "b", "w2", 0)];
    assert_eq!(broken_rules(served(own_repeat)), []);
}

/// Clients may choose equal message ids. Their calls are told apart by the correlation ids.
#[test]
fn calls_with_equal_message_ids_are_judged_each() {
    let with_message_id = |mut record: Record| {
        match &mut record.seen {
            Seen::Published { message_id, .. } | Seen::Delivered { message_id, .. } => {
                *message_id = Some("1".into());
            }
            _ => {}
        }
        record
    };
    let served = |id: &str| {
        vec![
            with_message_id(published(10, id, "unsafe")),
            with_message_id(delivered(11, id, false)),
            call(12, id, "w1", 0),
            ran(13, id, "w1"),
            answered(20, id, "served"),
        ]
    };
    let both = [served("b"), served("c")].concat();
    assert_eq!(broken_rules(both.clone()), []);
    let unanswered: Vec<Record> = both[..both.len() - 1].to_vec();
    assert_eq!(broken_rules(unanswered), [Rule::OneFinalAnswer]);
}

#[test]
fn duplicate_effects_are_found() {
    let two = |class: &str, second: u64| {
        vec![
            published(0, "b", class),
            delivered(1, "b", false),
            call(2, "b", "w1", 0),
            ran(3, "b", "w1"),
            call(second, "b", "w2", 1),
            answered(1_500, "b", "served"),
        ]
    };
    assert_eq!(broken_rules(two("safe", 200)), []);
    assert_eq!(broken_rules(two("keyed", 200)), []);
    assert_eq!(
        broken_rules(two("keyed", 1_200)),
        [Rule::EffectAtMostOnce],
        "workers no longer recognise the key"
    );
    assert_eq!(
        broken_rules(two("unsafe", 200)),
        [Rule::EffectAtMostOnce],
        "the first attempt may have run"
    );
    assert_eq!(
        broken_rules(compliant_with(vec![ran(50, "a", "w3")])),
        [Rule::EffectAtMostOnce]
    );
    let refused = vec![
        published(0, "b", "unsafe"),
        delivered(1, "b", false),
        call(2, "b", "w1", 0),
        ran(3, "b", "w1"),
        answered(50, "b", "refused"),
    ];
    assert_eq!(
        broken_rules(refused),
        [Rule::EffectAtMostOnce],
        "a request that ran was answered as refused"
    );
}

#[test]
fn work_for_draining_and_removed_workers_is_found() {
    let after = |ms, state| {
        let (came, over) = (delivered(551, "b", false), answered(900, "b", "served"));
        compliant_with(vec![
            published(550, "b", "safe"),
            came,
            notified(700, "w1", state),
            call(ms, "b", "w1", 0),
            ran(ms + 1, "b", "w1"),
            over,
        ])
    };
    assert_eq!(broken_rules(after(600, "draining")), []);
    assert_eq!(broken_rules(after(800, "draining")), [Rule::DrainRespected]);
    assert_eq!(broken_rules(after(800, "gone")), [Rule::DrainRespected]);
    assert_eq!(
        broken_rules(after(800, "live")),
        [],
        "the worker is live again"
    );
}

#[test]
fn a_worker_overloaded_during_slow_start_is_found() {
    assert_eq!(
        broken_rules(compliant_with(vec![record(
            5,
            "w1",
            Seen::Overloaded {
                sent: 9.0,
                bound: 4.0
            }
        )])),
        [Rule::SlowStartRespected]
    );
}

#[test]
fn load_commands_beyond_the_rate_limit_are_found() {
    // The limit is 1.5: a burst of 1, and 0.5 for the one request that was delivered.
    assert_eq!(
        broken_rules(compliant_with(vec![load_command(6_000, "w2")])),
        [],
        "the first command is outside the window"
    );
    assert_eq!(
        broken_rules(compliant_with(vec![load_command(2_000, "w2")])),
        [Rule::LoadRateLimited]
    );
}

#[test]
fn requests_that_cross_tenants_are_found() {
    let moved = |ms: u64, tenant: &str| {
        record(
            ms,
            "scenario",
            Seen::UserMigrated {
                user: "mai".into(),
                tenant: tenant.into(),
            },
        )
    };
    let crossed = |ms: u64, function: &str, user: &str| {
        let mut publish = published(10, "b", "safe");
        if let Seen::Published { headers, .. } = &mut publish.seen {
            headers.insert("pipithub-user".into(), user.into());
        }
        let mut sent = call(ms, "b", "w1", 0);
        if let Seen::Call { function: f, .. } = &mut sent.seen {
            *f = function.into();
        }
        let records = vec![
            moved(0, "north"),
            moved(500, "south"),
            publish,
            delivered(11, "b", false),
            sent,
            answered(900, "b", "served"),
        ];
        let config = RuleConfig {
            migration_grace: Some(200 * MS),
            ..config()
        };
        let all = pipithub_conformance::rules::check(&records, &config);
        all.iter()
            .filter(|b| b.rule == Rule::TenantIsolation)
            .count()
    };
    assert_eq!(crossed(400, "north-map", "mai"), 0);
    assert_eq!(
        crossed(650, "north-map", "mai"),
        0,
        "within the grace period of the migration"
    );
    assert_eq!(crossed(800, "north-map", "mai"), 1);
    assert_eq!(
        crossed(400, "south-map", "mai"),
        1,
        "the user has not migrated yet"
    );
    assert_eq!(crossed(800, "south-map", "mai"), 0);
    assert_eq!(
        crossed(800, "south-map", "lan"),
        1,
        "the user belongs to no tenant"
    );
}

#[test]
fn records_read_back_and_a_truncated_line_is_skipped() {
    let text: String = compliant().iter().map(Record::line).collect();
    assert_eq!(
        Record::read_all(&text).expect("lines that Record::line wrote"),
        compliant()
    );
    let cut = &text[..text.len() - 5];
    assert_eq!(
        Record::read_all(cut)
            .expect("the truncated last line is skipped")
            .len(),
        compliant().len() - 1
    );
    let error = Record::read_all("{\"t\":1}\n").expect_err("the line is not a record");
    assert_eq!(error.line, 1);
}
