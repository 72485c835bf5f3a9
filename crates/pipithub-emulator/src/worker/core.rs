//! A worker without I/O: copies of models, lanes, memory, loads, cores that share their time, a cold start.

use std::collections::{BTreeMap, VecDeque};

use pipithub_amqp::Time;

const MS: Time = 1_000_000;

/// How a worker is built.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Cores.
    pub cores: f64,
    /// Speed of a core; a call's work is told for speed 1.
    pub speed: f64,
    /// Memory for copies, in MB.
    pub memory_mb: f64,
    /// Memory of a copy and calls that it runs at a time, where a call does not say.
    pub replica_mb: f64,
    /// Calls at a time of one copy.
    pub replica_concurrency: u32,
    /// Work of a call, where it does not say.
    pub run: Time,
    /// Time of a load beside its fetch from the store; all of it where there is no store.
    pub load: Time,
    /// Loads at a time.
    pub loads_at_once: usize,
    /// An idle copy is unloaded after this.
    pub keep_alive: Time,
    /// Calls that may wait; more are turned away.
    pub queue: usize,
    /// Repeats of a key are dropped for so long.
    pub deduplication_window: Time,
    /// Share of its capacity that it starts with, and when it is warm.
    pub initial_weight: f64,
    /// When it is warm.
    pub slow_start_window: Time,
    /// Sent more than this multiple of its present capacity over the span, it falls over; 0: never.
    pub overload_factor: f64,
    /// The span.
    pub overload_window: Time,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        WorkerSettings {
            cores: 2.0,
            speed: 1.0,
            memory_mb: 24_000.0,
            replica_mb: 4_000.0,
            replica_concurrency: 4,
            run: 60 * MS,
            load: 500 * MS,
            loads_at_once: 4,
            keep_alive: 10_000 * MS,
            queue: 64,
            deduplication_window: 5_000 * MS,
            initial_weight: 0.3,
            slow_start_window: 5_000 * MS,
            overload_factor: 0.0,
            overload_window: 2_000 * MS,
        }
    }
}

impl WorkerSettings {
    /// Calls that it serves in a second when warm, by its own idea of a call.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed * 1e9 / self.run.max(1) as f64
    }
}

/// A call as it comes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Incoming {
    /// The shell's number for it.
    pub id: u64,
    /// The model.
    pub function: String,
    /// The key under which repeats are dropped.
    pub key: Option<String>,
    /// What its header says of the model; 0: nothing.
    pub replica_mb: f64,
    /// Calls at a time of one copy; 0: nothing said.
    pub replica_concurrency: u32,
    /// Its work.
    pub work: Option<Time>,
    /// Its effect was done at another worker: it is dropped.
    pub repeat: bool,
}

/// What came of something.
#[derive(Clone, Debug, PartialEq)]
pub enum Happened {
    /// A call begins to run; `dropped`: its effect had been done.
    Ran {
        /// The call.
        id: u64,
        /// A repeat.
        dropped: bool,
    },
    /// A call is over: `Ok` with what it met, `Err` with why it did not run.
    Done {
        /// The call.
        id: u64,
        /// What it met.
        result: Result<Met, Refused>,
        /// Calls of the model that were held when it came.
        alike: u32,
    },
    /// An order is over, with the copies that stand.
    Ordered {
        /// The order.
        id: u64,
        /// Copies that stand.
        copies: u32,
        /// Why the copies that were asked for do not stand.
        result: Result<(), Refused>,
    },
    /// The store is to be asked for a model.
    Fetch(String),
    /// It fell over.
    FellOver {
        /// Calls sent in the span.
        sent: f64,
        /// Calls it would have borne.
        bound: f64,
    },
}

/// What a call met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// A copy stood.
    Warm,
    /// It began a load.
    Began,
    /// It waited for one.
    Waited,
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The queue is full.
    Full,
    /// No room can be made for a copy.
    NoMemory,
    /// The load failed.
    LoadFailed,
    /// It has fallen over.
    Fallen,
}

