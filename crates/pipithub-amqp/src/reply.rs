//! Reply codes (specification 1.2 and the constants of its XML) and the faults that carry them.

/// A reply code of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u16)]
pub enum Code {
    /// The operation succeeded.
    Success = 200,
    /// The content is larger than this end accepts; channel error.
    ContentTooLarge = 311,
    /// A mandatory message could not be routed; carried by `basic.return`.
    NoRoute = 312,
    /// An immediate message found no consumer; carried by `basic.return`.
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
    /// A precondition failed.
    PreconditionFailed = 406,
    /// A frame could not be decoded.
    FrameError = 501,
    /// A frame held values that could not be decoded.
    SyntaxError = 502,
    /// A sequence of frames that is not valid.
    CommandInvalid = 503,
    /// A channel that is not, or is already, open.
    ChannelError = 504,
    /// A frame that was not expected here.
    UnexpectedFrame = 505,
    /// Resources ran out.
    ResourceError = 506,
    /// The operation is not allowed here.
    NotAllowed = 530,
    /// The method is not implemented.
    NotImplemented = 540,
    /// An internal error.
    InternalError = 541,
}

impl Code {
    /// The code of a number, where the specification has it.
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

/// Why a channel or a connection ends.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} {text} (class {class_id}, method {method_id})")]
pub struct Fault {
    /// The reply code, as its number: a peer may send one that is not in the specification.
    pub code: u16,
    /// What went wrong, for people.
    pub text: String,
    /// The class of the method that caused it; 0: none did.
    pub class_id: u16,
    /// The method that caused it; 0: none did.
    pub method_id: u16,
}

impl Fault {
    /// Creates a fault that no method caused.
    pub fn new(code: Code, text: impl Into<String>) -> Self {
        Fault {
            code: code as u16,
            text: text.into(),
            class_id: 0,
            method_id: 0,
        }
    }

    /// Adds the method that caused the fault.
    pub fn caused_by(mut self, method: &crate::Method) -> Self {
        let id = method.id();
        self.class_id = id.class_id;
        self.method_id = id.method_id;
        self
    }
}
