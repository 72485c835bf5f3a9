//! `pipithub publish`: a queue client that publishes calls at a rate and shows their answers.

use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use pipithub_amqp::Login;
use pipithub_scenario::client::{Answer, Publish as Call, QueueClient, Signed};

/// Calls a second that can be asked for: no fewer than one in about 17 minutes, no more than one a microsecond.
const MIN_RATE: f64 = 0.001;
const MAX_RATE: f64 = 1e6;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// A point in time of the client's clock, in nanoseconds.
type Time = u64;

/// Publishes calls to a queue and shows their answers.
#[derive(Args)]
pub(crate) struct Publish {
    /// The broker.
    #[arg(long, default_value = "127.0.0.1:5672")]
    broker: String,
    /// User.
    #[arg(long, default_value = "guest")]
    user: String,
    /// Password.
    #[arg(
        long,
        default_value = "guest",
        env = "PIPITHUB_PASSWORD",
        hide_env_values = true
    )]
    password: String,
    /// Virtual host.
    #[arg(long, default_value = "/")]
    vhost: String,
    /// The queue.
    #[arg(long, default_value = "calls")]
    queue: String,
    /// Class of the calls.
    #[arg(long)]
    class: String,
    /// Function of the calls.
    #[arg(long)]
    function: String,
    /// How many.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// How many a second.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Milliseconds that each may take; by default as its class gives.
    #[arg(long)]
    budget_ms: Option<u64>,
    /// Milliseconds to wait for answers after the last call.
    #[arg(long, default_value_t = 10_000)]
    wait_ms: u64,
    /// Say in `user_id` whose the calls are: the user that logs in.
    #[arg(long)]
    as_user: bool,
    /// Sign the calls for this user; needs `--key-file` and `--key-id`.
    #[arg(long, requires_all = ["key_file", "key_id"])]
    for_user: Option<String>,
    /// The file of the key that signs.
    #[arg(long)]
    key_file: Option<std::path::PathBuf>,
    /// The key's id, as the gateway's settings have it.
    #[arg(long)]
    key_id: Option<String>,
    /// The body.
    #[arg(long, default_value = "{\"inputs\":[]}")]
    body: String,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// Publishes the calls, waits for the answers and shows them; fails where a call has none.
