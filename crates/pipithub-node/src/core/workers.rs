//! Workers: their connections, their answers, and requests that end without an answer.

use pipithub_engine::policy::{HealthCheckOutcome, HealthChecked, LoadReport, Outcome};
use pipithub_engine::{
    AttemptId, AttemptResult, Input, LoadCommandResult, LoadPollResult, Served, Time,
};
use pipithub_platform::line::{LineFramer, LineTooLong};
use pipithub_platform::worker::MalformedAnswer;
use pipithub_platform::worker::{self, Answer, AnswerStatus};
use tracing::{debug, info};

use super::Core;
use crate::connection_pool::{AnsweredRequest, FailedRequest, RequestKind, SendFailure};
use crate::effect::ConnectionId;

impl Core {
    /// Records that a connection to a worker is established.
    pub fn worker_connected(&mut self, now: Time, connection: ConnectionId) {
        self.connection_pool.connected(now, connection);
        self.process_failures(now);
    }

    /// Records that a connection to a worker could not be established. `local_fault` tells whether this machine lacked
    /// a resource for it.
    pub fn worker_failed(&mut self, now: Time, connection: ConnectionId, local_fault: bool) {
        self.connection_pool.connect_failed(connection, local_fault);
        self.process_failures(now);
    }

    /// Records that a worker does not read, and that the operating system has accepted `written` bytes on the
    /// connection so far; or, with `None`, that the system has accepted all bytes.
    pub fn worker_blocked(&mut self, now: Time, connection: ConnectionId, written: Option<u64>) {
        self.connection_pool.set_blocked(now, connection, written);
        self.process_failures(now);
    }

    /// Records that a connection to a worker has ended, after the operating system has accepted `written` bytes on it.
    pub fn worker_closed(&mut self, now: Time, connection: ConnectionId, written: u64) {
        if let Some(worker) = self.connection_pool.worker_of_idle(connection) {
            self.inputs.push_back(Input::WorkerDisconnected(worker));
        }
        self.connection_pool
            .closed(now, connection, written, SendFailure::ConnectionLost);
        self.process_failures(now);
    }

    /// Handles bytes that came from a worker.
    pub fn worker_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(framer) = self.connection_pool.framer(connection) else {
            return;
        };
        framer.push(bytes);
        // Handling an answer may close its connection, which drops the framer.
        while let Some(framer) = self.connection_pool.framer(connection) {
            match next_answer(framer) {
                Ok(Some(answer)) => self.answer_received(now, connection, answer),
                Ok(None) => return,
                Err(error) => return self.close_malformed(now, connection, &error),
            }
        }
    }

    /// Closes a connection on which a malformed answer came.
    fn close_malformed(&mut self, now: Time, connection: ConnectionId, error: &AnswerError) {
        info!(
            front_end = self.name,
            connection = connection.0,
            %error,
            "malformed answer, closing connection"
        );
        self.connection_pool.close_malformed(now, connection);
        self.process_failures(now);
    }

    /// Ends the request that a worker has answered.
    fn answer_received(&mut self, now: Time, connection: ConnectionId, answer: Answer) {
        let answered = self
            .connection_pool
            .answered(now, connection, &answer.reference);
        let Some(AnsweredRequest {
            worker,
            request,
            connected_at,
        }) = answered
        else {
            return debug!(
                front_end = self.name,
                connection = connection.0,
                reference = answer.reference,
                "ignoring answer to no request in flight"
            );
        };
        let elapsed = now.saturating_sub(request.began);
        match request.kind {
            RequestKind::Attempt(id) => {
                self.attempt_ended(attempt_result(id, elapsed, answer));
                self.process_inputs(now);
            }
            RequestKind::LoadFunction(function) => {
                let result = LoadCommandResult {
                    worker,
                    function,
                    outcome: answer_outcome(answer.status),
                    elapsed,
                    replicas: answer.replicas,
                };
                self.run(now, Input::LoadCommandFinished(result));
            }
            RequestKind::PollLoad => {
                let result = LoadPollResult {
                    worker,
                    answered: answer.status == AnswerStatus::Healthy,
                    load_report: answer.load_report,
                };
                self.run(now, Input::LoadPolled(result));
            }
            RequestKind::CheckHealth => self.health_checked(
                now,
                HealthChecked {
                    worker,
                    outcome: health_check_outcome(answer.status),
                    elapsed,
                    connected_at,
                },
            ),
            RequestKind::EvictFunction => {}
        }
    }

    /// Reports the end of a health check to the engine.
    fn health_checked(&mut self, now: Time, checked: HealthChecked) {
        self.discovery_log.record_check(&checked, &self.name);
        self.run(now, Input::HealthChecked(checked));
    }

    /// Queues the end of an attempt as an input of the engine, behind the current one.
    pub(super) fn attempt_ended(&mut self, end: AttemptResult) {
        debug!(
            front_end = self.name,
            request = end.id.request.0,
            attempt = end.id.number,
            worker = self.in_flight.get(&end.id).map(|w| &*w.0),
            outcome = ?end.outcome,
            took_us = end.elapsed / 1000,
            alike = end.function_concurrency,
            load = ?end.load_report,
            "attempt ended"
        );
        self.in_flight.remove(&end.id);
        self.inputs.push_back(Input::AttemptFinished(end));
    }

    /// Queues the failures of requests as inputs of the engine, behind the current one.
    pub(super) fn record_failures(&mut self, now: Time) {
        for failed in self.connection_pool.take_failures() {
            let FailedRequest {
                worker,
                request,
                failure,
            } = failed;
            let outcome = failure_outcome(failure);
            let elapsed = now.saturating_sub(request.began);
            match request.kind {
                RequestKind::Attempt(id) => {
                    self.attempt_ended(unanswered_attempt(id, outcome, elapsed));
                }
                RequestKind::LoadFunction(function) => {
                    let result = LoadCommandResult {
                        worker,
                        function,
                        outcome,
                        elapsed,
                        replicas: 0,
                    };
                    self.inputs.push_back(Input::LoadCommandFinished(result));
                }
                RequestKind::PollLoad => {
                    let result = LoadPollResult {
                        worker,
                        answered: false,
                        load_report: LoadReport::default(),
                    };
                    self.inputs.push_back(Input::LoadPolled(result));
                }
                RequestKind::CheckHealth => {
                    let checked = HealthChecked {
                        worker,
                        outcome: failed_check_outcome(failure),
                        elapsed,
                        connected_at: 0,
                    };
                    self.discovery_log.record_check(&checked, &self.name);
                    self.inputs.push_back(Input::HealthChecked(checked));
                }
                RequestKind::EvictFunction => {}
            }
        }
    }

    /// Reports the failures of requests to the engine.
    pub(super) fn process_failures(&mut self, now: Time) {
        self.record_failures(now);
        self.process_inputs(now);
    }
}

