//! A listener that can be closed, so that connections are refused, and opened again at the same address.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// How long to wait before the listener binds again to an address that is not free yet.
const REBIND_INTERVAL: Duration = Duration::from_millis(2);

/// A listener at a fixed address, which can be closed and opened.
pub(super) struct ReopenableListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl ReopenableListener {
    /// Listens at an address. Fails if the address is not free.
    pub(super) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(ReopenableListener {
            address: listener.local_addr()?,
            listener: Some(listener),
        })
    }

    /// The address of the listener, also while it is closed.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener, so that connections are refused, or opens it again and waits until its address is free.
    pub(super) async fn set_open(&mut self, open: bool) {
        if !open {
            self.listener = None;
        }
        while open && self.listener.is_none() {
            self.listener = TcpListener::bind(self.address).await.ok();
            if self.listener.is_none() {
                tokio::time::sleep(REBIND_INTERVAL).await;
            }
        }
    }

    /// Accepts the next connection; `None` if that fails. It waits forever while the listener is closed.
    pub(super) async fn accept(&self) -> Option<TcpStream> {
        match &self.listener {
            Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
            None => std::future::pending().await,
        }
    }
}
