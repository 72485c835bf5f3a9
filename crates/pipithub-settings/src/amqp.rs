//! The node `amqp`: a broker and its queues.

use pipithub_amqp::Login;
use pipithub_consumer::backoff::BackoffRange;
use pipithub_consumer::message::Route;
use pipithub_consumer::{DeadLetterTarget, Qos};

use crate::address;
use crate::config::{AmqpConfig, QueueConfig};
use crate::duration::{MS, SECOND};
use crate::reader::Reader;
use crate::route::{self, RouteContext};

pub(crate) fn read(node: &Reader<'_>, context: &RouteContext<'_>) -> AmqpConfig {
    let name = node.name();
    let addresses: Vec<String> = node.children("address").iter().map(address::read).collect();
    if addresses.is_empty() {
        node.fault(format!("amqp '{name}' needs an 'address'"));
    }
    let login = read_login(node);
    let reconnect_backoff = BackoffRange {
        initial: node.duration("retry-first", 100 * MS, MS..=60 * SECOND),
        max: node.duration("retry-most", 5 * SECOND, 10 * MS..=600 * SECOND),
    };
    let heartbeat = node.integer("heartbeat", 10, 0..=3_600) as u16;
    let queues: Vec<QueueConfig> = node
        .children("queue")
        .iter()
        .map(|queue| read_queue(queue, context))
        .collect();
    if queues.is_empty() {
        node.fault(format!("amqp '{name}' needs a 'queue'"));
    }
    node.finish();
    AmqpConfig {
        name,
        addresses,
        login,
        heartbeat,
        reconnect_backoff,
        queues,
    }
}

fn read_login(broker: &Reader<'_>) -> Login {
    let mut login = Login::default();
    if let Some(node) = broker.child("login") {
        login.user = node.text("user").unwrap_or(login.user);
        login.password = node.text("password").unwrap_or(login.password);
        login.virtual_host = node.text("vhost").unwrap_or(login.virtual_host);
        node.finish();
    }
    login
}

fn read_queue(node: &Reader<'_>, context: &RouteContext<'_>) -> QueueConfig {
    let prefetch = node.integer("prefetch", 100, 1..=65_535) as u16;
    if usize::from(prefetch) > context.max_pending {
        node.fault(format!(
            "prefetch {prefetch} is more than the engine's max-open {}",
            context.max_pending
        ));
    }
    let dead_letter = node
        .child("dead-letter")
        .map(|target| read_dead_letter(&target));
    let qos_choices = [("channel", Qos::Channel), ("consumer", Qos::Consumer)];
    let queue = QueueConfig {
        name: node.name(),
        declare: node.flag("declare", true),
        prefetch,
        qos: node.choice("qos", Qos::Channel, &qos_choices),
        route: Route {
            tenant: context.tenants.read_reference(node),
            ..route::read(node, context)
        },
        dead_letter,
        identity: context.tenants.read_identity(node),
    };
    node.finish();
    queue
}

fn read_dead_letter(node: &Reader<'_>) -> DeadLetterTarget {
    let target = DeadLetterTarget {
        exchange: node.text("exchange").unwrap_or_default(),
        routing_key: node.text("key").unwrap_or_default(),
    };
    node.finish();
    target
}
