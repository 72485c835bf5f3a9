//! One front end: the task that owns an engine and passes it the events of sources, workers and directories.

mod outputs;
mod source;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pipithub_baselines::{Baseline, Policy};
use pipithub_clock::Clock;
use pipithub_consumer::message::ClassName;
use pipithub_engine::policy::{Endpoint, EndpointUpdate, WorkerId};
use pipithub_engine::{AttemptId, Engine, Input, Output, SourceId, Time};
use pipithub_settings::{Config, FixedWorker};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

use self::source::Source;
pub(crate) use self::source::{SourceCommand, SourceHandle};
use crate::Snapshot;
use crate::directory::DirectoryEvent;
use crate::tenancy::Tenancy;
use crate::worker_keys::WorkerKeys;
use crate::workers::WorkerClient;

/// The capacity of the engine's input queue; senders wait while it is full.
const MAX_QUEUED_INPUTS: usize = 4096;
/// The maximum number of inputs that the engine handles in one turn of the event loop.
const MAX_INPUT_BATCH: usize = 256;
/// How long sources may take to close their connections after the last trigger is settled.
const SOURCE_CLOSE_TIME: Duration = Duration::from_millis(20);

/// An engine with the channels around it.
pub(crate) struct FrontEndTask {
    name: String,
    classes: Vec<ClassName>,
    clock: Clock,
    engine: Engine,
    /// How long a graceful shutdown waits for pending requests.
    drain_timeout: Time,
    workers: Arc<WorkerClient>,
    inputs: mpsc::Receiver<Input>,
    inputs_sender: mpsc::Sender<Input>,
    sources: BTreeMap<SourceId, Source>,
    /// Cancels the attempts that are in flight.
    cancellations: BTreeMap<AttemptId, oneshot::Sender<()>>,
    snapshot: watch::Sender<Snapshot>,
    /// Outputs of the engine that are not executed yet.
    outputs: Vec<Output>,
    tenancy: Option<Tenancy>,
    worker_keys: WorkerKeys,
    /// Inputs that admission has produced for the engine and that are not handled yet.
    engine_inputs: Vec<Input>,
}

fn new_engine(config: &Config, seed: u64, baseline: Option<Policy>) -> Engine {
    let settings = config.engine.clone();
    match baseline {
        None => Engine::new(settings, seed),
        Some(policy) => {
            let baseline = Baseline::new(policy, settings.policy.clone());
            Engine::with_decider(Box::new(baseline), settings)
        }
    }
}

/// The next event of the directories. Never completes if the settings have no tenants.
async fn next_directory_event(tenancy: &mut Option<Tenancy>) -> Option<DirectoryEvent> {
    match tenancy {
        Some(tenancy) => tenancy.next_event().await,
        None => std::future::pending().await,
    }
}

impl FrontEndTask {
    /// Creates a front end that has no sources, tenants or endpoints yet.
    pub(crate) fn new(
        name: &str,
        config: &Config,
        clock: Clock,
        seed: u64,
        baseline: Option<Policy>,
    ) -> Self {
        let (inputs_sender, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
        FrontEndTask {
            name: name.to_string(),
            classes: config.classes.clone(),
            clock,
            engine: new_engine(config, seed, baseline),
            drain_timeout: config.drain_timeout,
            workers: Arc::new(WorkerClient::new(name, config.http, clock)),
            inputs,
            inputs_sender,
            sources: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            snapshot: watch::channel(Snapshot::default()).0,
            outputs: Vec::new(),
            tenancy: None,
            worker_keys: WorkerKeys::new(config, clock.read()),
            engine_inputs: Vec::new(),
        }
    }

    /// Makes all calls pass admission by tenant.
    pub(crate) fn set_tenancy(&mut self, tenancy: Tenancy) {
        self.tenancy = Some(tenancy);
    }

    /// Adds a source and returns the source's end of the channels.
    pub(crate) fn add_source(&mut self, id: SourceId) -> SourceHandle {
        let (source, handle) = Source::new(self.engine.capacity());
        self.sources.insert(id, source);
        handle
    }

    /// The queue to which sources and other tasks send their events.
    pub(crate) fn inputs(&self) -> mpsc::Sender<Input> {
        self.inputs_sender.clone()
    }

    /// Watches the state of this front end. The channel closes when the front end has ended.
    pub(crate) fn snapshots(&self) -> watch::Receiver<Snapshot> {
        self.snapshot.subscribe()
    }

    /// Uses the workers of the settings as the endpoint list.
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

    /// Handles an input before [`FrontEndTask::run`] is called.
    pub(crate) fn handle_before_start(&mut self, input: Input) {
        self.engine
            .handle(self.clock.now(), input, &mut self.outputs);
    }

    /// Runs until a shutdown is requested and then all requests are settled or the drain time has elapsed.
    pub(crate) async fn run(mut self, mut shutdown: watch::Receiver<bool>) {
        info!(
            front_end = self.name,
            workers = self.engine.ready_workers(),
            "front end up"
        );
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        let mut drain_deadline = None;
        loop {
            self.execute_outputs();
            self.publish_state();
            if drain_deadline.is_some_and(|deadline| self.is_drained_by(deadline)) {
                break;
            }
            let due = self.next_due(drain_deadline);
            tokio::select! {
                event = next_directory_event(&mut self.tenancy) => {
                    let Some(event) = event else { break };
                    self.handle_directory_event(event);
                }
                count = self.inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    if count == 0 {
                        break;
                    }
                }
                () = self.clock.sleep_until(due) => batch.push(Input::Tick),
                _ = shutdown.wait_for(|requested| *requested), if drain_deadline.is_none() => {
                    drain_deadline = Some(self.begin_drain());
                    batch.push(Input::Drain);
                }
            }
            for input in batch.drain(..) {
                self.handle_input(input);
                // An answer must not wait for the rest of the batch.
                self.execute_outputs();
            }
        }
        self.log_end();
        // Sources close their connections by themselves once their last answer is settled.
        tokio::time::sleep(SOURCE_CLOSE_TIME).await;
    }

