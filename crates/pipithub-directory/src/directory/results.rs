//! Handles searches that have ended: applies their responses, and retries failed searches.

use std::collections::HashMap;

use crate::directory::Directory;
use crate::directory::records::Observation;
use crate::messages::Output;
use crate::record::{LookupResult, PersonId, User};
use crate::search::{DirectoryEntry, Query, SearchError, SearchId, SearchInFlight, SearchResponse};
use crate::state::Batch;
use crate::time::{Time, to_ms};

/// How fresh a response is.
#[derive(Clone, Copy)]
struct Freshness {
    /// When the response is known to have been true, in milliseconds on the caller's clock.
    confirmed_at_ms: i64,
    /// The change number of the server's copy; `None` if the server reports none.
    change_number: Option<u64>,
    /// Whether the copy that responded lags behind another server's.
    is_outdated: bool,
}

/// The result of a response for one user.
struct UserResult {
    result: LookupResult,
    person: PersonId,
}

impl Directory {
    /// Ends a search. A search that was cancelled has ended before, so its outcome is ignored.
    pub(super) fn end_search(
        &mut self,
        now: Time,
        id: SearchId,
        outcome: Result<SearchResponse, SearchError>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(search) = self.searches.remove(id) else {
            return;
        };
        let jitter = self.jitter.next_fraction();
        let state = &mut self.directories[search.request.directory];
        state.servers[search.request.server].end_search();
        match self.validate(&search.request.query, outcome) {
            Ok(response) => self.apply_response(now, search, response, outputs),
            Err(error) => self.apply_failure(now, search, error, jitter, outputs),
        }
    }

    /// Turns a response that cannot be trusted into an error.
    fn validate(
        &mut self,
        query: &Query,
        outcome: Result<SearchResponse, SearchError>,
    ) -> Result<SearchResponse, SearchError> {
        let response = outcome?;
        if !response.base_exists {
            // The server is still loading, so a missing entry does not prove that a user is absent.
            return Err(SearchError::Unavailable);
        }
        if !query.is_answered_by(&response) {
            // If a server returns entries that were not searched for, the other entries cannot be trusted either.
            self.stats.unexpected_entries += 1;
            return Err(SearchError::InvalidResponse);
        }
        Ok(response)
    }

    fn apply_failure(
        &mut self,
        now: Time,
        search: SearchInFlight,
        error: SearchError,
        jitter: f64,
        outputs: &mut Vec<Output>,
    ) {
        self.stats.failed_searches += 1;
        let request = search.request;
        let state = &mut self.directories[request.directory];
        let limits = state.server_limits();
        state.servers[request.server].record_failure(now, error.opens_breaker(), jitter, &limits);
        let partner = search.hedge_partner;
        if partner.is_some_and(|partner| self.searches.unlink_partner(partner)) {
            // The partner searches for the same users and may still succeed.
            return;
        }
        if let Query::Users(users) = request.query {
            let attempts = request.attempts;
            self.retry(request.directory, Batch { users, attempts }, outputs);
        }
    }

    /// Retries the search for users without a result, and ends the look-ups of the users who had their last attempt.
    fn retry(&mut self, directory: usize, batch: Batch, outputs: &mut Vec<Output>) {
        let given_up = self.directories[directory].queues.retry(batch);
        self.finish_lookups(given_up, outputs);
    }

    fn apply_response(
        &mut self,
        now: Time,
        search: SearchInFlight,
        response: SearchResponse,
        outputs: &mut Vec<Output>,
    ) {
        let directory = search.request.directory;
        let outdated_since =
            self.directories[directory].record_response(now, &search, response.change_number);
        if outdated_since.is_some() {
            self.stats.outdated_results += 1;
        }
        // A response is confirmed as of the start of its search, or as of the time at which the copy became outdated.
        let freshness = Freshness {
            confirmed_at_ms: outdated_since.unwrap_or(to_ms(search.started_at)),
            change_number: response.change_number,
            is_outdated: outdated_since.is_some(),
        };
        match search.request.query {
            Query::ServerState => {}
            Query::ChangedSince(_) => {
                self.apply_changes(now, directory, response, freshness, outputs);
            }
            Query::Users(users) => {
                self.cancel_hedge_partner(search.hedge_partner, outputs);
                let batch = Batch {
                    users,
                    attempts: search.request.attempts,
                };
                self.apply_users(now, directory, batch, &response.entries, freshness, outputs);
            }
        }
    }

    /// Applies the entries of a poll.
    fn apply_changes(
        &mut self,
        now: Time,
        directory: usize,
        response: SearchResponse,
        freshness: Freshness,
        outputs: &mut Vec<Output>,
    ) {
        for entry in response.entries {
            // Users who are not cached are looked up when they have a request.
            if self.roster.users.contains_key(&*entry.user) {
                let result = self.find_tenant(directory, &entry.dn);
                let observation = Observation {
                    directory,
                    user: &entry.user,
                    result,
                    person: entry.person,
                    confirmed_at_ms: freshness.confirmed_at_ms,
                    change_number: freshness.change_number,
                };
                self.observe(now, &observation, outputs);
            }
        }
        self.directories[directory].record_poll(response.newest_modify_timestamp);
    }

    /// Cancels the other search for the same users, if it is in flight.
    fn cancel_hedge_partner(&mut self, partner: Option<SearchId>, outputs: &mut Vec<Output>) {
        let Some(id) = partner else { return };
        let Some(search) = self.searches.remove(id) else {
            return;
        };
        let state = &mut self.directories[search.request.directory];
        state.servers[search.request.server].end_search();
        outputs.push(Output::CancelSearch(id));
    }

    /// Applies the response to a search for users.
    fn apply_users(
        &mut self,
        now: Time,
        directory: usize,
        batch: Batch,
        entries: &[DirectoryEntry],
        freshness: Freshness,
        outputs: &mut Vec<Output>,
    ) {
        let mut entries_of: HashMap<&User, Vec<&DirectoryEntry>> = HashMap::new();
        for entry in entries {
            entries_of.entry(&entry.user).or_default().push(entry);
        }
        let mut undecided = Vec::new();
        for user in batch.users {
            let entries = entries_of.get(&user).map_or(&[][..], Vec::as_slice);
            let UserResult { result, person } = self.user_result(directory, entries);
            if freshness.is_outdated && result == LookupResult::Absent {
                // An outdated copy without an entry does not prove that there is none now.
                undecided.push(user);
                continue;
            }
            self.directories[directory].queues.finish(&user);
            let observation = Observation {
                directory,
                user: &user,
                result,
                person,
                confirmed_at_ms: freshness.confirmed_at_ms,
                change_number: freshness.change_number,
            };
            self.observe(now, &observation, outputs);
            self.finish_lookup(user, outputs);
        }
        let undecided = Batch {
            users: undecided,
            attempts: batch.attempts,
        };
        self.retry(directory, undecided, outputs);
    }

    /// The result for a user with these entries.
    fn user_result(&mut self, directory: usize, entries: &[&DirectoryEntry]) -> UserResult {
        match entries {
            [] => UserResult {
                result: LookupResult::Absent,
                person: PersonId::default(),
            },
            [entry] => UserResult {
                result: self.find_tenant(directory, &entry.dn),
                person: entry.person,
            },
            _ => UserResult {
                result: LookupResult::Ambiguous,
                person: PersonId::default(),
            },
        }
    }
}
