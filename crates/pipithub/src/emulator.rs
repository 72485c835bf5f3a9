//! `pipithub emulator`: emulated brokers, workers and other servers as processes. Each prints its address as the first
//! line of standard output, logs to standard error, and executes commands from standard input.

mod arguments;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use miette::{IntoDiagnostic, Result, miette};
use pipithub_amqp::FieldTable;
use pipithub_emulator::broker::{BrokerServer, BrokerSettings};
use pipithub_emulator::credentials::Credentials;
use pipithub_emulator::directory::{DirectoryServer, DirectorySettings};
use pipithub_emulator::list::ListServer;
use pipithub_emulator::proxy::{Proxy, ProxyFault};
use pipithub_emulator::store::{StoreServer, StoreSettings};
use pipithub_emulator::worker::{WorkerServer, WorkerSettings};
use tokio::io::{AsyncBufReadExt, BufReader};

pub(crate) use arguments::Emulator;

use crate::{logging, shutdown};

/// The log target of this module. Log filters of operators name it by the former name of this command, `standin`.
const LOG_TARGET: &str = "pipithub::standin";
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;
/// The minimum number of cores of a worker; with 0 cores its calls would never end.
const MIN_CORES: f64 = 0.01;
/// The minimum speed of a core, relative to an ordinary core.
const MIN_SPEED: f64 = 0.001;
/// The minimum fraction of its capacity that a worker starts with.
const MIN_INITIAL_WEIGHT: f64 = 0.01;
/// The delay that the proxy adds if the number in the command `delay` is missing or invalid.
const DEFAULT_PROXY_DELAY_MS: u64 = 100;

