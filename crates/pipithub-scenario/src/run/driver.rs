//! Publishes the load of a scenario and carries out its actions, each at its time.

use std::collections::BTreeMap;
use std::iter::Peekable;

use pipithub_amqp::Login;
use pipithub_clock::{Clock, wall_ns};
use pipithub_conformance::rules::{Breach, Rule};

use super::QUEUE;
use super::action::{Action, schedule};
use super::cluster::Cluster;
use crate::client::{Answer, QueueClient};
use crate::error::RunError;
use crate::load::{ScheduledRequest, requests};
use crate::scenario::Scenario;
use crate::schedule::ScheduledAction;
use crate::units::{SECOND, seconds};

/// The time between two calls of the progress function, in nanoseconds.
const PROGRESS_PERIOD: u64 = SECOND;
/// How long after the load and two client timeouts the last answers are still awaited, in nanoseconds.
const LAST_ANSWERS_TIMEOUT: u64 = 4 * SECOND;

/// The result of driving a scenario.
pub(super) struct DriveResult {
    /// When the load began, in Unix nanoseconds.
    pub(super) began: u64,
    /// The number of answers received.
    pub(super) answered: usize,
    /// The answers that belong to other requests.
    pub(super) breaches: Vec<Breach>,
}

/// Publishes the load and carries out the actions, until all requests are answered and all actions done, or until no more
/// answers are expected.
pub(super) async fn drive(
    cluster: &mut Cluster<'_>,
    seed: u64,
    progress: impl FnMut(f64, usize, &BTreeMap<String, usize>),
) -> Result<DriveResult, RunError> {
    let scenario = cluster.scenario;
    let requests = requests(scenario, seed, QUEUE);
    let actions = schedule(scenario, seed);
    let client = QueueClient::start(cluster.broker_address(), Login::default(), "answers");
    let began = wall_ns();
    let mut driver = Driver {
        cluster,
        client,
        clock: Clock::default(),
        total: requests.len(),
        requests: requests.into_iter().peekable(),
        actions: actions.into_iter().peekable(),
        published: 0,
        answered: 0,
        verdicts: BTreeMap::new(),
        has_equal_ids: scenario.tenants.as_ref().is_some_and(|t| t.has_equal_ids),
        breaches: Vec::new(),
        next_progress: PROGRESS_PERIOD,
        progress,
    };
    driver.run(latest_end(scenario)).await?;
    Ok(DriveResult {
        began,
        answered: driver.answered,
        breaches: driver.breaches,
    })
}

/// The breach of a client that gets the result of another request. A worker returns the inputs of a request, which hold
/// its id.
fn foreign_answer(answer: &Answer) -> Option<Breach> {
    let own_inputs = format!("[\"{}\"]", answer.id);
    let body = String::from_utf8_lossy(&answer.body);
    let is_foreign = answer.verdict == "served" && !body.contains(&own_inputs);
    is_foreign.then(|| Breach {
        rule: Rule::OneFinalAnswer,
        at: wall_ns(),
        what: format!("call {} got the answer {body}", answer.id),
    })
}

/// The time from which no more answers are expected, in nanoseconds from the start of the load.
fn latest_end(scenario: &Scenario) -> u64 {
    let timeouts = scenario.classes.iter().map(|class| class.client_timeout);
    scenario.duration + 2 * timeouts.max().unwrap_or(0) + LAST_ANSWERS_TIMEOUT
}

struct Driver<'a, 'b, P> {
    cluster: &'a mut Cluster<'b>,
    client: QueueClient,
    clock: Clock,
    requests: Peekable<std::vec::IntoIter<ScheduledRequest>>,
    actions: Peekable<std::vec::IntoIter<ScheduledAction<Action>>>,
    /// The number of requests of the scenario.
    total: usize,
    published: usize,
    answered: usize,
    /// The number of answers by verdict.
    verdicts: BTreeMap<String, usize>,
    /// Whether the inputs of each request hold its id.
    has_equal_ids: bool,
    /// The answers that belong to other requests.
    breaches: Vec<Breach>,
    next_progress: u64,
    progress: P,
}

impl<P: FnMut(f64, usize, &BTreeMap<String, usize>)> Driver<'_, '_, P> {
    async fn run(&mut self, latest_end: u64) -> Result<(), RunError> {
        while !self.is_done() && self.clock.now() < latest_end {
            let due = self.next_due();
            tokio::select! {
                () = self.clock.sleep_until(Some(due)) => self.run_due_steps().await?,
                answer = self.client.answers.recv() => match answer {
                    Some(answer) => self.count(answer),
                    None => return Err(RunError::ClientEnded),
                },
            }
        }
        Ok(())
    }

    fn is_done(&mut self) -> bool {
        let has_actions = self.actions.peek().is_some();
        self.published >= self.total && !has_actions && self.answered >= self.total
    }

    fn next_due(&mut self) -> u64 {
        let request = self.requests.peek().map(|scheduled| scheduled.at);
        let action = self.actions.peek().map(|scheduled| scheduled.at);
        let soonest = request.into_iter().chain(action).min();
        soonest.map_or(self.next_progress, |at| at.min(self.next_progress))
    }

    /// Publishes all requests that are due, and carries out one action, so that requests never wait for many actions.
    async fn run_due_steps(&mut self) -> Result<(), RunError> {
        let clock = self.clock;
        while let Some(scheduled) = self.requests.next_if(|s| s.at <= clock.now()) {
            let sent = self.client.calls.send(scheduled.publish).await;
            sent.map_err(|_| RunError::PublishChannelClosed)?;
            self.published += 1;
        }
        if let Some(scheduled) = self.actions.next_if(|s| s.at <= clock.now()) {
            self.cluster.apply(scheduled.action).await?;
        }
        if clock.now() >= self.next_progress {
            (self.progress)(seconds(self.next_progress), self.published, &self.verdicts);
            self.next_progress += PROGRESS_PERIOD;
        }
        Ok(())
    }

    fn count(&mut self, answer: Answer) {
        if self.has_equal_ids {
            self.breaches.extend(foreign_answer(&answer));
        }
        *self.verdicts.entry(answer.verdict).or_default() += 1;
        self.answered += 1;
    }
}
