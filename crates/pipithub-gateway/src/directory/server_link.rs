//! The connections to one directory server: each is opened when it is first needed.

use std::sync::Arc;

use pipithub_directory::{Input, Query, SearchError, SearchId};
use pipithub_settings::DirectoryConfig;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_rustls::TlsConnector;
use tracing::{debug, warn};

use super::COMMAND_QUEUE;
use super::connection::Connection;
use super::session::Session;

/// A command to the connections of a server.
pub(super) enum ServerCommand {
    /// Make a search; one [`Input::SearchEnded`] is owed for it, unless it is cancelled.
    Search { id: SearchId, query: Query },
    /// End a search whose answer is of no use any more.
    Cancel(SearchId),
}

/// The input that ends a search without an answer.
pub(super) fn failed_search(id: SearchId, error: SearchError) -> Input {
    Input::SearchEnded {
        search: id,
        outcome: Err(error),
    }
}

/// One server of a directory.
pub(super) struct ServerLink {
    pub(super) directory: Arc<DirectoryConfig>,
    pub(super) server: usize,
    pub(super) tls: Option<TlsConnector>,
    pub(super) front_end: String,
}

impl ServerLink {
    /// Hands searches to the connections in turn, and cancellations to all of them.
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

    /// Opens a connection at the first search, and again at the next one after it was lost.
    async fn run_connection(
        self: Arc<Self>,
        mut commands: mpsc::Receiver<ServerCommand>,
        inputs: mpsc::Sender<Input>,
    ) {
        while let Some(command) = commands.recv().await {
            // Without a connection there is nothing to cancel.
            let ServerCommand::Search { id, query } = command else {
                continue;
            };
            match Connection::open(&self.directory, self.server, self.tls.as_ref()).await {
                Ok(connection) => {
                    self.log_opened();
                    let mut session = Session::new(&self, connection, &inputs);
                    session.begin_first(id, query);
                    let ended = session.run(&mut commands).await;
                    self.log_lost(&ended.reason.to_string());
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
                    self.log_lost(&error.to_string());
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
            "directory server reached"
        );
    }

    fn log_lost(&self, why: &str) {
        warn!(
            front_end = self.front_end,
            directory = self.directory.name,
            address = self.address(),
            why,
            "directory server lost"
        );
    }
}
