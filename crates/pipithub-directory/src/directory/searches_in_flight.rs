//! The searches that are in flight, with their deadlines and hedges.

use std::collections::BTreeMap;

use crate::search::{SearchId, SearchInFlight, SearchRequest};
use crate::time::Time;

/// All searches that have not ended.
#[derive(Default)]
pub(super) struct SearchesInFlight {
    searches: BTreeMap<SearchId, SearchInFlight>,
    next_id: u64,
}

impl SearchesInFlight {
    /// The number of searches.
    pub(super) fn len(&self) -> usize {
        self.searches.len()
    }

    /// Adds a search, and returns its new id.
    pub(super) fn insert(&mut self, search: SearchInFlight) -> SearchId {
        let id = SearchId(self.next_id);
        self.next_id += 1;
        self.searches.insert(id, search);
        id
    }

    /// Removes and returns a search; `None` if it has ended before.
    pub(super) fn remove(&mut self, id: SearchId) -> Option<SearchInFlight> {
        self.searches.remove(&id)
    }

    /// The searches whose deadline has passed.
    pub(super) fn expired(&self, now: Time) -> Vec<SearchId> {
        self.ids_where(|search| search.deadline <= now)
    }

    /// The searches that are to be hedged now.
    pub(super) fn due_for_hedge(&self, now: Time) -> Vec<SearchId> {
        self.ids_where(|search| search.hedge_at.is_some_and(|at| at <= now))
    }

    /// Marks a search as hedged, whether or not a hedge is then started, and returns its request; `None` if the search has
    /// ended before.
    pub(super) fn take_hedge_due(&mut self, id: SearchId) -> Option<&SearchRequest> {
        let search = self.searches.get_mut(&id)?;
        search.hedge_at = None;
        Some(&search.request)
    }

    /// Makes a search and its hedge each other's partner. The hedge itself is not hedged.
    pub(super) fn link_hedge(&mut self, id: SearchId, hedge_id: SearchId) {
        if let Some(hedge) = self.searches.get_mut(&hedge_id) {
            hedge.hedge_at = None;
            hedge.hedge_partner = Some(id);
        }
        if let Some(search) = self.searches.get_mut(&id) {
            search.hedge_partner = Some(hedge_id);
        }
    }

    /// Removes the link from a search to its partner, as the partner has failed. Returns whether the search is in flight.
    pub(super) fn unlink_partner(&mut self, id: SearchId) -> bool {
        let Some(search) = self.searches.get_mut(&id) else {
            return false;
        };
        search.hedge_partner = None;
        true
    }

    /// The next time at which a search is to be hedged or its deadline passes; `None` if no search is in flight.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.searches
            .values()
            .flat_map(|search| search.hedge_at.into_iter().chain([search.deadline]))
            .min()
    }

    fn ids_where(&self, condition: impl Fn(&SearchInFlight) -> bool) -> Vec<SearchId> {
        self.searches
            .iter()
            .filter(|(_, search)| condition(search))
            .map(|(id, _)| *id)
            .collect()
    }
}
