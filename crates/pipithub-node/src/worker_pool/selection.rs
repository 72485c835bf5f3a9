//! Which connection the next waiting request goes to, and when new ones are opened.

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;

use super::WorkerPool;
use super::connection::Connection;
use crate::effect::{ConnectionId, Effect};

impl WorkerPool {
    /// The connection for the first request that waits for a worker: the free one that was used last, so that the others may
    /// be let go. Else each request that waits is to have a new one; where there is no room for that many, the one that
    /// carries least.
    pub(super) fn select_connection(
        &mut self,
        now: Time,
        worker: &WorkerId,
    ) -> Option<ConnectionId> {
        let limit = self.idle_timeout.limit();
        let live = self.listed.max(1);
        let entry = self.workers.get_mut(worker)?;
        let reference = &entry.waiting.front()?.reference;
        let connections = entry
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id).map(|l| (*id, l)));
        let here = connections.filter(|(_, l)| l.address == entry.address);
        let fits = |l: &Connection| {
            let stale = l.in_flight.is_empty()
                && l.uses > 0
                && limit.is_some_and(|t| now >= l.last_used + t);
            let used =
                l.in_flight.contains_key(reference) || l.recent_references.contains(reference);
            l.established
                && !stale
                && !used
                && l.blocked.is_none()
                && !l.sealed
                && l.in_flight.len() < self.max_requests_per_connection
        };
        let free = here
            .clone()
            .filter(|(_, l)| fits(l) && l.in_flight.is_empty())
            .max_by_key(|(_, l)| l.last_used);
        if let Some((id, _)) = free {
            return Some(id);
        }
        let shared = here
            .clone()
            .filter(|(_, l)| fits(l))
            .min_by_key(|(_, l)| l.in_flight.len())
            .map(|(id, _)| id);
        let mut coming = here.clone().filter(|(_, l)| !l.established).count();
        // One more where all that are up have carried this name before.
        let spent = here.clone().any(|(_, l)| l.established)
            && here
                .filter(|(_, l)| l.established)
                .all(|(_, l)| l.recent_references.contains(reference));
        let part = (self.max_connections / live).max(1) + usize::from(spent);
        while coming < entry.waiting.len()
            && entry.connections.len() < part
            && self.connections.len() < self.max_connections
        {
            let (id, address) = (self.next, entry.address.clone());
            self.next += 1;
            self.connections
                .insert(id, Connection::new(worker, &address, now));
            entry.connections.push(id);
            self.effects.push(Effect::Connect {
                connection: id,
                address,
                within: self.connect_timeout,
            });
            coming += 1;
        }
        shared.filter(|_| coming < entry.waiting.len())
    }
}
