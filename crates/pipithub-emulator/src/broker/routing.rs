//! Routing of messages from exchanges to queues.

use std::collections::BTreeSet;

use pipithub_amqp::ShortStr;

use super::core::Broker;
use super::entities::{BindingTarget, ExchangeKind};
use super::topic::topic_matches;

impl Broker {
    /// The queues that a message is routed to, also through bindings between exchanges.
    pub(super) fn route(&self, exchange: &ShortStr, key: &ShortStr) -> BTreeSet<ShortStr> {
        if exchange.is_empty() {
            return self
                .queues
                .keys()
                .filter(|queue| *queue == key)
                .cloned()
                .collect();
        }
        let mut queues = BTreeSet::new();
        let mut visited = BTreeSet::new();
        let mut unvisited = vec![exchange.clone()];
        while let Some(name) = unvisited.pop() {
            let Some(exchange) = self.exchanges.get(&name) else {
                continue;
            };
            if !visited.insert(name) {
                continue;
            }
            let kind = exchange.properties.kind;
            let matching = exchange
                .bindings
                .iter()
                .filter(|binding| binding_matches(kind, &binding.routing_key, key));
            for binding in matching {
                match &binding.target {
                    BindingTarget::Queue(queue) => {
                        queues.insert(queue.clone());
                    }
                    BindingTarget::Exchange(exchange) => unvisited.push(exchange.clone()),
                }
            }
        }
        queues
    }
}

fn binding_matches(kind: ExchangeKind, pattern: &ShortStr, key: &ShortStr) -> bool {
    match kind {
        ExchangeKind::Direct => pattern == key,
        ExchangeKind::Fanout => true,
        ExchangeKind::Topic => topic_matches(pattern, key),
    }
}
