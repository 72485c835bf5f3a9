//! Arguments of the emulated servers.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use miette::{IntoDiagnostic, Result, miette};
use pipithub_emulator::recorder::Recorder;

/// The subcommands of `pipithub emulator`.
#[derive(Subcommand)]
pub(crate) enum Emulator {
    /// An AMQP 0-9-1 broker with user `guest`, password `guest` and virtual host `/`.
    Broker(Broker),
    /// A worker that loads any model on request and returns its inputs as outputs.
    Worker(Box<Worker>),
    /// The model store from which workers fetch models.
    Store(Store),
    /// The endpoint list: Kubernetes `EndpointSlices` with list and watch. `POST /control/worker` adds or changes a worker.
    List(List),
    /// An LDAP directory server. Commands on standard input inject faults (`delay MS`, `silent on|off`, `drop N`,
    /// `wrong on|off`, `loading on|off`, `busy on|off`, `cut`), end them (`good`) or change the tree (`move DN > DN`,
    /// `delete DN`).
    Directory(Directory),
    /// A TCP proxy that injects faults. Commands on standard input select one: `delay MS`, `cut`, `half-close`,
    /// `swallow`, `corrupt`, or `pass` for none.
    Proxy(Proxy),
}

/// Arguments of all emulated servers.
#[derive(Args)]
pub(crate) struct Common {
    /// The loopback address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub(super) listen: SocketAddr,
    /// Append a record of the traffic to this file.
    #[arg(long)]
    pub(super) record: Option<PathBuf>,
    /// Exit at the end of standard input, so that no emulator outlives a killed scenario.
    #[arg(long)]
    pub(super) commands: bool,
}

impl Common {
    /// Opens the record file. Fails if the address is not on loopback or the file cannot be opened.
    pub(super) fn check(&self) -> Result<Recorder> {
        if !self.listen.ip().is_loopback() {
            return Err(miette!(
                "emulators listen on loopback alone, not on {}: they do not authenticate clients",
                self.listen.ip()
            ));
        }
        match &self.record {
            Some(path) => Recorder::file(path).into_diagnostic(),
            None => Ok(Recorder::none()),
        }
    }
}

/// Arguments of the emulated broker.
#[derive(Args)]
pub(crate) struct Broker {
    #[command(flatten)]
    pub(super) common: Common,
    /// A durable queue to declare at the start; may be repeated.
    #[arg(long)]
    pub(super) queue: Vec<String>,
}

/// Arguments of the emulated worker.
#[derive(Args)]
pub(crate) struct Worker {
    #[command(flatten)]
    pub(super) common: Common,
    /// The address of the model store; without a store, a load takes only `--load-ms`.
    #[arg(long)]
    pub(super) store: Option<String>,
    /// The number of cores.
    #[arg(long, default_value_t = 2.0)]
    pub(super) cores: f64,
    /// The speed of a core, relative to an ordinary core.
    #[arg(long, default_value_t = 1.0)]
    pub(super) speed: f64,
    /// Memory for replicas of functions, in MB.
    #[arg(long, default_value_t = 24_000.0)]
    pub(super) memory_mb: f64,
    /// Run time of a call that does not specify one, in milliseconds.
    #[arg(long, default_value_t = 60)]
    pub(super) run_ms: u64,
    /// Time to load a model after it has been fetched, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub(super) load_ms: u64,
    /// How many calls may be queued.
    #[arg(long, default_value_t = 64)]
    pub(super) queue: usize,
    /// Time after which an idle replica is unloaded, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub(super) keep_ms: u64,
    /// The fraction of its capacity that the worker starts with, from 0 to 1.
    #[arg(long, default_value_t = 1.0, overrides_with = "cold_from")]
    pub(super) cold_from: f64,
    /// Time until the worker has warmed up to full capacity, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    pub(super) ramp_ms: u64,
    /// The worker fails if, while warming up, it gets more than this multiple of its capacity; 0 disables this.
    #[arg(long, default_value_t = 0.0)]
    pub(super) fall_multiple: f64,
    /// The window over which the overload of `--fall-multiple` is measured, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub(super) fall_span_ms: u64,
    /// How long calls with an idempotency key that has already been used are dropped, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    pub(super) dedup_ms: u64,
}

/// Arguments of the emulated model store.
#[derive(Args)]
pub(crate) struct Store {
    #[command(flatten)]
    pub(super) common: Common,
    /// Time that a fetch takes on an unloaded store, in milliseconds.
    #[arg(long, default_value_t = 300)]
    pub(super) fetch_ms: u64,
    /// How many concurrent fetches run at full speed.
    #[arg(long, default_value_t = 8)]
    pub(super) at_once: usize,
    /// How many concurrent fetches are accepted; further ones are rejected.
    #[arg(long, default_value_t = 40)]
    pub(super) limit: usize,
}

/// Arguments of the emulated endpoint list.
#[derive(Args)]
pub(crate) struct List {
    #[command(flatten)]
    pub(super) common: Common,
}

/// Arguments of the emulated directory server.
#[derive(Args)]
pub(crate) struct Directory {
    #[command(flatten)]
    pub(super) common: Common,
    /// The file with the directory's entries, as LDIF.
    #[arg(long)]
    pub(super) tree: PathBuf,
    /// The DN that clients must bind as.
    #[arg(long, requires = "password")]
    pub(super) bind: Option<String>,
    /// The password for the DN given with `--bind`.
    #[arg(long)]
    pub(super) password: Option<String>,
    /// Use TLS from the first byte (LDAPS) instead of offering `StartTLS`.
    #[arg(long)]
    pub(super) ldaps: bool,
    /// Write the server's certificate to this file, as PEM.
    #[arg(long = "ca-out", value_name = "CA_OUT")]
    pub(super) certificate_file: Option<PathBuf>,
}

/// Arguments of the fault-injecting proxy.
#[derive(Args)]
pub(crate) struct Proxy {
    #[command(flatten)]
    pub(super) common: Common,
    /// The address to forward connections to.
    #[arg(long)]
    pub(super) to: String,
}
