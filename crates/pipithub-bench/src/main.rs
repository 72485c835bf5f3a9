//! Measures, in one run and side by side: calls straight to workers, the gateway, and a plain pass-through (a lapin
//! consumer, a hyper client, round robin, no decisions). All are processes on loopback against the same stand-ins.

mod baseline;
mod hollow;
mod membership;
mod process_usage;
mod roster;
mod scale;

use std::collections::HashMap;
use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use pipithub_amqp::Login;
use pipithub_clock::Clock;
use pipithub_scenario::client::{Publish, QueueClient, Signed, consumers};
use pipithub_scenario::process::Process;

use process_usage::ProcessUsage;

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Measures the gateway beside a direct call and a plain pass-through.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// The pipithub binary; by default the one beside this program.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Seconds of each measured part.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Workers.
    #[arg(long, default_value_t = 12)]
    workers: usize,
}

#[derive(Subcommand)]
enum Command {
    /// Look-ups among many users, and a refresh of all of them meanwhile.
    Roster {
        /// How many.
        #[arg(long, default_value_t = 1_000_000)]
        users: usize,
    },
    /// What mornings ask of a directory, in simulated time.
    Morning {
        /// Front ends.
        #[arg(long, default_value_t = 130)]
        fronts: u64,
        /// Users.
        #[arg(long, default_value_t = 2_000)]
        users: usize,
        /// Calls of each in the hour.
        #[arg(long, default_value_t = 60)]
        calls: usize,
    },
    /// What tenants add to a call, their directory being up, slow or dead.
    Directories,
    /// One day of a fleet's membership in simulated time, as JSON; `scale members` plays them at several sizes.
    Members(membership::MembershipArguments),
    /// How each part of a site grows: slopes over several sizes, and what they say of the planned one.
    Scale(scale::Scale),
    /// Hollow front ends, as a process.
    #[command(hide = true)]
    Hollow {
        /// The configuration of one, from which the others differ by name and seed.
        #[arg(long)]
        config: PathBuf,
        /// How many.
        #[arg(long)]
        count: usize,
        /// The number of the first.
        #[arg(long, default_value_t = 0)]
        first: usize,
    },
    /// The pass-through, as a process.
    Baseline {
        /// The broker.
        #[arg(long)]
        broker: String,
        /// The workers.
        #[arg(long)]
        worker: Vec<String>,
    },
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    // They have a runtime of their own, on one thread.
    if let Some(Command::Hollow {
        config,
        count,
        first,
    }) = &arguments.command
    {
        return hollow::run(config, *count, *first);
    }
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(arguments))
}

async fn run(arguments: Arguments) -> Result<()> {
    match arguments.command {
        Some(Command::Baseline { broker, worker }) => return baseline::run(&broker, worker).await,
        Some(Command::Members(membership)) => return membership.run(),
        Some(Command::Roster { users }) => {
            roster::roster(users);
            return Ok(());
        }
        Some(Command::Morning {
            fronts,
            users,
            calls,
        }) => {
            roster::morning(fronts, users, calls);
            return Ok(());
        }
        Some(Command::Scale(scale)) => {
            let beside = std::env::current_exe()?.with_file_name("pipithub");
            return scale::run(scale, arguments.binary.unwrap_or(beside)).await;
        }
        Some(Command::Hollow { .. } | Command::Directories) | None => {}
    }
    let me = std::env::current_exe()?;
    let binary = arguments
        .binary
        .unwrap_or_else(|| me.with_file_name("pipithub"));
    let folder = std::env::temp_dir().join(format!("pipithub-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let testbed = Testbed {
        me,
        binary,
        folder,
        seconds: arguments.seconds,
        workers: arguments.workers,
    };
    match arguments.command {
        Some(Command::Directories) => testbed.directories().await?,
        _ => testbed.all().await?,
    }
    std::fs::remove_dir_all(&testbed.folder)?;
    Ok(())
}

struct Testbed {
    me: PathBuf,
    binary: PathBuf,
    folder: PathBuf,
    seconds: u64,
    workers: usize,
}

fn new_histogram() -> Histogram<u64> {
    // A minute at most, to three digits; these bounds are always good.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("good bounds")
}

fn print_latencies(what: &str, h: &Histogram<u64>) {
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{what:<28} p50 {:>8.3} ms  p99 {:>8.3} ms  p99.9 {:>8.3} ms  ({} calls)",
        ms(0.5),
        ms(0.99),
        ms(0.999),
        h.len()
    );
}

