//! Short strings, field values and field tables (specification 4.2.5.5 and its errata).

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;

use bytes::Bytes;

/// The longest short string, in bytes; its length is one octet on the wire.
const MAX_SHORT_STR: usize = 255;

/// At most 255 bytes of UTF-8.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortStr(Box<str>);

/// A text that is too long for a short string; its length in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes do not fit a short string (255 at most)")]
pub struct TooLong(pub usize);

impl ShortStr {
    /// Creates a short string from a text that fits.
    pub fn new(text: &str) -> Result<Self, TooLong> {
        if text.len() > MAX_SHORT_STR {
            Err(TooLong(text.len()))
        } else {
            Ok(ShortStr(text.into()))
        }
    }

    /// Creates a short string from as much of a text as fits, cut between characters.
    pub fn truncated(text: &str) -> Self {
        let mut end = text.len().min(MAX_SHORT_STR);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        ShortStr(text[..end].into())
    }
}

impl Deref for ShortStr {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ShortStr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ShortStr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A value in a field table.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// `t`
    Bool(bool),
    /// `b`
    I8(i8),
    /// `B`
    U8(u8),
    /// `s`; `U` is read too
    I16(i16),
    /// `u`
    U16(u16),
    /// `I`
    I32(i32),
    /// `i`
    U32(u32),
    /// `l`; `L` is read too
    I64(i64),
    /// `f`
    F32(f32),
    /// `d`
    F64(f64),
    /// `D`: `value` divided by ten to the power of `scale`
    Decimal {
        /// Digits after the point.
        scale: u8,
        /// The digits.
        value: i32,
    },
    /// `S`
    LongStr(Bytes),
    /// `x`
    Bytes(Bytes),
    /// `T`: seconds since 1970
    Timestamp(u64),
    /// `A`
    Array(Vec<FieldValue>),
    /// `F`
    Table(FieldTable),
    /// `V`
    Void,
}

impl FieldValue {
    /// The text of a long string that is valid UTF-8.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            FieldValue::LongStr(bytes) => std::str::from_utf8(bytes).ok(),
            _ => None,
        }
    }

    /// The value of any whole number.
    pub fn as_i64(&self) -> Option<i64> {
        Some(match self {
            FieldValue::I8(value) => i64::from(*value),
            FieldValue::U8(value) => i64::from(*value),
            FieldValue::I16(value) => i64::from(*value),
            FieldValue::U16(value) => i64::from(*value),
            FieldValue::I32(value) => i64::from(*value),
            FieldValue::U32(value) => i64::from(*value),
            FieldValue::I64(value) => *value,
            FieldValue::Timestamp(value) => i64::try_from(*value).ok()?,
            _ => return None,
        })
    }

    /// The value of any number.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            FieldValue::F32(value) => Some(f64::from(*value)),
            FieldValue::F64(value) => Some(*value),
            FieldValue::Decimal { scale, value } => {
                Some(f64::from(*value) / 10f64.powi(i32::from(*scale)))
            }
            other => other.as_i64().map(|value| value as f64),
        }
    }
}

impl From<&str> for FieldValue {
    fn from(text: &str) -> Self {
        FieldValue::LongStr(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl From<i64> for FieldValue {
    fn from(value: i64) -> Self {
        FieldValue::I64(value)
    }
}

/// A field table. Its names are sorted, so that equal tables have equal encodings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldTable(BTreeMap<ShortStr, FieldValue>);

impl FieldTable {
    /// An empty table.
    pub fn new() -> Self {
        FieldTable::default()
    }

    /// Adds a field; a later one of the same name replaces it.
    pub fn insert(&mut self, name: ShortStr, value: FieldValue) {
        self.0.insert(name, value);
    }

    /// Adds a field and returns the table; names beyond 255 bytes are cut.
    pub fn with(mut self, name: &str, value: impl Into<FieldValue>) -> Self {
        self.insert(ShortStr::truncated(name), value.into());
        self
    }

    /// The value of a field.
    pub fn get(&self, name: &str) -> Option<&FieldValue> {
        self.0.get(&ShortStr::truncated(name))
    }

    /// All fields by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ShortStr, &FieldValue)> {
        self.0.iter()
    }

    /// The number of fields.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<(ShortStr, FieldValue)> for FieldTable {
    fn from_iter<I: IntoIterator<Item = (ShortStr, FieldValue)>>(fields: I) -> Self {
        FieldTable(fields.into_iter().collect())
    }
}
