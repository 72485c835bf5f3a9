//! AMQP consumers without I/O, as sources of triggers for the engine.
//!
//! A [`Consumer`] consumes one queue at one broker: it logs in, converts deliveries to triggers ([`message`]) and
//! publishes the final answer to each. The answer and the acknowledgement of its message are committed in one
//! transaction, so that neither takes effect without the other; `docs/amqp.md` explains why publisher confirms are not
//! used. The caller transfers the bytes and supplies the time, and the engine decides how each trigger is handled.

pub mod backoff;
mod consumer;
pub mod identity;
mod latest_wall;
pub mod message;
pub mod replay;

pub use consumer::{
    Consumer, ConsumerSettings, DeadLetterFailure, DeadLetterTarget, Notice, Phase, Qos,
};
pub use latest_wall::LatestWallTime;
