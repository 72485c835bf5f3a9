//! Short strings, field values and field tables (specification 4.2.5.5 and its errata).

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;

use bytes::Bytes;

/// Longest short string in bytes, because its length is one octet on the wire.
const MAX_SHORT_STR: usize = 255;

/// A string of at most 255 bytes of UTF-8.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortStr(Box<str>);

/// The text is too long for a short string. Holds its length in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes do not fit a short string (255 at most)")]
pub struct TooLong(pub usize);

impl ShortStr {
    /// Creates a short string.
    ///
    /// # Errors
    /// The text has more than 255 bytes.
    pub fn new(text: &str) -> Result<Self, TooLong> {
        if text.len() > MAX_SHORT_STR {
            Err(TooLong(text.len()))
        } else {
            Ok(ShortStr(text.into()))
        }
    }

    /// Creates a short string, from the beginning of the text, cut between characters to at most 255 bytes.
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

/// A value in a field table or array. The documentation of each variant names its type octet.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// Type `t`: a boolean.
    Bool(bool),
    /// Type `b`: a signed octet.
    I8(i8),
    /// Type `B`: an unsigned octet.
    U8(u8),
    /// Type `s`, when decoded also `U`: a signed short.
    I16(i16),
    /// Type `u`: an unsigned short.
    U16(u16),
    /// Type `I`: a signed long.
    I32(i32),
    /// Type `i`: an unsigned long.
    U32(u32),
    /// Type `l`, when decoded also `L`: a signed long-long.
    I64(i64),
    /// Type `f`: a float.
    F32(f32),
    /// Type `d`: a double.
    F64(f64),
    /// Type `D`: a decimal number, `value` divided by ten to the power of `scale`.
    Decimal {
        /// Number of digits after the decimal point.
        scale: u8,
        /// All digits, as one number.
        value: i32,
    },
    /// Type `S`: a long string, which holds any bytes.
    LongStr(Bytes),
    /// Type `x`: a byte array.
    Bytes(Bytes),
    /// Type `T`: a time in Unix seconds.
    Timestamp(u64),
    /// Type `A`: an array of values.
    Array(Vec<FieldValue>),
    /// Type `F`: a nested table.
    Table(FieldTable),
    /// Type `V`: no value.
    Void,
}

impl FieldValue {
    /// The text of a long string; `None` for other types and where it is not UTF-8.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            FieldValue::LongStr(bytes) => std::str::from_utf8(bytes).ok(),
            _ => None,
        }
    }

    /// The value of an integer or timestamp; `None` for other types and where it exceeds the range.
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

    /// The value of a number of any type, rounded where needed; `None` for other types.
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

/// A field table. Its fields are sorted by name, so that equal tables have equal encodings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldTable(BTreeMap<ShortStr, FieldValue>);

impl FieldTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        FieldTable::default()
    }

    /// Adds a field, in place of an existing one of the same name.
    pub fn insert(&mut self, name: ShortStr, value: FieldValue) {
        self.0.insert(name, value);
    }

    /// Adds a field and returns the table. Names are cut to 255 bytes.
    pub fn with(mut self, name: &str, value: impl Into<FieldValue>) -> Self {
        self.insert(ShortStr::truncated(name), value.into());
        self
    }

    /// The value of the field of this name, if there is one.
    pub fn get(&self, name: &str) -> Option<&FieldValue> {
        self.0.get(&ShortStr::truncated(name))
    }

    /// All fields, in the order of their names.
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
