//! Which connection the next waiting request goes to, and when new ones are opened.

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;

use super::ConnectionPool;
use super::connection::Connection;
use crate::effect::{ConnectionId, Effect};

impl ConnectionPool {
    /// The connection for the first request that waits for a worker: the free one that was used last, so that the
    /// others may be closed as idle. Else each waiting request is to have a new one; where there is no room for that
    /// many, the one that carries least.
    pub(super) fn select_connection(
        &mut self,
        now: Time,
        worker: &WorkerId,
    ) -> Option<ConnectionId> {
        let idle_limit = self.idle_timeout.limit();
        let entry = self.workers.get(worker)?;
        let reference = &entry.waiting.front()?.reference;
        let max_requests = self.max_requests_per_connection;
        let usable = entry
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id).map(|connection| (*id, connection)))
            .filter(|(_, connection)| {
                connection.address == entry.address
                    && connection.can_carry(now, reference, idle_limit, max_requests)
            });
        let free = usable
            .clone()
            .filter(|(_, connection)| connection.in_flight.is_empty())
            .max_by_key(|(_, connection)| connection.last_used);
        if let Some((id, _)) = free {
            return Some(id);
        }
        let least_loaded = usable
            .min_by_key(|(_, connection)| connection.in_flight.len())
            .map(|(id, _)| id);
        let waiting = entry.waiting.len();
        let connecting = self.open_connections(now, worker);
        least_loaded.filter(|_| connecting < waiting)
    }

    /// Opens a connection for each waiting request that has none under way, as far as there is room; how many are
    /// under way then.
    fn open_connections(&mut self, now: Time, worker: &WorkerId) -> usize {
        let fair_part = (self.max_connections / self.listed.max(1)).max(1);
        let Some(entry) = self.workers.get_mut(worker) else {
            return 0;
        };
        let Some(first) = entry.waiting.front() else {
            return 0;
        };
        let current = entry
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| connection.address == entry.address);
        let mut connecting = current.clone().filter(|c| !c.established).count();
        let mut established = current.filter(|c| c.established).peekable();
        // One more where all that are established have carried this reference before.
        let reference_used_on_all = established.peek().is_some()
            && established.all(|c| c.recent_references.contains(&first.reference));
        let max_here = fair_part + usize::from(reference_used_on_all);
        while connecting < entry.waiting.len()
            && entry.connections.len() < max_here
            && self.connections.len() < self.max_connections
        {
            let id = self.next;
            self.next += 1;
            let address = entry.address.clone();
            let connection = Connection::new(worker, &address, now);
            self.connections.insert(id, connection);
            entry.connections.push(id);
            self.effects.push(Effect::Connect {
                connection: id,
                address,
                within: self.connect_timeout,
            });
            connecting += 1;
        }
        connecting
    }
}
