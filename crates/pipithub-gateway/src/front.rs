//! One front end: a task that owns the engine, and the channels around it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pipithub_baselines::{Baseline, Policy};
use pipithub_clock::Clock;
use pipithub_consumer::message::ClassName;
use pipithub_engine::policy::{Endpoint, EndpointUpdate, WorkerId};
use pipithub_engine::{AttemptId, Engine, Input, Output, Reply, SourceId, Ticket, Time, Verdict};
use pipithub_settings::{Config, FixedWorker};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, info, warn};

use crate::Snapshot;
use crate::tenancy::Tenancy;
use crate::workers::Pool;

/// Inputs that wait for the engine; sources and workers wait in turn when it is full.
const INPUTS: usize = 4096;

/// What a source is told.
#[derive(Debug)]
pub(crate) enum Order {
    /// Give the final answer and settle, both or neither.
    Answer(Ticket, Arc<Reply>),
    /// Settle without an answer.
    Forget(Ticket),
    /// Take nothing new; end when all is settled.
    Stop,
}

/// A source's end of its channels.
pub(crate) struct SourceHandle {
    /// Not bounded by itself: the engine holds no more triggers than `max-open`, and owes each one order.
    pub(crate) orders: mpsc::UnboundedReceiver<Order>,
    pub(crate) room: watch::Receiver<usize>,
}

struct Source {
    orders: mpsc::UnboundedSender<Order>,
    room: watch::Sender<usize>,
}

pub(crate) struct Front {
    name: String,
    classes: Vec<ClassName>,
    clock: Clock,
    engine: Engine,
    drain: Time,
    pool: Arc<Pool>,
    inputs: mpsc::Receiver<Input>,
    sender: mpsc::Sender<Input>,
    sources: BTreeMap<SourceId, Source>,
    cancels: BTreeMap<AttemptId, oneshot::Sender<()>>,
    snapshot: watch::Sender<Snapshot>,
    out: Vec<Output>,
    tenancy: Option<Tenancy>,
    /// What the gate hands to the engine.
    inward: Vec<Input>,
}

impl Front {
    pub(crate) fn new(
        name: &str,
        config: &Config,
        clock: Clock,
        seed: u64,
        pool: Arc<Pool>,
        baseline: Option<Policy>,
    ) -> (Self, mpsc::Sender<Input>) {
        let (sender, inputs) = mpsc::channel(INPUTS);
        let settings = config.engine.clone();
        let engine = match baseline {
            None => Engine::new(settings, seed),
            Some(policy) => {
                let baseline = Baseline::new(policy, settings.policy.clone());
                Engine::deciding_by(Box::new(baseline), settings)
            }
        };
        let front = Front {
            name: name.to_string(),
            classes: config.classes.clone(),
            clock,
            engine,
            drain: config.drain,
            pool,
            inputs,
            sender: sender.clone(),
            sources: BTreeMap::new(),
            cancels: BTreeMap::new(),
            snapshot: watch::channel(Snapshot::default()).0,
            out: Vec::new(),
            tenancy: None,
            inward: Vec::new(),
        };
        (front, sender)
    }

    pub(crate) fn keep_tenants(&mut self, tenancy: Tenancy) {
        self.tenancy = Some(tenancy);
    }

    pub(crate) fn add_source(&mut self, id: SourceId) -> SourceHandle {
        let (orders, receiver) = mpsc::unbounded_channel();
        let (room, watched) = watch::channel(self.engine.capacity());
        self.sources.insert(id, Source { orders, room });
        SourceHandle {
            orders: receiver,
            room: watched,
        }
    }

    pub(crate) fn snapshot(&self) -> watch::Receiver<Snapshot> {
        self.snapshot.subscribe()
    }

