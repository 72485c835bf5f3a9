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
use crate::tenancy::{CallerNames, Tenancy};
use crate::workers::WorkerClient;

/// Inputs queued for the engine; senders wait while the queue is full.
const MAX_QUEUED_INPUTS: usize = 4096;

/// A command from the front end to one of its sources.
#[derive(Debug)]
pub(crate) enum SourceCommand {
    /// Give the final answer and settle, both or neither.
    Answer(Ticket, Arc<Reply>),
    /// Settle without an answer.
    Settle(Ticket),
    /// Take no new triggers; end when all are settled.
    Shutdown,
}

/// A source's end of its channels with the front end.
pub(crate) struct SourceHandle {
    /// Unbounded, but limited in effect: the engine holds at most `max-open` triggers and owes each one command.
    pub(crate) commands: mpsc::UnboundedReceiver<SourceCommand>,
    pub(crate) capacity: watch::Receiver<usize>,
}

struct Source {
    commands: mpsc::UnboundedSender<SourceCommand>,
    capacity: watch::Sender<usize>,
}

pub(crate) struct FrontEnd {
    name: String,
    classes: Vec<ClassName>,
    clock: Clock,
    engine: Engine,
    drain: Time,
    workers: Arc<WorkerClient>,
    inputs: mpsc::Receiver<Input>,
    inputs_sender: mpsc::Sender<Input>,
    sources: BTreeMap<SourceId, Source>,
    cancellations: BTreeMap<AttemptId, oneshot::Sender<()>>,
    snapshot: watch::Sender<Snapshot>,
    outputs: Vec<Output>,
    tenancy: Option<Tenancy>,
    /// Inputs from the admission for the engine.
    engine_inputs: Vec<Input>,
}

impl FrontEnd {
    pub(crate) fn new(
        name: &str,
        config: &Config,
        clock: Clock,
        seed: u64,
        workers: Arc<WorkerClient>,
        baseline: Option<Policy>,
    ) -> (Self, mpsc::Sender<Input>) {
        let (inputs_sender, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
        let settings = config.engine.clone();
        let engine = match baseline {
            None => Engine::new(settings, seed),
            Some(policy) => {
                let baseline = Baseline::new(policy, settings.policy.clone());
                Engine::deciding_by(Box::new(baseline), settings)
            }
        };
        let front_end = FrontEnd {
            name: name.to_string(),
            classes: config.classes.clone(),
            clock,
            engine,
            drain: config.drain,
            workers,
            inputs,
            inputs_sender: inputs_sender.clone(),
            sources: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            snapshot: watch::channel(Snapshot::default()).0,
            outputs: Vec::new(),
            tenancy: None,
            engine_inputs: Vec::new(),
        };
        (front_end, inputs_sender)
    }

    pub(crate) fn set_tenancy(&mut self, tenancy: Tenancy) {
        self.tenancy = Some(tenancy);
    }

    pub(crate) fn add_source(&mut self, id: SourceId) -> SourceHandle {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (capacity, watched) = watch::channel(self.engine.capacity());
        self.sources.insert(id, Source { commands, capacity });
        SourceHandle {
            commands: receiver,
            capacity: watched,
        }
    }

    pub(crate) fn snapshots(&self) -> watch::Receiver<Snapshot> {
        self.snapshot.subscribe()
    }

    pub(crate) fn set_fixed_workers(&mut self, workers: &[FixedWorker]) {
        let endpoint = |worker: &FixedWorker| Endpoint {
            worker: WorkerId::new(&worker.address),
            zone: worker.zone.clone(),
            memory_mb: worker.memory_mb,
            ..Endpoint::default()
        };
        self.handle_before_start(Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: workers.iter().map(endpoint).collect(),
        });
    }

    /// Handles an input before the front end runs.
    pub(crate) fn handle_before_start(&mut self, input: Input) {
        self.engine
            .handle(self.clock.now(), input, &mut self.outputs);
    }

