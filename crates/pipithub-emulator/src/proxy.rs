//! A proxy for TCP that does damage on its way: it delays, cuts, half-closes, swallows answers, corrupts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept::next_stream;

/// What is done to bytes that pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Damage {
    /// Nothing.
    #[default]
    None,
    /// Each piece is held back for so long, both ways.
    Delay(Duration),
    /// What comes back is closed, what goes there stays open.
    HalfClose,
    /// What comes back never arrives.
    Swallow,
    /// A bit of each piece that comes back is turned.
    Corrupt,
}

struct Shared {
    to: String,
    damage: Mutex<Damage>,
    cuts: watch::Sender<u64>,
    met: AtomicU64,
}

/// A proxy that is running; it ends when dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.cut();
    }
}

impl Proxy {
    /// Starts one in front of an address.
    pub async fn start(listen: SocketAddr, to: String) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to,
            damage: Mutex::default(),
            cuts: watch::channel(0).0,
            met: AtomicU64::new(0),
        });
        let all = shared.clone();
        let task = tokio::spawn(async move {
            while let Some(stream) = next_stream(&listener).await {
                let (shared, mut cut) = (all.clone(), all.cuts.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = pass(stream, shared) => {}
                        _ = cut.changed() => {}
                    }
                });
            }
        });
        Ok(Proxy {
            address,
            shared,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the damage, for connections that are open too.
    pub fn set(&self, damage: Damage) {
        *self
            .shared
            .damage
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = damage;
    }

    /// How often bytes, or a new connection's, have met damage so far.
    pub fn met(&self) -> u64 {
        self.shared.met.load(Ordering::Relaxed)
    }

    /// Cuts all connections.
    pub fn cut(&self) {
        self.shared.cuts.send_modify(|n| *n += 1);
    }
}

async fn pass(stream: TcpStream, shared: Arc<Shared>) -> std::io::Result<()> {
    let onward = TcpStream::connect(&shared.to).await?;
    stream.set_nodelay(true)?;
    onward.set_nodelay(true)?;
    let (client_read, client_write) = stream.into_split();
    let (server_read, server_write) = onward.into_split();
    let there = one_way(client_read, server_write, shared.clone(), false);
    let back = one_way(server_read, client_write, shared, true);
    // One way may end while the other goes on, as in a half-closed connection.
    let (there, back) = tokio::join!(there, back);
    there.and(back)
}

async fn one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: Arc<Shared>,
    back: bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let damage = *shared.damage.lock().unwrap_or_else(PoisonError::into_inner);
        if back && damage != Damage::None {
            shared.met.fetch_add(1, Ordering::Relaxed);
        }
        match damage {
            Damage::Delay(by) => tokio::time::sleep(by).await,
            Damage::HalfClose if back => {
                to.shutdown().await?;
                // What still comes is read and dropped, so that its sender does not notice.
                while from.read(&mut buffer).await? > 0 {}
                return Ok(());
            }
            Damage::Swallow if back => continue,
            Damage::Corrupt if back => buffer[count / 2] ^= 0x40,
            _ => {}
        }
        to.write_all(&buffer[..count]).await?;
    }
}
