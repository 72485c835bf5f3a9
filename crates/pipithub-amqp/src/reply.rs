//! Reply codes (specification 1.2 and the constants in its XML), and the faults with which channels and connections
//! end.

/// A reply code of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u16)]
pub enum Code {
    /// No error: the usual code for closing a channel or connection.
    Success = 200,
    /// The content is larger than this end accepts; closes the channel.
    ContentTooLarge = 311,
    /// A mandatory message could not be routed; sent in `basic.return`.
    NoRoute = 312,
    /// An immediate message found no consumer; sent in `basic.return`.
    NoConsumers = 313,
    /// An operator closed the connection.
    ConnectionForced = 320,
    /// The virtual host is not known.
    InvalidPath = 402,
    /// The login or the operation is not permitted.
    AccessRefused = 403,
    /// The entity does not exist.
    NotFound = 404,
    /// The entity is locked by another client.
    ResourceLocked = 405,
    /// A precondition of the operation does not hold, such as an entity's properties.
    PreconditionFailed = 406,
    /// A frame could not be decoded.
    FrameError = 501,
    /// The values in a frame could not be decoded.
    SyntaxError = 502,
    /// The sequence of frames is not valid.
    CommandInvalid = 503,
    /// The channel is not open, or is open already.
    ChannelError = 504,
    /// A frame of this type was not expected.
    UnexpectedFrame = 505,
    /// The server has too few resources for the operation.
    ResourceError = 506,
    /// The operation is not allowed in this situation.
    NotAllowed = 530,
    /// The method is not implemented.
    NotImplemented = 540,
    /// The server cannot go on because of an internal error.
    InternalError = 541,
}

impl Code {
    /// The code with this number; `None` if the specification has none.
    pub fn from_number(number: u16) -> Option<Self> {
        use Code::{
            AccessRefused, ChannelError, CommandInvalid, ConnectionForced, ContentTooLarge,
            FrameError, InternalError, InvalidPath, NoConsumers, NoRoute, NotAllowed, NotFound,
            NotImplemented, PreconditionFailed, ResourceError, ResourceLocked, Success,
            SyntaxError, UnexpectedFrame,
        };
        [
            Success,
            ContentTooLarge,
            NoRoute,
            NoConsumers,
            ConnectionForced,
            InvalidPath,
            AccessRefused,
            NotFound,
            ResourceLocked,
            PreconditionFailed,
            FrameError,
            SyntaxError,
            CommandInvalid,
            ChannelError,
            UnexpectedFrame,
            ResourceError,
            NotAllowed,
            NotImplemented,
            InternalError,
        ]
        .into_iter()
        .find(|code| *code as u16 == number)
    }
}

/// The reason for which a channel or a connection was closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} {text} (class {class_id}, method {method_id})")]
pub struct Fault {
    /// Number of the reply code. A peer may send one that is not in the specification.
    pub code: u16,
    /// Description for operators; sent to the peer, cut to 255 bytes.
    pub text: String,
    /// Class of the method that caused it; 0 if no method did.
    pub class_id: u16,
    /// Number of the method that caused it; 0 if no method did.
    pub method_id: u16,
}

impl Fault {
    /// Creates a fault that was not caused by a method.
    pub fn new(code: Code, text: impl Into<String>) -> Self {
        Fault {
            code: code as u16,
            text: text.into(),
            class_id: 0,
            method_id: 0,
        }
    }

    /// Sets the method that caused the fault.
    pub fn caused_by(mut self, method: &crate::Method) -> Self {
        let id = method.id();
        self.class_id = id.class_id;
        self.method_id = id.method_id;
        self
    }
}
