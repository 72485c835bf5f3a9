//! One direction of a link between two processes that speak in datagrams: what is handed in goes on to one address,
//! late, slowly, twice, after a silence, or not at all.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;

/// Datagrams under way at most; further ones are lost, as in any buffer.
const UNDER_WAY: usize = 1_000;

/// What is done to datagrams on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Nothing passes.
    pub cut: bool,
    /// Nothing passes, but all of it comes once this ends.
    pub paused: bool,
    /// What everything takes.
    pub delay: Duration,
    /// What may come on top, drawn evenly.
    pub jitter: Duration,
    /// The share that gets lost.
    pub loss: f64,
    /// The share that comes twice.
    pub duplication: f64,
    /// Bytes a second that pass; 0: any number.
    pub rate: u64,
}

struct Shared {
    way: watch::Sender<LinkConditions>,
    to: Mutex<Option<SocketAddr>>,
    under_way: AtomicUsize,
}

/// A relay that is running; it ends when dropped.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Starts one on loopback that leads nowhere yet. `seen` is shown every datagram that is handed in, before anything
    /// is done to it.
    pub async fn start(seed: u64, seen: impl Fn(&[u8]) + Send + 'static) -> std::io::Result<Relay> {
        let socket = Arc::new(UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?);
        let address = socket.local_addr()?;
        let way = watch::channel(LinkConditions::default()).0;
        let shared = Arc::new(Shared {
            way,
            to: Mutex::default(),
            under_way: AtomicUsize::new(0),
        });
        let task = tokio::spawn(relay(
            socket,
            shared.clone(),
            SmallRng::seed_from_u64(seed),
            seen,
        ));
        Ok(Relay {
            address,
            shared,
            task,
        })
    }

    /// Where datagrams are handed in.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where they go from now on; `None`: nowhere.
    pub fn forward_to(&self, to: Option<SocketAddr>) {
        *self
            .shared
            .to
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = to;
    }

    /// Changes what is done to them; what is under way keeps its time.
    pub fn change(&self, change: impl FnOnce(&mut LinkConditions)) {
        self.shared.way.send_modify(change);
    }
}

async fn relay(
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    mut rng: SmallRng,
    seen: impl Fn(&[u8]),
) {
    let mut buffer = vec![0; 65_536];
    let mut free = Instant::now();
    loop {
        let Ok((count, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = &buffer[..count];
        seen(bytes);
        let way = *shared.way.borrow();
        if way.cut || rng.random::<f64>() < way.loss {
            continue;
        }
        let mut at = Instant::now();
        if let Some(takes) = (bytes.len() as u64 * 1_000_000_000).checked_div(way.rate) {
            free = free.max(at) + Duration::from_nanos(takes);
            at = free;
        }
        let copies = 1 + usize::from(rng.random::<f64>() < way.duplication);
        for _ in 0..copies {
            if shared.under_way.fetch_add(1, Ordering::Relaxed) >= UNDER_WAY {
                shared.under_way.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let late = at + way.delay + way.jitter.mul_f64(rng.random());
            let (socket, shared, bytes) = (socket.clone(), shared.clone(), bytes.to_vec());
            tokio::spawn(async move {
                let mut watched = shared.way.subscribe();
                tokio::time::sleep_until(late).await;
                let open = watched.wait_for(|w| !w.paused).await.is_ok();
                let to = *shared.to.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(to) = to.filter(|_| open) {
                    let _ = socket.send_to(&bytes, to).await;
                }
                shared.under_way.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::sync::mpsc;

    async fn pair() -> (Relay, UdpSocket, UdpSocket, mpsc::UnboundedReceiver<usize>) {
        let (told, seen) = mpsc::unbounded_channel();
        let relay = Relay::start(1, move |b| {
            assert!(told.send(b.len()).is_ok() || b.is_empty());
        })
        .await
        .unwrap();
        let to = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let from = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        relay.forward_to(Some(to.local_addr().unwrap()));
        (relay, from, to, seen)
    }

    #[tokio::test]
    async fn what_is_held_comes_when_the_silence_ends_and_what_is_cut_never() {
        let (relay, from, to, mut seen) = pair().await;
        relay.change(|w| w.cut = true);
        from.send_to(b"cut", relay.address()).await.unwrap();
        assert_eq!(seen.recv().await, Some(3));
        relay.change(|w| (w.cut, w.paused) = (false, true));
        from.send_to(b"held!", relay.address()).await.unwrap();
        assert_eq!(seen.recv().await, Some(5));
        relay.change(|w| w.paused = false);
        let mut buffer = [0; 16];
        let count = to.recv(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..count], b"held!");
    }

    #[tokio::test]
    async fn all_of_it_may_come_twice_or_be_lost() {
        let (relay, from, to, mut seen) = pair().await;
        relay.change(|w| w.loss = 1.0);
        from.send_to(b"lost", relay.address()).await.unwrap();
        seen.recv().await;
        relay.change(|w| (w.loss, w.duplication) = (0.0, 1.0));
        from.send_to(b"two", relay.address()).await.unwrap();
        let mut buffer = [0; 16];
        for _ in 0..2 {
            let count = to.recv(&mut buffer).await.unwrap();
            assert_eq!(&buffer[..count], b"two");
        }
    }
}