#[derive(Debug)]
struct Running {
    id: u64,
    function: String,
    /// Work left, in nanoseconds at speed 1.
    left: f64,
    met: Met,
    alike: u32,
}

#[derive(Debug)]
struct Waiting {
    call: Incoming,
    met: Met,
    alike: u32,
}

#[derive(Debug, Default)]
struct Model {
    ready: u32,
    /// Loads under way, by when they are done; `None`: the store is being asked.
    loading: Vec<Option<Time>>,
    queued_loads: u32,
    running: u32,
    replica_concurrency: u32,
    replica_mb: f64,
    idle_since: Time,
    orders: Vec<(u64, u32)>,
}

impl Model {
    fn copies(&self) -> u32 {
        self.ready + self.loading.len() as u32 + self.queued_loads
    }
}

/// A worker.
#[derive(Debug)]
pub struct WorkerCore {
    settings: WorkerSettings,
    store: bool,
    started: Time,
    now: Time,
    models: BTreeMap<String, Model>,
    running: Vec<Running>,
    waiting: VecDeque<Waiting>,
    keys: BTreeMap<String, Time>,
    sent: VecDeque<Time>,
    fallen: bool,
    out: Vec<Happened>,
}

impl WorkerCore {
    /// A worker that starts now and holds nothing; `store`: models are fetched by [`Happened::Fetch`].
    pub fn new(settings: WorkerSettings, store: bool, now: Time) -> Self {
        WorkerCore {
            settings,
            store,
            started: now,
            now,
            models: BTreeMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            keys: BTreeMap::new(),
            sent: VecDeque::new(),
            fallen: false,
            out: Vec::new(),
        }
    }

    /// What happened since it was last asked.
    pub fn take(&mut self) -> Vec<Happened> {
        std::mem::take(&mut self.out)
    }

    /// Its share of its capacity now.
    pub fn warmth(&self) -> f64 {
        let WorkerSettings {
            initial_weight,
            slow_start_window,
            ..
        } = self.settings;
        let age = self.now.saturating_sub(self.started) as f64 / slow_start_window.max(1) as f64;
        initial_weight + (1.0 - initial_weight) * age.min(1.0)
    }

    /// Calls it holds, running and waiting.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// How busy its cores are.
    pub fn busy(&self) -> f64 {
        (self.running.len() as f64 / self.settings.cores).min(1.0)
    }

    /// Loads under way or waiting.
    pub fn loads(&self) -> usize {
        self.models
            .values()
            .map(|m| m.loading.len() + m.queued_loads as usize)
            .sum()
    }

    /// The share of its memory in copies that cannot be freed.
    pub fn memory_tied(&self) -> f64 {
        let tied = |m: &Model| {
            let used = m.running.div_ceil(m.replica_concurrency.max(1)) + m.loading.len() as u32;
            f64::from(used) * m.replica_mb
        };
        self.models.values().map(tied).sum::<f64>() / self.settings.memory_mb.max(1.0)
    }

    /// Models and how they stand.
    pub fn index(&self) -> Vec<(String, &'static str)> {
        let state = |m: &Model| if m.ready > 0 { "READY" } else { "LOADING" };
        self.models
            .iter()
            .filter(|(_, m)| m.copies() > 0)
            .map(|(n, m)| (n.clone(), state(m)))
            .collect()
    }

    fn rate(&self) -> f64 {
        let share = (self.settings.cores / self.running.len().max(1) as f64).min(1.0);
        self.settings.speed * self.warmth() * share
    }

