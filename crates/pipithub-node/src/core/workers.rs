//! The worker side: connections, answers, and attempts that end without one.

use pipithub_engine::policy::{LoadReport, Outcome};
use pipithub_engine::{
    AttemptId, AttemptResult, Input, LoadCommandResult, LoadPollResult, Served, Time,
};
use pipithub_platform::worker::{self, Answer, AnswerStatus};
use tracing::{debug, info};

use super::Core;
use crate::effect::ConnectionId;
use crate::worker_pool::{RequestKind, SendFailure};

impl Core {
    /// A connection to a worker is up.
    pub fn worker_connected(&mut self, now: Time, connection: ConnectionId) {
        self.worker_pool.connected(now, connection);
        self.settle_failures(now);
    }

    /// A connection to a worker did not come up; `own`: for want of something here.
    pub fn worker_failed(&mut self, now: Time, connection: ConnectionId, own: bool) {
        self.worker_pool.connect_failed(connection, own);
        self.settle_failures(now);
    }

    /// A worker does not read, the system having taken so many bytes for it so far; or, with `None`, it reads again.
    pub fn worker_blocked(&mut self, now: Time, connection: ConnectionId, written: Option<u64>) {
        self.worker_pool.set_blocked(now, connection, written);
        self.settle_failures(now);
    }

    /// A connection to a worker has ended, with so many bytes written on it.
    pub fn worker_closed(&mut self, now: Time, connection: ConnectionId, written: u64) {
        self.worker_pool
            .closed(now, connection, written, SendFailure::ConnectionLost);
        self.settle_failures(now);
    }

    /// Bytes came from a worker.
    pub fn worker_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(framer) = self.worker_pool.framer(connection) else {
            return;
        };
        framer.push(bytes);
        loop {
            let Some(framer) = self.worker_pool.framer(connection) else {
                return;
            };
            let spoilt = match framer.next_line() {
                Ok(None) => return,
                Ok(Some(line)) => match worker::read_answer(&line) {
                    Ok(answer) => {
                        self.answer_received(now, connection, answer);
                        continue;
                    }
                    Err(spoilt) => spoilt.to_string(),
                },
                Err(long) => long.to_string(),
            };
            info!(
                front_end = self.name,
                connection, spoilt, "answer cannot be read; connection closed"
            );
            self.worker_pool.close_malformed(now, connection);
            return self.settle_failures(now);
        }
    }

    fn answer_received(&mut self, now: Time, connection: ConnectionId, answer: Answer) {
        let found = self
            .worker_pool
            .answered(now, connection, &answer.reference);
        let Some((worker, request)) = found else {
            return debug!(
                front_end = self.name,
                connection,
                reference = answer.reference,
                "answer to nothing open"
            );
        };
        let took = now.saturating_sub(request.began);
        let outcome = match answer.status {
            AnswerStatus::Served | AnswerStatus::Healthy | AnswerStatus::Unhealthy => {
                Outcome::Served
            }
            AnswerStatus::NotLoaded => Outcome::NotLoaded,
            AnswerStatus::Rejected => Outcome::Rejected,
            AnswerStatus::Failed => Outcome::Error,
            AnswerStatus::Expired => Outcome::NotSent,
        };
        match request.kind {
            RequestKind::Attempt(id) => {
                // An answer to something else under this name proves nothing.
                let outcome = if matches!(
                    answer.status,
                    AnswerStatus::Healthy | AnswerStatus::Unhealthy
                ) {
                    Outcome::Error
                } else {
                    outcome
                };
                let body = answer.body;
                let served = (outcome == Outcome::Served).then(|| Served {
                    status: 200,
                    content_type: None,
                    body,
                });
                let told = matches!(outcome, Outcome::Served | Outcome::Rejected);
                let alike = told.then_some(answer.function_concurrency);
                let end = AttemptResult {
                    id,
                    outcome,
                    elapsed: took,
                    replica_status: None,
                    function_concurrency: alike,
                    load_report: answer.load_report,
                    served,
                };
                self.attempt_ended(end);
                self.settle(now);
            }
            RequestKind::LoadFunction(function) => {
                let copies = answer.replicas;
                self.run(
                    now,
                    Input::LoadCommandFinished(LoadCommandResult {
                        worker,
                        function,
                        outcome,
                        elapsed: took,
                        replicas: copies,
                    }),
                );
            }
            RequestKind::PollLoad => {
                let answered = answer.status == AnswerStatus::Healthy;
                self.run(
                    now,
                    Input::LoadPolled(LoadPollResult {
                        worker,
                        answered,
                        load_report: answer.load_report,
                    }),
                );
            }
            RequestKind::EvictFunction => {}
        }
    }

    /// Notes the end of an attempt, for the engine to hear after the present input.
    pub(super) fn attempt_ended(&mut self, end: AttemptResult) {
        debug!(
            front_end = self.name,
            request = end.id.request,
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

    /// Notes the ends of jobs that got no answer.
    pub(super) fn record_failures(&mut self, now: Time) {
        for (worker, request, how) in self.worker_pool.take_failures() {
            let outcome = match how {
                SendFailure::Unreachable => Outcome::Unreachable,
                SendFailure::NeverSent => Outcome::NotSent,
                SendFailure::ConnectionLost => Outcome::ConnectionLost,
                SendFailure::Malformed => Outcome::Error,
                SendFailure::TimedOut => Outcome::TimedOut,
            };
            let took = now.saturating_sub(request.began);
            match request.kind {
                RequestKind::Attempt(id) => self.attempt_ended(unanswered(id, outcome, took)),
                RequestKind::LoadFunction(function) => {
                    let end = LoadCommandResult {
                        worker,
                        function,
                        outcome,
                        elapsed: took,
                        replicas: 0,
                    };
                    self.inputs.push_back(Input::LoadCommandFinished(end));
                }
                RequestKind::PollLoad => {
                    let end = LoadPollResult {
                        worker,
                        answered: false,
                        load_report: LoadReport::default(),
                    };
                    self.inputs.push_back(Input::LoadPolled(end));
                }
                RequestKind::EvictFunction => {}
            }
        }
    }

    pub(super) fn settle_failures(&mut self, now: Time) {
        self.record_failures(now);
        self.settle(now);
    }
}

pub(super) fn unanswered(id: AttemptId, outcome: Outcome, took: Time) -> AttemptResult {
    AttemptResult {
        id,
        outcome,
        elapsed: took,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
        served: None,
    }
}
