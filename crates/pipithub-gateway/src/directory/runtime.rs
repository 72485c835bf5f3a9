//! The task that owns the directory core: it passes inputs to the core and executes the core's outputs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pipithub_clock::Clock;
use pipithub_directory::{Directory, Input, Output, Publisher, Query, SearchError, SearchId};
use pipithub_settings::{DirectoryConfig, TenantsConfig};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_rustls::TlsConnector;
use tracing::{info, warn};

use super::connection::tls_connector;
use super::follower::Follower;
use super::server_link::{ServerCommand, ServerLink, failed_search};
use super::snapshots::SnapshotWriter;
use super::{COMMAND_QUEUE, DirectoryEvent};

/// The maximum number of inputs that are taken from the queue at once.
const MAX_INPUT_BATCH: usize = 256;
/// The maximum time for which inputs are handled before their results are published.
const MAX_TURN: Duration = Duration::from_millis(20);

/// Identifies a server by its directory's index in the settings and its own index in that directory.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerKey {
    directory: usize,
    server: usize,
}

/// The front end has ended and dropped its end of the channels.
struct FrontEndGone;

/// The directory core with its channels.
pub(super) struct DirectoryTask {
    core: Directory,
    config: Arc<TenantsConfig>,
    front_end: String,
    clock: Clock,
    publisher: Publisher,
    inputs: mpsc::Receiver<Input>,
    inputs_sender: mpsc::Sender<Input>,
    events: mpsc::Sender<DirectoryEvent>,
    servers: BTreeMap<ServerKey, mpsc::Sender<ServerCommand>>,
    /// Outputs of the core that are not executed yet.
    outputs: Vec<Output>,
}

/// The channels of a [`DirectoryTask`].
pub(super) struct DirectoryChannels {
    pub(super) inputs: mpsc::Receiver<Input>,
    pub(super) inputs_sender: mpsc::Sender<Input>,
    pub(super) events: mpsc::Sender<DirectoryEvent>,
}

/// Waits until a snapshot is due. Never completes if no snapshots are written.
async fn next_snapshot(snapshots: &mut Option<SnapshotWriter>) {
    match snapshots {
        Some(snapshots) => snapshots.due().await,
        None => std::future::pending().await,
    }
}

impl DirectoryTask {
    /// Creates the task of a core; the links to the servers are started when it runs.
    pub(super) fn new(
        core: Directory,
        config: Arc<TenantsConfig>,
        front_end: &str,
        clock: Clock,
        publisher: Publisher,
        channels: DirectoryChannels,
    ) -> Self {
        DirectoryTask {
            core,
            config,
            front_end: front_end.to_string(),
            clock,
            publisher,
            inputs: channels.inputs,
            inputs_sender: channels.inputs_sender,
            events: channels.events,
            servers: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Runs until the front end has ended.
    pub(super) async fn run(mut self) {
        let mut tasks = JoinSet::new();
        let config = self.config.clone();
        for (number, directory) in config.directories.iter().enumerate() {
            self.start_directory(number, directory, &mut tasks);
        }
        let mut snapshots = SnapshotWriter::new(&config, &self.front_end, self.clock);
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        loop {
            let due = self.core.next_due(self.clock.now());
            tokio::select! {
                count = self.inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                () = self.clock.sleep_until(due) => batch.push(Input::Tick),
                () = next_snapshot(&mut snapshots) => {
                    if let Some(snapshots) = &mut snapshots {
                        snapshots.write(self.core.roster());
                    }
                }
            }
            self.handle_inputs(&mut batch);
            // The handler of an event must find its results in the roster, so the roster is published first.
            self.publisher.publish(self.core.roster());
            if self.execute_outputs().await.is_err() {
                return;
            }
        }
    }

    /// Starts the links to a directory's servers, and its follower if the settings say that it is followed.
    fn start_directory(
        &mut self,
        number: usize,
        directory: &DirectoryConfig,
        tasks: &mut JoinSet<()>,
    ) {
        let tls = match tls_connector(directory) {
            Ok(tls) => tls,
            Err(error) => {
                warn!(directory = directory.name, %error, "failed to set up TLS; directory is not used");
                return;
            }
        };
        let directory = Arc::new(directory.clone());
        for server in 0..directory.servers.len() {
            let key = ServerKey {
                directory: number,
                server,
            };
            self.start_server(key, &directory, tls.clone(), tasks);
        }
        if directory.content_sync {
            let follower = Follower {
                directory,
                number,
                tls,
                inputs: self.inputs_sender.clone(),
            };
            tasks.spawn(follower.run());
        }
    }

    fn start_server(
        &mut self,
        key: ServerKey,
        directory: &Arc<DirectoryConfig>,
        tls: Option<TlsConnector>,
        tasks: &mut JoinSet<()>,
    ) {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        self.servers.insert(key, commands);
        let link = ServerLink {
            directory: directory.clone(),
            server: key.server,
            tls,
            front_end: self.front_end.clone(),
        };
        tasks.spawn(link.run(receiver, self.inputs_sender.clone()));
    }

    /// Passes inputs to the core until none are queued or the turn has lasted [`MAX_TURN`]. The first changes after a
    /// publication have to copy the parts of the roster that they touch, so the results of one turn are published
    /// together.
    fn handle_inputs(&mut self, batch: &mut Vec<Input>) {
        let reading = self.clock.read();
        self.core
            .set_wall_clock(reading.now, reading.wall_ms as i64);
        let turn_end = self.clock.now() + MAX_TURN.as_nanos() as u64;
        loop {
            let now = self.clock.now();
            for input in batch.drain(..) {
                self.core.handle(now, input, &mut self.outputs);
            }
            match self.inputs.try_recv() {
                Ok(input) if now < turn_end => batch.push(input),
                Ok(input) => {
                    self.core.handle(now, input, &mut self.outputs);
                    return;
                }
                Err(_) => return,
            }
        }
    }

    async fn execute_outputs(&mut self) -> Result<(), FrontEndGone> {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Search {
                    id,
                    directory,
                    server,
                    query,
                } => self.search(ServerKey { directory, server }, id, query),
                Output::CancelSearch(id) => self.cancel(id),
                Output::LookupFinished(user) => {
                    self.report(DirectoryEvent::LookupFinished(user)).await?;
                }
                Output::UserMigrated(user) => {
                    info!(
                        front_end = self.front_end,
                        user = &*user,
                        "tenant or identity of user changed"
                    );
                    self.report(DirectoryEvent::UserMigrated(user)).await?;
                }
            }
        }
        // Keeps the buffer's allocation for the next turn.
        self.outputs = outputs;
        Ok(())
    }

    fn search(&self, key: ServerKey, id: SearchId, query: Query) {
        let server = self.servers.get(&key);
        let command = ServerCommand::Search { id, query };
        if server.is_none_or(|server| server.try_send(command).is_err()) {
            let _ = self
                .inputs_sender
                .try_send(failed_search(id, SearchError::ConnectionLost));
        }
    }

    fn cancel(&self, id: SearchId) {
        for server in self.servers.values() {
            let _ = server.try_send(ServerCommand::Cancel(id));
        }
    }

    async fn report(&self, event: DirectoryEvent) -> Result<(), FrontEndGone> {
        self.events.send(event).await.map_err(|_| FrontEndGone)
    }
}
