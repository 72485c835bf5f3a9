//! The decisions of one front end. The types that go in and out stand in `src/api.rs`.
//!
//! A request goes to the first worker in a shared hash order whose replayed queue of this front end's
//! own sends, any load counted, still meets every deadline; else it is refused unsent. No clock, thread
//! or I/O: equal events give equal actions. Plain data stands in `src/state.rs`.

pub(crate) use super::state::FrontEnd;
use super::state::{Copies, Foreseen, Health, Node, Open, Sent, Told, draw, mix};
use pipithub_policy::api::{
    Action, AttemptFinished, Class, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate,
    Event, FunctionId, Idempotency, LoadFinished, LoadReport, Outcome, ReplicaStatus, Request,
    RequestId, Settings, Time, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Nanoseconds in a millisecond.
const MS: Time = 1_000_000;
/// No length of time told or seen counts as longer, so that no sum overflows.
const LONGEST: Time = 3_600_000 * MS;
/// Housekeeping period: short beside any aim, long beside a tick.
const CHORES: Time = 50 * MS;
/// Token of the housekeeping timer; request ids stay far below.
const CHORES_TOKEN: u64 = 1 << 62;
/// Run time, as a share of the aim, believed of a class before its first answer.
const FIRST_RUN: f64 = 0.15;
/// Load time, as a multiple of the aim, believed before any load was seen or told.
const FIRST_LOAD: f64 = 1.0;
/// Weight of a new sample in a function's run time: about its last twenty answers; and, in a large tier, of
/// one above the mean beside one below it.
const RUN_GAIN: f64 = 0.05;
const DOUBT: f64 = 0.2;
/// A function's run time counts for no more than this multiple of its class's.
const RUN_MOST: f64 = 3.0;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
const ASK_TOKEN: u64 = 1 << 61;
const ASK_WAIT: Time = 30 * MS;
const ASKS_MOST: u32 = 3;
/// What asking first saves of a call's worth, as a multiple of the chance that one worker fails it and the
/// next does not.
const ASK_SAVES: f64 = 0.2;
/// Among more front ends than this, own sends tell too little of the queues.
const OWN_VIEW: u32 = 8;
/// Word of a worker's load, or an answer from it, is fresh for so long.
const FRESH: Time = 700 * MS;
/// Weight of a new sample in the number of homes that a function needs in a large tier.
const SPREAD_GAIN: f64 = 0.3;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const EASE: i32 = 4;
const EASE_AMONG: usize = 4;
const HELD_GAIN: f64 = 0.5;
const HELD_AGE: Time = 20_000 * MS;
/// A worker whose cores are told to be busier than this has a queue: it is second choice.
const BUSY: f64 = 0.95;
/// Calls that may be sent on a guess that others hold a copy, for each call taken, and the most saved up.
const GUESS_SHARE: f64 = 0.5;
const GUESSES_MOST: f64 = 8.0;
/// Weight of a new sample in a worker's pace: about its last seven, so a slow-down shows in time.
const PACE_GAIN: f64 = 0.15;
/// No sample counts for more than this many times what was expected: one heavy call is no bad worker.
const SAMPLE_CAP: f64 = 4.0;
/// The newcomer's own run is padded so much: served times have tails, the replay knows averages.
const PAD: f64 = 1.6;
/// A pace that no answer refreshes goes half the way back to the usual in this time.
const PACE_AGE: Time = 3_000 * MS;
/// A send is overdue at this multiple of what was foreseen; a worker is silent when more of a class's sends
/// are than it has answered since the first of them, and at least so many.
const SILENCE_STRETCH: f64 = 3.0;
const SILENT_SENDS: usize = 3;
/// A worker that turns a call away is held to this share of its own sends; each answer gives back so much.
const ROOM_CUT: f64 = 0.7;
const ROOM_RISE: f64 = 0.1;
/// Loads that may be under way for each worker: with one, a lost zone's functions came back too slowly.
const LOADS_MOST: usize = 4;
/// The most late calls to wait at one worker for a load: they must not fill its queue.
const LATE_MOST: usize = 8;
/// The share of a worker's memory that believed copies fill before a further one evicts: others run too.
const MEMORY_FILL: f64 = 0.5;
/// Connections failed, with no answer between, before a worker is left alone; one more: its copies are lost.
const STRIKES: u32 = 2;
/// A worker is in trouble when this share of its last ends are errors, and so many times that of the others.
const ERRORS_MOST: f64 = 0.35;
const ERRORS_WORSE: f64 = 2.0;
/// First time that a worker in trouble is left alone, and how often it doubles at most: the way back.
const SHUT_FIRST: Time = 500 * MS;
const SHUT_STEPS: u32 = 3;
/// The share of its part of a cold worker's budget that this front end spends; and where that part is under
/// one send, so that chance does not overdraw the sum, drawn so many times a span.
const COLD_SAFETY: f64 = 0.75;
const COLD_SHARE: f64 = 0.35;
const COLD_SLOTS: Time = 2;
/// Time over which sends are counted to learn what a warm worker takes.
const RATE_SPAN: Time = 4_000 * MS;
/// The least that it is held to take, as a share of the arrivals for each live worker: repeats swell those.
const RATE_FLOOR: f64 = 0.25;
/// The most of the placed copies replaced in a round (the paper's cap).
const REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The paper's replacement interval; the told keep-alive shortens it.
const INTERVAL_MOST: Time = 30_000 * MS;
/// Misses of a function at a worker, within an interval, before a further worker is made to hold it.
const MISSES_TO_SPREAD: u32 = 2;
/// A function that was not called for so many intervals is forgotten.
const FORGET_INTERVALS: u64 = 6;

// ---- worker list and health ----

impl Health {
    /// Leaves the worker alone for a while, longer each time.
    fn shut(&mut self, now: Time) {
        self.since = now;
        self.shut_until = now + (SHUT_FIRST << self.bad.min(SHUT_STEPS));
        self.bad = (self.bad + 1).min(SHUT_STEPS + 1);
    }
}

/// A stretch last heard of some time ago: it fades to the usual, so no bad spell is believed for ever.
fn faded(stretch: f64, age: Time) -> f64 {
    1.0 + (stretch - 1.0) * 0.5f64.powf(age as f64 / PACE_AGE as f64)
}

impl Sent {
    /// Whether its answer is so late that it counts as silence.
    fn overdue(&self, now: Time) -> bool {
        now > self.at + (self.due.saturating_sub(self.at) as f64 * SILENCE_STRETCH) as Time
    }
}

impl Node {
    /// Takes in how far a run was stretched here, and beside how many own sends.
    fn learn_pace(&mut self, ratio: f64, crowd: f64) {
        self.pace += PACE_GAIN * (ratio - self.pace);
        self.crowd += PACE_GAIN * (crowd - self.crowd);
    }

    /// What a run is stretched by with so many own sends there: the usual when empty, the pace seen at
    /// the queue it was seen with, and beyond that in proportion. An emptied worker is soon trusted.
    fn stretch(&self, now: Time, sends: usize) -> f64 {
        let pace = faded(self.pace, now.saturating_sub(self.heard));
        let part = sends as f64 / self.crowd.max(2.0);
        if part > 1.0 {
            pace * part
        } else {
            pace.min(1.0) + (pace - pace.min(1.0)) * part
        }
    }
}

impl FrontEnd {
    /// A front end that knows nothing but its settings.
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
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
        let class_run = vec![None; s.classes.len()];
        FrontEnd {
            class_run,
            s,
            seed,
            load_stretch: 1.0,
            held_seen: (6.0, 1.0),
            ..FrontEnd::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub(crate) fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(Time::MAX >> 2));
        if self.next_round == 0 {
            self.next_round =
                self.now + self.interval() / 2 + mix(self.seed) % (self.interval() / 2);
            actions.push(Action::SetTimer {
                after: CHORES,
                token: CHORES_TOKEN,
            });
            if self.s.watch_on_request {
                actions.push(Action::WatchEndpoints);
            }
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
                self.open.entry(request).and_modify(|o| o.streaming = true);
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
            } => {
                self.told(&worker, Some(load).filter(|_| answered), actions);
            }
            Event::Timer { token } if token & ASK_TOKEN > 0 => {
                if let Some(worker) = self
                    .open
                    .get(&RequestId(token & !ASK_TOKEN))
                    .and_then(|o| o.asks.clone())
                {
                    self.told(&worker, None, actions);
                }
            }
            Event::Timer { token } => {
                // The client's time may be all but over.
                let over = |o: &Open| !o.streaming && self.now + 3 * self.s.tick >= o.deadline;
                if self.open.get(&RequestId(token)).is_some_and(over) {
                    self.end(RequestId(token), actions);
                }
            }
            Event::Peer { .. } => {}
        }
    }

    fn list(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>, actions: &mut Vec<Action>) {
        if kind == EndpointUpdate::Lost {
            if self.s.watch_on_request {
                actions.push(Action::WatchEndpoints);
            }
            return;
        }
        if kind != EndpointUpdate::Delta {
            let named: BTreeSet<&WorkerId> = entries.iter().map(|e| &e.worker).collect();
            for node in self
                .nodes
                .values_mut()
                .filter(|n| !named.contains(&n.entry.worker))
            {
                node.entry.state = EndpointState::Removed;
            }
        }
        let classes = self.s.classes.len();
        for mut entry in entries {
            entry.started_at = entry.started_at.map(|t| t.min(Time::MAX >> 2));
            let node = self
                .nodes
                .entry(entry.worker.clone())
                .or_insert_with(|| Node::new(entry.clone(), classes));
            if node.entry.started_at != entry.started_at {
                // A process that started anew holds nothing and has no past.
                node.copies.clear();
                (node.pace, node.crowd, node.room, node.strikes) = (1.0, 1.0, f64::INFINITY, 0);
                node.health = vec![Health::default(); classes];
            }
            node.entry = entry;
        }
        self.nodes
            .retain(|_, n| n.entry.state != EndpointState::Removed || !n.out.is_empty());
    }

    /// The workers that may be sent work, in the function's order: the same at every front end. In a large
    /// tier a function that fills one home has several: each front end begins at one of them, drawn once for
    /// all, so that no home is full while the next ones idle, and each front end has few workers to meet.
    fn order(&self, function: FunctionId) -> Vec<WorkerId> {
        let live = self
            .nodes
            .iter()
            .filter(|(_, n)| n.entry.state == EndpointState::Ready);
        let mut ranked: Vec<_> = live
            .map(|(w, n)| (mix(n.hash ^ mix(function.0)), w))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<WorkerId> = ranked.into_iter().map(|(_, w)| w.clone()).collect();
        let homes = self.programs.get(&function).map_or(0.0, |p| p.homes);
        if self.blind() && homes > 1.0 && !order.is_empty() {
            let draw = draw(self.seed ^ mix(function.0));
            // Of several homes one in the own zone, where there is one: crossing costs time and more.
            let all = 0..(homes as usize).min(order.len());
            let near: Vec<usize> = all
                .filter(|i| self.nodes[&order[*i]].entry.zone == self.s.zone)
                .collect();
            let any = ((draw * homes) as usize).min(order.len() - 1);
            let first = near
                .get((draw * near.len() as f64) as usize)
                .copied()
                .unwrap_or(any);
            order[..=first].rotate_right(1);
        }
        if self.blind() && !order.is_empty() {
            // Wanted functions may share a home by chance, and it stays full while others idle: each front
            // end that was told so draws, once for all, whether it still begins there.
            let known = || {
                self.nodes
                    .values()
                    .filter(|n| n.entry.state == EndpointState::Ready && n.told.at > 0)
            };
            let mean =
                known().map(|n| self.usually_holds(n)).sum::<f64>() / known().count().max(1) as f64;
            let stays = |w: &WorkerId| {
                let node = &self.nodes[w];
                let share = (mean / self.usually_holds(node)).powi(EASE);
                node.told.at == 0 || draw(self.seed ^ mix(function.0) ^ node.hash) <= share
            };
            let first = order.iter().take(EASE_AMONG).position(stays).unwrap_or(0);
            order[..=first].rotate_right(1);
        }
        order
    }

    /// What a worker usually holds, as it told; one call where that is long ago.
    fn usually_holds(&self, node: &Node) -> f64 {
        let age = self.now.saturating_sub(node.told.at) as f64;
        1.0 + (node.told.usual - 1.0).max(0.0) * 0.5f64.powf(age / HELD_AGE as f64)
    }

    // ---- beliefs: warm copies, run and load times ----

    /// What a run of the call takes at the usual pace, averaged from served answers.
    fn run_of(&self, function: FunctionId, class: usize) -> f64 {
        // Capped, so that no estimate shuts a function out: what is never sent is never learnt again.
        let usual = self.class_run[class]
            .unwrap_or(self.s.classes[class].latency_objective as f64 * FIRST_RUN);
        self.programs
            .get(&function)
            .and_then(|p| p.run)
            .map_or(usual, |run| run.min(usual * RUN_MOST))
    }

    /// What loads take beside the usual, from those that were seen.
    fn store_pace(&self) -> f64 {
        faded(self.load_stretch, self.now.saturating_sub(self.load_heard))
    }

    /// What a load takes: the told time at the store's present pace, else the longest seen.
    fn load_of(&self, function: FunctionId, class: usize) -> f64 {
        let (program, stretch) = (self.programs.get(&function), self.store_pace());
        if let Some(told) = program.and_then(|p| p.told_load) {
            return told as f64 * stretch;
        }
        let seen = program.and_then(|p| p.seen_load).or(self.load_mean);
        seen.unwrap_or(self.s.classes[class].latency_objective as f64 * FIRST_LOAD) * stretch
    }

    fn learn_load(&mut self, function: FunctionId, took: f64) {
        let Some(program) = self.programs.get_mut(&function) else {
            return;
        };
        let usual = program
            .told_load
            .map(|t| t as f64)
            .or(program.seen_load)
            .or(self.load_mean);
        if let Some(usual) = usual.filter(|u| *u > 0.0) {
            let sample = (took / usual).clamp(0.5, 2.0 * SAMPLE_CAP);
            self.load_stretch += 0.3 * (sample - self.load_stretch);
            self.load_heard = self.now;
        }
        let mean = self.load_mean.get_or_insert(took);
        *mean += RUN_GAIN * (took - *mean);
        let seen = program.seen_load.get_or_insert(took);
        *seen = if took > *seen {
            took.min(*seen * 2.0)
        } else {
            *seen + 0.3 * (took - *seen)
        };
    }

    /// Notes a load that was done or failed. Where loads fail, each further one, a repeat of the same call
    /// above all, keeps the store in trouble: none is begun for a while, longer each time. It holds for a
    /// store that turns fetches away, stops or has lost a program; one failure means nothing. Harm: what is
    /// asked for seldom is refused meanwhile, though a load might have come through.
    fn store_heard(&mut self, failed: bool) {
        self.failed_loads = if failed { self.failed_loads + 1 } else { 0 };
        self.store.bad -= u32::from(!failed && self.store.bad > 0);
        if self.failed_loads >= STRIKES && self.now >= self.store.shut_until {
            self.store.shut(self.now);
        }
    }

    /// Takes an ended attempt out of the worker's queue and learns from it; tells when it was sent and where.
    #[allow(
        clippy::cognitive_complexity,
        clippy::too_many_lines,
        reason = "not split yet; see the roadmap"
    )]
    fn attempt_over(&mut self, end: &AttemptFinished) -> Option<(Time, String, u64)> {
        let (now, blind) = (self.now, self.blind());
        let failed = end.replica_status == Some(ReplicaStatus::LoadFailed);
        if failed || end.replica_status == Some(ReplicaStatus::LoadStarted) {
            self.store_heard(failed);
        }
        let node = self.nodes.get_mut(&end.worker)?;
        let at = node
            .out
            .iter()
            .position(|s| s.request == end.request && s.attempt == end.attempt)?;
        // Withdrawn work may go on unseen: the replay holds it until its foreseen end.
        let sent = if end.outcome == Outcome::Cancelled && node.out[at].due > now {
            node.out[at].withdrawn = true;
            node.out[at].clone()
        } else {
            node.out.remove(at)
        };
        let ran = Some((sent.at, node.entry.zone.clone(), node.entry.cell));
        if !end.outcome.never_ran() {
            let late = if now > sent.aim {
                1.0 - self.s.classes[sent.class].late_answer_weight
            } else {
                0.0
            };
            let lost = if end.outcome == Outcome::Served {
                late
            } else {
                1.0
            };
            self.lost += RUN_GAIN * (lost - self.lost);
        }
        // A try of a zone that brought no word is as good as overdue.
        let silent = matches!(
            end.outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        let tried = |z: &&mut Health| silent && sent.at >= z.shut_until;
        if let Some(zone) = self.zones.get_mut(&node.entry.zone).filter(tried) {
            zone.shut(now);
        }
        // The function's calls that stood there, at each of its homes alike, over the lanes of a copy: so
        // many homes does it need. A worker adds copies by itself too, but no cores to run them.
        let alike = end
            .function_concurrency
            .filter(|_| self.s.loading.reports_concurrency)
            .map(|a| a.min(1_000));
        let told = alike.map(|a| (a, (f64::from(a) + 1.0 - sent.same).max(0.0)));
        let program = self.programs.get_mut(&sent.function).filter(|_| blind);
        if let Some(((_, others), program)) = told.zip(program) {
            let homes = program.homes.max(1.0);
            let wanted = others * homes / f64::from(program.lanes.max(1));
            program.homes = homes + SPREAD_GAIN * (wanted.clamp(1.0, 64.0) - homes);
        }
        // An attempt of an earlier process tells nothing of the present one.
        let same_process = node.entry.started_at.is_none_or(|t| t <= sent.at);
        let took = end.elapsed.min(LONGEST) as f64;
        let ratio = (took / sent.run.max(1.0)).clamp(0.1, SAMPLE_CAP);
        match end.outcome {
            Outcome::Served if same_process => {
                let health = &mut node.health[sent.class];
                health.bad = health.bad.saturating_sub(1);
                health.errors -= PACE_GAIN * health.errors;
                (node.heard, node.strikes) = (now, 0);
                node.room += ROOM_RISE;
                node.served.push_back((now, sent.class));
                let copies = node.copies.entry(sent.function).or_default();
                copies.ready = if copies.proven { copies.ready } else { now };
                (copies.count, copies.proven, copies.used) = (copies.count.max(1), true, now);
                if let Some((alike, others)) = told {
                    // What others had there, beside our own; and copies enough for all of them at once.
                    copies.others += PACE_GAIN * (others - copies.others);
                    let lanes = self
                        .programs
                        .get(&sent.function)
                        .map_or(1, |p| p.lanes.max(1));
                    if end.replica_status == Some(ReplicaStatus::Warm) {
                        copies.count = copies.count.max((alike + 1).div_ceil(lanes));
                    }
                }
                let expected = sent.run * node.pace.max(0.1);
                let loaded = match end.replica_status {
                    Some(ReplicaStatus::Warm) => false,
                    Some(_) => true,
                    None => (sent.cold || sent.unproven) && took > expected * SAMPLE_CAP,
                };
                if loaded {
                    if end.replica_status != Some(ReplicaStatus::LoadAwaited) {
                        self.learn_load(sent.function, (took - expected).max(0.0));
                    }
                    return ran;
                }
                let Told { at, held, .. } = node.told;
                if held > 2.0 && held.is_finite() && at + FRESH > sent.at {
                    let (mean, ratios) = &mut self.held_seen;
                    *mean += RUN_GAIN * (held - *mean);
                    *ratios += RUN_GAIN * (ratio.max(1.0) - *ratios);
                }
                node.learn_pace(ratio, sent.crowd);
                // Answers from an uncrowded worker, also as told, tell the run itself; the rest is its pace.
                let held = end.load_report.in_flight.unwrap_or(0.0);
                let gain = RUN_GAIN * (2.0 / sent.crowd.max(held / 2.0)).min(1.0).powi(2);
                // Where that is not told, a long answer is rather the queue of the others than a long run.
                let rise = if blind && end.load_report.in_flight.is_none() {
                    DOUBT
                } else {
                    1.0
                };
                let learn = |mean: &mut f64| {
                    let sample = took.min(*mean * SAMPLE_CAP);
                    *mean += gain * (sample - *mean) * if sample > *mean { rise } else { 1.0 };
                };
                learn(self.class_run[sent.class].get_or_insert(took));
                if let Some(program) = self.programs.get_mut(&sent.function) {
                    learn(program.run.get_or_insert(sent.run));
                }
            }
            Outcome::Unreachable | Outcome::ConnectionLost if same_process => {
                // One broken connection is no dead process: where every worker resets a few, acting on it
                // would bring all down by itself.
                node.strikes += 1;
                if node.strikes >= STRIKES {
                    node.health
                        .iter_mut()
                        .filter(|h| now >= h.shut_until)
                        .for_each(|h| h.shut(now));
                }
                if node.strikes > STRIKES {
                    node.copies.clear();
                }
            }
            // Withdrawn, it has taken so long at the least: else only the quick answers would teach.
            Outcome::Cancelled
                if same_process && !sent.cold && !sent.unproven && ratio > node.pace =>
            {
                node.learn_pace(ratio, sent.crowd);
                node.heard = now;
            }
            // What failed to load does not stand: believed, it would draw the next call.
            Outcome::NotLoaded | Outcome::Error
                if same_process && (failed || end.outcome == Outcome::NotLoaded) =>
            {
                node.copies.remove(&sent.function);
            }
            Outcome::Error if same_process => self.erred(&end.worker, &sent),
            Outcome::Rejected if same_process => {
                node.room = (sent.crowd * ROOM_CUT).max(1.0);
                node.heard = now;
            }
            _ => {}
        }
        ran
    }

    /// Notes an error. A worker whose calls mostly fail answers fast, so it looks free and draws more: it is
    /// left alone, for as long as it is worse than the others: a broken disk, a bad release, a lost secret.
    /// What fails everywhere alike, a program or a client's nonsense, shuts nobody: of one function's errors
    /// in a row one counts. Harm: where a worker alone can run a function, its calls are refused.
    fn erred(&mut self, worker: &WorkerId, sent: &Sent) {
        let (now, class) = (self.now, sent.class);
        let live = |n: &&Node| n.entry.state == EndpointState::Ready && n.entry.worker != *worker;
        let others = || {
            self.nodes
                .values()
                .filter(live)
                .map(|n| n.health[class].errors)
        };
        let usual = others().sum::<f64>() / others().count().max(1) as f64;
        let Some(health) = self.nodes.get_mut(worker).map(|n| &mut n.health[class]) else {
            return;
        };
        if health.erred.replace(sent.function) != Some(sent.function) || health.bad > 0 {
            health.errors += PACE_GAIN * (1.0 - health.errors);
        }
        if health.errors > ERRORS_MOST.max(usual * ERRORS_WORSE) && now >= health.shut_until {
            health.shut(now);
        }
    }

    /// Takes the reply to an order; calls that waited for it are placed again.
    fn ordered(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let (worker, function, took, count) = (
            &reply.worker,
            reply.function,
            reply.elapsed.min(LONGEST),
            reply.replicas.min(64),
        );
        let run = self.run_of(function, 0);
        if reply.outcome == Outcome::Error {
            self.store_heard(true);
        }
        if let Some(copies) = self
            .nodes
            .get_mut(worker)
            .and_then(|n| n.copies.get_mut(&function))
            && std::mem::take(&mut copies.ordered)
        {
            if reply.outcome == Outcome::Served && count > 0 {
                (copies.count, copies.proven, copies.placed) = (count, true, true);
                (copies.ready, copies.used) = (copies.ready.min(self.now), self.now);
                if took as f64 > run {
                    self.learn_load(function, took as f64);
                }
            } else if count == 0 && !copies.proven {
                self.nodes
                    .get_mut(worker)
                    .map(|n| n.copies.remove(&function));
            }
        }
        for id in self.waiting(|o| o.parked && o.call.function == function) {
            if let Some(open) = self
                .open
                .get_mut(&id)
                .filter(|_| reply.outcome == Outcome::Served)
            {
                open.tried.pop();
            }
            self.place(id, actions);
        }
    }

    /// The requests of which this holds.
    fn waiting(&self, holds: impl Fn(&Open) -> bool) -> Vec<RequestId> {
        self.open
            .iter()
            .filter(|(_, open)| holds(open))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Notes what a worker tells of its load, the worst where it keeps silent; calls that waited to hear it
    /// are placed.
    fn told(&mut self, worker: &WorkerId, load: Option<LoadReport>, actions: &mut Vec<Action>) {
        if let Some(node) = self.nodes.get_mut(worker) {
            let usual = match load.and_then(|l| l.in_flight).filter(|h| h.is_finite()) {
                Some(held) if node.told.at > 0 => {
                    let age = self.now.saturating_sub(node.told.at) as f64;
                    let before = node.told.usual * 0.5f64.powf(age / HELD_AGE as f64);
                    before + HELD_GAIN * (held - before)
                }
                held => held.unwrap_or(node.told.usual),
            };
            let load = load.unwrap_or(LoadReport {
                in_flight: Some(f64::INFINITY),
                ..LoadReport::default()
            });
            let (held, busy) = (
                load.in_flight.unwrap_or(0.0),
                load.cpu_utilization.unwrap_or(0.0),
            );
            node.told = Told {
                at: self.now,
                held,
                busy,
                usual,
            };
        }
        for id in self.waiting(|o| o.asks.as_ref() == Some(worker)) {
            self.open.entry(id).and_modify(|o| o.asks = None);
            self.place(id, actions);
        }
    }

    /// Whether this front end's own sends are too small a part of the queues to tell of them.
    fn blind(&self) -> bool {
        self.s.front_ends > OWN_VIEW
    }

    /// Whether asking first pays. Trying a worker tells the same, and a call turned away proves that nothing
    /// ran; so only a part of what own sends lose can be saved, the less the more is lost at the next worker
    /// too. In a large tier each call met a worker that was not heard of lately, so that all asked for every
    /// call, whatever it cost. Harm: where asking is dear a silent worker is found by calls alone.
    fn asking_pays(&self) -> bool {
        self.s.limits.load_polls
            && self.lost * (1.0 - self.lost) * ASK_SAVES >= self.s.costs.load_poll
    }

    /// How far fresh word of a worker's load stretches a run there; an own answer since tells more.
    fn told_stretch(&self, node: &Node) -> f64 {
        let Told { at, held, .. } = node.told;
        if self.now > at + FRESH || node.heard >= at || !self.blind() {
            return 1.0;
        }
        let at_once = (self.held_seen.0 / self.held_seen.1.max(0.1)).max(1.0);
        (held + 1.0) / at_once
    }

    // ---- replay and admission ----

    /// When the copies of a function stand at a worker: `None` where none is believed there.
    fn ready_at(&self, node: &Node, function: FunctionId) -> Option<Time> {
        let copies = node.copies.get(&function).filter(|c| c.ready > 0)?;
        let busy = node.out.iter().any(|s| s.function == function);
        if !busy && !copies.ordered && self.now > copies.used + self.s.loading.keep_alive {
            return None;
        }
        if copies.proven && copies.ready <= self.now {
            return Some(self.now);
        }
        // Not seen yet. When the answer is overdue there is a load before it, and a slow one.
        let first = node
            .out
            .iter()
            .filter(|s| s.function == function)
            .map(|s| (s.at, s.due))
            .min();
        Some(match first {
            Some((at, due)) if due < self.now => {
                let load = at + self.load_of(function, 0) as Time;
                Some(load)
                    .filter(|t| *t > self.now)
                    .unwrap_or(self.now + (self.now - at) / 2)
            }
            _ => copies.ready.max(self.now),
        })
    }

    /// Replays this front end's own sends at the worker, in arrival order, and the newcomer after them.
    fn replay(&self, node: &Node, call: &Request, presumed: bool) -> Foreseen {
        let now = self.now;
        let copies = node.copies.get(&call.function);
        let ready = self
            .ready_at(node, call.function)
            .or(presumed.then_some(now));
        let all = f64::from(call.replica_concurrency.max(1))
            * f64::from(copies.map_or(1, |c| c.count.max(1)));
        // The other front ends follow the same order and fill their part of the lanes: as told, else alike.
        let lanes = match copies.filter(|_| self.s.loading.reports_concurrency) {
            Some(copies) => all - copies.others,
            None => all / f64::from(self.s.front_ends),
        };
        let lanes = lanes.ceil().clamp(1.0, 64.0) as usize;
        let adds = self.s.loading.reports_concurrency
            && node
                .out
                .iter()
                .filter(|s| s.function == call.function)
                .count()
                >= lanes;
        let (before, pace) = (
            node.stretch(now, node.out.len()),
            node.stretch(now, node.out.len() + 1),
        );
        let run = self.run_of(call.function, call.class) * pace;
        let begin = |ready: Time| -> (Time, bool) {
            let mut free = vec![ready; lanes];
            let mut hold = true;
            for sent in &node.out {
                let (start, end) = if sent.function == call.function {
                    let lane = (0..lanes).min_by_key(|&i| free[i]).unwrap_or(0);
                    let base = if free[lane] > now || sent.due <= now {
                        free[lane]
                    } else {
                        sent.at
                    };
                    free[lane] = (base + (sent.run * pace) as Time).max(now);
                    (base, free[lane])
                } else {
                    (
                        sent.at,
                        if sent.cold {
                            sent.due
                        } else {
                            sent.at + (sent.run * pace) as Time
                        },
                    )
                };
                // A deadline lost already binds no more, else one late call would shut the worker.
                let lost = sent.cold || start + (sent.run * before) as Time > sent.goal;
                hold &= end <= sent.goal || lost;
            }
            (
                free.into_iter().min().unwrap_or(ready) + (run * PAD) as Time,
                hold,
            )
        };
        let (warm_finish, others_hold) = begin(now);
        let stands = ready.unwrap_or_else(|| now + self.load_of(call.function, call.class) as Time);
        let finish = if stands <= now {
            warm_finish
        } else {
            begin(stands).0
        };
        Foreseen {
            cold: ready.is_none(),
            adds,
            others_hold,
            warm_finish,
            finish,
        }
    }

    /// Loads that this front end believes under way, and whether one is of this function.
    fn loads_under_way(&self, function: FunctionId) -> (usize, bool) {
        let (mut count, mut same) = (0, false);
        // What hangs at a worker that cannot be reached loads nothing: counted, it would bar those left.
        for node in self.nodes.values().filter(|n| n.strikes < STRIKES) {
            let slow =
                |s: &&Sent| s.cold || s.unproven && self.now > s.at + (s.run * SAMPLE_CAP) as Time;
            // A load that nobody waits for may be left out: no other waits for it.
            let awaited = || node.out.iter().filter(|s| !s.withdrawn);
            let waiting = awaited().filter(slow).map(|s| s.function);
            // However many wait beside taken lanes, a worker adds one copy at a time: counted each, a lost
            // zone's calls at those left barred them from loads that they had room and time for.
            let adding: BTreeSet<FunctionId> = node
                .out
                .iter()
                .filter(|s| s.adds)
                .map(|s| s.function)
                .collect();
            count += adding.len();
            let ordered = node
                .copies
                .iter()
                .filter(|(_, c)| c.ordered)
                .map(|(f, _)| *f);
            let loading: BTreeSet<FunctionId> = waiting.chain(ordered).collect();
            count += loading.len();
            // Before an answer has shown a copy anywhere, a second load would be a guess on a guess.
            same |= loading.contains(&function)
                || awaited().any(|s| s.unproven && s.function == function);
        }
        (count, same)
    }

    /// Whether a copy more should fit beside those believed there: in a shared order own beliefs tell most.
    fn has_room(&self, node: &Node, function: FunctionId) -> bool {
        let memory = |f: &FunctionId| self.programs.get(f).map_or(0.0, |p| p.memory_mb);
        let stands = node
            .copies
            .iter()
            .filter(|(f, _)| self.ready_at(node, **f).is_some());
        let held: f64 = stands
            .map(|(f, c)| memory(f) * f64::from(c.count.max(1)))
            .sum();
        node.entry.memory_mb <= 0.0
            || held + memory(&function) <= node.entry.memory_mb * MEMORY_FILL
    }

    /// Whether the request may have an attempt at this worker at all.
    fn allowed(&self, open: &Open, node: &Node) -> bool {
        let class = &self.s.classes[open.call.class];
        let repeat_ok = match (&open.may_have_run, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            (Some((at, zone, cell)), Idempotency::WithKey) => {
                let in_group = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => *zone == node.entry.zone,
                    DeduplicationScope::Cell => *cell == node.entry.cell,
                };
                in_group && self.now + 4 * self.s.tick.max(MS) < at + class.deduplication_window
            }
        };
        // A worker in trouble is left alone; once that time is over one send at a time tries it.
        let health = &node.health[open.call.class];
        let idle = || {
            node.out
                .iter()
                .all(|s| s.class != open.call.class || s.at < health.shut_until)
        };
        // So is a zone; the try may end in any way, then the next one may go.
        let near = || {
            self.nodes
                .values()
                .filter(|n| n.entry.zone == node.entry.zone)
                .flat_map(|n| &n.out)
        };
        let free = |z: &Health| near().all(|s| s.withdrawn || s.at < z.shut_until);
        repeat_ok
            && self
                .zones
                .get(&node.entry.zone)
                .is_none_or(|z| self.now >= z.shut_until && free(z))
            && (health.bad == 0 || self.now >= health.shut_until && idle())
            && (node.out.len() as f64) < node.room
            && self.cold_budget_left(node)
    }

    /// Sends the request where the design says, or ends it.
    #[allow(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.parked = false;
        if open.outstanding || open.streaming || open.asks.is_some() {
            return;
        }
        let open = &self.open[&id];
        let class = &self.s.classes[open.call.class];
        let (now, function) = (self.now, open.call.function);
        if open.attempts >= self.s.limits.max_attempts || now + 2 * self.s.tick >= open.deadline {
            return self.end(id, actions);
        }
        // After the aim only late worth is left; where there is none, more work would be waste.
        let goal = if now < open.aim {
            open.aim
        } else {
            open.deadline
        };
        if goal == open.deadline && open.aim < now && class.late_answer_weight <= 0.0 {
            return self.end(id, actions);
        }
        let order = self.order(function);
        let located = order
            .iter()
            .any(|w| self.ready_at(&self.nodes[w], function).is_some());
        // A slow store must not be asked for more: loads are bounded, and one of this function is awaited.
        let (loads, loading) = self.loads_under_way(function);
        // The most: some for each of its part of the workers; the fewer, the slower the store is.
        let store_open = now >= self.store.shut_until;
        let most = (LOADS_MOST * order.len())
            .div_ceil(self.s.front_ends as usize)
            .max(2);
        let may_add = store_open && loads as f64 * self.store_pace().max(1.0) < most as f64;
        let may_load = may_add && !loading;
        let (blind, run) = (self.blind(), self.run_of(function, open.call.class) * PAD);
        let mut presume = !located && open.attempts == 0;
        let (mut choice, mut late, mut want, mut soft, mut ask) = (None, None, None, None, None);
        for worker in order.iter().filter(|w| !open.tried.contains(w)) {
            let node = &self.nodes[worker];
            if !self.allowed(open, node) {
                // Presumed at its home alone. Where that is lost it stands nowhere: presumed at the next one,
                // each of the lost worker's functions would begin a load there past the bound on loads.
                presume = false;
                continue;
            }
            // Found nowhere, it is presumed at its home: who knows nothing must neither refuse nor spread.
            let seen = self.replay(node, &open.call, presume);
            presume = false;
            let crowded = run * self.told_stretch(node) > (goal - now) as f64;
            if !seen.others_hold || seen.warm_finish > goal || crowded {
                continue;
            }
            if blind && now < node.told.at + FRESH && node.told.busy > BUSY {
                soft = soft.or_else(|| (!seen.cold).then(|| (worker.clone(), seen, goal)));
                continue;
            }
            let unheard = blind && now > FRESH + node.told.at.max(node.heard);
            if unheard && self.asking_pays() && open.asked < ASKS_MOST {
                ask = Some(worker.clone());
                break;
            }
            if seen.finish <= goal && (!seen.cold || may_load) && (!seen.adds || may_add) {
                choice = Some((worker.clone(), seen, goal));
                break;
            }
            // Only a load stands in the way.
            if seen.cold && want.is_none() {
                want = Some((worker.clone(), seen));
            }
            if late.is_some() || class.late_answer_weight <= 0.0 || seen.finish > open.deadline {
                continue;
            }
            let waiting = node.out.iter().filter(|s| s.goal > s.aim).count();
            // A function that stands elsewhere is loaded here only where that should evict nothing.
            let worthwhile = || may_load && (!located || self.has_room(node, function));
            if waiting < LATE_MOST && (!seen.cold || worthwhile()) && (!seen.adds || may_add) {
                late = Some((worker.clone(), seen, open.deadline));
            }
        }
        if let Some(worker) = ask {
            actions.push(Action::PollLoad {
                worker: worker.clone(),
            });
            actions.push(Action::SetTimer {
                after: ASK_WAIT,
                token: id.0 | ASK_TOKEN,
            });
            self.open
                .entry(id)
                .and_modify(|o| (o.asks, o.asked) = (Some(worker), o.asked + 1));
            return;
        }
        if let Some((worker, seen)) = &want {
            // A load longer than clients wait is begun by no call: only an order spreads such a function.
            let spread = choice.is_some() || seen.finish > self.open[&id].deadline;
            self.missed(worker, id, spread, actions);
        }
        let mut choice = choice.or(late);
        // The others follow the same order: what moved on here did there, and has likely loaded it. A wrong
        // guess must still be served: a call with little time goes where a copy stands, or not at all.
        if let Some((worker, seen)) =
            want.filter(|_| choice.is_none() && self.guesses >= 1.0 && store_open)
        {
            let goal = self.open[&id].deadline;
            if self.s.loading.loads_on_request && seen.finish <= goal {
                self.guesses -= 1.0;
                let seen = Foreseen {
                    cold: false,
                    finish: seen.warm_finish,
                    ..seen
                };
                choice = Some((worker, seen, goal));
            }
        }
        match choice.or(soft) {
            Some((worker, seen, _)) if seen.cold && !self.s.loading.loads_on_request => {
                // Only an order brings the function in: the call waits here, unsent, for its reply.
                if !self.hold(&worker, function, actions) {
                    return self.end(id, actions);
                }
                if let Some(open) = self.open.get_mut(&id) {
                    open.parked = true;
                    open.tried.push(worker);
                }
            }
            Some(chosen) => self.send(id, chosen, actions),
            None => self.end(id, actions),
        }
    }

    fn arrived(&mut self, mut call: Request, actions: &mut Vec<Action>) {
        let now = self.now;
        call.class = call.class.min(self.s.classes.len() - 1);
        let class = &self.s.classes[call.class];
        let stretch = call.expected_work.unwrap_or(0).min(LONGEST) as f64
            * class.objective_per_work.clamp(0.0, 1e3);
        let budget = call.timeout.unwrap_or(class.client_timeout).min(LONGEST);
        let deadline = now + budget;
        let aim = (now + class.latency_objective + stretch as Time).min(deadline);
        self.arrivals.push_back(now);
        if self.blind() {
            self.guesses = (self.guesses + GUESS_SHARE).min(GUESSES_MOST);
        }
        let program = self.programs.entry(call.function).or_default();
        (program.lanes, program.memory_mb, program.called) =
            (call.replica_concurrency, call.memory_mb.max(0.0), now);
        program.told_load = call
            .load_time
            .filter(|t| *t > 0)
            .map(|t| t.min(LONGEST))
            .or(program.told_load);
        // Two ticks early: the answer must be out before the client's time is up.
        let (id, after) = (call.id, budget.saturating_sub(2 * self.s.tick));
        actions.push(Action::SetTimer { after, token: id.0 });
        self.open.insert(
            id,
            Open {
                call,
                aim,
                deadline,
                ..Open::default()
            },
        );
        self.place(id, actions);
    }

    /// Sends to a worker, with what was foreseen there and the deadline that the send is held to.
    fn send(
        &mut self,
        id: RequestId,
        chosen: (WorkerId, Foreseen, Time),
        actions: &mut Vec<Action>,
    ) {
        let (now, (worker, seen, goal)) = (self.now, chosen);
        let Some((function, class)) = self.open.get(&id).map(|o| (o.call.function, o.call.class))
        else {
            return;
        };
        let run = self.run_of(function, class);
        let (Some(node), Some(open)) = (self.nodes.get_mut(&worker), self.open.get_mut(&id)) else {
            return;
        };
        let crowd = node.out.len() as f64 + 1.0;
        node.out.push(Sent {
            request: id,
            attempt: open.attempts,
            function,
            class,
            at: now,
            due: seen.finish,
            goal,
            run,
            cold: seen.cold || seen.finish > seen.warm_finish,
            adds: seen.adds,
            same: node.out.iter().filter(|s| s.function == function).count() as f64 + 1.0,
            unproven: node.copies.get(&function).is_none_or(|c| !c.proven),
            aim: open.aim,
            crowd,
            withdrawn: false,
        });
        node.sends.push_back(now);
        let copies = node.copies.entry(function).or_default();
        if copies.ready == 0 || seen.cold {
            *copies = Copies {
                count: 1,
                ready: now,
                placed: copies.placed,
                ..Copies::default()
            };
            if seen.cold {
                copies.ready = seen.finish.saturating_sub((run * PAD) as Time);
            }
        }
        copies.used = now;
        copies.used_work += run;
        open.attempts += 1;
        open.outstanding = true;
        open.tried.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
        });
    }

    fn outcome(
        &mut self,
        end: &AttemptFinished,
        ran: Option<(Time, String, u64)>,
        actions: &mut Vec<Action>,
    ) {
        if end.settled {
            self.open.remove(&end.request);
            return;
        }
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        open.outstanding = false;
        if end.outcome == Outcome::NotLoaded {
            // The worker is sound, only the copy is not there: an order may still bring it.
            open.tried.pop();
        }
        if !end.outcome.never_ran() && open.may_have_run.is_none() {
            // Where the send is not known any more, the window counts as over.
            open.may_have_run = Some(ran.unwrap_or_default());
        }
        self.place(end.request, actions);
    }

    /// Gives the final answer: a refusal where a further try is harmless, else a failure.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.withdraw(id, &open, actions);
        let class = &self.s.classes[open.call.class];
        let any = class.idempotency == Idempotency::Idempotent
            || class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All;
        let harmless = any || open.may_have_run.is_none() && !open.outstanding;
        if harmless {
            let may = |t: &Time| self.s.limits.retry_after && *t > 0;
            let retry_after = Some(self.s.limits.max_retry_after).filter(may);
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// Withdraws an attempt that nobody waits for, however the wait ended: clients that leave and ask again
    /// at once would else have the work done twice and more, and the full queues then outlast the cause. In a
    /// small tier the own queue shows it; in a large one nothing does. It may harm where withdrawn work goes
    /// on: that is replayed to its foreseen end, and what it took teaches, but its true end is never heard.
    fn withdraw(&self, id: RequestId, open: &Open, actions: &mut Vec<Action>) {
        if self.s.limits.cancel && open.outstanding && !open.streaming {
            actions.push(Action::Cancel {
                request: id,
                attempt: open.attempts - 1,
            });
        }
    }

    fn chores(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        actions.push(Action::SetTimer {
            after: CHORES,
            token: CHORES_TOKEN,
        });
        // No outcome is a symptom too, counted a class: a fault behind the workers may swallow the calls of
        // one though others are answered; slow loads may look alike.
        let mut recalled = Vec::new();
        for node in self.nodes.values_mut() {
            let keep = RATE_SPAN.max(self.s.slow_start.overload_window) + CHORES;
            node.sends.retain(|t| t + keep >= now);
            node.out.retain(|s| !s.withdrawn || s.due > now);
            node.served.retain(|(t, _)| t + keep >= now);
            for class in 0..node.health.len() {
                let overdue = |s: &&Sent| s.class == class && s.overdue(now);
                let count = node.out.iter().filter(overdue).count();
                let since = node
                    .out
                    .iter()
                    .filter(overdue)
                    .map(|s| s.at)
                    .min()
                    .unwrap_or(now);
                let answers = node
                    .served
                    .iter()
                    .filter(|(t, c)| *c == class && *t > since)
                    .count();
                let health = &mut node.health[class];
                let needed = if health.bad > 0 { 1 } else { SILENT_SENDS };
                if now >= health.shut_until && count >= needed && count > answers {
                    health.shut(now);
                    let out = node.out.iter().filter(|s| s.class == class && !s.withdrawn);
                    recalled.extend(out.map(|s| (s.request, s.attempt)));
                }
            }
        }
        if self.blind() {
            self.hear_zones(&mut recalled);
        }
        for (id, attempt) in recalled {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let (limits, effect) = (&self.s.limits, self.s.classes[open.call.class].idempotency);
            if limits.cancel
                && effect != Idempotency::NonIdempotent
                && open.attempts < limits.max_attempts
            {
                actions.push(Action::Cancel {
                    request: id,
                    attempt,
                });
            }
        }
        self.nodes
            .retain(|_, n| n.entry.state != EndpointState::Removed || !n.out.is_empty());
        self.learn_warm_rate();
        let window = self
            .s
            .loading
            .rate_limit
            .as_ref()
            .map_or(0, |r| r.window)
            .max(RATE_SPAN)
            + CHORES;
        self.orders.retain(|t| t + window >= now);
        self.arrivals.retain(|t| t + window >= now);
        if now >= self.next_round {
            self.next_round = now + self.interval();
            self.replace(actions);
        }
    }

    /// Leaves a zone alone from which nothing came since sends went there that are overdue now, several of
    /// them; what is out there is sent elsewhere as with a silent worker, and one send at a time finds the
    /// way back. In a large tier no worker gets enough sends to be told silent by itself before the outage
    /// is over. Harm: a zone in which just the few workers that this front end met are silent is left too.
    fn hear_zones(&mut self, recalled: &mut Vec<(RequestId, u32)>) {
        let now = self.now;
        let mut heard: BTreeMap<&str, Time> = BTreeMap::new();
        for node in self.nodes.values() {
            let last = heard.entry(&node.entry.zone).or_default();
            *last = (*last).max(node.heard);
        }
        let all = heard.len();
        self.zones.retain(|zone, z| {
            all > 1
                && heard
                    .get(zone.as_str())
                    .is_some_and(|last| *last <= z.since)
        });
        for (zone, last) in heard {
            let shut = self.zones.get(zone);
            // Where all say nothing it is not the zone, and all that there is cannot be left alone.
            if self.zones.len() - usize::from(shut.is_some()) + 1 >= all {
                continue;
            }
            let out = || {
                self.nodes
                    .values()
                    .filter(|n| n.entry.zone == zone)
                    .flat_map(|n| &n.out)
            };
            // What was out when it was shut is no news of it since.
            let since = last.max(shut.map_or(0, |z| z.since));
            let overdue = out().filter(|s| s.at > since && s.overdue(now)).count();
            let needed = if shut.is_some() { 1 } else { SILENT_SENDS };
            if overdue >= needed && shut.is_none_or(|z| now >= z.shut_until) {
                recalled.extend(
                    out()
                        .filter(|s| !s.withdrawn)
                        .map(|s| (s.request, s.attempt)),
                );
                self.zones.entry(zone.to_string()).or_default().shut(now);
            }
        }
    }

    fn interval(&self) -> Time {
        self.s.loading.keep_alive.clamp(1_000 * MS, INTERVAL_MOST)
    }

    /// Notes run time that moved on because no copy stood at the worker. After such misses one hold loads the
    /// function here: one at a time, as a slow store must not be asked again for what it has not brought yet.
    fn missed(
        &mut self,
        worker: &WorkerId,
        id: RequestId,
        spread: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (function, class, aim) = (open.call.function, open.call.class, open.aim);
        let run = self.run_of(function, class);
        let Some(node) = self.nodes.get_mut(worker) else {
            return;
        };
        let copies = node.copies.entry(function).or_default();
        let adequate = (aim.saturating_sub(self.now) as f64 - run).max(0.0);
        copies.adequate = if copies.misses == 0 {
            adequate
        } else {
            copies.adequate.min(adequate)
        };
        copies.misses += 1;
        copies.missed_work += run;
        let enough = spread && copies.misses >= MISSES_TO_SPREAD;
        let loading = |n: &Node| n.copies.get(&function).is_some_and(|c| c.ordered);
        if enough
            && self.has_room(&self.nodes[worker], function)
            && !self.nodes.values().any(loading)
        {
            self.hold(worker, function, actions);
        }
    }

    /// One round of the hybrid policy.
    fn replace(&mut self, actions: &mut Vec<Action>) {
        let mut placed: Vec<(f64, WorkerId, FunctionId)> = Vec::new();
        let mut wanted: Vec<(f64, f64, WorkerId, FunctionId)> = Vec::new();
        for (worker, node) in self.nodes.iter_mut() {
            for (function, copies) in &mut node.copies {
                let stands = copies.proven && self.now <= copies.used + self.s.loading.keep_alive;
                if copies.placed && stands {
                    placed.push((copies.used_work, worker.clone(), *function));
                } else if copies.missed_work > 0.0 {
                    wanted.push((
                        copies.adequate,
                        copies.missed_work,
                        worker.clone(),
                        *function,
                    ));
                }
                (copies.used_work, copies.missed_work, copies.misses) = (0.0, 0.0, 0);
                // Further copies go first when idle: what is not seen again is not believed for long.
                copies.count = copies.count.saturating_sub(1).max(1);
            }
        }
        placed.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| (&a.1, a.2).cmp(&(&b.1, b.2)))
        });
        wanted.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| (&a.2, a.3).cmp(&(&b.2, b.3)))
        });
        self.allowance = (self.allowance + placed.len() as f64 * REPLACED_SHARE).min(2.0);
        let mut placed = placed.into_iter();
        for (_, missed, worker, function) in wanted {
            if self.allowance < 1.0 {
                break;
            }
            let Some((used, old_worker, old)) = placed.next() else {
                break;
            };
            if missed <= used || !self.hold(&worker, function, actions) {
                break;
            }
            self.allowance -= 1.0;
            if let Some(node) = self.nodes.get_mut(&old_worker) {
                node.copies.remove(&old);
                if node.entry.state == EndpointState::Ready {
                    actions.push(Action::EvictFunction {
                        worker: old_worker,
                        function: old,
                    });
                }
            }
        }
        let (now, keep) = (self.now, self.s.loading.keep_alive);
        for node in self.nodes.values_mut() {
            let busy: BTreeSet<FunctionId> = node.out.iter().map(|s| s.function).collect();
            node.copies.retain(|f, c| {
                busy.contains(f) || c.ordered || c.used + 2 * keep > now && c.ready > 0
            });
        }
        let forget = FORGET_INTERVALS * self.interval();
        self.programs.retain(|_, p| p.called + forget > now);
    }

    // ---- rule guards ----

    /// The only place that orders loads: drained and gone workers get none, and the ration holds.
    fn hold(&mut self, worker: &WorkerId, function: FunctionId, actions: &mut Vec<Action>) -> bool {
        let now = self.now;
        if !self.s.loading.load_commands
            || !self.programs.contains_key(&function)
            || now < self.store.shut_until
        {
            return false;
        }
        if let Some(ration) = &self.s.loading.rate_limit {
            let slack = 2 * self.s.tick;
            let orders = self
                .orders
                .iter()
                .filter(|t| **t + ration.window + slack >= now)
                .count();
            let taken = self
                .arrivals
                .iter()
                .filter(|t| **t + ration.window > now + slack)
                .count();
            if orders as f64 + 1.0 > ration.burst + ration.per_request * taken as f64 {
                return false;
            }
        }
        let live = self
            .nodes
            .get_mut(worker)
            .filter(|n| n.entry.state == EndpointState::Ready);
        let copies = live.map(|n| n.copies.entry(function).or_default());
        let Some(copies) = copies.filter(|c| !c.ordered) else {
            return false;
        };
        copies.ordered = true;
        if !copies.proven {
            copies.ready = Time::MAX >> 1;
        }
        copies.used = now;
        self.orders.push_back(now);
        actions.push(Action::LoadFunction {
            worker: worker.clone(),
            function,
            replicas: 1,
        });
        true
    }

    /// Whether a worker that has just started can take a send. Its capacity is told nowhere: it is judged by
    /// what warm workers serve this front end, less at a smaller one; sends turned away would swell it.
    /// Where the part is under one send a span, one each would add up over a large tier: then each slot is
    /// drawn anew. A right to send must not be saved up: when all turn to a worker that stood idle, all would
    /// use theirs at once. It hurts where few want the worker: it is used too little.
    fn cold_budget_left(&self, node: &Node) -> bool {
        let (rules, now) = (&self.s.slow_start, self.now);
        let Some(started) = node.entry.started_at.filter(|t| now < t + rules.window) else {
            return true;
        };
        if rules.overload_window == 0 || rules.overload_factor <= 0.0 {
            return true;
        }
        let age = now.saturating_sub(started) as f64 / rules.window.max(1) as f64;
        let part = rules.initial_weight + (1.0 - rules.initial_weight) * age;
        let rate =
            rules.overload_factor * part * self.warm_rate * self.relative_size(node).min(1.0);
        let budget = COLD_SAFETY * rate * rules.overload_window as f64;
        if budget >= 1.0 {
            let sent = node
                .sends
                .iter()
                .filter(|t| **t + rules.overload_window > now)
                .count();
            return sent as f64 + 1.0 <= budget;
        }
        let slot = (rules.overload_window / COLD_SLOTS).max(1);
        let draw = draw(self.seed ^ node.hash ^ mix(started ^ (now / slot)));
        node.sends.back().is_none_or(|t| *t < now - now % slot)
            && draw < COLD_SHARE * rate * slot as f64
    }

    /// A worker's size as a multiple of the mean of the live ones that tell theirs; 1 where it is not told.
    fn relative_size(&self, node: &Node) -> f64 {
        let units = |n: &Node| (n.entry.weight.clamp(0.0, 1e6) * (1u64 << 30) as f64) as u64;
        let live = self
            .nodes
            .values()
            .filter(|n| n.entry.state == EndpointState::Ready);
        let told: Vec<u64> = live.map(units).filter(|size| *size > 0).collect();
        let sum: u128 = told.iter().copied().map(u128::from).sum();
        if units(node) == 0 || sum == 0 {
            return 1.0;
        }
        units(node) as f64 * told.len() as f64 / sum as f64
    }

    /// What a warm worker serves this front end, in calls for each unit of time; the last figure where none
    /// is warm. The least is a quarter of the own part of the calls, or of what was usually served if less.
    fn learn_warm_rate(&mut self) {
        let (now, ramp) = (self.now, self.s.slow_start.window);
        let live = || {
            self.nodes
                .values()
                .filter(|n| n.entry.state == EndpointState::Ready)
        };
        let warm = live().filter(|n| n.entry.started_at.is_none_or(|t| now >= t + ramp));
        let within = |n: &Node| n.served.iter().filter(|(t, _)| t + RATE_SPAN > now).count();
        let mean =
            |total: usize, count: usize| total as f64 / count.max(1) as f64 / RATE_SPAN as f64;
        let came = self
            .arrivals
            .iter()
            .filter(|t| **t + RATE_SPAN > now)
            .count();
        let served: Vec<usize> = warm.map(within).collect();
        let rate = if served.is_empty() {
            self.warm_rate
        } else {
            mean(served.iter().sum(), served.len())
        };
        if !served.is_empty() {
            self.usual_warm_rate.add(rate);
        }
        self.warm_rate =
            rate.max(self.usual_warm_rate.cap(mean(came, live().count())) * RATE_FLOOR);
    }
}