/// The result of an attempt that got no answer.
pub(super) fn unanswered_attempt(id: AttemptId, outcome: Outcome, elapsed: Time) -> AttemptResult {
    AttemptResult {
        id,
        outcome,
        elapsed,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
        served: None,
    }
}

/// Why an answer of a worker cannot be read.
#[derive(Debug, thiserror::Error)]
enum AnswerError {
    /// A line is longer than any answer.
    #[error(transparent)]
    TooLong(#[from] LineTooLong),
    /// A line is not an answer of the protocol.
    #[error(transparent)]
    Malformed(#[from] MalformedAnswer),
}

/// The next complete answer that a worker has sent; `None` if none is complete.
fn next_answer(framer: &mut LineFramer) -> Result<Option<Answer>, AnswerError> {
    let Some(line) = framer.next_line()? else {
        return Ok(None);
    };
    Ok(Some(worker::read_answer(&line)?))
}

/// The outcome of a health check by its answer.
fn health_check_outcome(status: AnswerStatus) -> HealthCheckOutcome {
    match status {
        AnswerStatus::Healthy => HealthCheckOutcome::Healthy,
        _ => HealthCheckOutcome::Unhealthy,
    }
}

/// The outcome of a health check that got no answer.
fn failed_check_outcome(failure: SendFailure) -> HealthCheckOutcome {
    match failure {
        SendFailure::Unreachable | SendFailure::ConnectionLost => HealthCheckOutcome::Disconnected,
        SendFailure::NeverSent
        | SendFailure::Malformed
        | SendFailure::TimedOut
        | SendFailure::Cancelled => HealthCheckOutcome::Unanswered,
    }
}

/// The outcome of a request by its answer.
fn answer_outcome(status: AnswerStatus) -> Outcome {
    match status {
        AnswerStatus::Served | AnswerStatus::Healthy | AnswerStatus::Unhealthy => Outcome::Served,
        AnswerStatus::NotLoaded => Outcome::NotLoaded,
        AnswerStatus::Rejected => Outcome::Rejected,
        AnswerStatus::Failed => Outcome::Error,
        AnswerStatus::Expired => Outcome::NotSent,
    }
}

/// The result of an attempt that a worker has answered.
fn attempt_result(id: AttemptId, elapsed: Time, answer: Answer) -> AttemptResult {
    let outcome = match answer.status {
        // Only load polls and health checks are answered with these statuses: it is unknown whether the call ran.
        AnswerStatus::Healthy | AnswerStatus::Unhealthy => Outcome::Error,
        status => answer_outcome(status),
    };
    let reports_concurrency = matches!(outcome, Outcome::Served | Outcome::Rejected);
    let served = (outcome == Outcome::Served).then_some(Served {
        status: 200,
        content_type: None,
        body: answer.body,
    });
    AttemptResult {
        id,
        outcome,
        elapsed,
        replica_status: None,
        function_concurrency: reports_concurrency.then_some(answer.function_concurrency),
        load_report: answer.load_report,
        served,
    }
}

/// The outcome of a request that got no answer.
fn failure_outcome(failure: SendFailure) -> Outcome {
    match failure {
        SendFailure::Unreachable => Outcome::Unreachable,
        SendFailure::NeverSent => Outcome::NotSent,
        SendFailure::ConnectionLost => Outcome::ConnectionLost,
        SendFailure::Malformed => Outcome::Error,
        SendFailure::TimedOut => Outcome::TimedOut,
        SendFailure::Cancelled => Outcome::Cancelled,
    }
}
