//! `pipithub emulator`: emulated brokers, workers and other servers as processes. Each prints its address first and
//! logs to standard error.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Subcommand};
use miette::{IntoDiagnostic, Result, miette};
use pipithub_amqp::FieldTable;
use pipithub_emulator::broker::{BrokerServer, BrokerSettings};
use pipithub_emulator::directory::{DirectoryServer, DirectorySettings};
use pipithub_emulator::list::ListServer;
use pipithub_emulator::proxy::{Damage, Proxy};
use pipithub_emulator::recorder::Recorder;
use pipithub_emulator::store::{StoreServer, StoreSettings};
use pipithub_emulator::worker::{WorkerServer, WorkerSettings};
use tokio::io::{AsyncBufReadExt, BufReader};

/// The target of this module's log lines: filters and readers of logs know it by the command's first name.
const LOG_TARGET: &str = "pipithub::standin";

#[derive(Subcommand)]
pub(crate) enum Emulator {
    /// An AMQP 0-9-1 broker; user guest, password guest, virtual host `/`.
    Broker {
        #[command(flatten)]
        common: Common,
        /// A durable queue to declare beforehand; may be given several times.
        #[arg(long)]
        queue: Vec<String>,
    },
    /// A worker that loads any model it is asked for and echoes inputs as outputs.
    Worker(Box<Worker>),
    /// The model store that workers share.
    Store {
        #[command(flatten)]
        common: Common,
        /// Milliseconds of a fetch when nothing is in its way.
        #[arg(long, default_value_t = 300)]
        fetch_ms: u64,
        /// Fetches at a time at full pace.
        #[arg(long, default_value_t = 8)]
        at_once: usize,
        /// Fetches at a time that are taken.
        #[arg(long, default_value_t = 40)]
        limit: usize,
    },
    /// The worker list: `EndpointSlices` with list and watch. Workers are set by `POST /control/worker`.
    List {
        #[command(flatten)]
        common: Common,
    },
    /// An LDAP directory server. Lines on standard input have it do wrong: `delay MS`, `silent on|off`, `drop N`,
    /// `wrong on|off`, `loading on|off`, `busy on|off`, `cut`, `good`; or change its tree: `move DN > DN`, `delete DN`.
    Directory {
        #[command(flatten)]
        common: Common,
        /// Its tree, as LDIF.
        #[arg(long)]
        tree: PathBuf,
        /// The name that clients must bind as.
        #[arg(long, requires = "password")]
        bind: Option<String>,
        /// Its password.
        #[arg(long)]
        password: Option<String>,
        /// Speak TLS from the first byte; otherwise `StartTLS` is offered.
        #[arg(long)]
        ldaps: bool,
        /// Write its certificate to this file, as PEM.
        #[arg(long)]
        ca_out: Option<PathBuf>,
    },
    /// A proxy that does damage: lines on standard input say which (`pass`, `delay MS`, `cut`, `half-close`, `swallow`,
    /// `corrupt`).
    Proxy {
        #[command(flatten)]
        common: Common,
        /// Where connections go on to.
        #[arg(long)]
        to: String,
    },
}

#[derive(Args)]
pub(crate) struct Common {
    /// Where to listen; loopback alone.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Write what is seen on the sockets to this file.
    #[arg(long)]
    record: Option<PathBuf>,
    /// End when standard input does, so that no stand-in outlives a drill that is killed.
    #[arg(long)]
    commands: bool,
}

#[derive(Args)]
pub(crate) struct Worker {
    #[command(flatten)]
    common: Common,
    /// Where models are fetched; without it a load takes `--load-ms` alone.
    #[arg(long)]
    store: Option<String>,
    /// Cores.
    #[arg(long, default_value_t = 2.0)]
    cores: f64,
    /// Speed of a core.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Memory for copies, in MB.
    #[arg(long, default_value_t = 24_000.0)]
    memory_mb: f64,
    /// Milliseconds of work of a call that does not say.
    #[arg(long, default_value_t = 60)]
    run_ms: u64,
    /// Milliseconds of a load, beside its fetch.
    #[arg(long, default_value_t = 500)]
    load_ms: u64,
    /// Calls that may wait.
    #[arg(long, default_value_t = 64)]
    queue: usize,
    /// Milliseconds after which an idle copy is unloaded.
    #[arg(long, default_value_t = 10_000)]
    keep_ms: u64,
    /// Share of its capacity that it starts with.
    #[arg(long, default_value_t = 1.0, overrides_with = "cold_from")]
    cold_from: f64,
    /// Milliseconds until it is warm.
    #[arg(long, default_value_t = 5_000)]
    ramp_ms: u64,
    /// Sent more than this multiple of its capacity while cold, it falls over; 0: never.
    #[arg(long, default_value_t = 0.0)]
    fall_multiple: f64,
    /// Milliseconds over which that is counted.
    #[arg(long, default_value_t = 2_000)]
    fall_span_ms: u64,
    /// Milliseconds for which repeats of a key are dropped.
    #[arg(long, default_value_t = 5_000)]
    dedup_ms: u64,
}