    /// Lets time pass: work is done, loads end, idle copies go.
    pub fn on_time(&mut self, now: Time) {
        let passed = now.saturating_sub(self.now) as f64 * self.rate();
        self.now = now;
        self.running.iter_mut().for_each(|r| r.left -= passed);
        let mut n = 0;
        while n < self.running.len() {
            if self.running[n].left > 0.5 {
                n += 1;
                continue;
            }
            let done = self.running.remove(n);
            if let Some(model) = self.models.get_mut(&done.function) {
                model.running -= 1;
                model.idle_since = now;
            }
            self.out.push(Happened::Done {
                id: done.id,
                result: Ok(done.met),
                alike: done.alike,
            });
        }
        let names: Vec<String> = self.models.keys().cloned().collect();
        for name in names {
            let Some(model) = self.models.get_mut(&name) else {
                continue;
            };
            let before = model.loading.len();
            model.loading.retain(|at| at.is_none_or(|at| at > now));
            let loaded = (before - model.loading.len()) as u32;
            if loaded > 0 {
                model.ready += loaded;
                model.idle_since = now;
            }
            let used = model.running.div_ceil(model.replica_concurrency.max(1));
            if used < model.ready && now >= model.idle_since + self.settings.keep_alive {
                model.ready = used;
            }
            self.orders_done(&name);
        }
        self.models
            .retain(|_, m| m.copies() > 0 || m.running > 0 || !m.orders.is_empty());
        self.keys
            .retain(|_, t| *t + self.settings.deduplication_window > now);
        self.begin();
    }

    /// When something is due.
    pub fn next_due(&self) -> Option<Time> {
        let rate = self.rate().max(1e-9);
        let run = self
            .running
            .iter()
            .map(|r| self.now + (r.left.max(0.0) / rate) as Time + 1)
            .min();
        // While the worker warms up its pace changes: looked at again before long.
        let warming =
            (self.warmth() < 1.0 && !self.running.is_empty()).then_some(self.now + 20 * MS);
        let loads = self
            .models
            .values()
            .flat_map(|m| m.loading.iter().flatten())
            .min()
            .copied();
        let idle = self
            .models
            .values()
            .filter(|m| m.ready > m.running.div_ceil(m.replica_concurrency.max(1)));
        let idle = idle
            .map(|m| (m.idle_since + self.settings.keep_alive).max(self.now + MS))
            .min();
        [run, warming, loads, idle].into_iter().flatten().min()
    }

    /// A call comes.
    pub fn call(&mut self, now: Time, call: Incoming) {
        self.on_time(now);
        self.pressure();
        let held_alike = |f: &str| {
            let waiting = self.waiting.iter().filter(|w| w.call.function == f).count();
            (self.running.iter().filter(|r| r.function == f).count() + waiting) as u32
        };
        let alike = held_alike(&call.function);
        let refuse = |why| Happened::Done {
            id: call.id,
            result: Err(why),
            alike,
        };
        if self.fallen {
            return self.out.push(refuse(Refused::Fallen));
        }
        if self.waiting.len() >= self.settings.queue {
            return self.out.push(refuse(Refused::Full));
        }
        let (replica_mb, replica_concurrency) =
            (self.settings.replica_mb, self.settings.replica_concurrency);
        let model = self.models.entry(call.function.clone()).or_default();
        model.replica_mb = if call.replica_mb > 0.0 {
            call.replica_mb
        } else {
            replica_mb
        };
        model.replica_concurrency = if call.replica_concurrency > 0 {
            call.replica_concurrency
        } else {
            replica_concurrency
        };
        let waiting = self
            .waiting
            .iter()
            .filter(|w| w.call.function == call.function)
            .count() as u32;
        let free =
            (model.ready * model.replica_concurrency).saturating_sub(model.running + waiting);
        let coming = (model.copies() - model.ready) * model.replica_concurrency;
        let met = if free > 0 {
            Met::Warm
        } else if coming > waiting || coming > 0 && model.ready > 0 {
            Met::Waited
        } else if self.load(&call.function) {
            Met::Began
        } else if self.models[&call.function].ready > 0 {
            Met::Warm
        } else {
            self.models.retain(|_, m| m.copies() > 0);
            return self.out.push(refuse(Refused::NoMemory));
        };
        self.waiting.push_back(Waiting { call, met, alike });
        self.begin();
    }

