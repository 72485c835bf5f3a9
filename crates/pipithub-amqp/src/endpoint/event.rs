//! What an endpoint reports, and why it may refuse to send.

use bytes::Bytes;

use crate::method::Method;
use crate::properties::Properties;
use crate::reply::Fault;
use crate::value::ShortStr;

/// The properties and body that follow some methods.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// Its properties.
    pub properties: Properties,
    /// Its body.
    pub body: Bytes,
}

/// What happened on the connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Server: a client logs in; answer with [`Endpoint::accept_login`] or [`Endpoint::reject_login`].
    Login {
        /// The user.
        user: String,
        /// The password.
        password: String,
    },
    /// Server: the client asks for a virtual host; answer with [`Endpoint::accept_open`] or
    /// [`Endpoint::reject_open`].
    OpenRequested {
        /// Its name.
        virtual_host: ShortStr,
    },
    /// The connection is open.
    Connected,
    /// A channel is open.
    ChannelOpened {
        /// The channel.
        channel: u16,
    },
    /// The peer's method, with its content.
    Method {
        /// The channel.
        channel: u16,
        /// The method.
        method: Method,
        /// The content, of those methods that carry one.
        content: Option<Box<Content>>,
    },
    /// The peer asks to stop or go on sending content on a channel; it has been told that this is done.
    Flow {
        /// The channel.
        channel: u16,
        /// Go on.
        active: bool,
    },
    /// Client: the server takes no publishes for now (`Some`), or takes them again.
    Blocked(Option<String>),
    /// A channel is closed.
    ChannelClosed {
        /// The channel.
        channel: u16,
        /// Why.
        fault: Fault,
        /// The peer closed it.
        by_peer: bool,
    },
    /// The connection is over; no event follows.
    Closed {
        /// Why.
        fault: Fault,
        /// The peer closed it.
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
    /// All channel numbers are taken.
    #[error("all channels are taken")]
    NoFreeChannel,
    /// The method may not be sent by this end, or lacks its content, or has one too many.
    #[error("{0} may not be sent so")]
    Misused(&'static str),
}