impl Common {
    fn check(&self) -> Result<Recorder> {
        if !self.listen.ip().is_loopback() {
            return Err(miette!(
                "stand-ins trust whoever reaches them: they listen on loopback alone, not on {}",
                self.listen.ip()
            ));
        }
        match &self.record {
            Some(path) => Recorder::file(path).into_diagnostic(),
            None => Ok(Recorder::none()),
        }
    }
}

fn print_address(address: SocketAddr) {
    println!("{}", serde_json::json!({"address": address.to_string()}));
}

/// Does what the lines on standard input say, until asked to stop.
async fn execute_commands(ends: bool, mut command: impl FnMut(&str)) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        command(line.trim());
    }
    if !ends {
        std::future::pending::<()>().await;
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub(crate) async fn run(emulator: Emulator) -> Result<()> {
    match emulator {
        Emulator::Broker { common, queue } => {
            let recorder = common.check()?;
            let queues = queue.into_iter().map(|q| (q, FieldTable::new())).collect();
            let settings = BrokerSettings {
                queues,
                recorder,
                ..BrokerSettings::default()
            };
            let broker = BrokerServer::start(common.listen, settings)
                .await
                .into_diagnostic()?;
            print_address(broker.address());
            let execute = |line: &str| match line {
                "cut" => broker.cut_all(),
                "block" => broker.set_blocked(Some("asked for")),
                "unblock" => broker.set_blocked(None),
                _ => {}
            };
            until_shutdown(execute_commands(common.commands, execute)).await
        }
        Emulator::Worker(worker) => {
            let recorder = worker.common.check()?;
            let ms = |ms: u64| ms * 1_000_000;
            let settings = WorkerSettings {
                cores: worker.cores.max(0.01),
                speed: worker.speed.max(0.001),
                memory_mb: worker.memory_mb,
                run: ms(worker.run_ms),
                load: ms(worker.load_ms),
                queue: worker.queue,
                keep_alive: ms(worker.keep_ms),
                initial_weight: worker.cold_from.clamp(0.01, 1.0),
                slow_start_window: ms(worker.ramp_ms),
                overload_factor: worker.fall_multiple,
                overload_window: ms(worker.fall_span_ms),
                deduplication_window: ms(worker.dedup_ms),
                ..WorkerSettings::default()
            };
            let started =
                WorkerServer::start(worker.common.listen, settings, worker.store, recorder).await;
            let server = Arc::new(started.into_diagnostic()?);
            print_address(server.address());
            let watched = server.clone();
            let execute = |line: &str| match line {
                "silent on" => server.set_silent(true),
                "silent off" => server.set_silent(false),
                _ => {}
            };
            tokio::select! {
                stopped = until_shutdown(execute_commands(worker.common.commands, execute)) => stopped,
                () = watched.overloaded() => Err(miette!("it fell over: it was sent too much while cold")),
            }
        }
        Emulator::Store {
            common,
            fetch_ms,
            at_once,
            limit,
        } => {
            common.check()?;
            let settings = StoreSettings {
                fetch: Duration::from_millis(fetch_ms),
                at_once,
                limit,
            };
            let store = StoreServer::start(common.listen, settings)
                .await
                .into_diagnostic()?;
            print_address(store.address());
            until_shutdown(execute_commands(common.commands, |_| {})).await
        }
        Emulator::List { common } => {
            let list = ListServer::start(common.listen, common.check()?)
                .await
                .into_diagnostic()?;
            print_address(list.address());
            until_shutdown(execute_commands(common.commands, |_| {})).await
        }
        Emulator::Directory {
            common,
            tree,
            bind,
            password,
            ldaps,
            ca_out,
        } => {
            common.check()?;
            let text = std::fs::read_to_string(&tree).into_diagnostic()?;
            let settings = DirectorySettings {
                tree: text,
                base: None,
                login: bind.zip(password),
                ldaps,
            };
            let server = DirectoryServer::start(common.listen, settings).await;
            let server = server.map_err(|e| miette!("{}: {e}", tree.display()))?;
            if let Some(file) = ca_out {
                std::fs::write(file, server.ca()).into_diagnostic()?;
            }
            print_address(server.address());
            let execute = |line: &str| {
                if !server.command(line) {
                    tracing::warn!(target: LOG_TARGET, line, "not done");
                }
            };
            until_shutdown(execute_commands(common.commands, execute)).await
        }
        Emulator::Proxy { common, to } => {
            common.check()?;
            let proxy = Proxy::start(common.listen, to).await.into_diagnostic()?;
            print_address(proxy.address());
            let execute = |line: &str| match line.split_once(' ').unwrap_or((line, "")) {
                ("pass", _) => proxy.set(Damage::None),
                ("delay", ms) => proxy.set(Damage::Delay(Duration::from_millis(
                    ms.parse().unwrap_or(100),
                ))),
                ("cut", _) => proxy.cut(),
                ("half-close", _) => proxy.set(Damage::HalfClose),
                ("swallow", _) => proxy.set(Damage::Swallow),
                ("corrupt", _) => proxy.set(Damage::Corrupt),
                _ => tracing::warn!(target: LOG_TARGET, line, "not understood"),
            };
            until_shutdown(execute_commands(common.commands, execute)).await
        }
    }
}

async fn until_shutdown(commands: impl Future<Output = ()>) -> Result<()> {
    tokio::select! {
        stopped = crate::shutdown_requested() => stopped,
        () = commands => Ok(()),
    }
}
