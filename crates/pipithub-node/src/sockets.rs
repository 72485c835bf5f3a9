//! Accepts and makes connections, retrying by whose fault an error is: what this machine lacks for a moment tells
//! nothing of a worker and must not hold up more than it has to.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use pipithub_os_error::{AcceptFailure, FaultOrigin, accept_failure, fault_origin};
use tokio::time::{sleep, timeout};
use tracing::{debug, error, warn};

/// How long to wait before retrying what failed because this machine lacked a resource.
pub const LOCAL_RETRY: Duration = Duration::from_millis(10);

/// Counts the system calls that failed because this machine lacked a resource.
#[derive(Debug, Default)]
pub struct LocalFaults(Cell<u64>);

impl LocalFaults {
    /// One more.
    pub fn note(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// How many there were so far.
    pub fn count(&self) -> u64 {
        self.0.get()
    }
}

/// Accepts connections for as long as that is possible.
pub async fn accept_all<T>(
    mut accept: impl AsyncFnMut() -> io::Result<T>,
    mut take: impl FnMut(T),
    faults: &LocalFaults,
) {
    loop {
        match accept().await {
            Ok(connection) => take(connection),
            Err(error) => match accept_failure(&error) {
                AcceptFailure::Connection => {
                    debug!(%error, "a connection ended before it was accepted");
                }
                AcceptFailure::Exhausted => {
                    // Those that close make room.
                    faults.note();
                    warn!(%error, "cannot accept");
                    sleep(LOCAL_RETRY).await;
                }
                AcceptFailure::Fatal => return error!(%error, "cannot accept any more"),
            },
        }
    }
}

/// Why a connection did not come up.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer refused it or cannot be reached.
    #[error("{0}")]
    Peer(io::Error),
    /// The peer did not answer in time.
    #[error("not up in time")]
    TimedOut,
    /// This machine lacked something for all of the time.
    #[error("not tried in time for want of something here")]
    Local,
}

/// Makes a connection within a time. A failure by a fault of this machine is retried; one by the peer is not.
///
/// # Errors
/// [`ConnectError`] says whose fault it is.
pub async fn connect<T>(
    within: Duration,
    mut dial: impl AsyncFnMut(&Cell<bool>) -> io::Result<T>,
    faults: &LocalFaults,
) -> Result<T, ConnectError> {
    // Whether the peer has been asked, and nothing here has failed since.
    let dialled = Cell::new(false);
    let tries = async {
        loop {
            match dial(&dialled).await {
                Err(error) if fault_origin(&error) == FaultOrigin::Local => {
                    dialled.set(false);
                    faults.note();
                    debug!(%error, "cannot connect yet");
                    sleep(LOCAL_RETRY).await;
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
    timeout(within, tries).await.unwrap_or_else(timed_out)
}

/// What ended a series of reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferEnd {
    /// All is written, or the buffer is full.
    Complete,
    /// The system takes or has no more for now.
    Blocked,
    /// This machine lacked something: it is to be tried again in a moment.
    Exhausted,
    /// The connection has ended.
    Ended,
}

/// A series of reads or writes that does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The bytes moved.
    pub count: usize,
    /// What ended the series.
    pub end: TransferEnd,
}

/// Writes as much as the system takes.
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

/// Reads as much as there is and fits.
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

/// The bytes that one call moved, none where it was interrupted; or what ends the series.
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
