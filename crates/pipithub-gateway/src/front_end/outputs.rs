//! Executes the outputs of the engine: requests to workers and commands to sources.

use std::future::Future;
use std::sync::Arc;

use pipithub_engine::policy::{HealthCheckOutcome, HealthChecked, WorkerId};
use pipithub_engine::{AttemptId, Call, Input, Output, Reply, SourceId, Ticket, Verdict};
use tokio::sync::oneshot;
use tracing::{debug, info};

use super::{FrontEndTask, SourceCommand};
use crate::tenancy::CallerNames;
use crate::workers::{LoadCommand, TimeLimits};

impl FrontEndTask {
    /// Executes outputs until neither the engine nor admission produces more of them.
    pub(super) fn execute_outputs(&mut self) {
        while !self.outputs.is_empty() || !self.engine_inputs.is_empty() {
            for input in std::mem::take(&mut self.engine_inputs) {
                self.pass_to_engine(self.clock.now(), input);
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            for output in outputs.drain(..) {
                self.execute(output);
            }
            // Keeps the buffer's allocation for the next turn.
            if self.outputs.is_empty() {
                self.outputs = outputs;
            }
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Forward {
                id,
                worker,
                call,
                deadline,
                send_by,
            } => {
                let limits = TimeLimits {
                    deadline: Some(deadline),
                    send_by,
                };
                self.forward(id, worker, call, limits);
            }
            Output::Cancel(id) => self.cancel(id),
            Output::LoadFunction {
                worker,
                function,
                name,
                replicas,
                send_by,
            } => {
                let command = LoadCommand {
                    function,
                    name,
                    replicas,
                    send_by,
                };
                self.load_function(worker, command);
            }
            Output::EvictFunction { worker, name } => self.evict_function(worker, name),
            Output::PollLoad(worker) => self.poll_load(worker),
            Output::CheckHealth(worker) => self.check_health(worker),
            Output::Answer { ticket, reply } => self.answer(ticket, reply),
            // The gateway watches the endpoint list from its start.
            Output::WatchEndpoints => {}
        }
    }

    fn forward(&mut self, id: AttemptId, worker: WorkerId, call: Arc<Call>, limits: TimeLimits) {
        let tenancy = self.tenancy.as_ref();
        debug!(
            front_end = self.name,
            request = id.request.0,
            label = call.message_id.as_deref(),
            class = self
                .classes
                .get(call.class)
                .map(|class| class.name.as_str()),
            tenant = tenancy.and_then(|tenancy| tenancy.tenant_name(call.tenant)),
            user = call.user.as_deref(),
            function = &*call.function,
            worker = &*worker.0,
            attempt = id.number,
            "forwarding request"
        );
        let (cancel, cancelled) = oneshot::channel();
        self.cancellations.insert(id, cancel);
        let workers = self.workers.clone();
        self.spawn_for_input(async move {
            let result = workers.attempt(id, &worker, &call, limits, cancelled).await;
            Input::AttemptFinished(result)
        });
    }

    /// Cancels an attempt. It ends as cancelled unless it has finished already and its outcome is still queued.
    fn cancel(&mut self, id: AttemptId) {
        if let Some(cancel) = self.cancellations.remove(&id) {
            let _ = cancel.send(());
        }
    }

    fn load_function(&self, worker: WorkerId, command: LoadCommand) {
        debug!(
            front_end = self.name,
            worker = &*worker.0,
            function = &*command.name,
            replicas = command.replicas,
            "sending load command"
        );
        let workers = self.workers.clone();
        self.spawn_for_input(async move {
            Input::LoadCommandFinished(workers.load_function(worker, command).await)
        });
    }

    fn evict_function(&self, worker: WorkerId, name: Arc<str>) {
        let workers = self.workers.clone();
        tokio::spawn(async move { workers.evict_function(worker, &name).await });
    }

    fn poll_load(&self, worker: WorkerId) {
        let workers = self.workers.clone();
        self.spawn_for_input(async move { Input::LoadPolled(workers.poll_load(worker).await) });
    }

    /// Checks the health of a worker by a load poll; a worker that answers it is healthy.
    fn check_health(&self, worker: WorkerId) {
        let (workers, clock) = (self.workers.clone(), self.clock);
        self.spawn_for_input(async move {
            let sent_at = clock.now();
            let polled = workers.poll_load(worker).await;
            Input::HealthChecked(HealthChecked {
                worker: polled.worker,
                outcome: if polled.answered {
                    HealthCheckOutcome::Healthy
                } else {
                    HealthCheckOutcome::Unanswered
                },
                elapsed: clock.now().saturating_sub(sent_at),
                connected_at: 0,
            })
        });
    }

    fn answer(&mut self, ticket: Ticket, reply: Arc<Reply>) {
        self.log_answer(ticket, &reply);
        self.finish_admission(ticket, &reply);
        self.send_command(ticket.source, SourceCommand::Answer(ticket, reply));
    }

    fn log_answer(&self, ticket: Ticket, reply: &Reply) {
        let tenancy = self.tenancy.as_ref();
        let CallerNames { tenant, user } =
            tenancy.map_or_else(CallerNames::default, |tenancy| tenancy.caller_names(ticket));
        let worker = reply.worker.as_ref().map(|worker| &*worker.0);
        if reply.verdict == Verdict::Failed {
            info!(
                front_end = self.name,
                source = ticket.source.0,
                ticket = ticket.number,
                tenant,
                user,
                cause = reply.cause.as_str(),
                attempts = reply.attempts,
                worker,
                last = ?reply.last_outcome,
                "request failed"
            );
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
                "request answered"
            );
        }
    }

    fn finish_admission(&mut self, ticket: Ticket, reply: &Reply) {
        let now = self.clock.now();
        if let Some(tenancy) = &mut self.tenancy {
            tenancy.answered(now, ticket, reply, &mut self.engine_inputs);
        }
    }

    fn send_command(&self, source: SourceId, command: SourceCommand) {
        if let Some(source) = self.sources.get(&source) {
            source.send(command);
        }
    }

    /// Spawns a task whose result is an input for the engine.
    fn spawn_for_input(&self, task: impl Future<Output = Input> + Send + 'static) {
        let inputs = self.inputs_sender.clone();
        tokio::spawn(async move {
            let input = task.await;
            let _ = inputs.send(input).await;
        });
    }
}
