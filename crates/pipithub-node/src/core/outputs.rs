//! Carries out what the engine asks for.

use pipithub_engine::policy::{Outcome, WorkerId};
use pipithub_engine::{AttemptId, Call, Input, Output, Time};
use pipithub_platform::worker::{self, RunRequest};
use tracing::debug;

use super::Core;
use super::workers::unanswered;
use crate::worker_pool::{Payload, RequestKind, WorkerRequest};

/// A probe without an answer by then is none.
const LOAD_POLL_TIMEOUT: Time = 250_000_000;

impl Core {
    pub(super) fn perform(&mut self, now: Time, output: Output) {
        match output {
            Output::Forward {
                id,
                worker,
                call,
                deadline,
            } => self.forward(now, id, worker, &call, deadline),
            Output::Cancel(id) => {
                let Some(worker) = self.in_flight.get(&id).cloned() else {
                    return;
                };
                let (took, back) = self
                    .worker_pool
                    .cancel(now, &worker, id)
                    .map_or((0, false), |(request, back)| {
                        (now.saturating_sub(request.began), back)
                    });
                let outcome = if back {
                    Outcome::NotSent
                } else {
                    Outcome::Cancelled
                };
                self.attempt_ended(unanswered(id, outcome, took));
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
                let tag = self.next_reference();
                let line = worker::load_function_line(&tag, &name, copies);
                let request = WorkerRequest::new(
                    RequestKind::LoadFunction(function),
                    tag,
                    line,
                    now,
                    now + self.site.transport.load_command_timeout,
                );
                self.submit(now, &worker, request);
            }
            Output::EvictFunction { worker, name } => {
                let line = worker::evict_function_line(&name);
                let request = WorkerRequest::new(
                    RequestKind::EvictFunction,
                    name.to_string(),
                    line,
                    now,
                    now + self.site.transport.load_command_timeout,
                );
                self.submit(now, &worker, request);
            }
            Output::PollLoad(worker) => {
                let tag = self.next_reference();
                let line = worker::poll_load_line(&tag);
                self.submit(
                    now,
                    &worker,
                    WorkerRequest::new(
                        RequestKind::PollLoad,
                        tag,
                        line,
                        now,
                        now + LOAD_POLL_TIMEOUT,
                    ),
                );
            }
            Output::Answer { ticket, reply } => {
                let request = self.engine.request(ticket);
                self.abandon_attempts(now, request);
                self.answer_client(now, ticket.number, &reply);
                self.inputs.push_back(Input::Settled(ticket));
            }
            // Nothing is delivered twice here, and the list is followed from the start.
            Output::Forget(_) | Output::WatchEndpoints => {}
        }
    }

    fn forward(&mut self, now: Time, id: AttemptId, worker: WorkerId, call: &Call, deadline: Time) {
        let name = call.label.as_deref().unwrap_or_default();
        let class = self
            .site
            .names
            .classes
            .get(call.class)
            .map_or("", String::as_str);
        debug!(
            front_end = self.name,
            request = id.request,
            call = name,
            class,
            function = &*call.function,
            worker = &*worker.0,
            attempt = id.number,
            "send"
        );
        let payload = Payload::Run(RunRequest {
            call: name.to_string(),
            class: class.to_string(),
            function: call.function.clone(),
            key: call.idempotency_key.clone(),
            body: call.body.clone(),
        });
        let request = WorkerRequest::new(
            RequestKind::Attempt(id),
            name.to_string(),
            payload,
            now,
            deadline,
        );
        self.in_flight.insert(id, worker.clone());
        self.submit(now, &worker, request);
    }

    /// Hands a request to the pool; what cannot be sent is told to the engine after the present input.
    fn submit(&mut self, now: Time, worker: &WorkerId, request: WorkerRequest) {
        self.worker_pool.submit(now, worker, request);
        self.record_failures(now);
    }

    fn next_reference(&mut self) -> String {
        self.next_tag += 1;
        format!("t{}", self.next_tag)
    }
}
