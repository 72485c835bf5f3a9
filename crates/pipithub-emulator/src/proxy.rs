//! A TCP proxy that injects faults: it delays, corrupts or drops data, and cuts or half-closes connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept::next_stream;

const BUFFER_BYTES: usize = 64 << 10;
/// The bit that is flipped in a corrupted byte.
const CORRUPTED_BIT: u8 = 0x40;

/// The fault that the proxy injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Data is forwarded unchanged.
    #[default]
    None,
    /// Each chunk is delayed by this time, in both directions.
    Delay(Duration),
    /// The direction to the client is closed; that to the server stays open.
    HalfClose,
    /// Everything that the server sends is dropped.
    DropData,
    /// One bit of each chunk from the server is flipped.
    Corrupt,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// The state that the proxy's tasks share.
struct Shared {
    /// The address of the server behind the proxy.
    upstream: String,
    fault: Mutex<ProxyFault>,
    /// A counter whose change cuts all connections.
    cuts: watch::Sender<u64>,
    affected_chunks: AtomicU64,
}

impl Shared {
    fn fault(&self) -> ProxyFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running proxy. Dropping it ends the proxy and its connections.
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
    /// Starts a proxy in front of the server at the address `to`. Fails if `listen` cannot be bound.
    pub async fn start(listen: SocketAddr, to: String) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            upstream: to,
            fault: Mutex::default(),
            cuts: watch::channel(0).0,
            affected_chunks: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Proxy {
            address,
            shared,
            task,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, for existing connections as well.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self
            .shared
            .fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// How many chunks from the server have been subject to a fault so far.
    pub fn affected_chunks(&self) -> u64 {
        self.shared.affected_chunks.load(Ordering::Relaxed)
    }

    /// Drops all connections.
    pub fn cut(&self) {
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Some(stream) = next_stream(&listener).await {
        let shared = shared.clone();
        let mut cuts = shared.cuts.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                _ = forward(stream, shared) => {}
                _ = cuts.changed() => {}
            }
        });
    }
}

/// Forwards data in both directions, each until its sender closes it.
async fn forward(client: TcpStream, shared: Arc<Shared>) -> std::io::Result<()> {
    let server = TcpStream::connect(&shared.upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (to_server, to_client) = tokio::join!(
        forward_one_way(client_read, server_write, &shared, Direction::ToServer),
        forward_one_way(server_read, client_write, &shared, Direction::ToClient),
    );
    to_server.and(to_client)
}

async fn forward_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    direction: Direction,
) -> std::io::Result<()> {
    let is_to_client = direction == Direction::ToClient;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let fault = shared.fault();
        if is_to_client && fault != ProxyFault::None {
            shared.affected_chunks.fetch_add(1, Ordering::Relaxed);
        }
        match fault {
            ProxyFault::Delay(by) => tokio::time::sleep(by).await,
            ProxyFault::HalfClose if is_to_client => {
                to.shutdown().await?;
                // Further data is read and dropped, so that the server does not notice the closed connection.
                while from.read(&mut buffer).await? > 0 {}
                return Ok(());
            }
            ProxyFault::DropData if is_to_client => continue,
            ProxyFault::Corrupt if is_to_client => buffer[count / 2] ^= CORRUPTED_BIT,
            _ => {}
        }
        to.write_all(&buffer[..count]).await?;
    }
}