impl Testbed {
    async fn start_emulator(&self, arguments: &[&str]) -> Result<Process> {
        let arguments: Vec<String> = arguments
            .iter()
            .map(std::string::ToString::to_string)
            .collect();
        Ok(Process::start_emulator(&self.binary, &arguments, &self.folder.join("log")).await?)
    }

    /// Starts all workers. They have many cores and little work: what is measured is what stands between client and
    /// worker.
    async fn start_workers(&self) -> Result<Vec<Process>> {
        let worker = [
            "standin",
            "worker",
            "--commands",
            "--cores",
            "1000",
            "--run-ms",
            "2",
            "--load-ms",
            "1",
            "--queue",
            "100000",
            "--keep-ms",
            "600000",
        ];
        let mut workers = Vec::new();
        for _ in 0..self.workers {
            workers.push(self.start_emulator(&worker).await?);
        }
        Ok(workers)
    }

    async fn all(&self) -> Result<()> {
        let workers = self.start_workers().await?;
        let addresses: Vec<String> = workers.iter().map(|w| w.address.clone()).collect();
        println!(
            "{} workers that take 2 ms a call; {} s a part",
            self.workers, self.seconds
        );
        let direct = baseline::direct(&addresses, 200.0, self.seconds).await?;
        print_latencies("direct, 200 a second", &direct);
        let mut cost = Vec::new();
        for which in ["pass-through", "gateway"] {
            let broker = self
                .start_emulator(&["standin", "broker", "--commands", "--queue", "calls"])
                .await?;
            let log = self.folder.join("log");
            let process = if which == "gateway" {
                let workers: String = addresses
                    .iter()
                    .map(|a| format!("worker \"{a}\"; "))
                    .collect();
                let text = format!(
                    "class \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n\
                     class \"long\" effect=\"unsafe\" aim=\"10s\" give-up=\"30s\" late-worth=0.5\n\
                     amqp \"b\" {{ address \"{}\"; queue \"calls\" {{ prefetch 2000; lanes 64 }} }}\n\
                     workers {{ {workers} }}\nlog level=\"warn\"\n",
                    broker.address
                );
                let path = self.folder.join("serve.kdl");
                std::fs::write(&path, text)?;
                Process::start_gateway(
                    &self.binary,
                    &[
                        "serve".into(),
                        "--config".into(),
                        path.display().to_string(),
                    ],
                    &log,
                )?
            } else {
                let mut arguments = vec![
                    "baseline".to_string(),
                    "--broker".into(),
                    broker.address.clone(),
                ];
                addresses
                    .iter()
                    .for_each(|a| arguments.extend(["--worker".to_string(), a.clone()]));
                Process::start_gateway(&self.me, &arguments, &log)?
            };
            self.part(which, &broker.address, &process, &direct, &mut cost)
                .await?;
            process.kill().await;
            broker.kill().await;
        }
        println!(
            "gateway over pass-through: CPU a call {:.2}, calls a second {:.2}",
            cost[1].0 / cost[0].0,
            cost[1].1 / cost[0].1
        );
        Ok(())
    }

