//! The events of an endpoint, and the errors of its sending methods.

use bytes::Bytes;

use crate::method::Method;
use crate::properties::Properties;
use crate::reply::Fault;
use crate::value::ShortStr;

/// The content of a method: properties and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// Properties from the content header.
    pub properties: Properties,
    /// The complete body.
    pub body: Bytes,
}

/// An event of a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Server: a client wants to log in. The caller must call [`accept_login`](super::Endpoint::accept_login) or
    /// [`reject_login`](super::Endpoint::reject_login).
    Login {
        /// Name of the user.
        user: String,
        /// Password that the client sent.
        password: String,
    },
    /// Server: the client wants to open a virtual host. The caller must call
    /// [`accept_open`](super::Endpoint::accept_open) or [`reject_open`](super::Endpoint::reject_open).
    OpenRequested {
        /// Name of the virtual host.
        virtual_host: ShortStr,
    },
    /// The handshake is complete: channels may be opened.
    Connected,
    /// A channel is open.
    ChannelOpened {
        /// Number of the channel.
        channel: u16,
    },
    /// The peer sent a method, with its complete content if it has one.
    Method {
        /// Number of the channel.
        channel: u16,
        /// The method with its arguments.
        method: Method,
        /// The content; `None` for methods without one.
        content: Option<Box<Content>>,
    },
    /// The peer requested that content on a channel be paused or resumed. The endpoint has sent `channel.flow-ok`;
    /// pausing is up to the caller.
    Flow {
        /// Number of the channel.
        channel: u16,
        /// Whether content may be sent.
        active: bool,
    },
    /// Client: the server accepts no messages for now, for the given reason; `None` once it accepts them again.
    Blocked(Option<String>),
    /// A channel was closed.
    ChannelClosed {
        /// Number of the channel.
        channel: u16,
        /// Reason for the closing.
        fault: Fault,
        /// Whether the peer closed it.
        by_peer: bool,
    },
    /// The connection was closed. No event follows.
    Closed {
        /// Reason for the closing.
        fault: Fault,
        /// Whether the peer closed it.
        by_peer: bool,
    },
}

/// Why something could not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection is not open.
    #[error("the connection is not open")]
    NotOpen,
    /// The channel is not open.
    #[error("channel {0} is not open")]
    NoChannel(u16),
    /// All channel numbers are in use.
    #[error("all channel numbers are in use")]
    NoFreeChannel,
    /// This end may not send this method, or it was sent without its content or with one that it does not have.
    #[error("{0} may not be sent in this way")]
    Misused(&'static str),
    /// The properties of a content do not fit a frame.
    #[error("a content header of {bytes} bytes, frames of {max} bytes are allowed")]
    HeaderTooLarge {
        /// The size of the frame of the content header.
        bytes: usize,
        /// The negotiated size of frames.
        max: usize,
    },
}
