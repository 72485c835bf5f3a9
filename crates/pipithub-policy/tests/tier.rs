//! What the tier keeps as things happen is what a look at every worker would find.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

// The tier is no part of the crate's interface, so its very files are taken in here.
mod api {
    pub(crate) use pipithub_policy::api::*;
}
mod work {
    pub(crate) use pipithub_policy::work::*;
}
#[allow(dead_code, unreachable_pub, unused_imports)]
#[path = "../src/state.rs"]
mod state;
#[allow(dead_code, unreachable_pub)]
#[path = "../src/tier.rs"]
mod tier;

use api::*;
use state::{Attempt, Health, ReportedLoad};
use tier::{EventTimes, WorkerPool};

const HALF_LIFE: Time = 20_000;
const CLASSES: usize = 2;

/// A worker as the naive form remembers it.
#[derive(Debug, Default)]
struct Plain {
    entry: Endpoint,
    out: Vec<(bool, bool, bool)>,
    served: usize,
    copies: BTreeMap<FunctionId, bool>,
    told: (Time, f64),
    heard: Time,
    errors: [f64; CLASSES],
}

#[derive(Clone, Debug)]
enum Step {
    Enter {
        worker: u8,
        state: u8,
        zone: u8,
        started: Option<u16>,
    },
    LoseAll {
        but: u8,
    },
    Send {
        worker: u8,
        flags: (bool, bool, bool),
    },
    End {
        worker: u8,
    },
    Served {
        worker: u8,
        count: u8,
    },
    Copy {
        worker: u8,
        function: u8,
        ordered: bool,
    },
    Forget {
        worker: u8,
        function: u8,
    },
    Told {
        worker: u8,
        held: f64,
    },
    Errors {
        worker: u8,
        class: u8,
        share: f64,
    },
    Restart {
        worker: u8,
    },
    ForgetGone,
    ForgetHolders,
    Pass {
        time: u32,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let worker = 0u8..14;
    prop_oneof![
        4 => (worker.clone(), 0u8..5, 0u8..4, proptest::option::of(0u16..5_000))
            .prop_map(|(worker, state, zone, started)| Step::Enter { worker, state, zone, started }),
        1 => (0u8..14).prop_map(|but| Step::LoseAll { but }),
        4 => (worker.clone(), any::<(bool, bool, bool)>()).prop_map(|(worker, flags)| Step::Send { worker, flags }),
        3 => worker.clone().prop_map(|worker| Step::End { worker }),
        2 => (worker.clone(), 0u8..3).prop_map(|(worker, count)| Step::Served { worker, count }),
        3 => (worker.clone(), 0u8..6, any::<bool>())
            .prop_map(|(worker, function, ordered)| Step::Copy { worker, function, ordered }),
        2 => (worker.clone(), 0u8..6).prop_map(|(worker, function)| Step::Forget { worker, function }),
        3 => (worker.clone(), 0.0..90.0f64).prop_map(|(worker, held)| Step::Told { worker, held }),
        2 => (worker.clone(), 0u8..2, 0.0..1.0f64)
            .prop_map(|(worker, class, share)| Step::Errors { worker, class, share }),
        1 => worker.prop_map(|worker| Step::Restart { worker }),
        2 => Just(Step::ForgetGone),
        1 => Just(Step::ForgetHolders),
        2 => prop_oneof![9 => 0u32..300_000, 1 => Just(200 * HALF_LIFE as u32)].prop_map(|time| Step::Pass { time }),
    ]
}

fn name(worker: u8) -> WorkerId {
    WorkerId::new(&format!("10.0.0.{worker}:80"))
}

fn sent((cold, unproven, adds): (bool, bool, bool)) -> Attempt {
    let (request, attempt, function, class) = (1, 0, FunctionId(1), 0);
    let (at, due, goal, aim, run) = (0, 0, 0, 0, 0.0);
    let (same, crowd, withdrawn) = (1.0, 1.0, false);
    Attempt {
        request,
        attempt,
        function,
        class,
        sent_at: at,
        predicted_finish: due,
        target_deadline: goal,
        run_time: run,
        latency_objective: aim,
        cold_start: cold,
        unconfirmed: unproven,
        adds_replica: adds,
        function_concurrency: same,
        concurrency: crowd,
        cancelled: withdrawn,
    }
}

struct Both {
    tier: WorkerPool,
    plain: BTreeMap<WorkerId, Plain>,
    now: Time,
    /// The latest moment that was asked about: it never goes back.
    since: Time,
}

impl Both {
    fn play(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Enter {
                worker,
                state,
                zone,
                started,
            } => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][state as usize];
                let zone = ["", "a", "b", "zone with a name"][zone as usize].to_string();
                let started = started.map(Time::from);
                let entry = Endpoint {
                    worker: name(worker),
                    state,
                    zone,
                    started_at: started,
                    ..Endpoint::default()
                };
                self.tier.get_or_add(&entry, CLASSES).endpoint = entry.clone();
                self.plain.entry(name(worker)).or_default().entry = entry;
            }
            Step::LoseAll { but } => {
                let lost = |w: &WorkerId| *w != name(but);
                self.tier.change_where(
                    |n| lost(&n.endpoint.worker),
                    |n| n.endpoint.state = EndpointState::Removed,
                );
                self.plain
                    .iter_mut()
                    .filter(|(w, _)| lost(w))
                    .for_each(|(_, p)| p.entry.state = EndpointState::Removed);
            }
            Step::Send { worker, flags } => self.both(worker, |node, plain| {
                node.in_flight.push(sent(flags));
                plain.out.push(flags);
            }),
            Step::End { worker } => self.both(worker, |node, plain| {
                node.in_flight.pop();
                plain.out.pop();
                node.last_response_at = now;
                plain.heard = now;
            }),
            Step::Served { worker, count } => self.both(worker, |node, plain| {
                node.recent_answers = (0..count).map(|_| (now, 0)).collect();
                plain.served = count.into();
            }),
            Step::Copy {
                worker,
                function,
                ordered,
            } => self.both(worker, |node, plain| {
                let function = FunctionId(function.into());
                node.replicas_of(function).load_requested = ordered;
                // As the one place that orders does.
                node.may_have_load_commands |= ordered;
                plain.copies.insert(function, ordered);
            }),
            Step::Forget { worker, function } => self.both(worker, |node, plain| {
                node.replicas.remove(&FunctionId(function.into()));
                plain.copies.remove(&FunctionId(function.into()));
            }),
            Step::Told { worker, held } => self.both(worker, |node, plain| {
                node.load_report = ReportedLoad {
                    received_at: now,
                    in_flight: held,
                    cpu_utilization: 0.0,
                    mean_in_flight: held,
                };
                plain.told = (now, held);
            }),
            Step::Errors {
                worker,
                class,
                share,
            } => self.both(worker, |node, plain| {
                node.health[class as usize].error_rate = share;
                plain.errors[class as usize] = share;
            }),
            Step::Restart { worker } => self.both(worker, |node, plain| {
                node.replicas.clear();
                node.health = vec![Health::default(); CLASSES];
                plain.copies.clear();
                plain.errors = [0.0; CLASSES];
            }),
            Step::ForgetGone => {
                self.tier.forget_removed();
                self.plain
                    .retain(|_, p| p.entry.state != EndpointState::Removed || !p.out.is_empty());
            }
            Step::ForgetHolders => self.tier.forget_former_holders(),
            Step::Pass { time } => self.now += Time::from(time),
        }
    }

    fn both(&mut self, worker: u8, change: impl FnOnce(&mut tier::WorkerGuard<'_>, &mut Plain)) {
        let (node, plain) = (
            self.tier.get_mut(&name(worker)),
            self.plain.get_mut(&name(worker)),
        );
        assert_eq!(node.is_some(), plain.is_some(), "known to one alone");
        if let Some((mut node, plain)) = node.zip(plain) {
            change(&mut node, plain);
        }
    }

    fn that(&self, holds: impl Fn(&Plain) -> bool) -> Vec<WorkerId> {
        self.plain
            .values()
            .filter(|p| holds(p))
            .map(|p| p.entry.worker.clone())
            .collect()
    }

    fn compare(&mut self) {
        let names = |nodes: Vec<&state::WorkerState>| -> Vec<WorkerId> {
            nodes
                .into_iter()
                .map(|n| n.endpoint.worker.clone())
                .collect()
        };
        let live = |p: &Plain| p.entry.state == EndpointState::Ready;
        assert_eq!(self.tier.ready_count(), self.that(live).len());
        let recent = self.that(|p| !p.out.is_empty() || p.served > 0);
        assert_eq!(names(self.tier.active().collect()), recent);
        let loads =
            |p: &Plain| p.out.iter().any(|s| s.0 || s.1 || s.2) || p.copies.values().any(|o| *o);
        assert_eq!(names(self.tier.loading().collect()), self.that(loads));
        let mut holding = Vec::new();
        self.tier
            .change_with_replicas(|n| holding.push(n.endpoint.worker.clone()));
        assert_eq!(holding, self.that(|p| !p.copies.is_empty()));
        for function in (0..6).map(FunctionId) {
            let maybe = self
                .tier
                .holders(function)
                .filter(|n| n.replicas.contains_key(&function))
                .collect();
            assert_eq!(
                names(maybe),
                self.that(|p| p.copies.contains_key(&function))
            );
        }
        let zones: BTreeSet<&str> = self.plain.values().map(|p| p.entry.zone.as_str()).collect();
        assert_eq!(self.tier.zone_count(), zones.len());
        for zone in ["", "a", "b", "zone with a name", "none"] {
            let here = |p: &Plain| p.entry.zone == zone;
            let heard = self
                .plain
                .values()
                .filter(|p| here(p))
                .map(|p| p.heard)
                .max();
            assert_eq!(self.tier.last_response_in(zone), heard, "{zone}");
            let busy = self.that(|p| here(p) && !p.out.is_empty());
            assert_eq!(self.tier.busy_zones().any(|z| z == zone), !busy.is_empty());
            assert_eq!(names(self.tier.busy_in(zone).collect()), busy);
        }
        self.since = self.since.max(self.now / 100);
        let started = self
            .that(|p| live(p) && p.entry.started_at.is_some_and(|t| t >= self.since))
            .len();
        assert_eq!(self.tier.started_since(self.since), started);
        let known = || self.plain.values().filter(|p| live(p) && p.told.0 > 0);
        let fade = |p: &Plain| 0.5f64.powf((self.now - p.told.0) as f64 / HALF_LIFE as f64);
        let sum: f64 = known()
            .map(|p| 1.0 + (p.told.1 - 1.0).max(0.0) * fade(p))
            .sum();
        let mean = sum / known().count().max(1) as f64;
        assert!(
            (self.tier.mean_reported_in_flight(self.now) - mean).abs() < 1e-9,
            "{} {mean}",
            self.tier.mean_reported_in_flight(self.now)
        );
        let all: Vec<WorkerId> = self.plain.keys().cloned().collect();
        for (worker, class) in all.iter().flat_map(|w| [(w, 0), (w, 1)]) {
            let others = || {
                self.plain
                    .values()
                    .filter(|p| live(p) && p.entry.worker != *worker)
            };
            let mean =
                others().map(|p| p.errors[class]).sum::<f64>() / others().count().max(1) as f64;
            let kept = self
                .tier
                .get_mut(worker)
                .map_or(-1.0, |n| n.mean_error_rate_of_others(class));
            assert!((kept - mean).abs() < 1e-12, "{kept} {mean}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn what_is_kept_is_what_a_look_at_all_would_find(steps in proptest::collection::vec(step(), 1..120)) {
        let mut both = Both { tier: WorkerPool::new(HALF_LIFE), plain: BTreeMap::new(), now: 1, since: 0 };
        for step in steps {
            both.play(step);
            both.compare();
        }
    }

    #[test]
    fn the_ring_gives_those_that_come_next(count in 0u8..60, from in any::<u64>(), most in 0usize..70) {
        let mut tier = WorkerPool::new(HALF_LIFE);
        let mut hashes = BTreeMap::new();
        for worker in 0..count {
            let state = if worker % 5 == 4 { EndpointState::Draining } else { EndpointState::Ready };
            let entry = Endpoint { worker: name(worker), state, ..Endpoint::default() };
            let hash = tier.get_or_add(&entry, 1).hash;
            if state == EndpointState::Ready {
                hashes.insert(hash, entry.worker);
            }
        }
        let next = hashes.range(from..).chain(hashes.range(..from)).take(most);
        let expected: Vec<(u64, &WorkerId)> = next.map(|(h, w)| (*h, w)).collect();
        prop_assert_eq!(tier.ring_from(from, most).collect::<Vec<_>>(), expected);
    }

    #[test]
    fn moments_are_counted_as_by_a_look_at_each(gaps in proptest::collection::vec(0u64..50, 0..60),
                                                marks in proptest::collection::vec(0u64..1_500, 1..8)) {
        let mut times = EventTimes::default();
        let mut all: Vec<Time> = Vec::new();
        for gap in gaps {
            all.push(all.last().copied().unwrap_or(0) + gap);
            times.push(*all.last().unwrap());
        }
        for mark in marks {
            prop_assert_eq!(times.since(mark), all.iter().filter(|t| **t >= mark).count());
            times.forget_before(mark / 2);
            all.retain(|t| *t >= mark / 2);
        }
    }
}