    async fn part(
        &self,
        which: &str,
        broker: &str,
        process: &Process,
        direct: &Histogram<u64>,
        cost: &mut Vec<(f64, f64)>,
    ) -> Result<()> {
        while consumers(broker, Login::default(), "calls").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let pid = process.id().ok_or("the process has ended")?;
        let mut client = QueueClient::start(broker, Login::default(), "answers");
        load(&mut client, Load::Rate(100.0), 2, 0).await?;
        let paced = load(&mut client, Load::Rate(200.0), self.seconds, 2).await?;
        print_latencies(&format!("{which}, 200 a second"), &paced.latency);
        let added = |q: f64| {
            (paced.latency.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64)
                / 1000.0
        };
        println!(
            "{:<28} p50 {:>8.3} ms  p99 {:>8.3} ms  p99.9 {:>8.3} ms",
            "  added to direct",
            added(0.5),
            added(0.99),
            added(0.999)
        );
        let before = ProcessUsage::of(pid).cpu_seconds;
        let full = load(&mut client, Load::Concurrency(64), self.seconds, 3).await?;
        let cpu = ProcessUsage::of(pid).cpu_seconds - before;
        let calls = full.latency.len() as f64;
        print_latencies(&format!("{which}, 64 at a time"), &full.latency);
        println!(
            "  {:.0} calls a second, {:.0} us of CPU a call, {} not served",
            calls / full.took,
            cpu / calls * 1e6,
            full.not_served
        );
        cost.push((cpu / calls, calls / full.took));
        // Some thousand calls in flight, each 3 s long: memory is looked at in the middle.
        let idle = ProcessUsage::of(pid).resident_mib;
        let many = load(&mut client, Load::LongCalls(1_250), 2, 4);
        let look = async {
            tokio::time::sleep(Duration::from_millis(1_800)).await;
            ProcessUsage::of(pid).resident_mib
        };
        let (many, held) = tokio::join!(many, look);
        // What is refused is refused at once: it is not in flight.
        let flying = 1_250 - many?.not_served;
        println!("  {idle:.1} MiB before, {held:.1} MiB with {flying} calls in flight");
        Ok(())
    }
}

impl Testbed {
    /// The gateway without tenants, then with them: 100 users, of whom 30 are unknown when the directory turns slow or dies.
    async fn directories(&self) -> Result<()> {
        let workers = self.start_workers().await?;
        let list: String = workers
            .iter()
            .map(|w| format!("worker \"{}\"; ", w.address))
            .collect();
        let mut tree = String::from(
            "dn: dc=example\nobjectClass: domain\n\ndn: ou=north,dc=example\nobjectClass: organizationalUnit\n\n",
        );
        for n in 0..100 {
            tree +=
                &format!("dn: uid=u{n},ou=north,dc=example\nobjectClass: person\nuid: u{n}\n\n");
        }
        let file = self.folder.join("tree.ldif");
        std::fs::write(&file, tree)?;
        println!(
            "{} workers that take 2 ms a call; 200 calls a second, {} s a part",
            self.workers, self.seconds
        );
        for (what, trouble) in [
            ("no tenants", ""),
            ("up", "good"),
            ("slow", "delay 1990"),
            ("dead", "silent on"),
        ] {
            let broker = self
                .start_emulator(&["standin", "broker", "--commands", "--queue", "calls"])
                .await?;
            let mut server = self
                .start_emulator(&[
                    "standin",
                    "directory",
                    "--commands",
                    "--tree",
                    &file.display().to_string(),
                ])
                .await?;
            let tenants = format!(
                "signatures {{ key \"desk\" text=\"{KEY}\" }}\n\
                 directory \"campus\" {{ server \"{}\"; tls \"none\"; base \"dc=example\"; \
                 mark-attribute \"contextCSN\"; fresh \"1s\" }}\n\
                 tenant \"north\" {{ directory \"campus\" base=\"ou=north,dc=example\"; function \"*\" }}\n",
                server.address
            );
            let with = !trouble.is_empty();
            let text = format!(
                "class \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n{}\
                 amqp \"b\" {{ address \"{}\"; queue \"calls\" {{ prefetch 2000; lanes 64{} }} }}\n\
                 workers {{ {list} }}\nlog level=\"error\"\n",
                if with { &tenants } else { "" },
                broker.address,
                if with { "; identity \"signed\"" } else { "" },
            );
            let path = self.folder.join("serve.kdl");
            std::fs::write(&path, text)?;
            let arguments = [
                "serve".to_string(),
                "--config".into(),
                path.display().to_string(),
            ];
            let process =
                Process::start_gateway(&self.binary, &arguments, &self.folder.join("log"))?;
            while consumers(&broker.address, Login::default(), "calls").await != Some(1) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let mut client = QueueClient::start(&broker.address, Login::default(), "answers");
            let users = |to: u64| if with { Some((0, to)) } else { None };
            load_by(&mut client, Load::Rate(200.0), 4, 1, users(70)).await?;
            if with {
                server.send_line(trouble).await?;
            }
            let known = load_by(&mut client, Load::Rate(200.0), self.seconds, 2, users(70)).await?;
            print_latencies(&format!("{what}, known users"), &known.latency);
            println!(
                "  {} of {} not served",
                known.not_served,
                known.latency.len()
            );
            if with {
                let all =
                    load_by(&mut client, Load::Rate(200.0), self.seconds, 3, users(100)).await?;
                print_latencies(&format!("{what}, 3 of 10 unknown"), &all.latency);
                println!("  {} of {} not served", all.not_served, all.latency.len());
            }
            process.kill().await;
            server.kill().await;
            broker.kill().await;
        }
        Ok(())
    }
}

