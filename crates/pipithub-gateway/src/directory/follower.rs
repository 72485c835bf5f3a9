//! Following a directory by content synchronisation (RFC 4533), at one server after the other.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pipithub_directory::{Input, SyncEvent};
use pipithub_settings::DirectoryConfig;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_rustls::TlsConnector;
use tracing::warn;

use super::sync_session::{FollowError, SyncSession};

/// A followed connection is checked after this part of the shortest lifetime of a fact, between these two bounds.
const KEEPALIVE_PART: u64 = 4;
const MIN_KEEPALIVE: Duration = Duration::from_millis(100);
const MAX_KEEPALIVE: Duration = Duration::from_secs(30);

/// A directory that is followed.
pub(super) struct Follower {
    pub(super) directory: Arc<DirectoryConfig>,
    /// Its place in the settings.
    pub(super) number: usize,
    pub(super) tls: Option<TlsConnector>,
    pub(super) inputs: mpsc::Sender<Input>,
}

impl Follower {
    /// Follows the directory until the front end has ended.
    pub(super) async fn run(self) {
        let mut server = 0;
        let mut cookie = None;
        loop {
            let began = Instant::now();
            let why = self.follow(server, &mut cookie).await.to_string();
            let name = &self.directory.name;
            warn!(
                directory = name,
                server, why, "a directory is not followed any more"
            );
            if self.report(SyncEvent::ConnectionLost).await.is_err() {
                return;
            }
            // There is no one result code for a synchronisation that a server cannot continue: whatever ended it, the
            // next one begins anew if this one was short.
            if began.elapsed() < self.keepalive() {
                cookie = None;
            }
            server = (server + 1) % self.directory.servers.len();
            let backoff = Duration::from_nanos(self.directory.lookups.backoff.initial);
            tokio::time::sleep(backoff).await;
        }
    }

    /// Follows at one server until that ends; the cookie is where the synchronisation stands.
    async fn follow(&self, server: usize, cookie: &mut Option<Bytes>) -> FollowError {
        let mut session = match SyncSession::begin(self, server, cookie).await {
            Ok(session) => session,
            Err(error) => return error,
        };
        session.run().await
    }

    /// How often a followed connection is checked, and how long it may stay silent.
    pub(super) fn keepalive(&self) -> Duration {
        let lifetimes = self.directory.lookups.lifetimes;
        let shortest = lifetimes.fresh.min(lifetimes.negative);
        Duration::from_nanos(shortest / KEEPALIVE_PART).clamp(MIN_KEEPALIVE, MAX_KEEPALIVE)
    }

    /// Hands an event to the core.
    pub(super) async fn report(&self, event: SyncEvent) -> Result<(), FollowError> {
        let input = Input::Synchronization {
            directory: self.number,
            event,
        };
        let sent = self.inputs.send(input).await;
        sent.map_err(|_| FollowError::FrontEndGone)
    }
}
