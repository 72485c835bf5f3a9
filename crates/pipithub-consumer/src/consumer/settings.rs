//! How a consumer is set up.

use pipithub_amqp::{Login, Tuning};
use pipithub_engine::SourceId;

use crate::backoff::BackoffRange;
use crate::identity;
use crate::message::{ClassName, Route};

/// How the limit on deliveries is set at the broker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Qos {
    /// Over the channel (`global`), changed while consuming. Quorum queues of `RabbitMQ` refuse it.
    #[default]
    Channel,
    /// For the consumer; to change it the consumer is cancelled and begun anew.
    Consumer,
}

/// Where copies of unreadable messages go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadLetterTarget {
    /// The exchange; empty: the default one.
    pub exchange: String,
    /// The routing key.
    pub routing_key: String,
}

/// How a consumer is set up.
#[derive(Clone, Debug)]
pub struct ConsumerSettings {
    /// Its number among the engine's sources.
    pub source: SourceId,
    /// The front end's name, as the broker is told it.
    pub front_end: String,
    /// What it logs in with.
    pub login: Login,
    /// Limits to negotiate.
    pub tuning: Tuning,
    /// The queue.
    pub queue: String,
    /// Declare the queue (durable) where it is missing.
    pub declare: bool,
    /// What holds for its messages.
    pub route: Route,
    /// The classes, by their number.
    pub classes: Vec<ClassName>,
    /// Most deliveries in flight at a time.
    pub prefetch: u16,
    /// How that limit is set at the broker.
    pub qos: Qos,
    /// Where copies of unreadable messages go. Without it they are rejected, and the queue's own dead-letter exchange
    /// gets them.
    pub dead_letter: Option<DeadLetterTarget>,
    /// Waits between attempts to connect.
    pub reconnect_backoff: BackoffRange,
    /// How its messages prove whose they are.
    pub identity: identity::Rule,
}