const KEY: &str = "a key of sixteen bytes and more";

enum Load {
    /// So many a second, answered or not.
    Rate(f64),
    /// So many at a time.
    Concurrency(usize),
    /// So many at once, each three seconds long.
    LongCalls(usize),
}

struct LoadResult {
    latency: Histogram<u64>,
    not_served: usize,
    took: f64,
}

async fn load(
    client: &mut QueueClient,
    load: Load,
    seconds: u64,
    part: usize,
) -> Result<LoadResult> {
    load_by(client, load, seconds, part, None).await
}

/// `users`: the calls are signed for these, in turn.
async fn load_by(
    client: &mut QueueClient,
    load: Load,
    seconds: u64,
    part: usize,
    users: Option<(u64, u64)>,
) -> Result<LoadResult> {
    let clock = Clock::default();
    let mut sent: HashMap<String, u64> = HashMap::new();
    let mut loaded = LoadResult {
        latency: new_histogram(),
        not_served: 0,
        took: 0.0,
    };
    let mut number = 0u64;
    let end = seconds * 1_000_000_000;
    let mut due = 0;
    loop {
        let now = clock.now();
        let more = match load {
            Load::Rate(_) => now < end && now >= due,
            Load::Concurrency(most) => now < end && sent.len() < most,
            Load::LongCalls(most) => (number as usize) < most,
        };
        if more {
            if let Load::Rate(rate) = load {
                due += (1e9 / rate) as u64;
            }
            let id = format!("{part}-{number}");
            // Long ones are of a class of their own: among calls of 2 ms they would look like silent workers.
            let (class, work) = if matches!(load, Load::LongCalls(_)) {
                ("long", 3_000)
            } else {
                ("view", 2)
            };
            number += 1;
            let call = Publish {
                queue: "calls".into(),
                class: class.into(),
                function: format!("m{}", number % 16),
                lanes: 64,
                body: format!("{{\"inputs\":[],\"parameters\":{{\"work_ms\":{work}}}}}")
                    .into_bytes(),
                id: id.clone(),
                signed: users.map(|(from, to)| Signed {
                    user: format!("u{}", from + number % (to - from)),
                    key_id: "desk".into(),
                    key: KEY.as_bytes().to_vec(),
                }),
                ..Publish::default()
            };
            client.calls.send(call).await?;
            sent.insert(id, client.clock.now());
            continue;
        }
        let waits = matches!(load, Load::Rate(_)) && now < end;
        if sent.is_empty() && !waits {
            loaded.took = clock.now() as f64 / 1e9;
            return Ok(loaded);
        }
        tokio::select! {
            answer = client.answers.recv() => {
                let answer = answer.ok_or("the client has ended")?;
                let Some(at) = sent.remove(&answer.id) else { continue };
                loaded.latency.saturating_record(((answer.at - at) / 1000).max(1));
                loaded.not_served += usize::from(answer.verdict != "served");
            }
            () = clock.sleep_until(Some(due)), if waits => {}
            () = tokio::time::sleep(Duration::from_secs(30)) => return Err(format!("{} calls without an answer", sent.len()).into()),
        }
    }
}
