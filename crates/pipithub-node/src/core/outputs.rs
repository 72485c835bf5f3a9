//! Performs the engine's outputs.

use pipithub_engine::policy::FunctionId;
use pipithub_engine::policy::{Outcome, WorkerId};
use pipithub_engine::{AttemptId, Call, Input, Output, Time};
use pipithub_platform::worker::{self, RunRequest};
use tracing::debug;

use super::Core;
use super::workers::unanswered_attempt;
use crate::connection_pool::{CancelResult, CancelledRequest, Payload, RequestKind, WorkerRequest};

/// A load poll without an answer within this time, in nanoseconds, has failed.
const LOAD_POLL_TIMEOUT: Time = 250_000_000;
/// A health check without an answer within this time, in nanoseconds, has failed. No request waits that long for one,
/// but a late answer still tells the state of the worker.
const HEALTH_CHECK_TIMEOUT: Time = 250_000_000;

impl Core {
    /// Performs one output of the engine.
    pub(super) fn perform(&mut self, now: Time, output: Output) {
        match output {
            Output::Forward {
                id,
                worker,
                call,
                deadline,
                send_by,
            } => {
                let request = self.run_request(now, id, &worker, &call, deadline);
                self.in_flight.insert(id, worker.clone());
                self.submit(now, &worker, request.send_by(send_by));
            }
            Output::Cancel(id) => self.cancel_attempt(now, id),
            Output::LoadFunction {
                worker,
                function,
                name,
                replicas,
                send_by,
            } => {
                let request = self.load_command(now, &worker, function, &name, replicas);
                self.submit(now, &worker, request.send_by(send_by));
            }
            Output::EvictFunction { worker, name } => self.evict_function(now, &worker, &name),
            Output::PollLoad(worker) => self.poll_load(now, &worker),
            Output::CheckHealth(worker) => self.check_health(now, &worker),
            Output::Answer { ticket, reply } => {
                let request = self.engine.request(ticket);
                self.abandon_attempts(now, request);
                self.answer_client(now, ticket.number, &reply);
                self.inputs.push_back(Input::Settled(ticket));
            }
            // The endpoint list is watched from the start.
            Output::WatchEndpoints => {}
        }
    }

    fn cancel_attempt(&mut self, now: Time, id: AttemptId) {
        let Some(worker) = self.in_flight.get(&id).cloned() else {
            return;
        };
        match self.connection_pool.cancel(now, &worker, id) {
            CancelResult::Ended(cancelled) => {
                let CancelledRequest { request, not_sent } = *cancelled;
                let outcome = if not_sent {
                    Outcome::NotSent
                } else {
                    Outcome::Cancelled
                };
                let elapsed = now.saturating_sub(request.began);
                self.attempt_ended(unanswered_attempt(id, outcome, elapsed));
            }
            CancelResult::Pending => debug!(
                front_end = self.name,
                request = id.request.0,
                attempt = id.number,
                worker = &*worker.0,
                "attempt stays out until the worker is told to give it up"
            ),
            CancelResult::Unknown => {
                self.attempt_ended(unanswered_attempt(id, Outcome::Cancelled, 0));
            }
        }
    }

    /// Creates the request that has a worker load replicas of a function.
    fn load_command(
        &mut self,
        now: Time,
        worker: &WorkerId,
        function: FunctionId,
        name: &str,
        replicas: u32,
    ) -> WorkerRequest {
        debug!(
            front_end = self.name,
            worker = &*worker.0,
            function = name,
            replicas,
            "load command"
        );
        let reference = self.next_reference();
        let line = worker::load_function_line(&reference, name, replicas);
        let kind = RequestKind::LoadFunction(function);
        let deadline = now + self.site.transport.load_command_timeout;
        WorkerRequest::new(kind, reference, line, now, deadline)
    }

    fn evict_function(&mut self, now: Time, worker: &WorkerId, name: &str) {
        let line = worker::evict_function_line(name);
        let deadline = now + self.site.transport.load_command_timeout;
        let request = WorkerRequest::new(
            RequestKind::EvictFunction,
            name.to_string(),
            line,
            now,
            deadline,
        );
        self.submit(now, worker, request);
    }

    fn poll_load(&mut self, now: Time, worker: &WorkerId) {
        let reference = self.next_reference();
        let line = worker::poll_load_line(&reference);
        let deadline = now + LOAD_POLL_TIMEOUT;
        let request = WorkerRequest::new(RequestKind::PollLoad, reference, line, now, deadline);
        self.submit(now, worker, request);
    }

    fn check_health(&mut self, now: Time, worker: &WorkerId) {
        let reference = self.next_reference();
        let line = worker::health_check_line(&reference);
        let deadline = now + HEALTH_CHECK_TIMEOUT;
        let request = WorkerRequest::new(RequestKind::CheckHealth, reference, line, now, deadline);
        self.submit(now, worker, request);
    }

    /// Creates the request that has a worker run a call.
    fn run_request(
        &self,
        now: Time,
        id: AttemptId,
        worker: &WorkerId,
        call: &Call,
        deadline: Time,
    ) -> WorkerRequest {
        let name = call.message_id.as_deref().unwrap_or_default();
        let class = self
            .site
            .names
            .classes
            .get(call.class)
            .map_or("", String::as_str);
        debug!(
            front_end = self.name,
            request = id.request.0,
            call = name,
            class,
            function = &*call.function,
            worker = &*worker.0,
            attempt = id.number,
            "forward"
        );
        let payload = Payload::Run(RunRequest {
            call: name.to_string(),
            class: class.to_string(),
            function: call.function.clone(),
            key: call.idempotency_key.clone(),
            body: call.body.clone(),
        });
        WorkerRequest::new(
            RequestKind::Attempt(id),
            name.to_string(),
            payload,
            now,
            deadline,
        )
    }

    /// Gives a request to the pool; a failure is queued as an input of the engine.
    fn submit(&mut self, now: Time, worker: &WorkerId, request: WorkerRequest) {
        let lease_end = self.engine.lease_end(worker);
        self.connection_pool.set_lease_end(worker, lease_end);
        self.connection_pool.submit(now, worker, request);
        self.record_failures(now);
    }

    fn next_reference(&mut self) -> String {
        self.next_tag += 1;
        format!("t{}", self.next_tag)
    }
}
