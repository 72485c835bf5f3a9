//! The state of a directory: its servers, queues, rate limits, and the progress of its replication.

mod lookup_queues;
mod rate_limit;
mod replication;
mod server;
mod synchronization;
mod unconfirmed_changes;

use std::collections::HashSet;

use crate::jitter::stable_fraction;
use crate::record::User;
use crate::search::{Query, SearchInFlight, SearchRequest};
use crate::settings::DirectorySettings;
use crate::time::{MILLISECOND, Time, to_ms};

pub(crate) use self::lookup_queues::{Batch, Enqueued, LookupQueues, Priority};
use self::rate_limit::{HedgeBudget, TokenBucket};
use self::replication::ReplicationProgress;
pub(crate) use self::server::Server;
use self::server::ServerLimits;
pub(crate) use self::synchronization::{RefreshStage, SyncState};
pub(crate) use self::unconfirmed_changes::{ObservedChange, UnconfirmedChanges};

/// The number of consecutive seeds that each directory uses for the jitter of its servers. The seeds of a directory with
/// more servers overlap with those of the next directory.
const SEEDS_PER_DIRECTORY: usize = 64;

/// The state of one directory.
pub(crate) struct DirectoryState {
    /// The directory's index in the settings.
    index: usize,
    pub(crate) settings: DirectorySettings,
    pub(crate) servers: Vec<Server>,
    pub(crate) queues: LookupQueues,
    /// Users who were looked up while no server was reachable. They are searched for together when a server is back.
    pub(crate) deferred: HashSet<User>,
    pub(crate) search_tokens: TokenBucket,
    hedge_budget: HedgeBudget,
    replication: ReplicationProgress,
    /// Changes reported by servers without change numbers, until they are confirmed.
    pub(crate) unconfirmed: UnconfirmedChanges,
    /// When the next poll for changes is due; `None` if the directory is not polled.
    poll_due: Option<Time>,
    /// When the state of each server is checked, unless the server has responded to another search by then. Servers that
    /// are never chosen are checked too, as a lagging copy is only detected by comparing the change numbers of all
    /// servers.
    state_check_due: Vec<Time>,
    /// The newest `modifyTimestamp` that a poll has returned; `None` before the first one.
    newest_modify_timestamp: Option<String>,
    /// The state of content synchronization; unused if the directory is not followed.
    pub(crate) sync: SyncState,
}

impl DirectoryState {
    /// Creates the state of the directory with this index in the settings.
    pub(crate) fn new(index: usize, settings: &DirectorySettings, seed: u64) -> Self {
        let server_count = settings.server_count.max(1);
        let state_check_interval = settings.state_check_interval() as f64;
        let first_state_check = |server: usize| {
            let server_seed = seed ^ (index * SEEDS_PER_DIRECTORY + server) as u64;
            (state_check_interval * stable_fraction("state", server_seed)) as Time
        };
        // Front ends that start at the same time must not poll the directory at the same time.
        let first_poll = || {
            let fraction = stable_fraction("poll", seed ^ index as u64);
            (settings.poll_interval as f64 * fraction) as Time
        };
        DirectoryState {
            index,
            servers: vec![Server::new(); server_count],
            queues: LookupQueues::default(),
            deferred: HashSet::new(),
            search_tokens: TokenBucket::new(settings.max_searches_per_second),
            hedge_budget: HedgeBudget::default(),
            replication: ReplicationProgress::default(),
            unconfirmed: UnconfirmedChanges::default(),
            poll_due: (settings.poll_interval > 0).then(first_poll),
            state_check_due: (0..server_count).map(first_state_check).collect(),
            newest_modify_timestamp: None,
            sync: SyncState::default(),
            settings: settings.clone(),
        }
    }

