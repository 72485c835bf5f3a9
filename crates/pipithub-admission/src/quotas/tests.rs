//! The quotas with their private parts.

use std::collections::VecDeque;

use super::limit::CUT_FACTOR_WITHIN_QUOTA;
use super::{Candidate, Decision, LimitRange, QuotaSettings, Quotas, RateLimit, TenantQuota};
use crate::outputs::{RejectReason, ServiceResult};
use crate::{MS, SECOND, Time};

fn quotas(weights: &[f64], max_limit: f64) -> Quotas<u64> {
    let tenants = weights.iter().map(|weight| TenantQuota {
        weight: *weight,
        max_queued: 4,
        ..TenantQuota::default()
    });
    Quotas::new(QuotaSettings {
        tenants: tenants.collect(),
        class_weights: vec![1.0, 5.0],
        limit: LimitRange {
            min: 2.0,
            max: max_limit,
        },
        max_queue_wait: 40 * MS,
    })
}

fn offer(
    quotas: &mut Quotas<u64>,
    now: Time,
    tenant: usize,
    class: usize,
    request: u64,
) -> Vec<Decision<u64>> {
    let mut decisions = Vec::new();
    let candidate = Candidate {
        request,
        tenant,
        class,
    };
    quotas.offer(now, candidate, SECOND, &mut decisions);
    decisions
}

fn admitted(decisions: &[Decision<u64>]) -> Vec<u64> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Admit(candidate) => Some(candidate.request),
            Decision::Reject { .. } => None,
        })
        .collect()
}

/// The request that a decision rejects for its tenant's quota, and for how long its client should not retry.
fn over_quota(decision: &Decision<u64>) -> Option<(u64, Time)> {
    match decision {
        Decision::Reject {
            candidate,
            reason: RejectReason::OverQuota,
            retry_after,
        } => Some((candidate.request, *retry_after)),
        _ => None,
    }
}

#[test]
fn a_tenant_alone_is_not_limited_and_lends_nothing_back_late() {
    let mut quotas = quotas(&[1.0, 1.0], 10.0);
    for n in 0..50 {
        assert_eq!(admitted(&offer(&mut quotas, 0, 0, 1, n)), [n]);
    }
    // The other asks for no more than its quota: it is not throttled, however much is lent.
    for n in 0..10 {
        assert_eq!(admitted(&offer(&mut quotas, 1, 1, 1, 100 + n)), [100 + n]);
    }
    assert!(
        admitted(&offer(&mut quotas, 1, 0, 1, 201)).is_empty(),
        "nothing is lent any more"
    );
}

/// Ten requests in flight, one of them of a tenant whose quota is a tenth and who asks for more.
fn full() -> Quotas<u64> {
    let mut quotas = quotas(&[1.0, 9.0], 10.0);
    for n in 0..9 {
        assert_eq!(
            admitted(&offer(&mut quotas, 0, 1, 1, 1_000 + n)),
            [1_000 + n]
        );
    }
    assert_eq!(admitted(&offer(&mut quotas, 0, 0, 1, 1)), [1]);
    assert!(offer(&mut quotas, 0, 0, 0, 2).is_empty(), "it waits");
    quotas
}

#[test]
fn idle_capacity_is_lent_first_to_classes_of_greater_weight() {
    let mut quotas = quotas(&[1.0, 3.0], 20.0);
    offer(&mut quotas, 0, 1, 1, 0);
    let lent = (1..40)
        .filter(|n| !admitted(&offer(&mut quotas, 0, 0, 0, *n)).is_empty())
        .count();
    assert_eq!(lent, 17, "18 of 20 in flight for the lesser class");
    assert_eq!(
        admitted(&offer(&mut quotas, 0, 1, 1, 50)),
        [50],
        "the lender's part is not touched"
    );
}

#[test]
fn places_go_to_the_greater_weight_first_and_waits_end() {
    let mut quotas = full();
    assert!(offer(&mut quotas, 0, 0, 1, 3).is_empty());
    let mut decisions = Vec::new();
    quotas.completed(1, 1, ServiceResult::Served, MS, &mut decisions);
    assert_eq!(admitted(&decisions), [3]);
    decisions.clear();
    assert_eq!(quotas.next_due(), Some(40 * MS));
    quotas.tick(40 * MS, &mut decisions);
    assert!(
        matches!(&decisions[..], [one] if over_quota(one).is_some_and(|(request, after)| request == 2 && after > 0)),
        "{decisions:?}"
    );
    assert_eq!(quotas.next_due(), None);
}

#[test]
fn queues_are_bounded_and_a_greater_weight_displaces() {
    let mut quotas = full();
    for n in 3..6 {
        assert!(offer(&mut quotas, 0, 0, 0, n).is_empty());
    }
    assert!(
        matches!(&offer(&mut quotas, 0, 0, 0, 6)[..], [one] if over_quota(one).is_some_and(|(request, after)| request == 6 && after > 0))
    );
    assert!(
        matches!(&offer(&mut quotas, 0, 0, 1, 7)[..], [one] if over_quota(one).is_some_and(|(request, _)| request == 5))
    );
    assert_eq!(quotas.tenants[0].in_flight, 1);
    assert_eq!(quotas.tenants[0].queue.len(), 4);
}

