//! Escapes names for paths and headers, so that no name can end the path segment or header that contains it.

use std::borrow::Cow;

/// Escapes the name of a model as a path segment.
pub(crate) fn path_segment(name: &str) -> Cow<'_, str> {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    if !name.is_empty() && name.bytes().all(is_plain) && !matches!(name, "." | "..") {
        return Cow::Borrowed(name);
    }
    let mut escaped = String::with_capacity(name.len() * 3);
    for b in name.bytes() {
        match b {
            b if b.is_ascii_alphanumeric() || b"-_~".contains(&b) => escaped.push(char::from(b)),
            b => escaped.push_str(&format!("%{b:02X}")),
        }
    }
    Cow::Owned(escaped)
}

/// The name in a path segment; `None` if its escapes are invalid or do not decode to UTF-8.
pub fn unescape(segment: &str) -> Option<String> {
    let mut unescaped = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                unescaped.push((high * 16 + low) as u8);
            }
            b => unescaped.push(b),
        }
    }
    String::from_utf8(unescaped).ok()
}

/// Escapes a text as a header value. A text that contains `%` or anything but visible ASCII is escaped as in a path.
pub(crate) fn header_value(text: &str) -> String {
    if text.bytes().all(|b| (0x21..0x7f).contains(&b) && b != b'%') {
        text.to_string()
    } else {
        path_segment(text).into_owned()
    }
}

/// The content type as a header value. One that is not printable ASCII is replaced by `application/octet-stream`.
pub(crate) fn content_type(mime_type: &str) -> String {
    if mime_type.bytes().all(|b| (0x20..0x7f).contains(&b)) {
        mime_type.to_string()
    } else {
        "application/octet-stream".into()
    }
}
