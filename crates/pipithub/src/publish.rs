//! `pipithub publish`: a queue client.

use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use pipithub_amqp::Login;
use pipithub_scenario::client::{Publish as Call, QueueClient, Signed};

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

pub(crate) async fn run(publish: Publish) -> Result<ExitCode> {
    let login = Login {
        user: publish.user.clone(),
        password: publish.password,
        virtual_host: publish.vhost,
    };
    let signed = match (publish.for_user, publish.key_file, publish.key_id) {
        (Some(user), Some(file), Some(key_id)) => {
            let key = std::fs::read(&file).into_diagnostic()?;
            Some(Signed {
                user,
                key_id,
                key: key.trim_ascii_end().to_vec(),
            })
        }
        _ => None,
    };
    let me = format!("{}-{}", std::process::id(), pipithub_clock::wall_ms());
    let mut client = QueueClient::start(&publish.broker, login, &format!("pipithub-publish-{me}"));
    let mut sent: HashMap<String, u64> = HashMap::new();
    let (mut verdicts, mut causes): (BTreeMap<String, usize>, BTreeMap<String, usize>) =
        Default::default();
    let mut latencies = Vec::new();
    let gap = (1e9 / publish.rate.clamp(0.001, 1e6)) as u64;
    let clock = client.clock;
    let began = clock.now();
    let mut number = 0;
    let end = began + gap * publish.count + publish.wait_ms * 1_000_000;
    while latencies.len() < publish.count as usize {
        let due = if number < publish.count {
            began + gap * number
        } else {
            end
        };
        tokio::select! {
            () = clock.sleep_until(Some(due.min(end))) => {
                if number >= publish.count || clock.now() >= end {
                    break;
                }
                let id = format!("{me}-{number}");
                sent.insert(id.clone(), clock.now());
                number += 1;
                let call = Call {
                    id,
                    queue: publish.queue.clone(),
                    class: publish.class.clone(),
                    function: publish.function.clone(),
                    budget_ms: publish.budget_ms,
                    memory_mb: 0,
                    lanes: 0,
                    body: publish.body.clone().into_bytes(),
                    signed: signed.clone(),
                    user_id: publish.as_user.then(|| publish.user.clone()),
                };
                client.calls.send(call).await.into_diagnostic()?;
            }
            answer = client.answers.recv() => {
                let Some(answer) = answer else { break };
                let Some(at) = sent.remove(&answer.id) else { continue };
                latencies.push((answer.at - at) as f64 / 1e6);
                *verdicts.entry(answer.verdict).or_default() += 1;
                *causes.entry(answer.cause).or_default() += 1;
            }
        }
    }
    latencies.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        let at = (latencies.len() as f64 * q).ceil() as usize;
        latencies
            .get(at.clamp(1, latencies.len().max(1)) - 1)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let unanswered = sent.len();
    if publish.json {
        let all = serde_json::json!({"sent": number, "answers": verdicts, "causes": causes, "unanswered": unanswered,
            "latency_ms": {"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "p999": quantile(0.999)}});
        println!("{all}");
    } else {
        println!("{number} sent, {unanswered} without an answer");
        verdicts
            .iter()
            .for_each(|(verdict, count)| println!("{verdict:>12} {count:>8}"));
        causes
            .iter()
            .for_each(|(cause, count)| println!("  {cause:>24} {count:>8}"));
        println!(
            "answered in p50 {:.2} ms, p90 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            quantile(0.5),
            quantile(0.9),
            quantile(0.99),
            quantile(0.999)
        );
    }
    Ok(if unanswered == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
