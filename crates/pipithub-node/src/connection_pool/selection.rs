//! Selects the connection for the next waiting request, and opens new connections.

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;

use super::ConnectionPool;
use super::connection::Connection;
use crate::effect::{ConnectionId, Effect};

impl ConnectionPool {
    /// The connection for the first request that waits for a worker: the idle connection that was used last, so that
    /// the others may be closed as idle. If no connection is idle, each waiting request gets a new connection as far as
    /// the limits allow, and the rest go to the connection with the fewest requests in flight. `None` if the request
    /// must wait.
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
                connection.address() == entry.address
                    && connection.can_carry(now, reference, idle_limit, max_requests)
            });
        let free = usable
            .clone()
            .filter(|(_, connection)| connection.is_idle())
            .max_by_key(|(_, connection)| connection.last_used());
        if let Some((id, _)) = free {
            return Some(id);
        }
        let least_loaded = usable
            .min_by_key(|(_, connection)| connection.in_flight_count())
            .map(|(id, _)| id);
        let waiting = entry.waiting.len();
        let connecting = self.open_connections(now, worker);
        least_loaded.filter(|_| connecting < waiting)
    }

    /// Opens a connection for each waiting request for which none is being established, as far as the limits allow;
    /// returns how many are being established after that.
    fn open_connections(&mut self, now: Time, worker: &WorkerId) -> usize {
        let fair_share = (self.max_connections / self.listed.max(1)).max(1);
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
            .filter(|connection| connection.address() == entry.address);
        let mut connecting = current
            .clone()
            .filter(|connection| !connection.is_established())
            .count();
        let mut established = current
            .filter(|connection| connection.is_established())
            .peekable();
        // If every established connection has carried this reference before, none of them may carry it again: one
        // connection more is allowed.
        let reference_used_on_all = established.peek().is_some()
            && established.all(|connection| connection.was_used_for(&first.reference));
        let max_here = fair_share + usize::from(reference_used_on_all);
        while connecting < entry.waiting.len()
            && entry.connections.len() < max_here
            && self.connections.len() < self.max_connections
        {
            let id = self.connection_ids.allocate();
            let address = entry.address.clone();
            let connection = Connection::new(id, worker, &address, now);
            self.connections.insert(id, connection);
            entry.connections.push(id);
            self.effects.push(Effect::Connect {
                connection: id,
                address,
                timeout: self.connect_timeout,
            });
            connecting += 1;
        }
        connecting
    }
}
