//! Compares the sets and sums of the table with a scan of all workers.

mod model;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use self::model::{
    CLASSES, ERROR_RATE_GAIN, HALF_LIFE, LoadFlags, NaiveReport, NaiveWorker, Step, attempt, name,
    oldest_attempt_ended, step,
};
use super::{WorkerGuard, WorkerTable};
use crate::api::{Endpoint, EndpointState, FunctionId, LoadReport, Time, WorkerId};
use crate::attempt::Attempt;
use crate::load_reports::ReportedLoad;
use crate::service_lease::WriteBounds;
use crate::worker::WorkerState;

fn ids<'a>(workers: impl Iterator<Item = &'a WorkerState>) -> Vec<WorkerId> {
    workers
        .map(|worker| worker.endpoint().worker.clone())
        .collect()
}

fn is_ready(worker: &NaiveWorker) -> bool {
    worker.endpoint.state == EndpointState::Ready
}

/// The table, and the same workers in a naive model.
struct Comparison {
    table: WorkerTable,
    model: BTreeMap<WorkerId, NaiveWorker>,
    now: Time,
    /// The last time passed to [`WorkerTable::started_since`], which must never decrease.
    since: Time,
}

impl Comparison {
    fn apply(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::UpdateEndpoint {
                worker,
                state,
                zone,
                started,
            } => self.update_endpoint(worker, state, zone, started),
            Step::RemoveAllBut { kept } => self.remove_all_but(kept),
            Step::SendAttempt { worker, flags } => self.change(worker, |worker, naive| {
                worker.attempts.push(attempt(flags));
                naive.in_flight.push(flags);
            }),
            Step::EndAttempt { worker } => self.change(worker, |state, naive| {
                let ended = state.attempts.finish(&oldest_attempt_ended(worker), now);
                assert_eq!(ended.is_some(), !naive.in_flight.is_empty());
                naive.in_flight.drain(..naive.in_flight.len().min(1));
                state.responses.record(now);
                naive.last_response_at = now;
            }),
            Step::Answer { worker, count } => self.change(worker, |worker, naive| {
                worker.responses.forget_older(0, now + 1);
                for _ in 0..count {
                    worker.responses.record_answer(0, now);
                    naive.last_response_at = now;
                }
                naive.answers = count.into();
            }),
            Step::HoldReplica {
                worker,
                function,
                load_requested,
            } => self.hold_replica(worker, function, load_requested),
            Step::ForgetReplica { worker, function } => self.change(worker, |worker, naive| {
                worker.replicas.remove(FunctionId(function.into()));
                naive.replicas.remove(&FunctionId(function.into()));
            }),
            Step::Report { worker, in_flight } => self.report(worker, in_flight),
            Step::RecordErrors {
                worker,
                class,
                errors,
            } => self.record_errors(worker, class.into(), errors),
            Step::Restart { worker } => self.restart(worker),
            Step::ForgetRemoved => {
                self.table.forget_removed();
                self.model.retain(|_, p| {
                    p.endpoint.state != EndpointState::Removed || !p.in_flight.is_empty()
                });
            }
            Step::ForgetFormerHolders => self.table.forget_former_holders(),
            Step::AdvanceTime { time } => self.now += Time::from(time),
        }
    }

    /// Updates the worker's endpoint with a later start time.
    fn restart(&mut self, worker: u8) {
        self.change(worker, |worker, naive| {
            let restarted = Endpoint {
                started_at: Some(worker.endpoint().started_at.map_or(0, |time| time + 1)),
                ..worker.endpoint().clone()
            };
            worker.update_endpoint(restarted.clone(), WriteBounds::default());
            naive.update_endpoint(restarted);
        });
    }

    fn update_endpoint(&mut self, worker: u8, state: u8, zone: u8, started: Option<u16>) {
        let states = [
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        let zones = ["", "a", "b", "zone with a name"];
        let endpoint = Endpoint {
            worker: name(worker),
            state: states[usize::from(state)],
            zone: zones[usize::from(zone)].to_string(),
            started_at: started.map(Time::from),
            ..Endpoint::default()
        };
        let is_new = !self.model.contains_key(&endpoint.worker);
        self.table
            .get_or_add(&endpoint, CLASSES)
            .update_endpoint(endpoint.clone(), WriteBounds::default());
        let naive = self.model.entry(name(worker)).or_default();
        if is_new {
            naive.endpoint = endpoint;
        } else {
            naive.update_endpoint(endpoint);
        }
    }

    fn remove_all_but(&mut self, kept: u8) {
        let lost = |w: &WorkerId| *w != name(kept);
        self.table.change_where(
            |worker| lost(&worker.endpoint().worker),
            |worker| worker.mark_removed(WriteBounds::default()),
        );
        self.model
            .iter_mut()
            .filter(|(w, _)| lost(w))
            .for_each(|(_, p)| p.endpoint.state = EndpointState::Removed);
    }

    fn hold_replica(&mut self, worker: u8, function: u8, load_requested: bool) {
        let function = FunctionId(function.into());
        self.change(worker, |worker, naive| {
            worker.replicas_of(function).load_requested = false;
            if load_requested {
                worker.replicas.record_load_command(function);
            }
            naive.replicas.insert(function, load_requested);
        });
    }

    /// Records one answer at a worker and then consecutive errors, each of another function.
    fn record_errors(&mut self, worker: u8, class: usize, errors: u8) {
        let now = self.now;
        let flags = LoadFlags {
            cold_start: false,
            unconfirmed: false,
            adds_replica: false,
        };
        self.change(worker, |worker, naive| {
            worker.outliers.record_answer(class);
            naive.error_rates[class] -= ERROR_RATE_GAIN * naive.error_rates[class];
            for _ in 0..errors {
                let failed = Attempt {
                    function: FunctionId(naive.errors.into()),
                    class,
                    ..attempt(flags)
                };
                worker.outliers.record_error(&failed, 0.0, now);
                naive.errors += 1;
                naive.error_rates[class] += ERROR_RATE_GAIN * (1.0 - naive.error_rates[class]);
            }
        });
    }

    fn report(&mut self, worker: u8, in_flight: f64) {
        let now = self.now;
        self.change(worker, |worker, naive| {
            let report = LoadReport {
                in_flight: Some(in_flight),
                ..LoadReport::default()
            };
            worker.load_report = ReportedLoad::default();
            worker.load_report.record(Some(report), now);
            naive.load_report = NaiveReport {
                received_at: now,
                in_flight,
            };
        });
    }

    fn change(&mut self, worker: u8, change: impl FnOnce(&mut WorkerGuard<'_>, &mut NaiveWorker)) {
        let (worker, naive) = (
            self.table.get_mut(&name(worker)),
            self.model.get_mut(&name(worker)),
        );
        assert_eq!(
            worker.is_some(),
            naive.is_some(),
            "the worker is known to only one of table and model"
        );
        if let Some((mut worker, naive)) = worker.zip(naive) {
            change(&mut worker, naive);
        }
    }

    fn matching(&self, holds: impl Fn(&NaiveWorker) -> bool) -> Vec<WorkerId> {
        self.model
            .values()
            .filter(|p| holds(p))
            .map(|p| p.endpoint.worker.clone())
            .collect()
    }

    fn compare(&mut self) {
        self.compare_sets();
        self.compare_zones();
        self.compare_sums();
        self.compare_error_rates();
    }

    fn compare_sets(&mut self) {
        assert_eq!(self.table.ready_count(), self.matching(is_ready).len());
        let recent = self.matching(|p| !p.in_flight.is_empty() || p.answers > 0);
        assert_eq!(ids(self.table.active()), recent);
        let loads = |p: &NaiveWorker| {
            p.in_flight.iter().any(|flags| flags.may_load()) || p.replicas.values().any(|o| *o)
        };
        assert_eq!(ids(self.table.loading()), self.matching(loads));
        let mut holding = Vec::new();
        self.table
            .change_with_replicas(|n| holding.push(n.endpoint().worker.clone()));
        assert_eq!(holding, self.matching(|p| !p.replicas.is_empty()));
        for function in (0..6).map(FunctionId) {
            let maybe = self
                .table
                .holders(function)
                .filter(|n| n.replicas.contains(function));
            assert_eq!(
                ids(maybe),
                self.matching(|p| p.replicas.contains_key(&function))
            );
        }
    }

    fn compare_zones(&self) {
        let zones: BTreeSet<&str> = self
            .model
            .values()
            .map(|p| p.endpoint.zone.as_str())
            .collect();
        assert_eq!(self.table.zone_count(), zones.len());
        for zone in ["", "a", "b", "zone with a name", "none"] {
            let here = |p: &NaiveWorker| p.endpoint.zone == zone;
            let last_response = self
                .model
                .values()
                .filter(|p| here(p))
                .map(|p| p.last_response_at)
                .max();
            assert_eq!(self.table.last_response_in(zone), last_response, "{zone}");
            let busy = self.matching(|p| here(p) && !p.in_flight.is_empty());
            assert_eq!(self.table.busy_zones().any(|z| z == zone), !busy.is_empty());
            assert_eq!(ids(self.table.busy_in(zone)), busy);
        }
    }

    fn compare_sums(&mut self) {
        self.since = self.since.max(self.now / 100);
        let started = self
            .matching(|p| is_ready(p) && p.endpoint.started_at.is_some_and(|t| t >= self.since))
            .len();
        assert_eq!(self.table.started_since(self.since), started);
        let known = || {
            self.model
                .values()
                .filter(|p| is_ready(p) && p.load_report.received_at > 0)
        };
        let decay = |p: &NaiveWorker| {
            0.5f64.powf((self.now - p.load_report.received_at) as f64 / HALF_LIFE as f64)
        };
        let sum: f64 = known()
            .map(|p| 1.0 + (p.load_report.in_flight - 1.0).max(0.0) * decay(p))
            .sum();
        let mean = sum / known().count().max(1) as f64;
        assert!(
            (self.table.mean_reported_in_flight(self.now) - mean).abs() < 1e-9,
            "mean of reported requests in flight: table {}, model {mean}",
            self.table.mean_reported_in_flight(self.now)
        );
    }

    fn compare_error_rates(&mut self) {
        let all: Vec<WorkerId> = self.model.keys().cloned().collect();
        for (worker, class) in all.iter().flat_map(|w| [(w, 0), (w, 1)]) {
            let others = || {
                self.model
                    .values()
                    .filter(|p| is_ready(p) && p.endpoint.worker != *worker)
            };
            let mean = others().map(|p| p.error_rates[class]).sum::<f64>()
                / others().count().max(1) as f64;
            let indexed = self
                .table
                .get_mut(worker)
                .map_or(-1.0, |n| n.mean_error_rate_of_others(class));
            assert!(
                (indexed - mean).abs() < 1e-12,
                "mean error rate of the others: table {indexed}, model {mean}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn the_index_equals_a_scan_of_all_workers(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut comparison = Comparison {
            table: WorkerTable::new(HALF_LIFE),
            model: BTreeMap::new(),
            now: 1,
            since: 0,
        };
        for step in steps {
            comparison.apply(step);
            comparison.compare();
        }
    }

    #[test]
    fn the_ring_yields_the_ready_workers_that_come_next(
        count in 0u8..60,
        from in any::<u64>(),
        max in 0usize..70,
    ) {
        let mut table = WorkerTable::new(HALF_LIFE);
        let mut hashes = BTreeMap::new();
        for worker in 0..count {
            let state = if worker % 5 == 4 {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            };
            let endpoint = Endpoint { worker: name(worker), state, ..Endpoint::default() };
            let hash = table.get_or_add(&endpoint, 1).hash();
            if state == EndpointState::Ready {
                hashes.insert(hash, endpoint.worker);
            }
        }
        let next = hashes.range(from..).chain(hashes.range(..from)).take(max);
        let expected: Vec<(u64, &WorkerId)> = next.map(|(h, w)| (*h, w)).collect();
        prop_assert_eq!(table.ring_from(from, max).collect::<Vec<_>>(), expected);
    }
}