    pub(crate) fn fixed_workers(&mut self, workers: &[FixedWorker]) {
        let entry = |worker: &FixedWorker| Endpoint {
            worker: WorkerId::new(&worker.address),
            zone: worker.zone.clone(),
            memory_mb: worker.memory_mb,
            ..Endpoint::default()
        };
        self.first(Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: workers.iter().map(entry).collect(),
        });
    }

    /// An input before anything runs.
    pub(crate) fn first(&mut self, input: Input) {
        self.engine.handle(self.clock.now(), input, &mut self.out);
    }

    pub(crate) async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        info!(
            front_end = self.name,
            workers = self.engine.ready_workers(),
            "front end up"
        );
        let mut batch = Vec::with_capacity(256);
        let mut end = None;
        loop {
            self.carry_out();
            self.tell();
            let pending = self.tenancy.as_ref().map_or(0, Tenancy::pending);
            if end.is_some_and(|end| {
                self.engine.pending_requests() + pending == 0 || self.clock.now() >= end
            }) {
                break;
            }
            let gate_due = self.tenancy.as_ref().and_then(Tenancy::next_due);
            let due = [self.engine.next_due(), end, gate_due]
                .into_iter()
                .flatten()
                .min();
            let word = async {
                match &mut self.tenancy {
                    Some(tenancy) => tenancy.word().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                word = word => {
                    let Some(word) = word else { break };
                    let now = self.clock.now();
                    if let Some(tenancy) = &mut self.tenancy {
                        tenancy.told(now, word, &mut self.inward);
                    }
                }
                count = self.inputs.recv_many(&mut batch, 256) => {
                    if count == 0 {
                        break;
                    }
                }
                () = self.clock.sleep_until(due) => batch.push(Input::Tick),
                _ = stopped.wait_for(|s| *s), if end.is_none() => {
                    info!(front_end = self.name, open = self.engine.pending_requests(), "stopping");
                    end = Some(self.clock.now() + self.drain);
                    self.sources.values().for_each(|s| drop(s.orders.send(Order::Stop)));
                    batch.push(Input::Drain);
                }
            }
            for input in batch.drain(..) {
                if let Input::AttemptFinished(done) = &input {
                    self.cancels.remove(&done.id);
                }
                self.input(input);
                // Carried out at once: an answer must not wait for the rest of the batch.
                self.carry_out();
            }
        }
        let left = self.engine.pending_requests();
        if left > 0 {
            warn!(
                front_end = self.name,
                left, "stopped with calls that are not settled; their sources deliver them again"
            );
        }
        info!(front_end = self.name, "front end down");
        // A last answer has been settled; its source closes its connection in its own time.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Hands an input to the engine, a new call to the gate first.
    fn input(&mut self, input: Input) {
        let now = self.clock.now();
        let Some(tenancy) = &mut self.tenancy else {
            return self.engine.handle(now, input, &mut self.out);
        };
        match input {
            // What is open or was settled here is decided by that: the gate must not refuse what runs.
            Input::Trigger(trigger)
                if !(trigger.redelivered
                    && trigger
                        .identity
                        .as_ref()
                        .is_some_and(|i| self.engine.knows(i, now))) =>
            {
                tenancy.arrive(now, trigger, &mut self.inward);
            }
            Input::SourceLost(source) => {
                tenancy.lost(now, source, &mut self.inward);
                self.engine
                    .handle(now, Input::SourceLost(source), &mut self.out);
            }
            other => {
                tenancy.tick(now, self.engine.pending_requests(), &mut self.inward);
                self.engine.handle(now, other, &mut self.out);
            }
        }
    }

    /// Tells sources how much room there is, and whoever looks how things stand.
    fn tell(&mut self) {
        let waiting = self.tenancy.as_ref().map_or(0, Tenancy::pending);
        let room = self.engine.capacity().saturating_sub(waiting);
        for source in self.sources.values() {
            source
                .room
                .send_if_modified(|known| std::mem::replace(known, room) != room);
        }
        let snapshot = Snapshot {
            stats: self.engine.stats(),
            open: self.engine.pending_requests(),
            bytes: self.engine.body_bytes(),
            workers: self.engine.ready_workers(),
            waiting,
        };
        self.snapshot
            .send_if_modified(|known| std::mem::replace(known, snapshot) != snapshot);
    }

    fn carry_out(&mut self) {
        while !self.out.is_empty() || !self.inward.is_empty() {
            for input in std::mem::take(&mut self.inward) {
                self.engine.handle(self.clock.now(), input, &mut self.out);
            }
            let mut out = std::mem::take(&mut self.out);
            for output in out.drain(..) {
                self.one(output);
            }
            if self.out.is_empty() {
                self.out = out;
            }
        }
    }

    fn one(&mut self, output: Output) {
        match output {
            Output::Forward {
                id,
                worker,
                call,
                deadline,
            } => {
                debug!(
                    front_end = self.name,
                    request = id.request,
                    label = call.label.as_deref(),
                    class = self.classes.get(call.class).map(|c| c.name.as_str()),
                    tenant = self.tenancy.as_ref().and_then(|t| t.name(call.tenant)),
                    user = call.user.as_deref(),
                    function = &*call.function,
                    worker = &*worker.0,
                    attempt = id.number,
                    "send"
                );
                let (cancel, cancelled) = oneshot::channel();
                self.cancels.insert(id, cancel);
                let (pool, sender) = (self.pool.clone(), self.sender.clone());
                tokio::spawn(async move {
                    let end = pool.attempt(id, &worker, &call, deadline, cancelled).await;
                    let _ = sender.send(Input::AttemptFinished(end)).await;
                });
            }
            Output::Cancel(id) => {
                // The attempt ends as withdrawn, unless its outcome is on its way already.
                if let Some(cancel) = self.cancels.remove(&id) {
                    let _ = cancel.send(());
                }
            }
            Output::LoadFunction {
                worker,
                function,
                name,
                replicas: copies,
            } => {
                debug!(
                    front_end = self.name,
                    worker = &*worker.0,
                    function = &*name,
                    copies,
                    "order"
                );
                let (pool, sender) = (self.pool.clone(), self.sender.clone());
                tokio::spawn(async move {
                    let end = pool.order(worker, function, &name, copies).await;
                    let _ = sender.send(Input::LoadCommandFinished(end)).await;
                });
            }
            Output::EvictFunction { worker, name } => {
                let pool = self.pool.clone();
                tokio::spawn(async move { pool.unload(worker, &name).await });
            }
            Output::PollLoad(worker) => {
                let (pool, sender) = (self.pool.clone(), self.sender.clone());
                tokio::spawn(async move {
                    let end = pool.probe(worker).await;
                    let _ = sender.send(Input::LoadPolled(end)).await;
                });
            }
            Output::Answer { ticket, reply } => {
                let (tenant, user) = self.tenancy.as_ref().map_or((None, None), |t| t.of(ticket));
                let worker = reply.worker.as_ref().map(|w| &*w.0);
                if reply.verdict == Verdict::Failed {
                    info!(front_end = self.name, source = ticket.source.0, ticket = ticket.number,
                        tenant, user, cause = reply.cause.as_str(), attempts = reply.attempts, worker, last = ?reply.last_outcome,
                        "failed");
                } else {
                    debug!(
                        front_end = self.name,
                        source = ticket.source.0,
                        ticket = ticket.number,
                        tenant,
                        user,
                        verdict = reply.verdict.as_str(),
                        cause = reply.cause.as_str(),
                        attempts = reply.attempts,
                        worker,
                        "answer"
                    );
                }
                let now = self.clock.now();
                if let Some(tenancy) = &mut self.tenancy {
                    tenancy.answered(now, ticket, Some(&reply), &mut self.inward);
                }
                self.order(ticket.source, Order::Answer(ticket, reply));
            }
            Output::Forget(ticket) => {
                let now = self.clock.now();
                if let Some(tenancy) = &mut self.tenancy {
                    tenancy.answered(now, ticket, None, &mut self.inward);
                }
                self.order(ticket.source, Order::Forget(ticket));
            }
            // Lists are followed from the start here.
            Output::WatchEndpoints => {}
        }
    }

    fn order(&self, source: SourceId, order: Order) {
        if let Some(source) = self.sources.get(&source) {
            let _ = source.orders.send(order);
        }
    }
}
