//! An emulated AMQP 0-9-1 broker: [`Broker`] is the virtual host without I/O, [`BrokerServer`] serves it on a socket.
//!
//! The virtual host follows the specification and, where that is silent or brokers in use differ from it, `RabbitMQ`:
//! `basic.qos` with `global` limits the whole channel, without it each consumer that starts later; `x-message-ttl`,
//! `x-dead-letter-exchange`, `x-dead-letter-routing-key`, `x-max-length` and `x-expires` are supported as queue arguments.

mod arguments;
mod connection;
mod consume;
mod core;
mod dead_letter;
mod delivery;
mod dispatch;
mod entities;
mod exchange;
mod publish;
mod queue;
mod routing;
mod server;
mod session;
mod settle;
mod topic;
mod transaction;

pub use core::{Bounds, Broker, BrokerOutput, Outgoing};
pub use entities::ConnectionId;
pub use server::{BrokerServer, BrokerSettings};
