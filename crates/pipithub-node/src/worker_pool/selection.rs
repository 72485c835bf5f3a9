//! Which connection the next waiting request goes to, and when new ones are opened.

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;

use super::Pool;
use super::connection::Link;
use crate::effect::{ConnectionId, Effect};

impl Pool {
    /// The connection for the first job that waits for a worker: the free one that was used last, so that the others may
    /// be let go. Else each job that waits is to have a new one; where there is no room for that many, the one that
    /// carries least.
    pub(super) fn connection(&mut self, now: Time, worker: &WorkerId) -> Option<ConnectionId> {
        let limit = self.staleness.limit();
        let live = self.live.max(1);
        let peer = self.peers.get_mut(worker)?;
        let reference = &peer.waiting.front()?.reference;
        let links = peer
            .links
            .iter()
            .filter_map(|id| self.links.get(id).map(|l| (*id, l)));
        let here = links.filter(|(_, l)| l.address == peer.address);
        let fits = |l: &Link| {
            let stale =
                l.carried.is_empty() && l.uses > 0 && limit.is_some_and(|t| now >= l.used + t);
            let used = l.carried.contains_key(reference) || l.spent.contains(reference);
            l.up && !stale
                && !used
                && l.blocked.is_none()
                && !l.sealed
                && l.carried.len() < self.streams
        };
        let free = here
            .clone()
            .filter(|(_, l)| fits(l) && l.carried.is_empty())
            .max_by_key(|(_, l)| l.used);
        if let Some((id, _)) = free {
            return Some(id);
        }
        let shared = here
            .clone()
            .filter(|(_, l)| fits(l))
            .min_by_key(|(_, l)| l.carried.len())
            .map(|(id, _)| id);
        let mut coming = here.clone().filter(|(_, l)| !l.up).count();
        // One more where all that are up have carried this name before.
        let spent = here.clone().any(|(_, l)| l.up)
            && here
                .filter(|(_, l)| l.up)
                .all(|(_, l)| l.spent.contains(reference));
        let part = (self.most / live).max(1) + usize::from(spent);
        while coming < peer.waiting.len() && peer.links.len() < part && self.links.len() < self.most
        {
            let (id, address) = (self.next, peer.address.clone());
            self.next += 1;
            self.links.insert(id, Link::new(worker, &address, now));
            peer.links.push(id);
            self.effects.push(Effect::Connect {
                connection: id,
                address,
                within: self.connect_timeout,
            });
            coming += 1;
        }
        shared.filter(|_| coming < peer.waiting.len())
    }
}
