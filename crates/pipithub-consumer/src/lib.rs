//! AMQP triggers without I/O.
//!
//! A [`Consumer`] consumes one queue at one broker: it logs in, turns deliveries into triggers ([`message`]) and
//! publishes the final answer of each. The answer and the acknowledgement of its message are committed in one
//! transaction, so that neither takes effect without the other; `docs/amqp.md` says why publisher confirms are not
//! used. The caller moves bytes and time, and the engine decides what becomes of each trigger.

pub mod backoff;
mod consumer;
pub mod identity;
mod latest_wall;
pub mod message;
pub mod replay;

pub use consumer::{Consumer, ConsumerSettings, DeadLetterTarget, Notice, Phase, Qos};
pub use latest_wall::LatestWallTime;
