//! Connecting to a peer, with retries while this machine lacks descriptors, memory, ports or a route.

use std::future::Future;
use std::io;
use std::time::Duration;

use pipithub_os_error::{FaultOrigin, fault_origin};
use tokio::time::Instant;
use tracing::warn;

/// Backoff after a fault of this machine.
const LOCAL_FAULT_BACKOFF: Duration = Duration::from_millis(10);

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFailure {
    /// The peer refused, or did not answer in time.
    #[error("the peer took no connection")]
    Peer,
    /// This machine could not make one in time. It says nothing about the peer.
    #[error("this machine could make no connection")]
    Local,
}

/// Calls `connect` until it returns a connection, the peer refuses or the deadline is reached. Only faults of this
/// machine are retried.
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
        warn!(%error, "this machine cannot connect for a moment");
        if Instant::now() + LOCAL_FAULT_BACKOFF >= deadline {
            return Err(ConnectFailure::Local);
        }
        tokio::time::sleep(LOCAL_FAULT_BACKOFF).await;
    }
}
