//! Replies as outcomes.

use pipithub_engine::policy::{LoadReport, Outcome, ReplicaStatus};
use pipithub_inference::{AttemptReply, header, order_outcome, outcome};

fn told(status: u16, headers: &[(&str, &'static str)]) -> AttemptReply {
    outcome(status, |name| {
        headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    })
}

#[test]
fn a_reply_claims_no_more_than_it_says() {
    let not_run = (header::RAN, "no");
    assert_eq!(told(200, &[]).outcome, Outcome::Served);
    assert_eq!(told(400, &[]).outcome, Outcome::Served);
    assert_eq!(
        told(404, &[]).outcome,
        Outcome::Error,
        "what answered may not be the worker"
    );
    assert_eq!(told(404, &[not_run]).outcome, Outcome::NotLoaded);
    assert_eq!(told(429, &[]).outcome, Outcome::Rejected);
    assert_eq!(
        told(503, &[]).outcome,
        Outcome::Error,
        "a proxy's 503 may hide a call that ran"
    );
    assert_eq!(told(503, &[not_run]).outcome, Outcome::Rejected);
    assert_eq!(
        told(503, &[not_run, (header::COPY, "failed")]).outcome,
        Outcome::NotLoaded
    );
    assert_eq!(told(502, &[]).outcome, Outcome::Error);
    for status in 100..1000 {
        let never = told(status, &[]).outcome.never_ran();
        assert!(!never || status == 429, "{status}");
    }
}

#[test]
fn a_worker_at_capacity_is_no_failed_load() {
    let told = |status, headers: &[(&str, &'static str)]| {
        order_outcome(status, |name| {
            headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
        })
    };
    let not_run = (header::RAN, "no");
    assert_eq!(told(200, &[]), (Outcome::Served, 1));
    assert_eq!(told(200, &[(header::COPIES, "3")]), (Outcome::Served, 3));
    assert_eq!(told(429, &[(header::COPIES, "2")]), (Outcome::Rejected, 2));
    assert_eq!(told(503, &[not_run]), (Outcome::Rejected, 0));
    assert_eq!(
        told(503, &[not_run, (header::COPY, "failed")]),
        (Outcome::Error, 0)
    );
    assert_eq!(told(500, &[]), (Outcome::Error, 0));
}

#[test]
fn notes_and_loads_are_read() {
    let told = told(
        200,
        &[
            (header::COPY, "began"),
            (header::ALIKE, "3"),
            (
                header::LOAD,
                "TEXT cpu_utilization=0.5,mem_utilization=0.25,named_metrics.inflight=7",
            ),
        ],
    );
    assert_eq!(
        (told.note, told.alike),
        (Some(ReplicaStatus::LoadStarted), Some(3))
    );
    let load = LoadReport {
        in_flight: Some(7.0),
        cpu_utilization: Some(0.5),
        pinned_memory: Some(0.25),
        pending_loads: None,
    };
    assert_eq!(told.load, load);
}