    pub(crate) fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            failure_threshold: self.settings.failure_threshold.max(1),
            backoff: self.settings.backoff,
            max_searches: self.settings.max_searches_per_server,
        }
    }

    /// Whether at least one server is in use, that is, has a closed circuit breaker.
    pub(crate) fn is_reachable(&self) -> bool {
        self.servers.iter().any(Server::is_closed)
    }

    /// Whether no server can be expected to respond while a request waits.
    pub(crate) fn is_slow(&self) -> bool {
        let hedge_after = self.settings.hedge_after;
        !self
            .servers
            .iter()
            .any(|server| server.is_closed() && server.usually_responds_within(hedge_after))
    }

    /// The server for the next search: the one with the lowest cost among those with capacity; `None` if no server has
    /// capacity.
    fn choose_server(&self) -> Option<usize> {
        self.choose_server_except(None)
    }

    /// The server for the next search, as for [`DirectoryState::choose_server`], with the server `except` left out.
    fn choose_server_except(&self, except: Option<usize>) -> Option<usize> {
        let limits = self.server_limits();
        self.servers
            .iter()
            .enumerate()
            .filter(|(index, server)| Some(*index) != except && server.has_capacity(&limits))
            .min_by(|(_, left), (_, right)| left.cost().total_cmp(&right.cost()))
            .map(|(index, _)| index)
    }

    /// Whether queued users are due to be searched for.
    fn has_due_lookups(&self, now: Time) -> bool {
        self.queues.has_due(now, self.settings.max_users_per_search)
    }

    /// Takes the next search for queued users; `None` if no user is due, the rate limit is reached or no server has
    /// capacity.
    pub(crate) fn take_user_search(&mut self, now: Time) -> Option<SearchRequest> {
        if !self.search_tokens.has_token() || !self.has_due_lookups(now) {
            return None;
        }
        let server = self.choose_server()?;
        let batch = self.queues.take_batch(self.settings.max_users_per_search);
        self.search_tokens.take();
        self.hedge_budget.add_search();
        Some(SearchRequest {
            directory: self.index,
            server,
            query: Query::Users(batch.users),
            attempts: batch.attempts,
        })
    }

    /// Takes a hedge of the search, at another server; `None` if the hedge budget is used up or no other server has
    /// capacity.
    pub(crate) fn take_hedge(&mut self, search: &SearchRequest) -> Option<SearchRequest> {
        if !self.hedge_budget.allows_hedge() {
            return None;
        }
        let server = self.choose_server_except(Some(search.server))?;
        self.hedge_budget.take_hedge();
        Some(SearchRequest {
            server,
            ..search.clone()
        })
    }

    /// Counts a search as in flight at its server, and sets its deadline and the time at which it is hedged.
    pub(crate) fn begin_search(&mut self, now: Time, request: SearchRequest) -> SearchInFlight {
        let server = &mut self.servers[request.server];
        server.in_flight += 1;
        let hedge_delay = server.hedge_delay(self.settings.hedge_after, self.settings.timeout);
        let may_be_hedged = matches!(request.query, Query::Users(_));
        SearchInFlight {
            started_at: now,
            deadline: now.saturating_add(self.settings.timeout),
            hedge_at: may_be_hedged.then_some(now.saturating_add(hedge_delay)),
            hedge_partner: None,
            request,
        }
    }

    /// Records the response to a search. If the server's copy lags behind another server's, returns the time from which
    /// on the copy has been outdated, in milliseconds on the caller's clock.
    pub(crate) fn record_response(
        &mut self,
        now: Time,
        search: &SearchInFlight,
        change_number: Option<u64>,
    ) -> Option<i64> {
        let limits = self.server_limits();
        let server = &mut self.servers[search.request.server];
        let response_time = now.saturating_sub(search.started_at);
        server.record_response(now, response_time, &limits);
        let started_at_ms = to_ms(search.started_at);
        let outdated_since = change_number
            .and_then(|change_number| self.replication.observe(change_number, started_at_ms));
        server.is_lagging = outdated_since.is_some();
        outdated_since
    }

    /// Whether a server's state is to be checked now. If the check is due, the next one is scheduled, even if this one is
    /// skipped because it is not needed.
    pub(crate) fn take_due_state_check(&mut self, now: Time, server: usize) -> bool {
        if now < self.state_check_due[server] {
            return false;
        }
        let interval = self.settings.state_check_interval();
        let is_only_server = self.servers.len() == 1;
        let state = &self.servers[server];
        // A server that responded recently needs no check, and a single server cannot lag behind another.
        let responded_at = state
            .last_response_at
            .filter(|at| now < at.saturating_add(interval));
        self.state_check_due[server] = responded_at.unwrap_or(now).saturating_add(interval);
        responded_at.is_none() && !is_only_server && state.is_closed()
    }

    /// The search that checks a server's state.
    pub(crate) fn state_check(&self, server: usize) -> SearchRequest {
        SearchRequest {
            directory: self.index,
            server,
            query: Query::ServerState,
            attempts: 0,
        }
    }

    /// Takes the search that polls for changes; `None` if it is not due or no server has capacity. A poll without
    /// capacity is skipped.
    pub(crate) fn take_due_poll(&mut self, now: Time) -> Option<SearchRequest> {
        self.poll_due.filter(|due| now >= *due)?;
        self.poll_due = Some(now + self.settings.poll_interval);
        let server = self.choose_server()?;
        Some(SearchRequest {
            directory: self.index,
            server,
            query: Query::ChangedSince(self.newest_modify_timestamp.clone()),
            attempts: 0,
        })
    }

    /// Records the newest timestamp of a poll's response, from which the next poll continues.
    pub(crate) fn record_poll(&mut self, newest_modify_timestamp: Option<String>) {
        self.newest_modify_timestamp =
            newest_modify_timestamp.max(self.newest_modify_timestamp.take());
    }

    /// The next time at which a tick has an effect on this directory; `None` if there is none.
    pub(crate) fn next_due(&self, now: Time) -> Option<Time> {
        let breakers = self.servers.iter().filter_map(Server::probe_due);
        let state_check = self.state_check_due.iter().min().copied();
        let background = self
            .queues
            .background_due()
            .map(|due| due.max(now + MILLISECOND));
        breakers
            .chain(self.poll_due)
            .chain(state_check)
            .chain(self.unconfirmed.next_due())
            .chain(background)
            .chain(self.next_token_due(now))
            .min()
    }

    /// When the rate limit allows the next search; `None` if no search waits for the rate limit alone.
    fn next_token_due(&self, now: Time) -> Option<Time> {
        let limits = self.server_limits();
        let has_capacity = self
            .servers
            .iter()
            .any(|server| server.has_capacity(&limits));
        let waits_for_token = self.has_due_lookups(now) && has_capacity;
        self.search_tokens
            .next_token_at()
            .filter(|_| waits_for_token)
    }
}
