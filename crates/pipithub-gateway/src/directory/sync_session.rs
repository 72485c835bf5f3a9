//! One session of content synchronization (RFC 4533) with a directory server: the refresh stage, then changes as they
//! happen.

use bytes::Bytes;
use pipithub_directory::{DirectoryEntry, PersonId, SyncEvent};
use pipithub_ldap::client::Entry;
use pipithub_ldap::message::ResultCode;
use pipithub_ldap::sync::{IdSet, Info, PhaseValue, State};
use pipithub_ldap::{Event, Outcome, SearchId as LdapSearchId};
use tokio::time::Interval;

use super::connection::{Connection, ConnectionError};
use super::follower::Follower;
use super::searches::{state_search, sync_search, users_of_entry};

/// Why a session of content synchronization ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SyncSessionEnd {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("the client did not accept the search")]
    NotBegun,
    #[error("the front end has ended")]
    FrontEndGone,
    #[error("the server sent an entry without its synchronization state")]
    EntryWithoutState,
    #[error("the server ended the synchronization: {code:?} {message}")]
    Ended { code: ResultCode, message: String },
    #[error("the server did not answer in time")]
    Silent,
}

/// A session of content synchronization.
pub(super) struct SyncSession<'a> {
    follower: &'a Follower,
    connection: Connection,
    search: LdapSearchId,
    cookie: &'a mut Option<Bytes>,
    /// Whether the refresh stage is done, so that the server has reported all entries.
    refreshed: bool,
    keepalive: Interval,
    /// The search that checks the connection, until it is answered.
    keepalive_search: Option<LdapSearchId>,
}

impl<'a> SyncSession<'a> {
    /// Connects to a server and begins the synchronization from the cookie on; without a cookie it begins with a full
    /// refresh. The cookie is updated while the session runs.
    pub(super) async fn begin(
        follower: &'a Follower,
        server: usize,
        cookie: &'a mut Option<Bytes>,
    ) -> Result<Self, SyncSessionEnd> {
        let directory = &*follower.directory;
        let mut connection = Connection::open(directory, server, follower.tls.as_ref()).await?;
        let request = sync_search(directory, cookie.clone());
        let search = connection
            .client
            .search(request)
            .ok_or(SyncSessionEnd::NotBegun)?;
        let full = cookie.is_none();
        follower.report(SyncEvent::RefreshStarted { full }).await?;
        let mut keepalive = tokio::time::interval(follower.keepalive());
        keepalive.tick().await;
        Ok(SyncSession {
            follower,
            connection,
            search,
            cookie,
            refreshed: false,
            keepalive,
            keepalive_search: None,
        })
    }

    /// Runs until the synchronization or the connection ends, and returns the reason.
    pub(super) async fn run(&mut self) -> SyncSessionEnd {
        loop {
            if let Err(error) = self.step().await {
                return error;
            }
        }
    }

    async fn step(&mut self) -> Result<(), SyncSessionEnd> {
        self.connection.flush().await?;
        while let Some(event) = self.connection.client.poll() {
            for event in self.handle_event(event)? {
                self.follower.report(event).await?;
            }
        }
        tokio::select! {
            read = self.connection.read() => Ok(read?),
            _ = self.keepalive.tick() => self.check_connection(),
        }
    }

    /// Begins a search that shows whether the server still answers. Fails if the previous one was not answered.
    fn check_connection(&mut self) -> Result<(), SyncSessionEnd> {
        if self.keepalive_search.is_some() {
            return Err(SyncSessionEnd::Silent);
        }
        let search = state_search(&self.follower.directory);
        self.keepalive_search = self.connection.client.search(search);
        Ok(())
    }

    fn handle_event(&mut self, event: Event) -> Result<Vec<SyncEvent>, SyncSessionEnd> {
        match event {
            Event::Entry(id, entry) if id == self.search => self.handle_entry(&entry),
            Event::Info(id, info) if id == self.search => Ok(self.handle_info(info)),
            Event::Done(id, outcome) if id == self.search => Err(SyncSessionEnd::Ended {
                code: outcome.code,
                message: outcome.message,
            }),
            Event::Done(id, outcome) if self.keepalive_search == Some(id) => {
                Ok(self.handle_keepalive(&outcome))
            }
            Event::Closed(reason) => Err(ConnectionError::Protocol(reason).into()),
            _ => Ok(Vec::new()),
        }
    }

    fn handle_keepalive(&mut self, outcome: &Outcome) -> Vec<SyncEvent> {
        self.keepalive_search = None;
        if outcome.code == ResultCode::Success && self.refreshed {
            vec![SyncEvent::Heartbeat]
        } else {
            Vec::new()
        }
    }

    fn handle_entry(&mut self, entry: &Entry) -> Result<Vec<SyncEvent>, SyncSessionEnd> {
        let state = entry
            .state
            .clone()
            .ok_or(SyncSessionEnd::EntryWithoutState)?;
        let person = person_of(&state.uuid);
        self.advance_cookie(state.cookie.as_deref());
        Ok(match state.state {
            State::Delete => vec![SyncEvent::Deleted(person)],
            State::Present => vec![SyncEvent::Unchanged(person)],
            State::Add | State::Modify => users_of_entry(&self.follower.directory, entry, None)
                .into_iter()
                .map(|found| SyncEvent::Entry(DirectoryEntry { person, ..found }))
                .collect(),
        })
    }

    fn handle_info(&mut self, info: Info) -> Vec<SyncEvent> {
        match info {
            Info::Cookie(cookie) => {
                self.advance_cookie(Some(&cookie));
                Vec::new()
            }
            Info::RefreshDelete(phase) | Info::RefreshPresent(phase) => self.end_phase(&phase),
            Info::Ids(ids) => self.handle_ids(&ids),
            _ => Vec::new(),
        }
    }

    fn end_phase(&mut self, phase: &PhaseValue) -> Vec<SyncEvent> {
        self.advance_cookie(phase.cookie.as_deref());
        self.refreshed |= phase.refresh_done;
        if phase.refresh_done {
            vec![SyncEvent::RefreshDone]
        } else {
            Vec::new()
        }
    }

    fn handle_ids(&mut self, ids: &IdSet) -> Vec<SyncEvent> {
        self.advance_cookie(ids.cookie.as_deref());
        let sync_event = |person| {
            if ids.refresh_deletes {
                SyncEvent::Deleted(person)
            } else {
                SyncEvent::Unchanged(person)
            }
        };
        ids.uuids
            .to_vec()
            .into_iter()
            .map(|uuid| sync_event(person_of(uuid)))
            .collect()
    }

    /// Replaces the cookie if the server has sent a new one.
    fn advance_cookie(&mut self, cookie: Option<&[u8]>) {
        if let Some(cookie) = cookie {
            *self.cookie = Some(Bytes::copy_from_slice(cookie));
        }
    }
}

fn person_of(uuid: &[u8]) -> PersonId {
    PersonId::from_uuid(uuid_text(uuid).as_bytes())
}

/// Formats an `entryUUID` as directories do; bytes of another length are written as plain hexadecimal digits.
fn uuid_text(uuid: &[u8]) -> String {
    let hex: String = uuid.iter().map(|byte| format!("{byte:02x}")).collect();
    if hex.len() != 32 {
        return hex;
    }
    format!(
        "{}-{}-{}-{}-{}",
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..]
    )
}
