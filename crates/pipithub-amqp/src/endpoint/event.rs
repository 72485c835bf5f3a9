//! What an endpoint reports, and why it may refuse to send.

use bytes::Bytes;

use crate::method::Method;
use crate::properties::Properties;
use crate::reply::Fault;
use crate::value::ShortStr;

/// The properties and body that follow some methods.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// The properties of the content header.
    pub properties: Properties,
    /// The body, of all its frames.
    pub body: Bytes,
}

/// What happened on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Server: a client logs in; the caller decides with [`accept_login`](super::Endpoint::accept_login) or
    /// [`reject_login`](super::Endpoint::reject_login).
    Login {
        /// The user.
        user: String,
        /// The password.
        password: String,
    },
    /// Server: the client asks for a virtual host; the caller decides with [`accept_open`](super::Endpoint::accept_open) or
    /// [`reject_open`](super::Endpoint::reject_open).
    OpenRequested {
        /// The name of the virtual host.
        virtual_host: ShortStr,
    },
    /// The connection is open.
    Connected,
    /// A channel is open.
    ChannelOpened {
        /// The channel.
        channel: u16,
    },
    /// The peer sent a method, and the content that belongs to it.
    Method {
        /// The channel.
        channel: u16,
        /// The method.
        method: Method,
        /// The content, for the methods that carry one.
        content: Option<Box<Content>>,
    },
    /// The peer asked to pause or resume sending content on a channel; the endpoint has confirmed it.
    Flow {
        /// The channel.
        channel: u16,
        /// Whether content may be sent.
        active: bool,
    },
    /// Client: the server accepts no publishes for now, for the reason given, or accepts them again (`None`).
    Blocked(Option<String>),
    /// A channel was closed.
    ChannelClosed {
        /// The channel.
        channel: u16,
        /// Why.
        fault: Fault,
        /// Whether the peer closed it.
        by_peer: bool,
    },
    /// The connection has ended; no event follows.
    Closed {
        /// Why.
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
    #[error("all channels are taken")]
    NoFreeChannel,
    /// The method may not be sent by this end, lacks its content, or must not have one.
    #[error("{0} may not be sent so")]
    Misused(&'static str),
}
