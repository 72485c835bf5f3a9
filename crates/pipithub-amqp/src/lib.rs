//! AMQP 0-9-1 without I/O, according to the public specification and its errata.
//!
//! [`frame`] encodes and decodes frames, [`method`] defines all methods, [`properties`] the properties of the content
//! header, and [`value`] the field tables. [`endpoint`] is the state machine of one connection and its channels, for
//! clients and servers. No input of a peer makes it panic: each violation of the protocol closes the channel or the
//! connection with the reply code that the specification prescribes ([`reply::Code`]).
//!
//! Where the types of field values in the specification and in its errata differ (`s`, `l`), the errata apply, as in
//! the brokers and clients in use.

pub mod endpoint;
pub mod frame;
pub mod method;
pub mod properties;
pub mod reply;
pub mod value;
pub mod wire;

pub use endpoint::{Content, Endpoint, Event, Login, Role, SendError, Tuning};
pub use frame::{Frame, FrameDecoder, Payload};
pub use method::Method;
pub use properties::Properties;
pub use reply::{Code, Fault};
pub use value::{FieldTable, FieldValue, ShortStr};

pub use pipithub_clock::Time;

/// The protocol header that a client sends first (specification 4.2.2).
pub const PROTOCOL_HEADER: [u8; 8] = *b"AMQP\x00\x00\x09\x01";
