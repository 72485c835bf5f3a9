//! `pipithub publish`: a queue client that publishes calls at a fixed rate and reports their answers.

use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use pipithub_amqp::Login;
use pipithub_clock::Time;
use pipithub_scenario::client::{Answer, Publish as Call, QueueClient, Signed};

/// The lowest rate in calls per second; a lower one given on the command line is raised to it.
const MIN_RATE: f64 = 0.001;
/// The highest rate in calls per second; a higher one is lowered to it.
const MAX_RATE: f64 = 1e6;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// Publishes calls to a queue and reports their answers and latencies.
#[derive(Args)]
pub(crate) struct Publish {
    /// The address of the AMQP broker.
    #[arg(long, default_value = "127.0.0.1:5672")]
    broker: String,
    /// The user to log in as.
    #[arg(long, default_value = "guest")]
    user: String,
    /// The password of that user.
    #[arg(
        long,
        default_value = "guest",
        env = "PIPITHUB_PASSWORD",
        hide_env_values = true
    )]
    password: String,
    /// The virtual host.
    #[arg(long, default_value = "/")]
    vhost: String,
    /// The queue to publish to.
    #[arg(long, default_value = "calls")]
    queue: String,
    /// The class of the calls.
    #[arg(long)]
    class: String,
    /// The function to call.
    #[arg(long)]
    function: String,
    /// How many calls to publish.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Calls per second.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// The timeout of each call, in milliseconds; by default that of its class.
    #[arg(long)]
    budget_ms: Option<u64>,
    /// How long to wait for answers after the last call, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    wait_ms: u64,
    /// Set the message property `user_id` to the user given with `--user`.
    #[arg(long)]
    as_user: bool,
    /// Sign the calls for this user; needs `--key-file` and `--key-id`.
    #[arg(long, requires_all = ["key_file", "key_id"])]
    for_user: Option<String>,
    /// The file that holds the signing key.
    #[arg(long)]
    key_file: Option<std::path::PathBuf>,
    /// The id of the signing key in the gateway's settings.
    #[arg(long)]
    key_id: Option<String>,
    /// The body of each call.
    #[arg(long, default_value = "{\"inputs\":[]}")]
    body: String,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// Publishes the calls and reports the answers; exits with a failure if any call is still unanswered when the wait is over.
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

/// A queue client and the results of the calls that it has published so far.
struct Publisher {
    arguments: Publish,
    signature: Option<Signed>,
    /// Makes the ids of this run's calls unique among all runs that use the queue.
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

    /// Publishes at the requested rate until all calls are answered or the wait after the last call is over.
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
            message_id: None,
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

/// The user and key to sign calls with; `None` unless the arguments name both. Fails if the key cannot be read.
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

/// The results of all calls of this run.
#[derive(Default)]
struct Results {
    sent: u64,
    /// When each unanswered call was sent, by the id of the call.
    unanswered: HashMap<String, Time>,
    verdicts: BTreeMap<String, usize>,
    causes: BTreeMap<String, usize>,
    latencies_ms: Vec<f64>,
}

impl Results {
    /// Counts the first answer of a call and ignores further ones.
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

    /// A quantile of the latencies in milliseconds; NaN if there are none. The latencies must be sorted.
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
            "{} calls sent, {} without an answer",
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
            "latency p50 {:.2} ms, p90 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            self.quantile(0.5),
            self.quantile(0.9),
            self.quantile(0.99),
            self.quantile(0.999)
        );
    }
}
