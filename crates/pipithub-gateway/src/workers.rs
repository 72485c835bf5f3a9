//! Requests to workers over HTTP/1.1: attempts with their deadlines, load commands and load polls.

mod connections;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pipithub_clock::Clock;
use pipithub_engine::policy::{FunctionId, LoadReport, Outcome, WorkerId};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, LoadCommandResult, LoadPollResult, Served, Time,
};
use pipithub_inference::{LoadCommandReply, WorkerRequest, header};
use pipithub_settings::HttpConfig;
use tokio::sync::oneshot;

pub(crate) use self::connections::TimeLimits;
use self::connections::{ConnectionPool, ExchangeError, WorkerResponse};

/// The HTTP status code of a successful response.
const STATUS_OK: u16 = 200;

/// A command to a worker to load replicas of a function.
pub(crate) struct LoadCommand {
    /// The id of the function, for the result.
    pub(crate) function: FunctionId,
    /// The name under which the worker knows the function.
    pub(crate) name: Arc<str>,
    /// The number of replicas wanted.
    pub(crate) replicas: u32,
    /// The time from which the command must not be sent any more; `None` if there is no limit.
    pub(crate) send_by: Option<Time>,
}

/// Sends requests to the workers of a front end, over pooled connections.
pub(crate) struct WorkerClient {
    front_end: String,
    config: HttpConfig,
    clock: Clock,
    connections: ConnectionPool,
}

impl WorkerClient {
    /// Creates a client; connections are opened when they are first needed.
    pub(crate) fn new(front_end: &str, config: HttpConfig, clock: Clock) -> Self {
        WorkerClient {
            front_end: front_end.to_string(),
            config,
            clock,
            connections: ConnectionPool::new(config, clock),
        }
    }

    /// Makes an attempt. It ends with the worker's response, when the deadline passes or when it is cancelled.
    pub(crate) async fn attempt(
        &self,
        id: AttemptId,
        worker: &WorkerId,
        call: &Call,
        limits: TimeLimits,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let started = self.clock.now();
        let request = pipithub_inference::infer(call, id, &self.front_end);
        let exchange = self
            .connections
            .exchange(worker, request, call.body.clone(), limits);
        let ended = tokio::select! {
            biased;
            response = exchange => response.map_err(Outcome::from),
            () = self.clock.sleep_until(limits.deadline) => Err(Outcome::TimedOut),
            _ = cancelled => Err(Outcome::Cancelled),
        };
        let elapsed = self.clock.now() - started;
        match ended {
            Ok(response) => answered_attempt(id, elapsed, &response),
            Err(outcome) => unanswered_attempt(id, elapsed, outcome),
        }
    }

    /// Commands a worker to load replicas of a function. A command without a response within the timeout of the settings
    /// ends as timed out.
    pub(crate) async fn load_function(
        &self,
        worker: WorkerId,
        command: LoadCommand,
    ) -> LoadCommandResult {
        let LoadCommand {
            function,
            name,
            replicas,
            send_by,
        } = command;
        let started = self.clock.now();
        let sent = self.send_load_command(&worker, &name, replicas, send_by);
        let reply = match sent.await {
            Ok(response) => pipithub_inference::load_command_reply(response.status, |name| {
                response.header(name)
            }),
            Err(error) => LoadCommandReply {
                outcome: error.into(),
                replicas: 0,
            },
        };
        LoadCommandResult {
            worker,
            function,
            outcome: reply.outcome,
            elapsed: self.clock.now() - started,
            replicas: reply.replicas,
        }
    }

    /// Commands a worker to evict idle replicas of a function. The reply and all errors are ignored: the worker's next
    /// load report shows what it holds.
    pub(crate) async fn evict_function(&self, worker: WorkerId, name: &str) {
        let _ = self.send_load_command(&worker, name, 0, None).await;
    }

    async fn send_load_command(
        &self,
        worker: &WorkerId,
        name: &str,
        replicas: u32,
        send_by: Option<Time>,
    ) -> Result<WorkerResponse, ExchangeError> {
        let request = pipithub_inference::load_command(name, replicas, &self.front_end);
        self.exchange_within(self.config.load_command_timeout, worker, request, send_by)
            .await
    }

    /// Polls a worker for its load report. A response with a status other than 200 counts as unanswered.
    pub(crate) async fn poll_load(&self, worker: WorkerId) -> LoadPollResult {
        let request = pipithub_inference::load_poll(&self.front_end);
        let polled = self
            .exchange_within(self.config.load_poll_timeout, &worker, request, None)
            .await;
        let response = polled.ok().filter(|response| response.status == STATUS_OK);
        let load_report = response
            .as_ref()
            .and_then(|response| response.header(header::LOAD_REPORT))
            .map(pipithub_inference::parse_load_report)
            .unwrap_or_default();
        LoadPollResult {
            answered: response.is_some(),
            worker,
            load_report,
        }
    }

    /// Makes an exchange without a request body, limited to `time` nanoseconds.
    async fn exchange_within(
        &self,
        time: Time,
        worker: &WorkerId,
        request: WorkerRequest,
        send_by: Option<Time>,
    ) -> Result<WorkerResponse, ExchangeError> {
        let limits = TimeLimits {
            deadline: None,
            send_by,
        };
        let exchange = self
            .connections
            .exchange(worker, request, Bytes::new(), limits);
        tokio::time::timeout(Duration::from_nanos(time), exchange)
            .await
            .unwrap_or(Err(ExchangeError::TimedOut))
    }
}

fn answered_attempt(id: AttemptId, elapsed: Time, response: &WorkerResponse) -> AttemptResult {
    let reply = pipithub_inference::attempt_reply(response.status, |name| response.header(name));
    let served = (reply.outcome == Outcome::Served).then(|| Served {
        status: response.status,
        content_type: response.header("content-type").map(Arc::from),
        body: response.body.clone(),
    });
    AttemptResult {
        id,
        outcome: reply.outcome,
        elapsed,
        replica_status: reply.replica_status,
        function_concurrency: reply.function_concurrency,
        load_report: reply.load_report,
        served,
    }
}

/// The result of an attempt that ended without a response.
fn unanswered_attempt(id: AttemptId, elapsed: Time, outcome: Outcome) -> AttemptResult {
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
