//! Accepting connections in spite of errors that pass.

use std::future::Future;
use std::io;
use std::time::Duration;

use pipithub_os_error::{AcceptFailure, accept_failure};
use tokio::net::{TcpListener, TcpStream};
use tracing::{debug, error, warn};

/// The pause between calls while this machine lacks descriptors or memory.
const EXHAUSTED_BACKOFF: Duration = Duration::from_millis(10);

/// The next connection of a listener; `None` where the listener is of no use any more.
pub(crate) async fn next_stream(listener: &TcpListener) -> Option<TcpStream> {
    next_connection(|| listener.accept())
        .await
        .map(|(stream, _)| stream)
}

/// Calls `accept` until it gives a connection; `None` after an error that no further call can mend.
///
/// A connection that was lost before it was accepted holds up no other; while this machine lacks descriptors or
/// memory, there is a short pause between calls.
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
                debug!(%error, "a connection was lost before it was accepted");
            }
            AcceptFailure::Exhausted => {
                warn!(%error, "no connection can be accepted for a moment");
                tokio::time::sleep(EXHAUSTED_BACKOFF).await;
            }
            AcceptFailure::Fatal => {
                error!(%error, "the listener ends");
                return None;
            }
        }
    }
}
