//! A single search on a new connection, for the command line.

use std::time::Duration;

use pipithub_directory::{Query, SearchError, SearchResponse};
use pipithub_ldap::message::ResultCode;
use pipithub_ldap::{Event, Outcome};
use pipithub_settings::DirectoryConfig;

use super::connection::{Connection, ConnectionError, tls_connector};
use super::pending_search::PendingSearch;

/// Why a query has no response. The texts are for the operator, and part of what `pipithub tenants` prints.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The connection was not made, or ended.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The client did not accept the search.
    #[error("not begun")]
    NotBegun,
    /// The entries of the response are not valid.
    #[error("{0}")]
    Entries(SearchError),
    /// The server ended the search with an error.
    #[error("{failure}: {code:?} {message}")]
    Result {
        /// How the directory core treats the error.
        failure: SearchError,
        /// The LDAP result code.
        code: ResultCode,
        /// The server's diagnostic message, which may be empty.
        message: String,
    },
    /// The response was not complete within the directory's search timeout.
    #[error("no answer in time")]
    TimedOut,
}

/// Sends a query to the directory's server with this index, on a new connection that is closed afterwards.
///
/// # Errors
///
/// Fails if the connection cannot be made, if the server reports an error, or if the response is not complete within the
/// search timeout of the settings.
///
/// # Panics
///
/// Panics if the directory has no server with this index.
pub async fn query_server(
    directory: &DirectoryConfig,
    server: usize,
    query: Query,
) -> Result<SearchResponse, QueryError> {
    let tls = tls_connector(directory).map_err(ConnectionError::Io)?;
    let mut connection = Connection::open(directory, server, tls.as_ref()).await?;
    let search = PendingSearch::begin(directory, &mut connection.client, query)
        .ok_or(QueryError::NotBegun)?;
    let timeout = Duration::from_nanos(directory.lookups.timeout);
    tokio::time::timeout(timeout, complete(directory, connection, search))
        .await
        .unwrap_or(Err(QueryError::TimedOut))
}

/// Transfers bytes until the search is complete.
async fn complete(
    directory: &DirectoryConfig,
    mut connection: Connection,
    mut search: PendingSearch,
) -> Result<SearchResponse, QueryError> {
    loop {
        connection.flush().await?;
        while let Some(event) = connection.client.poll() {
            handle_event(directory, &mut connection, &mut search, event)?;
        }
        if search.is_complete() {
            connection.unbind().await;
            return Ok(search.into_response());
        }
        connection.read().await?;
    }
}

fn handle_event(
    directory: &DirectoryConfig,
    connection: &mut Connection,
    search: &mut PendingSearch,
    event: Event,
) -> Result<(), QueryError> {
    match event {
        Event::Entry(id, entry) => search
            .handle_entry(directory, id, &entry)
            .map_err(QueryError::Entries),
        Event::Done(id, outcome) => {
            let ended = search.handle_done(directory, &mut connection.client, id, &outcome);
            ended.map_err(|failure| result_error(failure, outcome))
        }
        Event::Closed(reason) => Err(ConnectionError::Protocol(reason).into()),
        _ => Ok(()),
    }
}

fn result_error(failure: SearchError, outcome: Outcome) -> QueryError {
    QueryError::Result {
        failure,
        code: outcome.code,
        message: outcome.message,
    }
}
