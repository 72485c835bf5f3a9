//! Connects to a peer, with retries while this machine lacks file descriptors, memory, ports or a route.

use std::future::Future;
use std::io;
use std::time::Duration;

use pipithub_os_error::{FaultOrigin, fault_origin};
use tokio::time::Instant;
use tracing::warn;

/// The fixed backoff after a fault of this machine.
const LOCAL_FAULT_BACKOFF: Duration = Duration::from_millis(10);

/// Why a connection was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFailure {
    /// The peer refused the connection, or did not accept it before the deadline.
    #[error("the peer did not accept the connection")]
    Peer,
    /// This machine could not open a connection before the deadline. The failure says nothing about the peer.
    #[error("this machine could not open a connection")]
    Local,
}

/// Calls `connect` until it returns a connection, the peer refuses or the deadline passes.
///
/// Only faults of this machine are retried; a failure of the peer is returned at once as [`ConnectFailure::Peer`].
pub async fn connect_by<C, F>(
    deadline: Instant,
    mut connect: impl FnMut() -> F,
) -> Result<C, ConnectFailure>
where
    F: Future<Output = io::Result<C>>,
{
    loop {
        let error = match tokio::time::timeout_at(deadline, connect()).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectFailure::Peer),
        };
        if fault_origin(&error) == FaultOrigin::Peer {
            return Err(ConnectFailure::Peer);
        }
        warn!(%error, "failed to connect because of a local fault, retrying");
        if Instant::now() + LOCAL_FAULT_BACKOFF >= deadline {
            return Err(ConnectFailure::Local);
        }
        tokio::time::sleep(LOCAL_FAULT_BACKOFF).await;
    }
}
