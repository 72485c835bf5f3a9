//! Carries out what the engine asks for.

use pipithub_engine::policy::{Outcome, WorkerId};
use pipithub_engine::{AttemptId, Call, Input, Output, Time};
use pipithub_platform::worker::{self, RunRequest};
use tracing::debug;

use super::Core;
use super::workers::without_answer;
use crate::worker_pool::{Job, Request, Task};

/// A probe without an answer by then is none.
const PROBE_MOST: Time = 250_000_000;

impl Core {
    pub(super) fn one(&mut self, now: Time, output: Output) {
        match output {
            Output::Forward {
                id,
                worker,
                call,
                deadline,
            } => self.send(now, id, worker, &call, deadline),
            Output::Cancel(id) => {
                let Some(worker) = self.out.get(&id).cloned() else {
                    return;
                };
                let (took, back) = self
                    .pool
                    .withdraw(now, &worker, id)
                    .map_or((0, false), |(job, back)| {
                        (now.saturating_sub(job.began), back)
                    });
                let outcome = if back {
                    Outcome::NotSent
                } else {
                    Outcome::Cancelled
                };
                self.attempt_ended(without_answer(id, outcome, took));
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
                let tag = self.tag();
                let line = worker::pin(&tag, &name, copies);
                let job = Job::new(
                    Task::Order(function),
                    tag,
                    line,
                    now,
                    now + self.site.transport.order_timeout,
                );
                self.ask(now, &worker, job);
            }
            Output::EvictFunction { worker, name } => {
                let line = worker::unpin(&name);
                let job = Job::new(
                    Task::Drop,
                    name.to_string(),
                    line,
                    now,
                    now + self.site.transport.order_timeout,
                );
                self.ask(now, &worker, job);
            }
            Output::PollLoad(worker) => {
                let tag = self.tag();
                let line = worker::meter(&tag);
                self.ask(
                    now,
                    &worker,
                    Job::new(Task::Probe, tag, line, now, now + PROBE_MOST),
                );
            }
            Output::Answer { ticket, reply } => {
                let request = self.engine.request(ticket);
                self.abandon(now, request);
                self.reply(now, ticket.number, &reply);
                self.inputs.push_back(Input::Settled(ticket));
            }
            // Nothing is delivered twice here, and the list is followed from the start.
            Output::Forget(_) | Output::WatchEndpoints => {}
        }
    }

    fn send(&mut self, now: Time, id: AttemptId, worker: WorkerId, call: &Call, deadline: Time) {
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
        let request = Request::Run(RunRequest {
            call: name.to_string(),
            class: class.to_string(),
            function: call.function.clone(),
            key: call.idempotency_key.clone(),
            body: call.body.clone(),
        });
        let job = Job::new(Task::Attempt(id), name.to_string(), request, now, deadline);
        self.out.insert(id, worker.clone());
        self.ask(now, &worker, job);
    }

    /// Hands a job to the pool; what cannot be sent is told to the engine after the present input.
    fn ask(&mut self, now: Time, worker: &WorkerId, job: Job) {
        self.pool.ask(now, worker, job);
        self.note_lost(now);
    }

    fn tag(&mut self) -> String {
        self.next_tag += 1;
        format!("t{}", self.next_tag)
    }
}
