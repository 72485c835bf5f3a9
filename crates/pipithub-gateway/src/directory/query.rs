//! One search on a connection of its own, for the command line.

use std::time::Duration;

use pipithub_directory::{Query, SearchError, SearchResponse};
use pipithub_ldap::message::ResultCode;
use pipithub_ldap::{Event, Outcome};
use pipithub_settings::DirectoryConfig;

use super::connection::{Connection, ConnectionError, tls_connector};
use super::pending_search::PendingSearch;

/// Why a query has no answer.
#[derive(Debug, thiserror::Error)]
enum QueryError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("not begun")]
    NotBegun,
    #[error("{0}")]
    Entries(SearchError),
    #[error("{failure}: {code:?} {message}")]
    Result {
        failure: SearchError,
        code: ResultCode,
        message: String,
    },
    #[error("no answer in time")]
    TimedOut,
}

/// Asks a server once, on a connection of its own. The error is text for the operator.
pub async fn ask(
    directory: &DirectoryConfig,
    server: usize,
    query: Query,
) -> Result<SearchResponse, String> {
    run_query(directory, server, query)
        .await
        .map_err(|error| error.to_string())
}

async fn run_query(
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

/// Moves bytes until the search is complete.
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
        Event::Closed(why) => Err(ConnectionError::Protocol(why).into()),
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
