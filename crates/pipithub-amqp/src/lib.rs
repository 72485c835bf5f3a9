//! AMQP 0-9-1 without I/O, by the public specification and its errata.
//!
//! [`frame`] splits bytes into frames, [`method`] holds every method, [`properties`] the properties of the content
//! header, [`value`] the field tables. [`endpoint`] is the state machine of one connection and its channels, for either
//! end: bytes, calls and the time go in; bytes, events and the next time-out come out. It never panics on what a peer
//! sends: each violation of the protocol closes the channel or the connection with the reply code that the specification
//! names ([`reply::Code`]).
//!
//! Where the specification's table types and their errata differ (`s`, `l`), the errata are followed, as all
//! brokers and clients in use do.

pub mod endpoint;
pub mod frame;
pub mod method;
pub mod properties;
pub mod reply;
pub mod value;
pub mod wire;

pub use endpoint::{Content, Endpoint, Event, Login, Role, Tuning};
pub use frame::{Frame, FrameDecoder, Payload};
pub use method::Method;
pub use properties::Properties;
pub use reply::{Code, Fault};
pub use value::{FieldTable, FieldValue, ShortStr};

pub use pipithub_clock::Time;

/// The protocol header that a client opens with (specification 4.2.2).
pub const PROTOCOL_HEADER: [u8; 8] = *b"AMQP\x00\x00\x09\x01";
