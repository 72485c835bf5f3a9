//! The searches that share one connection to a directory server.

use std::collections::BTreeMap;

use pipithub_directory::{Input, Query, SearchError, SearchId};
use pipithub_ldap::client::Entry;
use pipithub_ldap::{Event, Outcome, SearchId as LdapSearchId};
use tokio::sync::mpsc;
use tracing::warn;

use super::connection::{Connection, ConnectionError};
use super::pending_search::PendingSearch;
use super::server_link::{ServerCommand, ServerLink, failed_search};

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionEnd {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("the front end has ended")]
    FrontEndGone,
    #[error("the connection is no longer needed")]
    Unneeded,
    #[error("the server did not answer in time")]
    Silent,
}

/// The outcome of a session.
pub(super) struct EndedSession {
    pub(super) reason: SessionEnd,
    /// The searches that were in flight at the end.
    pub(super) unanswered: Vec<SearchId>,
}

/// An open connection with the searches that are in flight on it.
pub(super) struct Session<'a> {
    link: &'a ServerLink,
    connection: Connection,
    inputs: &'a mpsc::Sender<Input>,
    searches: BTreeMap<SearchId, PendingSearch>,
}

impl<'a> Session<'a> {
    /// Creates a session without searches.
    pub(super) fn new(
        link: &'a ServerLink,
        connection: Connection,
        inputs: &'a mpsc::Sender<Input>,
    ) -> Self {
        Session {
            link,
            connection,
            inputs,
            searches: BTreeMap::new(),
        }
    }

    /// Begins the search for which the connection was opened. A client that was just bound accepts it.
    pub(super) fn begin_first(&mut self, id: SearchId, query: Query) {
        let client = &mut self.connection.client;
        let search = PendingSearch::begin(&self.link.directory, client, query);
        self.searches.extend(search.map(|search| (id, search)));
    }

    /// Runs until the connection fails or is no longer needed, and closes it.
    pub(super) async fn run(
        mut self,
        commands: &mut mpsc::Receiver<ServerCommand>,
    ) -> EndedSession {
        let reason = loop {
            if let Err(reason) = self.step(commands).await {
                break reason;
            }
        };
        EndedSession {
            reason,
            unanswered: self.searches.into_keys().collect(),
        }
    }

    async fn step(
        &mut self,
        commands: &mut mpsc::Receiver<ServerCommand>,
    ) -> Result<(), SessionEnd> {
        self.connection.flush().await?;
        while let Some(event) = self.connection.client.poll() {
            self.handle_event(event).await?;
        }
        tokio::select! {
            read = self.connection.read() => Ok(read?),
            command = commands.recv() => self.handle_command(command).await,
        }
    }

    async fn handle_event(&mut self, event: Event) -> Result<(), SessionEnd> {
        let (ldap_id, handled) = match event {
            Event::Entry(ldap_id, entry) => (ldap_id, self.handle_entry(ldap_id, &entry)),
            Event::Done(ldap_id, outcome) => (ldap_id, self.handle_done(ldap_id, outcome)),
            // Referrals are not followed, as that would send credentials to hosts that are not in the settings.
            Event::Reference(..) | Event::Info(..) | Event::Ready | Event::BeginTls => {
                return Ok(());
            }
            Event::Closed(reason) => return Err(ConnectionError::Protocol(reason).into()),
        };
        let affected = self
            .searches
            .iter()
            .find(|(_, search)| search.has(ldap_id) || search.is_complete())
            .map(|(id, search)| (*id, search.is_complete()));
        match (affected, handled) {
            (Some((id, _)), Err(error)) => self.finish(id, Err(error)).await,
            (Some((id, true)), Ok(())) => self.finish(id, Ok(())).await,
            _ => Ok(()),
        }
    }

    fn handle_entry(&mut self, ldap_id: LdapSearchId, entry: &Entry) -> Result<(), SearchError> {
        let mut searches = self.searches.values_mut();
        match searches.find(|search| search.has(ldap_id)) {
            Some(search) => search.handle_entry(&self.link.directory, ldap_id, entry),
            None => Ok(()),
        }
    }

    fn handle_done(&mut self, ldap_id: LdapSearchId, outcome: Outcome) -> Result<(), SearchError> {
        let directory = &self.link.directory;
        let mut searches = self.searches.values_mut();
        let Some(search) = searches.find(|search| search.has(ldap_id)) else {
            return Ok(());
        };
        let handled = search.handle_done(directory, &mut self.connection.client, ldap_id, &outcome);
        if handled.is_err() {
            warn!(
                front_end = self.link.front_end,
                directory = directory.name,
                server = self.link.server,
                code = ?outcome.code,
                words = outcome.message,
                "directory server failed to answer a search"
            );
        }
        handled
    }

    /// Removes a search and reports its end to the core.
    async fn finish(
        &mut self,
        id: SearchId,
        ended: Result<(), SearchError>,
    ) -> Result<(), SessionEnd> {
        let Some(search) = self.searches.remove(&id) else {
            return Ok(());
        };
        search.abandon(&mut self.connection.client);
        let ended = Input::SearchEnded {
            search: id,
            outcome: ended.map(|()| search.into_response()),
        };
        let sent = self.inputs.send(ended).await;
        sent.map_err(|_| SessionEnd::FrontEndGone)
    }

    async fn handle_command(&mut self, command: Option<ServerCommand>) -> Result<(), SessionEnd> {
        match command {
            None => {
                self.connection.unbind().await;
                Err(SessionEnd::Unneeded)
            }
            Some(ServerCommand::Search { id, query }) => {
                self.begin(id, query).await;
                Ok(())
            }
            Some(ServerCommand::Cancel(id)) => self.cancel(id),
        }
    }

    async fn begin(&mut self, id: SearchId, query: Query) {
        let client = &mut self.connection.client;
        match PendingSearch::begin(&self.link.directory, client, query) {
            Some(search) => {
                self.searches.insert(id, search);
            }
            None => {
                let _ = self
                    .inputs
                    .send(failed_search(id, SearchError::Unavailable))
                    .await;
            }
        }
    }

    fn cancel(&mut self, id: SearchId) -> Result<(), SessionEnd> {
        let Some(search) = self.searches.remove(&id) else {
            return Ok(());
        };
        search.abandon(&mut self.connection.client);
        // Searches are cancelled when they time out. If no other search is in flight, the connection may be half open,
        // so it is closed, and the next search opens a new one.
        if self.searches.is_empty() {
            return Err(SessionEnd::Silent);
        }
        Ok(())
    }
}
