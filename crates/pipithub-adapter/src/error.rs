//! The errors of the adapter.

use std::io;

use pipithub_platform::settings::SettingsError;

/// An error that ends the adapter; its text is written to standard error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// A line of the input cannot be read or is invalid.
    #[error("line {number}: {error}")]
    Line {
        /// The number of the line, from 1.
        number: u64,
        error: LineError,
    },
    #[error("cannot write a reply: {0}")]
    Write(io::Error),
}

/// Why a line of the input cannot be read or is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The input ends inside a batch or a list.
    #[error("input ends inside {unit}")]
    UnexpectedEnd { unit: &'static str },
    /// Another message is required at this place.
    #[error("expected '{expected}', found '{found}'")]
    UnexpectedMessage {
        expected: &'static str,
        found: String,
    },
    #[error("unknown message")]
    UnknownMessage,
    /// The message is for a front end that was never attached, or was killed.
    #[error("'{message}' for front end {front_end}, which is not attached")]
    NotAttached { message: String, front_end: u64 },
    #[error("{field} is missing")]
    MissingField { field: &'static str },
    /// A field cannot be parsed.
    #[error("{field}: cannot read '{text}'")]
    UnreadableField { field: &'static str, text: String },
    /// A field holds a word that is not defined for it.
    #[error("{field}: unknown '{word}'")]
    UnknownWord { field: &'static str, word: String },
    /// An error in a message whose name is known.
    #[error("{message}: {error}")]
    InMessage {
        message: String,
        error: Box<LineError>,
    },
    /// The settings of a front end to attach are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl LineError {
    /// Creates the error for a field that cannot be parsed.
    pub(crate) fn unreadable(field: &'static str, text: &str) -> Self {
        LineError::UnreadableField {
            field,
            text: text.to_string(),
        }
    }

    /// Creates the error for a word that is not defined for its field.
    pub(crate) fn unknown_word(field: &'static str, word: &str) -> Self {
        LineError::UnknownWord {
            field,
            word: word.to_string(),
        }
    }

    /// Wraps this error with the name of the message that contains it.
    pub(crate) fn in_message(self, message: &str) -> Self {
        LineError::InMessage {
            message: message.to_string(),
            error: Box::new(self),
        }
    }
}