    pub(crate) async fn run(mut self, mut shutdown: watch::Receiver<bool>) {
        info!(
            front_end = self.name,
            workers = self.engine.ready_workers(),
            "front end up"
        );
        let mut batch = Vec::with_capacity(256);
        let mut drain_deadline = None;
        loop {
            self.execute_outputs();
            self.publish_state();
            let pending_admissions = self.tenancy.as_ref().map_or(0, Tenancy::pending);
            if drain_deadline.is_some_and(|deadline| {
                self.engine.pending_requests() + pending_admissions == 0
                    || self.clock.now() >= deadline
            }) {
                break;
            }
            let admission_due = self.tenancy.as_ref().and_then(Tenancy::next_due);
            let due = [self.engine.next_due(), drain_deadline, admission_due]
                .into_iter()
                .flatten()
                .min();
            let event = async {
                match &mut self.tenancy {
                    Some(tenancy) => tenancy.next_event().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = event => {
                    let Some(event) = event else { break };
                    let now = self.clock.now();
                    if let Some(tenancy) = &mut self.tenancy {
                        tenancy.handle_directory_event(now, event, &mut self.engine_inputs);
                    }
                }
                count = self.inputs.recv_many(&mut batch, 256) => {
                    if count == 0 {
                        break;
                    }
                }
                () = self.clock.sleep_until(due) => batch.push(Input::Tick),
                _ = shutdown.wait_for(|asked| *asked), if drain_deadline.is_none() => {
                    info!(front_end = self.name, open = self.engine.pending_requests(), "stopping");
                    drain_deadline = Some(self.clock.now() + self.drain);
                    self.sources.values().for_each(|s| drop(s.commands.send(SourceCommand::Shutdown)));
                    batch.push(Input::Drain);
                }
            }
            for input in batch.drain(..) {
                if let Input::AttemptFinished(done) = &input {
                    self.cancellations.remove(&done.id);
                }
                self.input(input);
                // Executed at once: an answer must not wait for the rest of the batch.
                self.execute_outputs();
            }
        }
        let pending = self.engine.pending_requests();
        if pending > 0 {
            warn!(
                front_end = self.name,
                left = pending,
                "stopped with calls that are not settled; their sources deliver them again"
            );
        }
        info!(front_end = self.name, "front end down");
        // A last answer has been settled; its source closes its connection in its own time.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Hands an input to the engine; new triggers pass the admission first.
    fn input(&mut self, input: Input) {
        let now = self.clock.now();
        let Some(tenancy) = &mut self.tenancy else {
            return self.engine.handle(now, input, &mut self.outputs);
        };
        match input {
            // A redelivery of a request that the engine knows is not admitted again: admission must not reject what runs.
            Input::Trigger(trigger)
                if !(trigger.redelivered
                    && trigger
                        .identity
                        .as_ref()
                        .is_some_and(|i| self.engine.knows(i, now))) =>
            {
                tenancy.arrive(now, trigger, &mut self.engine_inputs);
            }
            Input::SourceLost(source) => {
                tenancy.source_lost(now, source, &mut self.engine_inputs);
                self.engine
                    .handle(now, Input::SourceLost(source), &mut self.outputs);
            }
            other => {
                tenancy.tick(now, self.engine.pending_requests(), &mut self.engine_inputs);
                self.engine.handle(now, other, &mut self.outputs);
            }
        }
    }

    /// Publishes the remaining capacity to the sources, and a snapshot to observers.
    fn publish_state(&mut self) {
        let pending_admissions = self.tenancy.as_ref().map_or(0, Tenancy::pending);
        let capacity = self.engine.capacity().saturating_sub(pending_admissions);
        for source in self.sources.values() {
            source
                .capacity
                .send_if_modified(|known| std::mem::replace(known, capacity) != capacity);
        }
        let snapshot = Snapshot {
            stats: self.engine.stats(),
            pending_requests: self.engine.pending_requests(),
            body_bytes: self.engine.body_bytes(),
            ready_workers: self.engine.ready_workers(),
            pending_admissions,
        };
        self.snapshot
            .send_if_modified(|known| std::mem::replace(known, snapshot) != snapshot);
    }

    fn execute_outputs(&mut self) {
        while !self.outputs.is_empty() || !self.engine_inputs.is_empty() {
            for input in std::mem::take(&mut self.engine_inputs) {
                self.engine
                    .handle(self.clock.now(), input, &mut self.outputs);
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            for output in outputs.drain(..) {
                self.execute(output);
            }
            if self.outputs.is_empty() {
                self.outputs = outputs;
            }
        }
    }

    fn execute(&mut self, output: Output) {
        let tenancy = self.tenancy.as_ref();
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
                    tenant = tenancy.and_then(|t| t.tenant_name(call.tenant)),
                    user = call.user.as_deref(),
                    function = &*call.function,
                    worker = &*worker.0,
                    attempt = id.number,
                    "forward"
                );
                let (cancel, cancelled) = oneshot::channel();
                self.cancellations.insert(id, cancel);
                let (pool, inputs) = (self.workers.clone(), self.inputs_sender.clone());
                tokio::spawn(async move {
                    let result = pool.attempt(id, &worker, &call, deadline, cancelled).await;
                    let _ = inputs.send(Input::AttemptFinished(result)).await;
                });
            }
            Output::Cancel(id) => {
                // The attempt ends as withdrawn, unless its outcome is on its way already.
                if let Some(cancel) = self.cancellations.remove(&id) {
                    let _ = cancel.send(());
                }
            }
            Output::LoadFunction {
                worker,
                function,
                name,
                replicas,
            } => {
                debug!(
                    front_end = self.name,
                    worker = &*worker.0,
                    function = &*name,
                    replicas,
                    "load command"
                );
                let (pool, inputs) = (self.workers.clone(), self.inputs_sender.clone());
                tokio::spawn(async move {
                    let result = pool.load_function(worker, function, &name, replicas).await;
                    let _ = inputs.send(Input::LoadCommandFinished(result)).await;
                });
            }
            Output::EvictFunction { worker, name } => {
                let pool = self.workers.clone();
                tokio::spawn(async move { pool.evict_function(worker, &name).await });
            }
            Output::PollLoad(worker) => {
                let (pool, inputs) = (self.workers.clone(), self.inputs_sender.clone());
                tokio::spawn(async move {
                    let result = pool.poll_load(worker).await;
                    let _ = inputs.send(Input::LoadPolled(result)).await;
                });
            }
            Output::Answer { ticket, reply } => {
                let CallerNames { tenant, user } =
                    tenancy.map_or_else(CallerNames::default, |t| t.caller_names(ticket));
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
                    tenancy.answered(now, ticket, Some(&reply), &mut self.engine_inputs);
                }
                self.send_command(ticket.source, SourceCommand::Answer(ticket, reply));
            }
            Output::Forget(ticket) => {
                let now = self.clock.now();
                if let Some(tenancy) = &mut self.tenancy {
                    tenancy.answered(now, ticket, None, &mut self.engine_inputs);
                }
                self.send_command(ticket.source, SourceCommand::Settle(ticket));
            }
            // The endpoint list is watched from the start here.
            Output::WatchEndpoints => {}
        }
    }

    fn send_command(&self, source: SourceId, command: SourceCommand) {
        if let Some(source) = self.sources.get(&source) {
            let _ = source.commands.send(command);
        }
    }
}
