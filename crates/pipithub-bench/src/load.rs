//! Loads of calls that are published to a broker, and their answers.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use pipithub_clock::Clock;
use pipithub_scenario::client::{Answer, Publish, QueueClient, Signed};

use crate::testbed::QUEUE;
use crate::{Result, latency};

/// The key that calls are signed with.
pub(crate) const KEY: &str = "a key of sixteen bytes and more";
/// The id of that key in the gateway's settings.
pub(crate) const KEY_ID: &str = "desk";

/// The number of functions that are called in turn.
const FUNCTIONS: u64 = 16;
/// Concurrency of a replica of a function.
const REPLICA_CONCURRENCY: u32 = 64;
/// Run time of a call, in milliseconds.
const WORK_MS: u64 = 2;
/// Run time of a long call, in milliseconds.
const LONG_WORK_MS: u64 = 3_000;
/// The load fails if no answer arrives for this long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
const NANOSECONDS_PER_MICROSECOND: u64 = 1_000;

/// When calls are published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Arrivals {
    /// This number of calls per second, whether earlier ones are answered or not.
    Rate(f64),
    /// This number of concurrent calls.
    Concurrency(usize),
    /// This number of calls at once, each of which runs for three seconds.
    LongCalls(usize),
}

/// A load of calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// When calls are published.
    pub arrivals: Arrivals,
    /// How long calls are published, in seconds.
    pub seconds: u64,
    /// The number of the measurement, which makes the ids of its calls unique.
    pub part: usize,
    /// The number of users for whom calls are signed in turn; `None` for unsigned calls.
    pub users: Option<u64>,
}

/// The result of a load.
pub(crate) struct LoadResult {
    /// Latencies of all calls, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls that were rejected or failed.
    pub not_served: usize,
    /// Seconds until the last answer.
    pub seconds: f64,
}

impl Load {
    /// Publishes the calls and waits for all answers. Fails if the client ends or an answer does not arrive in time.
    pub(crate) async fn run(self, client: &mut QueueClient) -> Result<LoadResult> {
        let mut generator = LoadGenerator::new(self);
        loop {
            let now = generator.clock.now();
            if generator.call_is_due(now) {
                generator.publish(client).await?;
                continue;
            }
            let more_to_come = generator.more_to_come(now);
            if generator.unanswered.is_empty() && !more_to_come {
                generator.result.seconds =
                    generator.clock.now() as f64 / NANOSECONDS_PER_SECOND as f64;
                return Ok(generator.result);
            }
            tokio::select! {
                answer = client.answers.recv() => {
                    generator.record(&answer.ok_or("the queue client ended while answers were expected")?);
                }
                () = generator.clock.sleep_until(Some(generator.next_due)), if more_to_come => {}
                () = tokio::time::sleep(ANSWER_TIMEOUT) => {
                    let unanswered = generator.unanswered.len();
                    return Err(format!("{unanswered} calls have no answer after {ANSWER_TIMEOUT:?} without any").into());
                }
            }
        }
    }
}

/// A running load.
struct LoadGenerator {
    load: Load,
    /// Started with the load.
    clock: Clock,
    published: u64,
    /// When the next call of [`Arrivals::Rate`] is due.
    next_due: u64,
    /// When each call that has no answer yet was sent, on the client's clock, by its id.
    unanswered: HashMap<String, u64>,
    result: LoadResult,
}

impl LoadGenerator {
    fn new(load: Load) -> Self {
        LoadGenerator {
            load,
            clock: Clock::default(),
            published: 0,
            next_due: 0,
            unanswered: HashMap::new(),
            result: LoadResult {
                latency: latency::new_histogram(),
                not_served: 0,
                seconds: 0.0,
            },
        }
    }

    fn is_publishing(&self, now: u64) -> bool {
        now < self.load.seconds * NANOSECONDS_PER_SECOND
    }

    fn call_is_due(&self, now: u64) -> bool {
        match self.load.arrivals {
            Arrivals::Rate(_) => self.is_publishing(now) && now >= self.next_due,
            Arrivals::Concurrency(limit) => {
                self.is_publishing(now) && self.unanswered.len() < limit
            }
            Arrivals::LongCalls(count) => (self.published as usize) < count,
        }
    }

    /// Whether further calls become due as time passes, independently of answers.
    fn more_to_come(&self, now: u64) -> bool {
        matches!(self.load.arrivals, Arrivals::Rate(_)) && self.is_publishing(now)
    }

    async fn publish(&mut self, client: &QueueClient) -> Result<()> {
        if let Arrivals::Rate(rate) = self.load.arrivals {
            self.next_due += (NANOSECONDS_PER_SECOND as f64 / rate) as u64;
        }
        let id = format!("{}-{}", self.load.part, self.published);
        self.published += 1;
        client.calls.send(self.call(id.clone())).await?;
        self.unanswered.insert(id, client.clock.now());
        Ok(())
    }

    fn call(&self, id: String) -> Publish {
        // Long calls have a class of their own: among calls of 2 ms their workers would look unresponsive.
        let (class, work_ms) = match self.load.arrivals {
            Arrivals::LongCalls(_) => ("long", LONG_WORK_MS),
            Arrivals::Rate(_) | Arrivals::Concurrency(_) => ("view", WORK_MS),
        };
        Publish {
            id,
            queue: QUEUE.into(),
            class: class.into(),
            function: format!("m{}", self.published % FUNCTIONS),
            lanes: REPLICA_CONCURRENCY,
            body: format!("{{\"inputs\":[],\"parameters\":{{\"work_ms\":{work_ms}}}}}")
                .into_bytes(),
            signed: self.load.users.map(|users| Signed {
                user: format!("u{}", self.published % users),
                key_id: KEY_ID.into(),
                key: KEY.as_bytes().to_vec(),
            }),
            ..Publish::default()
        }
    }

    /// Counts the first answer of a call and ignores further ones.
    fn record(&mut self, answer: &Answer) {
        let Some(sent_at) = self.unanswered.remove(&answer.id) else {
            return;
        };
        let latency_us = (answer.at - sent_at) / NANOSECONDS_PER_MICROSECOND;
        self.result.latency.saturating_record(latency_us.max(1));
        self.result.not_served += usize::from(answer.verdict != "served");
    }
}
