//! The connections to one directory server. Each is opened when it is first needed.

use std::sync::Arc;

use pipithub_directory::{Input, Query, SearchError, SearchId};
use pipithub_settings::DirectoryConfig;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_rustls::TlsConnector;
use tracing::{debug, warn};

use super::COMMAND_QUEUE;
use super::connection::{Connection, ConnectionError};
use super::session::{Session, SessionEnd};

/// A command to the connections of a server.
pub(super) enum ServerCommand {
    /// Make a search. It ends with exactly one [`Input::SearchEnded`], unless it is cancelled.
    Search { id: SearchId, query: Query },
    /// Abandon a search whose response is no longer needed.
    Cancel(SearchId),
}

/// The input that ends a search with an error.
pub(super) fn failed_search(id: SearchId, error: SearchError) -> Input {
    Input::SearchEnded {
        search: id,
        outcome: Err(error),
    }
}

/// One server of a directory, with what is needed to connect to it.
pub(super) struct ServerLink {
    pub(super) directory: Arc<DirectoryConfig>,
    /// The server's index in the directory's settings.
    pub(super) server: usize,
    pub(super) tls: Option<TlsConnector>,
    pub(super) front_end: String,
}

impl ServerLink {
    /// Distributes searches to the connections round-robin, and sends cancellations to all of them.
    pub(super) async fn run(
        self,
        mut commands: mpsc::Receiver<ServerCommand>,
        inputs: mpsc::Sender<Input>,
    ) {
        let link = Arc::new(self);
        let mut tasks = JoinSet::new();
        let mut connections = Vec::new();
        for _ in 0..link.directory.connections {
            let (connection, receiver) = mpsc::channel(COMMAND_QUEUE);
            connections.push(connection);
            tasks.spawn(link.clone().run_connection(receiver, inputs.clone()));
        }
        let mut turn = 0;
        while let Some(command) = commands.recv().await {
            match command {
                ServerCommand::Search { id, query } => {
                    turn += 1;
                    let connection = &connections[turn % connections.len()];
                    if connection
                        .try_send(ServerCommand::Search { id, query })
                        .is_err()
                    {
                        let _ = inputs.try_send(failed_search(id, SearchError::ConnectionLost));
                    }
                }
                ServerCommand::Cancel(id) => {
                    for connection in &connections {
                        let _ = connection.try_send(ServerCommand::Cancel(id));
                    }
                }
            }
        }
    }

    /// Runs one connection: opens it at the first search, and opens it again at the first search after it was lost.
    async fn run_connection(
        self: Arc<Self>,
        mut commands: mpsc::Receiver<ServerCommand>,
        inputs: mpsc::Sender<Input>,
    ) {
        while let Some(command) = commands.recv().await {
            // Without a connection no search is in flight that could be cancelled.
            let ServerCommand::Search { id, query } = command else {
                continue;
            };
            match Connection::open(&self.directory, self.server, self.tls.as_ref()).await {
                Ok(connection) => {
                    self.log_opened();
                    let mut session = Session::new(&self, connection, &inputs);
                    session.begin_first(id, query);
                    let ended = session.run(&mut commands).await;
                    self.log_lost(&ended.reason);
                    for id in ended.unanswered {
                        let _ = inputs
                            .send(failed_search(id, SearchError::ConnectionLost))
                            .await;
                    }
                }
                Err(error) => {
                    let _ = inputs
                        .send(failed_search(id, SearchError::ConnectionLost))
                        .await;
                    self.log_connect_failure(&error);
                }
            }
        }
    }

    fn address(&self) -> &str {
        &self.directory.servers[self.server].address
    }

    fn log_opened(&self) {
        debug!(
            front_end = self.front_end,
            directory = self.directory.name,
            address = self.address(),
            "connected to directory server"
        );
    }

    fn log_connect_failure(&self, error: &ConnectionError) {
        warn!(
            front_end = self.front_end,
            directory = self.directory.name,
            address = self.address(),
            why = error.to_string(),
            "failed to connect to directory server"
        );
    }

    fn log_lost(&self, reason: &SessionEnd) {
        warn!(
            front_end = self.front_end,
            directory = self.directory.name,
            address = self.address(),
            why = reason.to_string(),
            "connection to directory server ended"
        );
    }
}
