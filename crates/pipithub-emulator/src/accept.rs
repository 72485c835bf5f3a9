//! Accept loops that survive transient errors.

use std::future::Future;
use std::io;
use std::time::Duration;

use pipithub_os_error::{AcceptFailure, accept_failure};
use tokio::net::{TcpListener, TcpStream};
use tracing::{debug, error, warn};

/// The delay before the next attempt while this machine lacks file descriptors or memory.
const EXHAUSTED_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts the next connection; `None` after an error that makes the listener unusable.
pub(crate) async fn next_stream(listener: &TcpListener) -> Option<TcpStream> {
    next_connection(|| listener.accept())
        .await
        .map(|(stream, _)| stream)
}

/// Calls `accept` until it returns a connection; `None` after an error that makes the listener unusable.
///
/// An error of a single connection is skipped. While this machine lacks file descriptors or memory, there is a short
/// delay between attempts.
pub async fn next_connection<C, F>(mut accept: impl FnMut() -> F) -> Option<C>
where
    F: Future<Output = io::Result<C>>,
{
    loop {
        let error = match accept().await {
            Ok(connection) => return Some(connection),
            Err(error) => error,
        };
        match accept_failure(&error) {
            AcceptFailure::Connection => {
                debug!(%error, "connection was lost before it was accepted");
            }
            AcceptFailure::Exhausted => {
                warn!(%error, "failed to accept connection, retrying");
                tokio::time::sleep(EXHAUSTED_BACKOFF).await;
            }
            AcceptFailure::Fatal => {
                error!(%error, "failed to accept connection, closing the listener");
                return None;
            }
        }
    }
}
