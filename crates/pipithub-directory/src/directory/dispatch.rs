//! Starts searches for queued users, and hedges or ends searches that are not answered in time.

use crate::directory::Directory;
use crate::messages::Output;
use crate::search::{Query, SearchError, SearchId, SearchRequest};
use crate::state::Priority;
use crate::time::Time;

impl Directory {
    /// Starts all searches of a directory that are due and possible now.
    pub(super) fn dispatch(&mut self, now: Time, directory: usize, outputs: &mut Vec<Output>) {
        self.directories[directory].search_tokens.refill(now);
        self.recheck_unconfirmed_changes(now, directory);
        self.start_checks(now, directory, outputs);
        if !self.directories[directory].is_reachable() {
            return self.defer_lookups(directory, outputs);
        }
        self.resume_deferred_lookups(now, directory);
        while let Some(search) = self.directories[directory].take_user_search(now) {
            self.stats.searches += 1;
            if let Query::Users(users) = &search.query {
                self.stats.searched_users += users.len() as u64;
            }
            self.start_search(now, search, outputs);
        }
    }

    /// Queues the users with an unconfirmed change whose recheck is due.
    fn recheck_unconfirmed_changes(&mut self, now: Time, directory: usize) {
        while let Some(user) = self.directories[directory].unconfirmed.pop_due_recheck(now) {
            self.enqueue(now, directory, user, Priority::Background);
        }
    }

    /// Defers all queued look-ups of a directory that has no reachable server. The look-ups are reported as finished,
    /// because no request should wait for them, and their users are searched for when a server is back.
    fn defer_lookups(&mut self, directory: usize, outputs: &mut Vec<Output>) {
        let state = &mut self.directories[directory];
        let users = state.queues.drain();
        for user in &users {
            if state.deferred.len() < self.max_queue {
                state.deferred.insert(user.clone());
            }
        }
        self.finish_lookups(users, outputs);
    }

    /// Queues the users whose look-ups were deferred, so that they are searched for together now, and not one by one at
    /// their next requests.
    fn resume_deferred_lookups(&mut self, now: Time, directory: usize) {
        for user in std::mem::take(&mut self.directories[directory].deferred) {
            self.enqueue(now, directory, user, Priority::Background);
        }
    }

    /// Starts a search, and returns its id.
    pub(super) fn start_search(
        &mut self,
        now: Time,
        request: SearchRequest,
        outputs: &mut Vec<Output>,
    ) -> SearchId {
        let (directory, server) = (request.directory, request.server);
        let query = request.query.clone();
        let search = self.directories[directory].begin_search(now, request);
        let id = self.searches.insert(search);
        outputs.push(Output::Search {
            id,
            directory,
            server,
            query,
        });
        id
    }

    /// Ends the searches whose deadline has passed.
    pub(super) fn expire_searches(&mut self, now: Time, outputs: &mut Vec<Output>) {
        for id in self.searches.expired(now) {
            outputs.push(Output::CancelSearch(id));
            self.end_search(now, id, Err(SearchError::TimedOut), outputs);
        }
    }

    /// Hedges the searches whose hedge delay has passed.
    pub(super) fn hedge_searches(&mut self, now: Time, outputs: &mut Vec<Output>) {
        for id in self.searches.due_for_hedge(now) {
            self.hedge_search(now, id, outputs);
        }
    }

    fn hedge_search(&mut self, now: Time, id: SearchId, outputs: &mut Vec<Output>) {
        let Some(request) = self.searches.take_hedge_due(id) else {
            return;
        };
        let Some(hedge) = self.directories[request.directory].take_hedge(request) else {
            return;
        };
        self.stats.hedged_searches += 1;
        let hedge_id = self.start_search(now, hedge, outputs);
        self.searches.link_hedge(id, hedge_id);
    }
}
