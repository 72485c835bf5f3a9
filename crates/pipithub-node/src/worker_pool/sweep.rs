//! What is looked at from time to time: overdue requests, idle connections, removed workers.

use pipithub_engine::Time;

use super::WorkerPool;
use super::connection::Progress;
use super::request::SendFailure;
use crate::effect::Effect;

/// A line that the system has not taken by then is taken back: it states how long its client waited when it was made,
/// and a worker may be told 150 ms more than that at the most.
const UNWRITTEN_TIMEOUT: Time = 100_000_000;

impl WorkerPool {
    /// Ends requests whose time is up, and takes back those that a worker has not read for too long.
    fn end_overdue(&mut self, now: Time) {
        let mut over = Vec::new();
        for (id, connection) in &self.connections {
            for (name, in_flight) in &connection.in_flight {
                let stuck = now >= in_flight.queued_at + UNWRITTEN_TIMEOUT
                    && !matches!(connection.progress(in_flight), Progress::Whole);
                if stuck || now >= in_flight.request.deadline {
                    over.push((
                        in_flight.start_offset,
                        *id,
                        connection.worker.clone(),
                        name.clone(),
                    ));
                }
            }
        }
        // From the last to the first: what stands behind half a line is taken back before it.
        over.sort_unstable_by_key(|(start_offset, ..)| std::cmp::Reverse(*start_offset));
        for (_, id, worker, name) in over {
            if let Some((request, unsent)) = self.give_up(now, &worker, id, &name, self.cancel) {
                let how = if unsent {
                    SendFailure::Unreachable
                } else {
                    SendFailure::TimedOut
                };
                self.failures.push((worker, request, how));
            }
        }
    }

    /// Ends what is overdue, lets go of connections that stay idle and of workers that are gone.
    pub fn sweep(&mut self, now: Time) {
        for worker in &self.watched {
            let Some(entry) = self.workers.get_mut(worker) else {
                continue;
            };
            // A request that waits is not sent: it is given back in time to go elsewhere.
            entry.waiting.retain(|request| {
                let over = now >= request.deadline
                    || now >= request.began + 2 * self.connect_timeout
                    || entry.removed;
                if over {
                    self.failures
                        .push((worker.clone(), request.clone(), SendFailure::Unreachable));
                }
                !over
            });
        }
        self.end_overdue(now);
        let (mut idle, limit) = (Vec::new(), self.idle_timeout.limit());
        for (id, connection) in &self.connections {
            let entry = self.workers.get(&connection.worker);
            let stale = entry.is_none_or(|p| p.removed || p.address != connection.address);
            // Closed well before the worker does: a line that crosses its close might be lost.
            let long = self.idle_close > 0 && now >= connection.last_used + self.idle_close / 2
                || limit.is_some_and(|t| now >= connection.last_used + t);
            if connection.established && connection.in_flight.is_empty() && (stale || long) {
                idle.push(*id);
            }
        }
        for id in idle {
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, SendFailure::ConnectionLost);
        }
        let workers = &mut self.workers;
        self.watched.retain(|worker| {
            let Some(entry) = workers.get(worker) else {
                return false;
            };
            let (gone, waits) = (entry.removed, !entry.waiting.is_empty());
            let over = gone && !waits && entry.connections.is_empty();
            if over {
                workers.remove(worker);
            }
            !over && (gone || waits)
        });
    }
}