/// Runs one emulated server until a shutdown is requested.
///
/// Fails if its address is not on loopback or cannot be bound, or if a file named in its arguments cannot be used.
pub(crate) async fn run(emulator: Emulator) -> Result<ExitCode> {
    logging::init(false, "info");
    match emulator {
        Emulator::Broker(arguments) => run_broker(arguments).await?,
        Emulator::Worker(arguments) => run_worker(*arguments).await?,
        Emulator::Store(arguments) => run_store(arguments).await?,
        Emulator::List(arguments) => run_list(arguments).await?,
        Emulator::Directory(arguments) => run_directory(arguments).await?,
        Emulator::Proxy(arguments) => run_proxy(arguments).await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_broker(arguments: arguments::Broker) -> Result<()> {
    let common = arguments.common;
    let recorder = common.check()?;
    let queues = arguments
        .queue
        .into_iter()
        .map(|queue| (queue, FieldTable::new()))
        .collect();
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

async fn run_worker(arguments: arguments::Worker) -> Result<()> {
    let recorder = arguments.common.check()?;
    let settings = worker_settings(&arguments);
    let common = arguments.common;
    let started = WorkerServer::start(common.listen, settings, arguments.store, recorder).await;
    let server = Arc::new(started.into_diagnostic()?);
    print_address(server.address());
    let watched = server.clone();
    let execute = |line: &str| match line {
        "silent on" => server.set_silent(true),
        "silent off" => server.set_silent(false),
        _ => {}
    };
    tokio::select! {
        stopped = until_shutdown(execute_commands(common.commands, execute)) => stopped,
        () = watched.overloaded() => Err(miette!("the worker failed: it was overloaded while warming up")),
    }
}

fn worker_settings(arguments: &arguments::Worker) -> WorkerSettings {
    let nanoseconds = |milliseconds: u64| milliseconds * NANOSECONDS_PER_MILLISECOND;
    WorkerSettings {
        cores: arguments.cores.max(MIN_CORES),
        speed: arguments.speed.max(MIN_SPEED),
        memory_mb: arguments.memory_mb,
        run: nanoseconds(arguments.run_ms),
        load: nanoseconds(arguments.load_ms),
        queue: arguments.queue,
        keep_alive: nanoseconds(arguments.keep_ms),
        initial_weight: arguments.cold_from.clamp(MIN_INITIAL_WEIGHT, 1.0),
        slow_start_window: nanoseconds(arguments.ramp_ms),
        overload_factor: arguments.fall_multiple,
        overload_window: nanoseconds(arguments.fall_span_ms),
        deduplication_window: nanoseconds(arguments.dedup_ms),
        ..WorkerSettings::default()
    }
}

async fn run_store(arguments: arguments::Store) -> Result<()> {
    let common = arguments.common;
    common.check()?;
    let settings = StoreSettings {
        fetch: Duration::from_millis(arguments.fetch_ms),
        full_speed_fetches: arguments.at_once,
        max_fetches: arguments.limit,
    };
    let store = StoreServer::start(common.listen, settings)
        .await
        .into_diagnostic()?;
    print_address(store.address());
    until_shutdown(execute_commands(common.commands, |_| {})).await
}

async fn run_list(arguments: arguments::List) -> Result<()> {
    let common = arguments.common;
    let list = ListServer::start(common.listen, common.check()?)
        .await
        .into_diagnostic()?;
    print_address(list.address());
    until_shutdown(execute_commands(common.commands, |_| {})).await
}

async fn run_directory(arguments: arguments::Directory) -> Result<()> {
    let common = arguments.common;
    common.check()?;
    let settings = DirectorySettings {
        tree: std::fs::read_to_string(&arguments.tree).into_diagnostic()?,
        base: None,
        login: arguments
            .bind
            .zip(arguments.password)
            .map(|(dn, password)| Credentials::new(dn, password)),
        ldaps: arguments.ldaps,
    };
    let server = DirectoryServer::start(common.listen, settings)
        .await
        .map_err(|error| miette!("{}: {error}", arguments.tree.display()))?;
    if let Some(file) = arguments.certificate_file {
        std::fs::write(file, server.ca()).into_diagnostic()?;
    }
    print_address(server.address());
    let execute = |line: &str| {
        if !server.command(line) {
            tracing::warn!(target: LOG_TARGET, line, "failed to execute command");
        }
    };
    until_shutdown(execute_commands(common.commands, execute)).await
}

async fn run_proxy(arguments: arguments::Proxy) -> Result<()> {
    let common = arguments.common;
    common.check()?;
    let proxy = Proxy::start(common.listen, arguments.to)
        .await
        .into_diagnostic()?;
    print_address(proxy.address());
    let execute = |line: &str| match line.split_once(' ').unwrap_or((line, "")) {
        ("pass", _) => proxy.set_fault(ProxyFault::None),
        ("delay", milliseconds) => {
            let milliseconds = milliseconds.parse().unwrap_or(DEFAULT_PROXY_DELAY_MS);
            proxy.set_fault(ProxyFault::Delay(Duration::from_millis(milliseconds)));
        }
        ("cut", _) => proxy.cut(),
        ("half-close", _) => proxy.set_fault(ProxyFault::HalfClose),
        ("swallow", _) => proxy.set_fault(ProxyFault::DropData),
        ("corrupt", _) => proxy.set_fault(ProxyFault::Corrupt),
        _ => tracing::warn!(target: LOG_TARGET, line, "unknown command"),
    };
    until_shutdown(execute_commands(common.commands, execute)).await
}

/// Prints the server's address as a line of JSON, which the process that started the server reads.
fn print_address(address: SocketAddr) {
    println!("{}", serde_json::json!({"address": address.to_string()}));
}

/// Executes the commands on standard input, one per line. At the end of the input it returns if `ends_with_input` is
/// true, and otherwise waits forever.
async fn execute_commands(ends_with_input: bool, mut execute: impl FnMut(&str)) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        execute(line.trim());
    }
    if !ends_with_input {
        std::future::pending::<()>().await;
    }
}

/// Waits until the commands end or a signal requests a shutdown.
async fn until_shutdown(commands: impl Future<Output = ()>) -> Result<()> {
    tokio::select! {
        requested = shutdown::requested() => requested,
        () = commands => Ok(()),
    }
}
