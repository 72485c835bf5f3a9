//! The endpoint list from the Kubernetes API over HTTP: one list request, then watches from the version of its response.

mod api;

use std::ops::ControlFlow;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pipithub_clock::{Clock, wall_ms};
use pipithub_consumer::backoff::Backoff;
use pipithub_endpoints::{WatchStep, Watcher};
use pipithub_engine::Input;
use pipithub_engine::policy::{Endpoint, EndpointUpdate};
use pipithub_storage::{Durability, Saver, SystemFiles, Target};
use tokio::sync::mpsc;
use tracing::{info, warn};

use self::api::{MAX_BODY_BYTES, Watch, WatchError};

/// Nanoseconds of a millisecond.
const MS: u64 = 1_000_000;

/// Where the endpoint list is requested from, and where it is cached.
pub(crate) struct EndpointListSettings {
    /// The address of the API server, with or without `http://`.
    pub(crate) url: String,
    pub(crate) namespace: String,
    pub(crate) service: String,
    /// The name of the port to use; `None` uses the first one.
    pub(crate) port: Option<String>,
    /// The file in which the list is cached; `None` caches nothing.
    pub(crate) cache: Option<PathBuf>,
    pub(crate) front_end: String,
}

/// Reads the list that an earlier run has cached, as an input for the engine. `None` if there is no cached list, or none
/// that can be read.
pub(crate) fn load_cached(settings: &EndpointListSettings, clock: Clock) -> Option<Input> {
    let path = settings.cache.as_ref()?;
    let text = std::fs::read_to_string(path).ok()?;
    match pipithub_endpoints::read_cached_list(&text, clock.now(), wall_ms()) {
        Ok(cached) => Some(Input::Endpoints {
            update: cached.update,
            endpoints: cached.endpoints,
        }),
        Err(error) => {
            warn!(path = %path.display(), %error, "failed to read cached endpoint list");
            None
        }
    }
}

/// Starts the saver of the cached list; `None` if the list is not cached. All front ends of a process write the same
/// file, each through its own temporary file.
fn start_saver(settings: &EndpointListSettings) -> Option<Saver> {
    let path = settings.cache.as_ref()?;
    let target = Target::shared(path, &settings.front_end, Durability::Synced);
    Some(Saver::start(Arc::new(SystemFiles), target))
}

/// Watches the endpoint list and reports its changes to a front end.
pub(crate) struct EndpointListTask {
    settings: EndpointListSettings,
    watcher: Watcher,
    inputs: mpsc::Sender<Input>,
    saver: Option<Saver>,
    clock: Clock,
    backoff: Backoff,
}

impl EndpointListTask {
    /// Creates the task; it sends its first request when it runs.
    pub(crate) fn new(
        settings: EndpointListSettings,
        inputs: mpsc::Sender<Input>,
        clock: Clock,
        seed: u64,
    ) -> Self {
        EndpointListTask {
            watcher: Watcher::new(settings.port.clone()),
            saver: start_saver(&settings),
            settings,
            inputs,
            clock,
            backoff: Backoff::new(100 * MS, 5_000 * MS, 2_000 * MS, seed),
        }
    }

    /// Watches the list until the front end has ended. While the API server cannot be reached, the last known list stays
    /// in use.
    pub(crate) async fn run(mut self) {
        loop {
            let ended = if self.watcher.version().is_none() {
                self.fetch_endpoints().await
            } else {
                self.backoff.connected(self.clock.now());
                self.watch_endpoints().await
            };
            if self.inputs.is_closed() {
                return;
            }
            if let Err(error) = ended {
                self.back_off(&error).await;
            }
        }
    }

    async fn back_off(&mut self, error: &WatchError) {
        let delay = self.backoff.delay_after_failure(self.clock.now());
        warn!(
            front_end = self.settings.front_end,
            why = error.to_string(),
            wait_ms = delay / MS,
            "failed to watch endpoint list, retrying"
        );
        tokio::time::sleep(Duration::from_nanos(delay)).await;
    }

    async fn fetch_endpoints(&mut self) -> Result<(), WatchError> {
        let body = api::get_list(&self.settings).await?;
        let endpoints = self
            .watcher
            .apply_list(self.clock.now(), wall_ms(), &body)?;
        if self.watcher.version().is_none() {
            return Err(WatchError::NoVersion);
        }
        info!(
            front_end = self.settings.front_end,
            workers = endpoints.len(),
            ready = self.watcher.ready_count(),
            "endpoint list received"
        );
        self.publish(EndpointUpdate::Snapshot, endpoints).await;
        Ok(())
    }

    async fn watch_endpoints(&mut self) -> Result<(), WatchError> {
        let version = self.watcher.version().unwrap_or_default();
        let mut watch = match Watch::begin(&self.settings, version).await {
            Ok(watch) => watch,
            Err(WatchError::VersionExpired) => {
                self.watcher.forget_version();
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        let mut buffer = BytesMut::new();
        while let Some(frame) = watch.next_frame().await? {
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if buffer.len() + data.len() > MAX_BODY_BYTES {
                return Err(WatchError::EventTooLong);
            }
            buffer.extend_from_slice(data);
            while let Some(line) = take_line(&mut buffer) {
                if self.handle_line(&line).await?.is_break() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Handles one line of a watch. Breaks if the server no longer has the version that the watch began from.
    async fn handle_line(&mut self, line: &[u8]) -> Result<ControlFlow<()>, WatchError> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(ControlFlow::Continue(()));
        }
        match self
            .watcher
            .apply_watch_line(self.clock.now(), wall_ms(), line)
        {
            Ok(WatchStep::Changes(changes)) => self.publish(EndpointUpdate::Delta, changes).await,
            Ok(WatchStep::Nothing) => {}
            Ok(WatchStep::Expired) => return Ok(ControlFlow::Break(())),
            Err(error) => {
                // The invalid line may have announced that a worker drains, so the complete list is fetched again.
                self.watcher.forget_version();
                return Err(error.into());
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Sends an update to the front end, and saves the present list.
    async fn publish(&self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        let _ = self
            .inputs
            .send(Input::Endpoints { update, endpoints })
            .await;
        if let Some(saver) = &self.saver {
            let now = self.clock.now();
            let text = self.watcher.to_cached_list(now, wall_ms());
            saver.save(now, text.into_bytes());
        }
    }
}

/// Takes the next line from the buffer, without its line feed; `None` if no complete line is buffered.
fn take_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = buffer.split_to(end);
    buffer.advance(1);
    Some(line)
}