/// Requests find no worker for long and for whatever reason: what a storming tenant starts shrank to nothing, since its
/// part is of what is served and what is served was its own.
#[test]
fn a_storming_tenant_is_never_starved() {
    let mut quotas = quotas(&[1.0, 1.0], 1_000.0);
    let mut decisions = Vec::new();
    let mut starts = 0;
    let mut ends = VecDeque::new();
    for n in 0..10_000u64 {
        let now = n * 2 * MS;
        while ends.front().is_some_and(|at| *at <= now) {
            ends.pop_front();
            quotas.completed(now, 1, ServiceResult::Served, 50 * MS, &mut decisions);
        }
        let tenant = usize::from(n % 50 != 0);
        decisions.extend(offer(&mut quotas, now, tenant, 1, n));
        for start in std::mem::take(&mut decisions) {
            match start {
                Decision::Admit(candidate) if candidate.tenant == 0 => {
                    quotas.completed(now, 0, ServiceResult::NoWorkerInTime, 0, &mut Vec::new());
                }
                Decision::Admit(_) => {
                    starts += u64::from(n > 5_000);
                    ends.push_back(now + 50 * MS);
                }
                Decision::Reject { .. } => {}
            }
        }
    }
    assert!(starts > 100, "{starts} in ten seconds");
}

#[test]
fn rates_say_when_to_come_back() {
    let settings = QuotaSettings {
        tenants: vec![TenantQuota {
            rate: Some(RateLimit {
                per_second: 10.0,
                burst: 2.0,
            }),
            max_queued: 0,
            ..TenantQuota::default()
        }],
        class_weights: vec![1.0],
        limit: LimitRange {
            min: 1.0,
            max: 100.0,
        },
        max_queue_wait: 0,
    };
    let mut quotas = Quotas::new(settings);
    assert_eq!(admitted(&offer(&mut quotas, 0, 0, 0, 1)), [1]);
    assert_eq!(admitted(&offer(&mut quotas, 0, 0, 0, 2)), [2]);
    let [
        Decision::Reject {
            reason: RejectReason::OverRate,
            retry_after: after,
            ..
        },
    ] = offer(&mut quotas, 0, 0, 0, 3)[..]
    else {
        panic!("over its rate")
    };
    assert!((99 * MS..=101 * MS).contains(&after), "{after}");
    assert_eq!(admitted(&offer(&mut quotas, after + MS, 0, 0, 4)), [4]);
}

/// Loads that took long filled a limit that had been cut for want of workers, and requests within their quota were
/// refused though nobody asked for more than theirs.
#[test]
fn without_a_noisy_neighbor_nothing_is_cut() {
    let mut quotas = quotas(&[1.0, 1.0], 100.0);
    let mut decisions = Vec::new();
    for n in 0..40 {
        offer(&mut quotas, 0, n as usize % 2, 1, n);
    }
    for n in 0..10 {
        quotas.completed(
            n * SECOND,
            n as usize % 2,
            ServiceResult::NoWorkerInTime,
            MS,
            &mut decisions,
        );
    }
    assert!((quotas.limit.current() - 100.0).abs() < f64::EPSILON);
}

/// Whatever the limit has come to, a tenant has its part of the requests that are being served.
#[test]
fn a_part_of_what_is_served_is_guaranteed() {
    let mut quotas = quotas(&[1.0, 1.0], 2.0);
    let mut decisions = Vec::new();
    for n in 0..200u64 {
        let now = n * 10 * MS;
        // One of ten requests is the first tenant's; they last long. The other's are over at once.
        let tenant = usize::from(n % 10 != 0);
        let starts = offer(&mut quotas, now, tenant, 1, n);
        if tenant == 0 && n > 50 {
            assert_eq!(admitted(&starts), [n]);
        }
        if tenant == 1 && !admitted(&starts).is_empty() {
            quotas.completed(now, 1, ServiceResult::Served, MS, &mut decisions);
        }
    }
    assert!(quotas.tenants[0].in_flight > 15);
}

#[test]
fn the_limit_falls_with_what_finds_no_worker_and_grows_back() {
    let mut quotas = quotas(&[1.0, 1.0], 100.0);
    for n in 0..20 {
        offer(&mut quotas, 0, 0, 1, n);
    }
    offer(&mut quotas, 0, 1, 1, 99);
    let mut decisions = Vec::new();
    quotas.completed(MS, 1, ServiceResult::NoWorkerInTime, MS, &mut decisions);
    assert!(
        (quotas.limit.current() - 21.0 * CUT_FACTOR_WITHIN_QUOTA).abs() < 1e-9,
        "{}",
        quotas.limit.current()
    );
    quotas.completed(2 * MS, 0, ServiceResult::NoWorkerInTime, MS, &mut decisions);
    assert!(
        (quotas.limit.current() - 21.0 * CUT_FACTOR_WITHIN_QUOTA).abs() < 1e-9,
        "one cut at a time"
    );
    quotas.tick(60 * SECOND, &mut decisions);
    quotas.tick(120 * SECOND, &mut decisions);
    assert!(quotas.limit.current() > 90.0, "{}", quotas.limit.current());
}
