//! One front end: its state, and the step that each event starts.
//!
//! The types that go in and out stand in `src/api.rs`.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{
    Action, Class, Event, FunctionId, LoadReport, RequestId, Settings, Time, WorkerId,
};
use crate::load_reports::{ASK_TOKEN, HELD_AGE};
use crate::maintenance::{CHORES, CHORES_TOKEN};
use crate::state::{mix, Health, Open, Program, RunningMean};
use crate::tier::{Tier, Times};

/// Nanoseconds in a millisecond.
pub(crate) const MS: Time = 1_000_000;
/// No length of time told or seen counts as longer, so that no sum overflows.
pub(crate) const LONGEST: Time = 3_600_000 * MS;

/// One front end.
#[derive(Debug, Default)]
pub struct FrontEnd {
    pub(crate) s: Settings,
    pub(crate) now: Time,
    pub(crate) seed: u64,
    pub(crate) nodes: Tier,
    pub(crate) programs: BTreeMap<FunctionId, Program>,
    pub(crate) open: BTreeMap<RequestId, Open>,
    /// Calls that wait for a worker to tell its load, by worker; some may be over.
    pub(crate) asking: BTreeMap<WorkerId, BTreeSet<RequestId>>,
    /// Mean run time of each class.
    pub(crate) class_run: Vec<Option<f64>>,
    /// Seen load time over the told one, and the mean load where none is told.
    pub(crate) load_stretch: f64,
    pub(crate) load_mean: Option<f64>,
    pub(crate) load_heard: Time,
    /// Health of what loads come from, and loads that failed since the last that was done.
    pub(crate) store: Health,
    pub(crate) failed_loads: u32,
    /// Arrivals and orders within the ration's window, arrivals within the rate span at least.
    pub(crate) arrivals: Times,
    pub(crate) orders: Times,
    pub(crate) next_round: Time,
    pub(crate) allowance: f64,
    /// Calls that a warm worker serves this front end, for each unit of time.
    pub(crate) warm_rate: f64,
    /// Its mean over a longer time.
    pub(crate) usual_warm_rate: RunningMean,
    /// Mean of what workers told to hold, and of how far runs were stretched there.
    pub(crate) held_seen: (f64, f64),
    /// Calls that may now be sent on a guess.
    pub(crate) guesses: f64,
    /// Zones that say nothing.
    pub(crate) zones: BTreeMap<String, Health>,
    /// Mean share of their worth that own sends lost: answered late, in error or not at all.
    pub(crate) lost: f64,
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut s = settings;
        if s.classes.is_empty() {
            s.classes.push(Class::default());
        }
        s.front_ends = s.front_ends.max(1);
        let (rules, loading) = (&mut s.slow_start, &mut s.loading);
        let window = loading.rate_limit.iter_mut().map(|r| &mut r.window);
        let told = [
            &mut s.tick,
            &mut rules.window,
            &mut rules.overload_window,
            &mut loading.keep_alive,
        ];
        let class = s.classes.iter_mut().flat_map(|c| {
            [
                &mut c.latency_objective,
                &mut c.client_timeout,
                &mut c.deduplication_window,
            ]
        });
        told.into_iter()
            .chain(window)
            .chain(class)
            .for_each(|t| *t = (*t).min(LONGEST));
        let (nodes, class_run, held_seen) =
            (Tier::new(HELD_AGE), vec![None; s.classes.len()], (6.0, 1.0));
        FrontEnd {
            nodes,
            class_run,
            s,
            seed,
            load_stretch: 1.0,
            held_seen,
            ..FrontEnd::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(Time::MAX >> 2));
        if self.next_round == 0 {
            self.next_round =
                self.now + self.interval() / 2 + mix(self.seed) % (self.interval() / 2);
            actions.push(Action::SetTimer {
                after: CHORES,
                token: CHORES_TOKEN,
            });
            actions.extend(self.s.watch_on_request.then_some(Action::WatchEndpoints));
        }
        match event {
            Event::Endpoints {
                update: kind,
                endpoints: entries,
            } => self.list(kind, entries, actions),
            Event::Arrived(call) => self.arrived(call, actions),
            Event::AttemptFinished(end) => {
                if end.load_report != LoadReport::default() {
                    self.told(&end.worker, Some(end.load_report), actions);
                }
                let ran = self.attempt_over(&end);
                self.outcome(&end, ran, actions);
            }
            Event::Streaming { request } => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.streaming = true;
                }
            }
            Event::ClientCancelled { request } => {
                if let Some(open) = self.open.remove(&request) {
                    self.withdraw(request, &open, actions);
                }
            }
            Event::LoadFinished(reply) => self.ordered(&reply, actions),
            Event::Timer {
                token: CHORES_TOKEN,
            } => self.chores(actions),
            Event::LoadPolled {
                worker,
                answered,
                report: load,
            } => self.told(&worker, answered.then_some(load), actions),
            Event::Timer { token } if token & ASK_TOKEN > 0 => {
                if let Some(worker) = self
                    .open
                    .get(&(token & !ASK_TOKEN))
                    .and_then(|o| o.asks.clone())
                {
                    self.told(&worker, None, actions);
                }
            }
            Event::Timer { token } => {
                // The client's time may be all but over.
                let over = |o: &Open| !o.streaming && self.now + 3 * self.s.tick >= o.deadline;
                if self.open.get(&token).is_some_and(over) {
                    self.end(token, actions);
                }
            }
            Event::Peer { .. } => {}
        }
    }
}
