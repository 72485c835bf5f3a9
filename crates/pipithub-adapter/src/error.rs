//! Why the adapter gives up.

use std::io;

use pipithub_platform::settings::SettingsError;

/// Why the adapter gives up; standard error gets this text.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// A line of the input cannot be used.
    #[error("line {number}: {error}")]
    Line {
        /// The number of the line, from 1.
        number: u64,
        error: LineError,
    },
    #[error("cannot write a reply: {0}")]
    Write(io::Error),
}

/// Why a line of the input cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The input ends inside a batch or a list.
    #[error("input ends inside {unit}")]
    UnexpectedEnd { unit: &'static str },
    /// Another message must stand here.
    #[error("expected '{expected}', found '{found}'")]
    UnexpectedMessage {
        expected: &'static str,
        found: String,
    },
    #[error("unknown message")]
    UnknownMessage,
    /// A message for a front end that was never attached, or was killed.
    #[error("'{message}' for front end {front_end}, which is not attached")]
    NotAttached { message: String, front_end: u64 },
    #[error("{field} is missing")]
    MissingField { field: &'static str },
    /// A field is no number, or a malformed one.
    #[error("{field}: cannot read '{text}'")]
    UnreadableField { field: &'static str, text: String },
    /// A field holds a word without a meaning there.
    #[error("{field}: unknown '{word}'")]
    UnknownWord { field: &'static str, word: String },
    /// A fault inside a message whose name is known.
    #[error("{message}: {error}")]
    InMessage {
        message: String,
        error: Box<LineError>,
    },
    /// The settings of a front end that is attached cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl LineError {
    /// A field that cannot be read.
    pub(crate) fn unreadable(field: &'static str, text: &str) -> Self {
        LineError::UnreadableField {
            field,
            text: text.to_string(),
        }
    }

    /// A word without a meaning in its field.
    pub(crate) fn unknown_word(field: &'static str, word: &str) -> Self {
        LineError::UnknownWord {
            field,
            word: word.to_string(),
        }
    }

    /// This fault, as one inside a message.
    pub(crate) fn in_message(self, message: &str) -> Self {
        LineError::InMessage {
            message: message.to_string(),
            error: Box::new(self),
        }
    }
}
