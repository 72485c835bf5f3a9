//! The settings of a consumer.

use pipithub_amqp::{Login, Tuning};
use pipithub_engine::SourceId;

use crate::backoff::BackoffRange;
use crate::identity;
use crate::message::{ClassName, Route};

/// How the limit on deliveries is set at the broker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Qos {
    /// The limit holds for the channel (`global`) and is changed while consuming. Quorum queues of `RabbitMQ` reject
    /// it.
    #[default]
    Channel,
    /// The limit holds for the consumer. To change it, the consumer is cancelled and a new one is started.
    Consumer,
}

/// The destination of dead letters: copies of messages that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadLetterTarget {
    /// The name of the exchange; the default exchange if it is empty.
    pub exchange: String,
    /// The routing key that dead letters are published with.
    pub routing_key: String,
}

/// The settings of a consumer.
#[derive(Clone, Debug)]
pub struct ConsumerSettings {
    /// The consumer's id among the sources of the engine.
    pub source: SourceId,
    /// The name of the front end, which the broker shows for the connection.
    pub front_end: String,
    /// The credentials and virtual host to log in with.
    pub login: Login,
    /// The limits of the connection to negotiate with the broker.
    pub tuning: Tuning,
    /// The name of the queue to consume.
    pub queue: String,
    /// Whether to declare the queue, as a durable one, if it is missing.
    pub declare: bool,
    /// The defaults for messages of the queue.
    pub route: Route,
    /// The classes of calls, in the order of their numbers.
    pub classes: Vec<ClassName>,
    /// The maximum number of deliveries in flight.
    pub prefetch: u16,
    /// How that limit is set at the broker.
    pub qos: Qos,
    /// The destination of dead letters. If it is `None`, messages that cannot be read are rejected, and the broker
    /// passes them to the dead-letter exchange of the queue, if it has one.
    pub dead_letter: Option<DeadLetterTarget>,
    /// The backoff between attempts to connect.
    pub reconnect_backoff: BackoffRange,
    /// How messages of the queue prove which user they belong to.
    pub identity: identity::Rule,
}
