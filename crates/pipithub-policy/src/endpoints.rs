//! Updates of the endpoint list.

use std::collections::BTreeSet;

use crate::api::{Action, Endpoint, EndpointState, EndpointUpdate, Time, WorkerId};
use crate::front_end::FrontEnd;
use crate::state::{Health, Node};

impl FrontEnd {
    pub(crate) fn list(
        &mut self,
        kind: EndpointUpdate,
        entries: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointUpdate::Lost {
            actions.extend(self.s.watch_on_request.then_some(Action::WatchEndpoints));
            return;
        }
        if kind != EndpointUpdate::Delta {
            let named: BTreeSet<&WorkerId> = entries.iter().map(|e| &e.worker).collect();
            let lost = |n: &Node| !named.contains(&n.entry.worker);
            self.nodes
                .change_where(lost, |n| n.entry.state = EndpointState::Removed);
        }
        let classes = self.s.classes.len();
        for mut entry in entries {
            entry.started_at = entry.started_at.map(|t| t.min(Time::MAX >> 2));
            let mut node = self.nodes.get_or_add(&entry, classes);
            if node.entry.started_at != entry.started_at {
                // A process that started anew holds nothing and has no past.
                node.copies.clear();
                (node.pace, node.crowd, node.room, node.strikes) = (1.0, 1.0, f64::INFINITY, 0);
                node.health = vec![Health::default(); classes];
            }
            node.entry = entry;
        }
        self.nodes.forget_gone();
    }
}
