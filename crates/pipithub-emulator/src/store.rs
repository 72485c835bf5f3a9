//! An emulation of the model store that all workers share. It slows down under concurrent fetches, rejects fetches beyond
//! a limit, and can be slowed down or halted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::accept::next_stream;

/// When this many keys are stored, a claim removes the expired ones.
const MAX_KEYS: usize = 1_000_000;
/// The maximum number of bytes read from one connection.
const MAX_CONNECTION_BYTES: u64 = 1 << 20;
/// The answer to a command that succeeded.
const OK: &str = "ok";
/// The answer to a command that was rejected or is unknown.
const NO: &str = "no";

/// Settings of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// The time of a fetch at full speed.
    pub fetch: Duration,
    /// How many concurrent fetches run at full speed. A fetch that begins while there are more takes longer in
    /// proportion.
    pub full_speed_fetches: usize,
    /// How many concurrent fetches are accepted; further ones are rejected.
    pub max_fetches: usize,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            fetch: Duration::from_millis(300),
            full_speed_fetches: 8,
            max_fetches: 40,
        }
    }
}

/// The controls of a running store.
#[derive(Debug)]
pub struct StoreControl {
    /// The time of fetches, in thousandths of their usual time.
    slowness: AtomicU64,
    halted: AtomicBool,
    /// The number of concurrent fetches.
    active: AtomicUsize,
    settings: StoreSettings,
    /// The idempotency keys that workers have claimed, with their expiry. Through them all workers of one store drop
    /// each other's duplicates.
    keys: Mutex<HashMap<String, Instant>>,
}

impl StoreControl {
    fn new(settings: StoreSettings) -> Self {
        StoreControl {
            slowness: AtomicU64::new(1000),
            halted: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            settings,
            keys: Mutex::default(),
        }
    }

    /// Multiplies the time of fetches by a factor; 1 is the usual speed.
    pub fn set_slowness(&self, factor: f64) {
        let thousandths = (factor.clamp(0.0, 1e6) * 1000.0) as u64;
        self.slowness.store(thousandths, Ordering::Relaxed);
    }

    /// Rejects all fetches, or accepts them again.
    pub fn set_halted(&self, halted: bool) {
        self.halted.store(halted, Ordering::Relaxed);
    }

    fn is_halted(&self) -> bool {
        self.halted.load(Ordering::Relaxed)
    }

    fn keys(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims a key for the duration of a window; false if it is already claimed.
    fn claim(&self, key: &str, window: Duration) -> bool {
        let mut keys = self.keys();
        let now = Instant::now();
        if keys.get(key).is_some_and(|until| *until > now) {
            return false;
        }
        if keys.len() >= MAX_KEYS {
            keys.retain(|_, until| *until > now);
        }
        keys.insert(key.to_string(), now + window);
        true
    }

    /// Releases a key whose request did not run.
    fn release(&self, key: &str) {
        self.keys().remove(key);
    }

    /// Executes a fetch; returns whether it succeeded.
    async fn fetch(&self) -> bool {
        let settings = self.settings;
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        let is_accepted = active <= settings.max_fetches && !self.is_halted();
        if is_accepted {
            let contention = (active as f64 / settings.full_speed_fetches.max(1) as f64).max(1.0);
            let slowness = self.slowness.load(Ordering::Relaxed) as f64 / 1000.0;
            tokio::time::sleep(settings.fetch.mul_f64(contention * slowness)).await;
        }
        self.active.fetch_sub(1, Ordering::Relaxed);
        is_accepted && !self.is_halted()
    }

    /// Executes a command; false if it was rejected or is unknown.
    async fn execute(&self, line: &str) -> bool {
        let (verb, argument) = line.split_once(' ').unwrap_or((line, ""));
        match verb {
            "GET" => return self.fetch().await,
            "KEY" => {
                let (ms, key) = argument.split_once(' ').unwrap_or(("0", argument));
                let window = Duration::from_millis(ms.parse().unwrap_or(0));
                return self.claim(key, window);
            }
            "UNKEY" => self.release(argument),
            "SLOW" => self.set_slowness(argument.parse().unwrap_or(1.0)),
            "HALT" => self.set_halted(true),
            "GO" => self.set_halted(false),
            _ => return false,
        }
        true
    }
}

/// A running store. Dropping it stops accepting connections.
pub struct StoreServer {
    address: SocketAddr,
    control: Arc<StoreControl>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StoreServer {
    /// Starts a store on an address. Its protocol has one command per line, each answered by `ok` or `no`: `GET name`
    /// fetches a model, `KEY ms key` claims a key for a number of milliseconds, `UNKEY key` releases it, `SLOW factor`
    /// multiplies the time of fetches, `HALT` rejects all fetches, `GO` accepts them again. Fails if the address cannot
    /// be bound.
    pub async fn start(listen: SocketAddr, settings: StoreSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let control = Arc::new(StoreControl::new(settings));
        let shared = control.clone();
        let task = tokio::spawn(async move {
            while let Some(stream) = next_stream(&listener).await {
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Ok(StoreServer {
            address,
            control,
            task,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The controls of the store.
    pub fn control(&self) -> &Arc<StoreControl> {
        &self.control
    }
}

async fn serve(stream: TcpStream, control: Arc<StoreControl>) -> std::io::Result<()> {
    let mut stream = BufReader::new(AsyncReadExt::take(stream, MAX_CONNECTION_BYTES));
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 0 {
        let answer = if control.execute(line.trim()).await {
            OK
        } else {
            NO
        };
        line.clear();
        stream
            .get_mut()
            .get_mut()
            .write_all(format!("{answer}\n").as_bytes())
            .await?;
    }
    Ok(())
}

/// Sends a command to a store and returns its answer.
async fn send_line(address: &str, line: &str) -> std::io::Result<String> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream
        .get_mut()
        .write_all(format!("{line}\n").as_bytes())
        .await?;
    let mut answer = String::new();
    stream.read_line(&mut answer).await?;
    Ok(answer.trim().to_string())
}

/// Replaces line ends, which would end the command.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], "?")
}

/// Fetches a model from a store; returns whether that succeeded.
pub(crate) async fn fetch(address: &str, model: &str) -> bool {
    let line = format!("GET {}", one_line(model));
    matches!(send_line(address, &line).await.as_deref(), Ok(OK))
}

/// Claims a key for a request; false if another request has claimed it. If the store does not answer, the result is
/// true.
pub(crate) async fn claim(address: &str, key: &str, window: Duration) -> bool {
    let line = format!("KEY {} {}", window.as_millis(), one_line(key));
    !matches!(send_line(address, &line).await.as_deref(), Ok(NO))
}

/// Releases a key whose request did not run.
pub(crate) async fn release(address: &str, key: &str) {
    let _ = send_line(address, &format!("UNKEY {}", one_line(key))).await;
}
