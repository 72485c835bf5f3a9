//! Quotas: borrowing, queues, rate limits and the adaptive limit.

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

#[derive(Debug, PartialEq)]
struct OverQuota {
    request: u64,
    retry_after: Time,
}

/// The request of the only decision, which must be a rejection because its tenant has used up its quota.
fn only_over_quota(decisions: &[Decision<u64>]) -> OverQuota {
    match decisions {
        [
            Decision::Reject {
                candidate,
                reason: RejectReason::OverQuota,
                retry_after,
            },
        ] => OverQuota {
            request: candidate.request,
            retry_after: *retry_after,
        },
        _ => panic!("not exactly one rejection over quota: {decisions:?}"),
    }
}

#[test]
fn tenant_alone_is_not_limited_and_tenant_within_its_quota_is_not_throttled() {
    let mut quotas = quotas(&[1.0, 1.0], 10.0);
    for n in 0..50 {
        assert_eq!(admitted(&offer(&mut quotas, 0, 0, 1, n)), [n]);
    }
    // The other tenant asks for no more than its quota. It is not throttled, however much the first has borrowed.
    for n in 0..10 {
        assert_eq!(admitted(&offer(&mut quotas, 1, 1, 1, 100 + n)), [100 + n]);
    }
    assert!(
        admitted(&offer(&mut quotas, 1, 0, 1, 201)).is_empty(),
        "no more can be borrowed"
    );
}

/// Quotas with ten requests in flight, which is their limit. One of the ten belongs to a tenant whose quota is a tenth,
/// and a further request of that tenant is queued.
fn quotas_at_limit() -> Quotas<u64> {
    let mut quotas = quotas(&[1.0, 9.0], 10.0);
    for n in 0..9 {
        assert_eq!(
            admitted(&offer(&mut quotas, 0, 1, 1, 1_000 + n)),
            [1_000 + n]
        );
    }
    assert_eq!(admitted(&offer(&mut quotas, 0, 0, 1, 1)), [1]);
    assert!(offer(&mut quotas, 0, 0, 0, 2).is_empty(), "it is queued");
    quotas
}

#[test]
fn classes_of_low_weight_borrow_less_of_an_idle_quota() {
    let mut quotas = quotas(&[1.0, 3.0], 20.0);
    offer(&mut quotas, 0, 1, 1, 0);
    let lent = (1..40)
        .filter(|n| !admitted(&offer(&mut quotas, 0, 0, 0, *n)).is_empty())
        .count();
    assert_eq!(
        lent, 17,
        "18 of 20 in flight, which is the limit for the class of low weight"
    );
    assert_eq!(
        admitted(&offer(&mut quotas, 0, 1, 1, 50)),
        [50],
        "the quota of the lender is not touched"
    );
}

#[test]
fn queued_request_of_greater_weight_starts_first_and_others_are_rejected_after_their_wait() {
    let mut quotas = quotas_at_limit();
    assert!(offer(&mut quotas, 0, 0, 1, 3).is_empty());
    let mut decisions = Vec::new();
    quotas.completed(1, 1, ServiceResult::Served, MS, &mut decisions);
    assert_eq!(admitted(&decisions), [3]);
    decisions.clear();
    assert_eq!(quotas.next_due(), Some(40 * MS));
    quotas.tick(40 * MS, &mut decisions);
    let rejected = only_over_quota(&decisions);
    assert_eq!(rejected.request, 2);
    assert!(rejected.retry_after > 0);
    assert_eq!(quotas.next_due(), None);
}

#[test]
fn full_queue_rejects_a_request_unless_it_displaces_one_of_less_weight() {
    let mut quotas = quotas_at_limit();
    for n in 3..6 {
        assert!(offer(&mut quotas, 0, 0, 0, n).is_empty());
    }
    let rejected = only_over_quota(&offer(&mut quotas, 0, 0, 0, 6));
    assert_eq!(rejected.request, 6);
    assert!(rejected.retry_after > 0);
    let displaced = only_over_quota(&offer(&mut quotas, 0, 0, 1, 7));
    assert_eq!(displaced.request, 5);
    assert_eq!(quotas.tenants[0].in_flight, 1);
    assert_eq!(quotas.tenants[0].queue.len(), 4);
}

/// While requests found no worker for a long time, the allowed rate of a noisy neighbour once shrank to zero: it is a
/// fraction of the rate of served requests, and all of those were its own.
#[test]
fn noisy_neighbour_is_never_starved() {
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
        for decision in std::mem::take(&mut decisions) {
            match decision {
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
    assert!(
        starts > 100,
        "only {starts} requests started in ten seconds"
    );
}

#[test]
fn request_over_the_rate_limit_is_rejected_until_the_next_token() {
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
        panic!("the request was not rejected over the rate limit")
    };
    assert!((99 * MS..=101 * MS).contains(&after), "{after}");
    assert_eq!(admitted(&offer(&mut quotas, after + MS, 0, 0, 4)), [4]);
}

/// The limit was once cut because requests found no worker. Slow loads then filled it, and requests were rejected
/// although no tenant asked for more than its quota.
#[test]
fn without_a_noisy_neighbour_the_limit_is_not_cut() {
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

/// However low the limit is, a tenant within its quota may start its requests.
#[test]
fn tenant_within_its_quota_is_admitted_beyond_a_low_limit() {
    let mut quotas = quotas(&[1.0, 1.0], 2.0);
    let mut decisions = Vec::new();
    for n in 0..200u64 {
        let now = n * 10 * MS;
        // One of ten requests belongs to the first tenant and lasts long. Those of the other end at once.
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
fn limit_is_cut_when_a_request_finds_no_worker_and_grows_back() {
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
        "there is only one cut within the interval"
    );
    quotas.tick(60 * SECOND, &mut decisions);
    quotas.tick(120 * SECOND, &mut decisions);
    assert!(quotas.limit.current() > 90.0, "{}", quotas.limit.current());
}
