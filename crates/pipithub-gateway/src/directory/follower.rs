//! Follows a directory by content synchronization (RFC 4533), at one of its servers at a time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pipithub_directory::{Input, SyncEvent};
use pipithub_settings::DirectoryConfig;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_rustls::TlsConnector;
use tracing::warn;

use super::sync_session::{SyncSession, SyncSessionEnd};

/// The keepalive interval is the shortest lifetime of a record divided by this, within the two bounds below.
const KEEPALIVE_DIVISOR: u64 = 4;
const MIN_KEEPALIVE: Duration = Duration::from_millis(100);
const MAX_KEEPALIVE: Duration = Duration::from_secs(30);

/// Follows one directory and reports its events to the core.
pub(super) struct Follower {
    pub(super) directory: Arc<DirectoryConfig>,
    /// The directory's index in the settings.
    pub(super) number: usize,
    pub(super) tls: Option<TlsConnector>,
    pub(super) inputs: mpsc::Sender<Input>,
}

impl Follower {
    /// Follows the directory until the front end has ended. After each failure the next server is used.
    pub(super) async fn run(self) {
        let mut server = 0;
        let mut cookie = None;
        loop {
            let started = Instant::now();
            let reason = self.follow(server, &mut cookie).await.to_string();
            let name = &self.directory.name;
            warn!(
                directory = name,
                server,
                why = reason,
                "content synchronization ended, reconnecting"
            );
            if self.report(SyncEvent::ConnectionLost).await.is_err() {
                return;
            }
            // Servers use different result codes for a cookie that they cannot continue from. A session that ended
            // soon, for whatever reason, is therefore followed by a full refresh.
            if started.elapsed() < self.keepalive() {
                cookie = None;
            }
            server = (server + 1) % self.directory.servers.len();
            let backoff = Duration::from_nanos(self.directory.lookups.backoff.initial);
            tokio::time::sleep(backoff).await;
        }
    }

    /// Follows the directory at one server until the session ends, and returns why it ended. The cookie records how far
    /// the synchronization has come; `None` requests a full refresh.
    async fn follow(&self, server: usize, cookie: &mut Option<Bytes>) -> SyncSessionEnd {
        let mut session = match SyncSession::begin(self, server, cookie).await {
            Ok(session) => session,
            Err(error) => return error,
        };
        session.run().await
    }

    /// The interval at which the connection is checked, which is also the longest time that a server may stay silent.
    pub(super) fn keepalive(&self) -> Duration {
        let lifetimes = self.directory.lookups.lifetimes;
        let shortest = lifetimes.fresh.min(lifetimes.negative);
        Duration::from_nanos(shortest / KEEPALIVE_DIVISOR).clamp(MIN_KEEPALIVE, MAX_KEEPALIVE)
    }

    /// Sends an event to the core. Fails if the front end has ended.
    pub(super) async fn report(&self, event: SyncEvent) -> Result<(), SyncSessionEnd> {
        let input = Input::Synchronization {
            directory: self.number,
            event,
        };
        let sent = self.inputs.send(input).await;
        sent.map_err(|_| SyncSessionEnd::FrontEndGone)
    }
}
