//! The reasons why a message is not accepted as a call.

use super::MAX_FUNCTION_LEN;

/// The maximum length of a text from a message that is repeated in an error, in bytes.
const MAX_REPEATED_LEN: usize = 200;

/// The beginning of a text from a message. Errors are published in headers, which must fit a frame.
pub(super) fn shortened(text: &str) -> String {
    if text.len() <= MAX_REPEATED_LEN {
        return text.to_string();
    }
    let mut end = MAX_REPEATED_LEN;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}...", &text[..end])
}

/// A message that cannot be read as a call, or does not prove which user it belongs to. This front end does not run the call.
///
/// The texts are published: an answer and a dead letter carry them in header `pipithub-reason`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// A header holds something other than a finite number of at least 0.
    #[error("header {header} is not a number that is not negative")]
    InvalidNumber {
        /// The name of the header.
        header: &'static str,
    },
    /// A header that must be a text is of another type.
    #[error("header {header} is not a text")]
    NotText {
        /// The name of the header.
        header: &'static str,
    },
    /// Neither the message nor its route gives a class.
    #[error("no class: header pipithub-class is missing")]
    MissingClass,
    /// The class that the message names is not configured.
    #[error("class '{name}' is not known")]
    UnknownClass {
        /// The name that the message gives, or its beginning if it is long.
        name: String,
    },
    /// Neither the message nor its route names a function.
    #[error("no function: header pipithub-function is missing")]
    MissingFunction,
    /// The name of the function is empty or too long.
    #[error("header pipithub-function has {bytes} bytes, 1 to {MAX_FUNCTION_LEN} are taken")]
    InvalidFunction {
        /// The length of the name, in bytes.
        bytes: usize,
    },
    /// Property `expiration` holds something other than milliseconds.
    #[error("expiration '{text}' is not a number of milliseconds")]
    InvalidExpiration {
        /// The value of the property.
        text: String,
    },
    /// A call of this class needs an idempotency key, and the message has none.
    #[error("no key: a call of this class needs header pipithub-key or a message_id")]
    MissingKey,
    /// The message names a user, but its queue has no rule by which messages prove their users.
    #[error("this queue takes no word on users: header pipithub-user")]
    UserNotAccepted,
    /// The name of the user is too long or has control characters.
    #[error("a user's name has up to 256 bytes and no control characters")]
    InvalidUser,
    /// The queue relies on the broker's check of `user_id`, which the message does not have.
    #[error("no user: property user_id is missing")]
    MissingUserId,
    /// The header names another user than the one that the broker checked.
    #[error("header pipithub-user is not the user_id that the broker checked")]
    UserMismatch,
    /// A message that must be signed does not name its user.
    #[error("no user: header pipithub-user is missing")]
    MissingUser,
    /// A signed message does not state when it was sent.
    #[error("a signed call needs header pipithub-sent-ms")]
    MissingSendTime,
    /// The signature is older than the maximum age of the keys, or its time lies too far in the future.
    #[error("the signature is too old, or from the future")]
    SignatureOutOfTime,
    /// A signed message has no id by which a replay could be recognized.
    #[error("a signed call needs a message_id")]
    MissingMessageId,
    /// A signed message was published a second time.
    #[error("a signed call came a second time, and not from the broker's own doing")]
    Replayed,
    /// The message has no signature, or names a key that is not configured.
    #[error("no signature under a known key: pipithub-key-id, pipithub-signature")]
    MissingSignature,
    /// The signature was made with another key or for another message.
    #[error("the signature does not fit the message")]
    WrongSignature,
}
