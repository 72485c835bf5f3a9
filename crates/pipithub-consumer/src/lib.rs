//! AMQP triggers without I/O.
//!
//! A [`Consumer`] is one queue at one broker: it logs in, consumes, turns deliveries into triggers ([`message`]) and
//! gives each its final answer. An answer's publish and the ack of its message are committed in one transaction, so
//! that neither stands without the other; see `docs/amqp.md` for why not publisher confirms. The shell moves bytes
//! and time; the engine decides.

pub mod backoff;
mod consumer;
pub mod identity;
mod latest_wall;
pub mod message;
pub mod replay;

pub use consumer::{Consumer, ConsumerSettings, DeadLetterTarget, Notice, Phase, Qos};
pub use latest_wall::LatestWall;
