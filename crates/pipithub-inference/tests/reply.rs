//! The translation of replies into outcomes.

use pipithub_engine::policy::{LoadReport, Outcome, ReplicaStatus};
use pipithub_inference::{
    AttemptReply, LoadCommandReply, attempt_reply, header, load_command_reply,
};

fn reply(status: u16, headers: &[(&str, &'static str)]) -> AttemptReply {
    attempt_reply(status, |name| {
        headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    })
}

#[test]
fn reply_counts_as_never_run_only_if_the_worker_says_so() {
    let not_run = (header::HAS_RUN, "no");
    assert_eq!(reply(200, &[]).outcome, Outcome::Served);
    assert_eq!(reply(400, &[]).outcome, Outcome::Served);
    assert_eq!(
        reply(404, &[]).outcome,
        Outcome::Error,
        "the answer may come from something other than the worker"
    );
    assert_eq!(reply(404, &[not_run]).outcome, Outcome::NotLoaded);
    assert_eq!(reply(429, &[]).outcome, Outcome::Rejected);
    assert_eq!(
        reply(503, &[]).outcome,
        Outcome::Error,
        "a proxy's 503 may hide a call that ran"
    );
    assert_eq!(reply(503, &[not_run]).outcome, Outcome::Rejected);
    assert_eq!(
        reply(503, &[not_run, (header::REPLICA_STATUS, "failed")]).outcome,
        Outcome::NotLoaded
    );
    assert_eq!(reply(502, &[]).outcome, Outcome::Error);
    for status in 100..1000 {
        let never = reply(status, &[]).outcome.never_ran();
        assert!(!never || status == 429, "{status}");
    }
}

#[test]
fn load_command_rejected_by_a_worker_at_capacity_is_no_error() {
    let reply = |status, headers: &[(&str, &'static str)]| {
        load_command_reply(status, |name| {
            headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
        })
    };
    let expected = |outcome, replicas| LoadCommandReply { outcome, replicas };
    let not_run = (header::HAS_RUN, "no");
    assert_eq!(reply(200, &[]), expected(Outcome::Served, 1));
    assert_eq!(
        reply(200, &[(header::REPLICAS, "3")]),
        expected(Outcome::Served, 3)
    );
    assert_eq!(
        reply(429, &[(header::REPLICAS, "2")]),
        expected(Outcome::Rejected, 2)
    );
    assert_eq!(reply(503, &[not_run]), expected(Outcome::Rejected, 0));
    assert_eq!(
        reply(503, &[not_run, (header::REPLICA_STATUS, "failed")]),
        expected(Outcome::Error, 0)
    );
    assert_eq!(reply(500, &[]), expected(Outcome::Error, 0));
}

#[test]
fn replica_states_and_load_reports_are_read() {
    let reply = reply(
        200,
        &[
            (header::REPLICA_STATUS, "began"),
            (header::FUNCTION_CONCURRENCY, "3"),
            (
                header::LOAD_REPORT,
                "TEXT cpu_utilization=0.5,mem_utilization=0.25,named_metrics.inflight=7",
            ),
        ],
    );
    assert_eq!(
        (reply.replica_status, reply.function_concurrency),
        (Some(ReplicaStatus::LoadStarted), Some(3))
    );
    let load = LoadReport {
        in_flight: Some(7.0),
        cpu_utilization: Some(0.5),
        pinned_memory: Some(0.25),
        pending_loads: None,
    };
    assert_eq!(reply.load_report, load);
}
