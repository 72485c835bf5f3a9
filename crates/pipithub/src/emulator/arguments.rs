//! The arguments of each emulated server.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use miette::{IntoDiagnostic, Result, miette};
use pipithub_emulator::recorder::Recorder;

/// Which server is emulated.
#[derive(Subcommand)]
pub(crate) enum Emulator {
    /// An AMQP 0-9-1 broker; user guest, password guest, virtual host `/`.
    Broker(Broker),
    /// A worker that loads any model it is asked for and echoes inputs as outputs.
    Worker(Box<Worker>),
    /// The model store that workers share.
    Store(Store),
    /// The worker list: `EndpointSlices` with list and watch. Workers are set by `POST /control/worker`.
    List(List),
    /// An LDAP directory server. Lines on standard input have it do wrong: `delay MS`, `silent on|off`, `drop N`,
    /// `wrong on|off`, `loading on|off`, `busy on|off`, `cut`, `good`; or change its tree: `move DN > DN`, `delete DN`.
    Directory(Directory),
    /// A proxy that does damage: lines on standard input say which (`pass`, `delay MS`, `cut`, `half-close`, `swallow`,
    /// `corrupt`).
    Proxy(Proxy),
}

/// What every emulated server takes.
#[derive(Args)]
pub(crate) struct Common {
    /// Where to listen; loopback alone.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub(super) listen: SocketAddr,
    /// Write what is seen on the sockets to this file.
    #[arg(long)]
    pub(super) record: Option<PathBuf>,
    /// End when standard input does, so that no emulator outlives a scenario that is killed.
    #[arg(long)]
    pub(super) commands: bool,
}

impl Common {
    /// Refuses addresses beyond loopback and opens the record.
    pub(super) fn check(&self) -> Result<Recorder> {
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

/// The broker's arguments.
#[derive(Args)]
pub(crate) struct Broker {
    #[command(flatten)]
    pub(super) common: Common,
    /// A durable queue to declare beforehand; may be given several times.
    #[arg(long)]
    pub(super) queue: Vec<String>,
}

/// The worker's arguments.
#[derive(Args)]
pub(crate) struct Worker {
    #[command(flatten)]
    pub(super) common: Common,
    /// Where models are fetched; without it a load takes `--load-ms` alone.
    #[arg(long)]
    pub(super) store: Option<String>,
    /// Cores.
    #[arg(long, default_value_t = 2.0)]
    pub(super) cores: f64,
    /// Speed of a core.
    #[arg(long, default_value_t = 1.0)]
    pub(super) speed: f64,
    /// Memory for copies, in MB.
    #[arg(long, default_value_t = 24_000.0)]
    pub(super) memory_mb: f64,
    /// Milliseconds of work of a call that does not say.
    #[arg(long, default_value_t = 60)]
    pub(super) run_ms: u64,
    /// Milliseconds of a load, beside its fetch.
    #[arg(long, default_value_t = 500)]
    pub(super) load_ms: u64,
    /// Calls that may wait.
    #[arg(long, default_value_t = 64)]
    pub(super) queue: usize,
    /// Milliseconds after which an idle copy is unloaded.
    #[arg(long, default_value_t = 10_000)]
    pub(super) keep_ms: u64,
    /// Share of its capacity that it starts with.
    #[arg(long, default_value_t = 1.0, overrides_with = "cold_from")]
    pub(super) cold_from: f64,
    /// Milliseconds until it is warm.
    #[arg(long, default_value_t = 5_000)]
    pub(super) ramp_ms: u64,
    /// Sent more than this multiple of its capacity while cold, it falls over; 0: never.
    #[arg(long, default_value_t = 0.0)]
    pub(super) fall_multiple: f64,
    /// Milliseconds over which that is counted.
    #[arg(long, default_value_t = 2_000)]
    pub(super) fall_span_ms: u64,
    /// Milliseconds for which repeats of a key are dropped.
    #[arg(long, default_value_t = 5_000)]
    pub(super) dedup_ms: u64,
}

/// The model store's arguments.
#[derive(Args)]
pub(crate) struct Store {
    #[command(flatten)]
    pub(super) common: Common,
    /// Milliseconds of a fetch when nothing is in its way.
    #[arg(long, default_value_t = 300)]
    pub(super) fetch_ms: u64,
    /// Fetches at a time at full pace.
    #[arg(long, default_value_t = 8)]
    pub(super) at_once: usize,
    /// Fetches at a time that are taken.
    #[arg(long, default_value_t = 40)]
    pub(super) limit: usize,
}

/// The endpoint list's arguments.
#[derive(Args)]
pub(crate) struct List {
    #[command(flatten)]
    pub(super) common: Common,
}

/// The directory server's arguments.
#[derive(Args)]
pub(crate) struct Directory {
    #[command(flatten)]
    pub(super) common: Common,
    /// Its tree, as LDIF.
    #[arg(long)]
    pub(super) tree: PathBuf,
    /// The name that clients must bind as.
    #[arg(long, requires = "password")]
    pub(super) bind: Option<String>,
    /// Its password.
    #[arg(long)]
    pub(super) password: Option<String>,
    /// Speak TLS from the first byte; otherwise `StartTLS` is offered.
    #[arg(long)]
    pub(super) ldaps: bool,
    /// Write its certificate to this file, as PEM.
    #[arg(long = "ca-out", value_name = "CA_OUT")]
    pub(super) certificate_file: Option<PathBuf>,
}

/// The proxy's arguments.
#[derive(Args)]
pub(crate) struct Proxy {
    #[command(flatten)]
    pub(super) common: Common,
    /// Where connections go on to.
    #[arg(long)]
    pub(super) to: String,
}