pub(crate) async fn run(arguments: Publish) -> Result<ExitCode> {
    let json = arguments.json;
    let mut publisher = Publisher::new(arguments)?;
    publisher.publish_all().await?;
    let mut results = publisher.results;
    results.latencies_ms.sort_by(f64::total_cmp);
    if json {
        println!("{}", results.to_json());
    } else {
        results.print();
    }
    if results.unanswered.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

/// A queue client with the calls that it has sent so far.
struct Publisher {
    arguments: Publish,
    signature: Option<Signed>,
    /// Sets this run's calls apart from those of others on the same queue.
    run_id: String,
    client: QueueClient,
    results: Results,
}

impl Publisher {
    fn new(arguments: Publish) -> Result<Self> {
        let signature = read_signature(&arguments)?;
        let run_id = format!("{}-{}", std::process::id(), pipithub_clock::wall_ms());
        let login = Login {
            user: arguments.user.clone(),
            password: arguments.password.clone(),
            virtual_host: arguments.vhost.clone(),
        };
        let reply_queue = format!("pipithub-publish-{run_id}");
        let client = QueueClient::start(&arguments.broker, login, &reply_queue);
        Ok(Publisher {
            arguments,
            signature,
            run_id,
            client,
            results: Results::default(),
        })
    }

    /// Publishes at the rate that was asked for, until all calls are answered or the wait after the last is over.
    async fn publish_all(&mut self) -> Result<()> {
        let clock = self.client.clock;
        let count = self.arguments.count;
        let rate = self.arguments.rate.clamp(MIN_RATE, MAX_RATE);
        let interval = (NANOSECONDS_PER_SECOND / rate) as Time;
        let began = clock.now();
        let end = began + interval * count + self.arguments.wait_ms * NANOSECONDS_PER_MILLISECOND;
        while self.results.latencies_ms.len() < count as usize {
            let all_sent = self.results.sent >= count;
            let due = if all_sent {
                end
            } else {
                end.min(began + interval * self.results.sent)
            };
            tokio::select! {
                () = clock.sleep_until(Some(due)) => {
                    if all_sent || clock.now() >= end {
                        break;
                    }
                    self.publish_next().await?;
                }
                answer = self.client.answers.recv() => {
                    let Some(answer) = answer else { break };
                    self.results.record(answer);
                }
            }
        }
        Ok(())
    }

    async fn publish_next(&mut self) -> Result<()> {
        let id = format!("{}-{}", self.run_id, self.results.sent);
        let sent_at = self.client.clock.now();
        self.results.unanswered.insert(id.clone(), sent_at);
        self.results.sent += 1;
        let call = self.call(id);
        self.client.calls.send(call).await.into_diagnostic()
    }

    fn call(&self, id: String) -> Call {
        let arguments = &self.arguments;
        Call {
            id,
            queue: arguments.queue.clone(),
            class: arguments.class.clone(),
            function: arguments.function.clone(),
            budget_ms: arguments.budget_ms,
            memory_mb: 0,
            lanes: 0,
            body: arguments.body.clone().into_bytes(),
            signed: self.signature.clone(),
            user_id: arguments.as_user.then(|| arguments.user.clone()),
        }
    }
}

/// Whom the calls are signed for; `None` unless the arguments name a user and a key.
fn read_signature(arguments: &Publish) -> Result<Option<Signed>> {
    let (Some(user), Some(key_file), Some(key_id)) =
        (&arguments.for_user, &arguments.key_file, &arguments.key_id)
    else {
        return Ok(None);
    };
    let key = std::fs::read(key_file).into_diagnostic()?;
    Ok(Some(Signed {
        user: user.clone(),
        key_id: key_id.clone(),
        key: key.trim_ascii_end().to_vec(),
    }))
}

/// What became of the calls.
#[derive(Default)]
struct Results {
    sent: u64,
    /// Calls without an answer, by their id, with the time at which they were sent.
    unanswered: HashMap<String, Time>,
    verdicts: BTreeMap<String, usize>,
    causes: BTreeMap<String, usize>,
    latencies_ms: Vec<f64>,
}

impl Results {
    /// Counts the first answer of a call; further ones are passed over.
    fn record(&mut self, answer: Answer) {
        let Some(sent_at) = self.unanswered.remove(&answer.id) else {
            return;
        };
        let latency = answer.at - sent_at;
        self.latencies_ms
            .push(latency as f64 / NANOSECONDS_PER_MILLISECOND as f64);
        *self.verdicts.entry(answer.verdict).or_default() += 1;
        *self.causes.entry(answer.cause).or_default() += 1;
    }

    /// A quantile of the latencies, which must be in order; not a number where there are none.
    fn quantile(&self, quantile: f64) -> f64 {
        let count = self.latencies_ms.len();
        let rank = (count as f64 * quantile).ceil() as usize;
        self.latencies_ms
            .get(rank.clamp(1, count.max(1)) - 1)
            .copied()
            .unwrap_or(f64::NAN)
    }

    fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "sent": self.sent,
            "answers": self.verdicts,
            "causes": self.causes,
            "unanswered": self.unanswered.len(),
            "latency_ms": {
                "p50": self.quantile(0.5),
                "p90": self.quantile(0.9),
                "p99": self.quantile(0.99),
                "p999": self.quantile(0.999),
            },
        })
    }

    fn print(&self) {
        println!(
            "{} sent, {} without an answer",
            self.sent,
            self.unanswered.len()
        );
        for (verdict, count) in &self.verdicts {
            println!("{verdict:>12} {count:>8}");
        }
        for (cause, count) in &self.causes {
            println!("  {cause:>24} {count:>8}");
        }
        println!(
            "answered in p50 {:.2} ms, p90 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            self.quantile(0.5),
            self.quantile(0.9),
            self.quantile(0.99),
            self.quantile(0.999)
        );
    }
}
