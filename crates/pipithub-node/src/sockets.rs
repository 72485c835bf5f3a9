//! Accepts, establishes, reads and writes connections. Errors are distinguished by their origin: what fails because
//! this machine lacks a resource is retried and does not count against the peer.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use pipithub_os_error::{AcceptFailure, FaultOrigin, accept_failure, fault_origin};
use tokio::time::{sleep, timeout};
use tracing::{debug, error, warn};

/// How long to wait before an operation is retried that failed because this machine lacked a resource.
pub const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Counts the system calls that failed because this machine lacked a resource.
#[derive(Debug, Default)]
pub struct LocalFaults(Cell<u64>);

impl LocalFaults {
    /// Counts one more failure.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The number of failures so far.
    pub fn count(&self) -> u64 {
        self.0.get()
    }
}

/// Accepts connections until the listener fails permanently, and passes each to `on_connection`.
pub async fn accept_all<T>(
    mut accept: impl AsyncFnMut() -> io::Result<T>,
    mut on_connection: impl FnMut(T),
    faults: &LocalFaults,
) {
    loop {
        match accept().await {
            Ok(connection) => on_connection(connection),
            Err(error) => match accept_failure(&error) {
                AcceptFailure::Connection => {
                    debug!(%error, "connection ended before it was accepted");
                }
                AcceptFailure::Exhausted => {
                    // Connections that close free resources.
                    faults.increment();
                    warn!(%error, "failed to accept connection, retrying");
                    sleep(LOCAL_RETRY_DELAY).await;
                }
                AcceptFailure::Fatal => {
                    return error!(%error, "failed to accept connection, no longer accepting");
                }
            },
        }
    }
}

/// Why a connection could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer refused the connection or cannot be reached.
    #[error("{0}")]
    Peer(io::Error),
    /// The peer did not answer in time.
    #[error("timed out")]
    TimedOut,
    /// This machine lacked a resource until the timeout.
    #[error("timed out waiting for local resources")]
    Local,
}

/// Establishes a connection within `connect_timeout`. A local failure is retried, a failure of the peer is not. `dial`
/// sets its argument when it begins to contact the peer.
///
/// # Errors
/// [`ConnectError`] distinguishes failures of the peer from local ones.
pub async fn connect<T>(
    connect_timeout: Duration,
    mut dial: impl AsyncFnMut(&Cell<bool>) -> io::Result<T>,
    faults: &LocalFaults,
) -> Result<T, ConnectError> {
    // Whether the peer was contacted and no local failure has occurred since.
    let dialled = Cell::new(false);
    let attempts = async {
        loop {
            match dial(&dialled).await {
                Err(error) if fault_origin(&error) == FaultOrigin::Local => {
                    dialled.set(false);
                    faults.increment();
                    debug!(%error, "failed to connect, retrying");
                    sleep(LOCAL_RETRY_DELAY).await;
                }
                other => return other.map_err(ConnectError::Peer),
            }
        }
    };
    let timed_out = |_| {
        Err(if dialled.get() {
            ConnectError::TimedOut
        } else {
            ConnectError::Local
        })
    };
    timeout(connect_timeout, attempts)
        .await
        .unwrap_or_else(timed_out)
}

/// What ended a series of reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferEnd {
    /// All bytes were written, or the read buffer is full.
    Complete,
    /// The operating system accepts no more bytes, or has no more to read, for now.
    Blocked,
    /// This machine lacked a resource: the transfer may be retried soon.
    Exhausted,
    /// The connection has ended.
    Ended,
}

/// The result of a series of reads or writes that does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The number of bytes read or written.
    pub count: usize,
    /// What ended the series.
    pub end: TransferEnd,
}

/// Writes as many bytes as the operating system accepts without waiting.
pub fn write_now(bytes: &[u8], mut write: impl FnMut(&[u8]) -> io::Result<usize>) -> Transfer {
    let mut written = 0;
    while written < bytes.len() {
        match transferred(write(&bytes[written..])) {
            Ok(count) => written += count,
            Err(end) => {
                return Transfer {
                    count: written,
                    end,
                };
            }
        }
    }
    Transfer {
        count: written,
        end: TransferEnd::Complete,
    }
}

/// Reads as many bytes as are available without waiting and fit into the buffer.
pub fn read_now(
    buffer: &mut [u8],
    mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
) -> Transfer {
    let mut filled = 0;
    while filled < buffer.len() {
        match transferred(read(&mut buffer[filled..])) {
            Ok(count) => filled += count,
            Err(end) => return Transfer { count: filled, end },
        }
    }
    Transfer {
        count: filled,
        end: TransferEnd::Complete,
    }
}

/// The number of bytes that one system call has read or written, 0 if it was interrupted; or what ends the series.
fn transferred(result: io::Result<usize>) -> Result<usize, TransferEnd> {
    match result {
        Ok(0) => Err(TransferEnd::Ended),
        Ok(count) => Ok(count),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock => Err(TransferEnd::Blocked),
            io::ErrorKind::Interrupted => Ok(0),
            _ if fault_origin(&error) == FaultOrigin::Local => Err(TransferEnd::Exhausted),
            _ => Err(TransferEnd::Ended),
        },
    }
}
