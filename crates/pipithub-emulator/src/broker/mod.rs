//! A stand-in for an AMQP 0-9-1 broker: [`core`] decides, [`server`] serves it.

pub mod core;
pub mod server;

pub use core::{Bounds, Broker, BrokerOutput, ConnectionId};
pub use server::{BrokerServer, BrokerSettings};