    /// Whether a drain has ended, because nothing is pending or because its deadline has passed.
    fn is_drained_by(&self, deadline: Time) -> bool {
        self.engine.pending_requests() + self.pending_admissions() == 0
            || self.clock.now() >= deadline
    }

    fn pending_admissions(&self) -> usize {
        self.tenancy.as_ref().map_or(0, Tenancy::pending)
    }

    /// The earliest time at which the engine or admission needs a tick, or the drain ends.
    fn next_due(&self, drain_deadline: Option<Time>) -> Option<Time> {
        let admission_due = self.tenancy.as_ref().and_then(Tenancy::next_due);
        [self.engine.next_due(), drain_deadline, admission_due]
            .into_iter()
            .flatten()
            .min()
    }

    /// Tells all sources to accept no new triggers, and returns the deadline for the pending ones.
    fn begin_drain(&mut self) -> Time {
        info!(
            front_end = self.name,
            pending_requests = self.engine.pending_requests(),
            "shutting down"
        );
        for source in self.sources.values() {
            source.send(SourceCommand::Shutdown);
        }
        self.clock.now() + self.drain_timeout
    }

    fn log_end(&self) {
        let pending = self.engine.pending_requests();
        if pending > 0 {
            warn!(
                front_end = self.name,
                pending_requests = pending,
                "drain timed out with unsettled requests; their sources will redeliver them"
            );
        }
        info!(front_end = self.name, "front end down");
    }

    fn handle_directory_event(&mut self, event: DirectoryEvent) {
        let now = self.clock.now();
        if let Some(tenancy) = &mut self.tenancy {
            tenancy.handle_directory_event(now, event, &mut self.engine_inputs);
        }
    }

    /// Passes an input to the engine. With tenants, new triggers pass admission first.
    fn handle_input(&mut self, input: Input) {
        if let Input::AttemptFinished(result) = &input {
            self.cancellations.remove(&result.id);
        }
        let now = self.clock.now();
        let Some(tenancy) = &mut self.tenancy else {
            return self.pass_to_engine(now, input);
        };
        match input {
            // A redelivery that joins its request bypasses admission, which must not reject what is running already. Its
            // message is the same to the last byte as the one that was admitted, user and function included.
            Input::Trigger(trigger) if !self.engine.joins_pending_request(&trigger) => {
                tenancy.arrive(now, trigger, &mut self.engine_inputs);
            }
            Input::SourceLost(source) => {
                tenancy.source_lost(now, source, &mut self.engine_inputs);
                self.pass_to_engine(now, Input::SourceLost(source));
            }
            other => {
                tenancy.tick(now, self.engine.pending_requests(), &mut self.engine_inputs);
                self.pass_to_engine(now, other);
            }
        }
    }

    fn pass_to_engine(&mut self, now: Time, input: Input) {
        let input = self.worker_keys.apply(now, input);
        self.engine.handle(now, input, &mut self.outputs);
    }

    /// Publishes the remaining capacity to the sources and a snapshot to observers.
    fn publish_state(&mut self) {
        let pending_admissions = self.pending_admissions();
        let capacity = self.engine.capacity().saturating_sub(pending_admissions);
        for source in self.sources.values() {
            source.set_capacity(capacity);
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
}
