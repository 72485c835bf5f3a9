//! A stand-in for the model store that all workers share: it slows down when crowded, turns fetches away past a limit,
//! and can be slowed or halted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::accept::next_stream;

/// How a store is built.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Time of a fetch when the store is not crowded.
    pub fetch: Duration,
    /// Fetches at a time that it serves at full pace.
    pub at_once: usize,
    /// Fetches at a time that it takes; more are turned away.
    pub limit: usize,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            fetch: Duration::from_millis(300),
            at_once: 8,
            limit: 40,
        }
    }
}

/// What may be changed while it runs.
#[derive(Debug)]
pub struct StoreControl {
    /// Fetches take so many thousandths of their usual time.
    slowness: AtomicU64,
    halted: AtomicBool,
    active: AtomicUsize,
    settings: StoreSettings,
    /// Keys that workers claimed, and until when: the workers of one store drop each other's repeats.
    keys: Mutex<HashMap<String, Instant>>,
}

/// Keys that are remembered at most.
const KEYS_MOST: usize = 1_000_000;

impl StoreControl {
    /// Slows it down by this factor; 1 is its usual pace.
    pub fn slow(&self, factor: f64) {
        self.slowness
            .store((factor.clamp(0.0, 1e6) * 1000.0) as u64, Ordering::Relaxed);
    }

    /// Turns every fetch away, or serves them again.
    pub fn halt(&self, halted: bool) {
        self.halted.store(halted, Ordering::Relaxed);
    }

    /// Claims a key for so long; false where it is claimed already.
    fn claim(&self, key: &str, window: Duration) -> bool {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if keys.get(key).is_some_and(|until| *until > now) {
            return false;
        }
        if keys.len() >= KEYS_MOST {
            keys.retain(|_, until| *until > now);
        }
        keys.insert(key.to_string(), now + window);
        true
    }

    /// Gives a key back: its call did not run.
    fn give_back(&self, key: &str) {
        self.keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(key);
    }
}

/// A store that is running; it ends when dropped.
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
    /// Starts one. It speaks a line each way, answered by `ok` or `no`: `GET name`, `KEY ms key`,
    /// `UNKEY key`, `SLOW factor`, `HALT`, `GO`.
    pub async fn start(listen: SocketAddr, settings: StoreSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let control = Arc::new(StoreControl {
            slowness: AtomicU64::new(1000),
            halted: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            settings,
            keys: Mutex::default(),
        });
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What may be changed.
    pub fn control(&self) -> &Arc<StoreControl> {
        &self.control
    }
}

async fn serve(stream: TcpStream, control: Arc<StoreControl>) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream.take_limit());
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 0 {
        let (verb, rest) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
        let answer = match verb {
            "GET" => {
                let settings = control.settings;
                let active = control.active.fetch_add(1, Ordering::Relaxed) + 1;
                let taken = active <= settings.limit && !control.halted.load(Ordering::Relaxed);
                if taken {
                    let crowd = (active as f64 / settings.at_once.max(1) as f64).max(1.0);
                    let slowness = control.slowness.load(Ordering::Relaxed) as f64 / 1000.0;
                    tokio::time::sleep(settings.fetch.mul_f64(crowd * slowness)).await;
                }
                control.active.fetch_sub(1, Ordering::Relaxed);
                if taken && !control.halted.load(Ordering::Relaxed) {
                    "ok"
                } else {
                    "no"
                }
            }
            "KEY" => {
                let (ms, key) = rest.split_once(' ').unwrap_or(("0", rest));
                let window = Duration::from_millis(ms.parse().unwrap_or(0));
                if control.claim(key, window) {
                    "ok"
                } else {
                    "no"
                }
            }
            "UNKEY" => {
                control.give_back(rest);
                "ok"
            }
            "SLOW" => {
                control.slow(rest.parse().unwrap_or(1.0));
                "ok"
            }
            "HALT" => {
                control.halt(true);
                "ok"
            }
            "GO" => {
                control.halt(false);
                "ok"
            }
            _ => "no",
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

trait TakeLimit {
    fn take_limit(self) -> tokio::io::Take<TcpStream>;
}

impl TakeLimit for TcpStream {
    /// No peer sends more than this in one connection's life.
    fn take_limit(self) -> tokio::io::Take<TcpStream> {
        AsyncReadExt::take(self, 1 << 20)
    }
}

/// Says one line to a store; its answer.
pub async fn say(address: &str, line: &str) -> std::io::Result<String> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream
        .get_mut()
        .write_all(format!("{line}\n").as_bytes())
        .await?;
    let mut answer = String::new();
    stream.read_line(&mut answer).await?;
    Ok(answer.trim().to_string())
}

/// Fetches a model; whether it came.
pub async fn fetch(address: &str, model: &str) -> bool {
    matches!(
        say(address, &format!("GET {}", one_line(model)))
            .await
            .as_deref(),
        Ok("ok")
    )
}

/// A text with a line's end in it would be two lines.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], "?")
}

/// Claims a key for a call; false where its effect was done, or is being done, elsewhere.
pub async fn claim(address: &str, key: &str, window: Duration) -> bool {
    let line = format!("KEY {} {}", window.as_millis(), one_line(key));
    !matches!(say(address, &line).await.as_deref(), Ok("no"))
}

/// Gives a key back: its call did not run.
pub async fn give_back(address: &str, key: &str) {
    let _ = say(address, &format!("UNKEY {}", one_line(key))).await;
}
