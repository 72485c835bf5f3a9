//! What is looked at from time to time: overdue requests, idle connections, removed workers.

use pipithub_engine::Time;

use super::Pool;
use super::connection::Progress;
use super::request::Lost;
use crate::effect::Effect;

/// A line that the system has not taken by then is taken back: it states how long its client waited when it was made,
/// and a worker may be told 150 ms more than that at the most.
const UNWRITTEN_TIMEOUT: Time = 100_000_000;

impl Pool {
    /// Ends jobs whose time is up, and takes back those that a worker has not read for too long.
    fn end_overdue(&mut self, now: Time) {
        let mut over = Vec::new();
        for (id, link) in &self.links {
            for (name, carried) in &link.carried {
                let stuck = now >= carried.queued_at + UNWRITTEN_TIMEOUT
                    && !matches!(link.progress(carried), Progress::Whole);
                if stuck || now >= carried.job.deadline {
                    over.push((carried.begins_at, *id, link.worker.clone(), name.clone()));
                }
            }
        }
        // From the last to the first: what stands behind half a line is taken back before it.
        over.sort_unstable_by_key(|(begins_at, ..)| std::cmp::Reverse(*begins_at));
        for (_, id, worker, name) in over {
            if let Some((job, unsent)) = self.give_up(now, &worker, id, &name, self.cancel) {
                let how = if unsent {
                    Lost::NotSent
                } else {
                    Lost::TimedOut
                };
                self.lost.push((worker, job, how));
            }
        }
    }

    /// Ends what is overdue, lets go of connections that stay idle and of workers that are gone.
    pub fn sweep(&mut self, now: Time) {
        for worker in &self.watched {
            let Some(peer) = self.peers.get_mut(worker) else {
                continue;
            };
            // A job that waits is not sent: it is given back in time to go elsewhere.
            peer.waiting.retain(|job| {
                let over =
                    now >= job.deadline || now >= job.began + 2 * self.connect_timeout || peer.gone;
                if over {
                    self.lost.push((worker.clone(), job.clone(), Lost::NotSent));
                }
                !over
            });
        }
        self.end_overdue(now);
        let (mut idle, limit) = (Vec::new(), self.staleness.limit());
        for (id, link) in &self.links {
            let peer = self.peers.get(&link.worker);
            let stale = peer.is_none_or(|p| p.gone || p.address != link.address);
            // Closed well before the worker does: a line that crosses its close might be lost.
            let long = self.idle_close > 0 && now >= link.used + self.idle_close / 2
                || limit.is_some_and(|t| now >= link.used + t);
            if link.up && link.carried.is_empty() && (stale || long) {
                idle.push(*id);
            }
        }
        for id in idle {
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, Lost::Broken);
        }
        let peers = &mut self.peers;
        self.watched.retain(|worker| {
            let Some(peer) = peers.get(worker) else {
                return false;
            };
            let (gone, waits) = (peer.gone, !peer.waiting.is_empty());
            let over = gone && !waits && peer.links.is_empty();
            if over {
                peers.remove(worker);
            }
            !over && (gone || waits)
        });
    }
}