    /// What has been sent while the worker is cold may push it over.
    fn pressure(&mut self) {
        let WorkerSettings {
            overload_factor,
            overload_window,
            slow_start_window,
            ..
        } = self.settings;
        let now = self.now;
        self.sent.push_back(now);
        while self
            .sent
            .front()
            .is_some_and(|t| t + overload_window <= now)
        {
            self.sent.pop_front();
        }
        if overload_factor <= 0.0 || self.fallen || now >= self.started + slow_start_window {
            return;
        }
        let bound =
            overload_factor * self.settings.capacity() * self.warmth() * overload_window as f64
                / 1e9;
        let sent = self.sent.len() as f64;
        // A little slack for chance, as one call more or less is no herd.
        if sent > bound + 2.0 {
            self.fallen = true;
            self.out.push(Happened::FellOver { sent, bound });
        }
    }

    /// Begins a load, or queues it; false where no room can be made.
    fn load(&mut self, function: &str) -> bool {
        let need = self
            .models
            .get(function)
            .map_or(self.settings.replica_mb, |m| m.replica_mb);
        while self.memory_used() + need > self.settings.memory_mb {
            let idle = |m: &Model| m.ready > m.running.div_ceil(m.replica_concurrency.max(1));
            let oldest = self
                .models
                .iter()
                .filter(|(n, m)| n.as_str() != function && idle(m));
            let Some(name) = oldest
                .min_by_key(|(_, m)| m.idle_since)
                .map(|(n, _)| n.clone())
            else {
                return false;
            };
            if let Some(model) = self.models.get_mut(&name) {
                model.ready -= 1;
            }
        }
        if let Some(model) = self.models.get_mut(function) {
            model.queued_loads += 1;
        }
        self.begin_loads();
        true
    }

    fn memory_used(&self) -> f64 {
        self.models
            .values()
            .map(|m| f64::from(m.copies()) * m.replica_mb)
            .sum()
    }

    fn begin_loads(&mut self) {
        let mut under_way: usize = self.models.values().map(|m| m.loading.len()).sum();
        let until = self.now + self.settings.load;
        for (name, model) in &mut self.models {
            while model.queued_loads > 0 && under_way < self.settings.loads_at_once {
                model.queued_loads -= 1;
                under_way += 1;
                if self.store {
                    model.loading.push(None);
                    self.out.push(Happened::Fetch(name.clone()));
                } else {
                    model.loading.push(Some(until));
                }
            }
        }
    }

    /// The store has answered for a model.
    pub fn fetched(&mut self, now: Time, function: &str, came: bool) {
        self.on_time(now);
        let until = now + self.settings.load;
        let Some(model) = self.models.get_mut(function) else {
            return;
        };
        let Some(at) = model.loading.iter().position(Option::is_none) else {
            return;
        };
        if came {
            model.loading[at] = Some(until);
            return;
        }
        model.loading.remove(at);
        if model.copies() == 0 {
            // A failed load is told as failed, to all that waited for it; nothing is tried again here.
            let (gone, kept) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|w| w.call.function == function);
            self.waiting = kept;
            let gone: VecDeque<Waiting> = gone;
            for Waiting { call, alike, .. } in gone {
                self.out.push(Happened::Done {
                    id: call.id,
                    result: Err(Refused::LoadFailed),
                    alike,
                });
            }
            if let Some(model) = self.models.get_mut(function) {
                for (id, _) in std::mem::take(&mut model.orders) {
                    self.out.push(Happened::Ordered {
                        id,
                        copies: 0,
                        result: Err(Refused::LoadFailed),
                    });
                }
            }
        }
        self.begin_loads();
    }

    /// Begins what can run, in the order in which it came.
    fn begin(&mut self) {
        self.begin_loads();
        let mut n = 0;
        while n < self.waiting.len() {
            let function = &self.waiting[n].call.function;
            let free = self
                .models
                .get(function)
                .is_some_and(|m| m.running < m.ready * m.replica_concurrency);
            let Some(Waiting { call, met, alike }) = free.then(|| self.waiting.remove(n)).flatten()
            else {
                n += 1;
                continue;
            };
            if let Some(model) = self.models.get_mut(&call.function) {
                model.running += 1;
            }
            let dropped =
                call.repeat || call.key.as_ref().is_some_and(|k| self.keys.contains_key(k));
            if let Some(key) = call.key.filter(|_| !dropped) {
                self.keys.insert(key, self.now);
            }
            self.out.push(Happened::Ran {
                id: call.id,
                dropped,
            });
            let work = if dropped {
                MS
            } else {
                call.work.unwrap_or(self.settings.run)
            };
            let (id, function) = (call.id, call.function);
            self.running.push(Running {
                id,
                function,
                left: work.max(1) as f64,
                met,
                alike,
            });
        }
    }

    /// A caller has gone: a waiting call is dropped, a running one goes on.
    pub fn withdraw(&mut self, now: Time, id: u64) {
        self.on_time(now);
        self.waiting.retain(|w| w.call.id != id);
    }

    /// An order to hold so many copies, or with 0 to unload the idle ones.
    pub fn order(&mut self, now: Time, id: u64, function: &str, copies: u32) {
        self.on_time(now);
        if self.fallen {
            return self.out.push(Happened::Ordered {
                id,
                copies: 0,
                result: Err(Refused::Fallen),
            });
        }
        if copies == 0 {
            if let Some(model) = self.models.get_mut(function) {
                model.ready = model
                    .running
                    .div_ceil(model.replica_concurrency.max(1))
                    .min(model.ready);
            }
            let copies = self.models.get(function).map_or(0, |m| m.ready);
            self.models.retain(|_, m| m.copies() > 0 || m.running > 0);
            return self.out.push(Happened::Ordered {
                id,
                copies,
                result: Ok(()),
            });
        }
        let (replica_mb, replica_concurrency) =
            (self.settings.replica_mb, self.settings.replica_concurrency);
        let model = self
            .models
            .entry(function.to_string())
            .or_insert_with(|| Model {
                replica_concurrency,
                replica_mb,
                ..Model::default()
            });
        model.idle_since = now;
        while self.models[function].copies() < copies.min(16) {
            if !self.load(function) {
                let copies = self.models[function].ready;
                self.models.retain(|_, m| m.copies() > 0 || m.running > 0);
                return self.out.push(Happened::Ordered {
                    id,
                    copies,
                    result: Err(Refused::NoMemory),
                });
            }
        }
        if let Some(model) = self.models.get_mut(function) {
            model.orders.push((id, copies.min(16)));
        }
        self.orders_done(function);
    }

    fn orders_done(&mut self, function: &str) {
        let Some(model) = self.models.get_mut(function) else {
            return;
        };
        let ready = model.ready;
        let (done, open) = std::mem::take(&mut model.orders)
            .into_iter()
            .partition(|(_, n)| *n <= ready);
        model.orders = open;
        let done: Vec<(u64, u32)> = done;
        self.out
            .extend(done.into_iter().map(|(id, _)| Happened::Ordered {
                id,
                copies: ready,
                result: Ok(()),
            }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(id: u64, function: &str) -> Incoming {
        Incoming {
            id,
            function: function.into(),
            ..Incoming::default()
        }
    }

    fn run(worker: &mut WorkerCore, until: Time) -> Vec<(Time, Happened)> {
        let mut all: Vec<_> = worker.take().into_iter().map(|h| (worker.now, h)).collect();
        while let Some(due) = worker.next_due().filter(|d| *d <= until) {
            worker.on_time(due);
            all.extend(worker.take().into_iter().map(|h| (due, h)));
        }
        worker.on_time(until);
        all.extend(worker.take().into_iter().map(|h| (until, h)));
        all
    }

    fn done(all: &[(Time, Happened)], wanted: u64) -> Option<(Time, Result<Met, Refused>)> {
        all.iter().find_map(|(t, h)| match h {
            Happened::Done { id, result, .. } if *id == wanted => Some((*t, *result)),
            _ => None,
        })
    }

    fn warm() -> WorkerSettings {
        WorkerSettings {
            initial_weight: 1.0,
            ..WorkerSettings::default()
        }
    }

    #[test]
    fn a_call_loads_its_model_and_the_next_finds_it() {
        let mut w = WorkerCore::new(warm(), false, 0);
        w.call(0, call(1, "f"));
        w.call(100 * MS, call(2, "f"));
        let all = run(&mut w, 1_000 * MS);
        assert_eq!(
            done(&all, 1).map(|d| (d.0 / MS, d.1)),
            Some((560, Ok(Met::Began)))
        );
        assert_eq!(done(&all, 2).map(|d| d.1), Some(Ok(Met::Waited)));
        w.call(1_000 * MS, call(3, "f"));
        let all = run(&mut w, 2_000 * MS);
        assert_eq!(
            done(&all, 3).map(|d| (d.0 / MS, d.1)),
            Some((1_060, Ok(Met::Warm)))
        );
        run(&mut w, 12_000 * MS);
        assert_eq!(w.index(), []);
    }

    #[test]
    fn memory_is_bounded_and_idle_copies_give_way() {
        let mut w = WorkerCore::new(
            WorkerSettings {
                memory_mb: 8_000.0,
                ..warm()
            },
            false,
            0,
        );
        w.call(0, call(1, "a"));
        w.call(0, call(2, "b"));
        w.call(0, call(3, "c"));
        assert_eq!(
            done(&run(&mut w, MS), 3).map(|d| d.1),
            Some(Err(Refused::NoMemory))
        );
        run(&mut w, 1_000 * MS);
        w.call(1_000 * MS, call(4, "c"));
        let all = run(&mut w, 2_000 * MS);
        assert_eq!(done(&all, 4).map(|d| d.1), Some(Ok(Met::Began)));
        assert!(w.memory_used() <= 8_000.0);
    }

    #[test]
    fn a_failed_load_is_told_as_failed() {
        let mut w = WorkerCore::new(warm(), true, 0);
        w.call(0, call(1, "f"));
        w.order(0, 9, "f", 1);
        assert_eq!(w.take(), [Happened::Fetch("f".into())]);
        w.fetched(MS, "f", false);
        let all = w.take();
        assert!(
            all.contains(&Happened::Done {
                id: 1,
                result: Err(Refused::LoadFailed),
                alike: 0
            }),
            "{all:?}"
        );
        assert!(all.contains(&Happened::Ordered {
            id: 9,
            copies: 0,
            result: Err(Refused::LoadFailed)
        }));
    }

    #[test]
    fn repeats_of_a_key_are_dropped_for_a_while() {
        let mut w = WorkerCore::new(warm(), false, 0);
        let keyed = |id| Incoming {
            key: Some("k".into()),
            ..call(id, "f")
        };
        w.call(0, keyed(1));
        run(&mut w, 1_000 * MS);
        w.call(1_000 * MS, keyed(2));
        assert!(run(&mut w, 2_000 * MS).iter().any(|(_, h)| *h
            == Happened::Ran {
                id: 2,
                dropped: true
            }));
        w.call(9_000 * MS, keyed(3));
        assert!(run(&mut w, 10_000 * MS).iter().any(|(_, h)| *h
            == Happened::Ran {
                id: 3,
                dropped: false
            }));
    }

    #[test]
    fn a_cold_worker_is_slow_and_falls_over_when_it_is_sent_too_much() {
        let cold = WorkerSettings {
            overload_factor: 2.0,
            queue: 1_000,
            ..WorkerSettings::default()
        };
        let mut w = WorkerCore::new(cold.clone(), false, 0);
        // 33 calls a second when warm, 0.3 of it cold: 2 x 10 x 2 s = 40 calls, and slack.
        (0..40).for_each(|n| w.call(n * MS, call(n, "f")));
        assert!(
            !w.take()
                .iter()
                .any(|h| matches!(h, Happened::FellOver { .. }))
        );
        (40..50).for_each(|n| w.call(n * MS, call(n, "f")));
        assert!(
            w.take()
                .iter()
                .any(|h| matches!(h, Happened::FellOver { .. }))
        );
        let mut w = WorkerCore::new(cold, false, 0);
        w.call(0, call(1, "f"));
        let at = done(&run(&mut w, 5_000 * MS), 1).expect("served").0;
        assert!(at > 600 * MS, "{at}");
    }
}
