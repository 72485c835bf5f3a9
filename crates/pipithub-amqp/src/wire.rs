//! Primitive values on the wire (specification 4.2.5), read with winnow.

use bytes::{BufMut, Bytes, BytesMut};
use winnow::Parser;
use winnow::binary::{
    be_f32, be_f64, be_i8, be_i16, be_i32, be_i64, be_u8, be_u16, be_u32, be_u64,
};
use winnow::error::EmptyError;
use winnow::token::take;

use crate::value::{FieldTable, FieldValue, ShortStr};

/// Why a value could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxError {
    /// The bytes end before the value does.
    #[error("truncated {0}")]
    Truncated(&'static str),
    /// A string that must be UTF-8 is not.
    #[error("{0} is not UTF-8")]
    NotUtf8(&'static str),
    /// A field value of an unknown type.
    #[error("unknown field type 0x{0:02x}")]
    UnknownType(u8),
    /// Tables or arrays nested deeper than [`MAX_DEPTH`].
    #[error("tables nested too deep")]
    TooDeep,
    /// Bytes are left after the last value.
    #[error("{0} bytes left over")]
    TrailingBytes(usize),
}

/// Tables and arrays may be nested so deep; deeper ones could exhaust the stack.
pub const MAX_DEPTH: usize = 32;

/// Reads values off the front of a slice; adjacent bits share bytes.
#[derive(Clone, Debug)]
pub struct Reader<'a> {
    input: &'a [u8],
    /// The byte that bits are taken from, and how many were.
    bits: Option<(u8, u8)>,
    depth: usize,
}

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident $ty:ty = $parser:ident;)*) => {
        $($(#[$doc])*
        pub fn $name(&mut self) -> Result<$ty, SyntaxError> {
            self.bits = None;
            let parsed: Result<$ty, EmptyError> = $parser.parse_next(&mut self.input);
            parsed.map_err(|_| SyntaxError::Truncated(stringify!($ty)))
        })*
    };
}

impl<'a> Reader<'a> {
    /// Reads from these bytes.
    pub fn new(input: &'a [u8]) -> Self {
        Reader {
            input,
            bits: None,
            depth: 0,
        }
    }

    number! {
        /// An octet.
        u8 u8 = be_u8;
        /// A short.
        u16 u16 = be_u16;
        /// A long.
        u32 u32 = be_u32;
        /// A long-long.
        u64 u64 = be_u64;
        /// A signed octet.
        i8 i8 = be_i8;
        /// A signed short.
        i16 i16 = be_i16;
        /// A signed long.
        i32 i32 = be_i32;
        /// A signed long-long.
        i64 i64 = be_i64;
        /// A float.
        f32 f32 = be_f32;
        /// A double.
        f64 f64 = be_f64;
    }

    /// One bit; up to eight adjacent ones share an octet, lowest first.
    pub fn bit(&mut self) -> Result<bool, SyntaxError> {
        let (byte, used) = match self.bits {
            Some((byte, used)) if used < 8 => (byte, used),
            _ => (self.u8()?, 0),
        };
        self.bits = Some((byte, used + 1));
        Ok(byte >> used & 1 == 1)
    }

    fn take(&mut self, length: usize, what: &'static str) -> Result<&'a [u8], SyntaxError> {
        self.bits = None;
        let taken: Result<&'a [u8], EmptyError> = take(length).parse_next(&mut self.input);
        taken.map_err(|_| SyntaxError::Truncated(what))
    }

    /// A short string: at most 255 bytes of UTF-8.
    pub fn short_str(&mut self) -> Result<ShortStr, SyntaxError> {
        let length = usize::from(self.u8()?);
        let text = std::str::from_utf8(self.take(length, "short string")?);
        let text = text.map_err(|_| SyntaxError::NotUtf8("short string"))?;
        Ok(ShortStr::truncated(text))
    }

    /// A long string: any bytes.
    pub fn long_str(&mut self) -> Result<Bytes, SyntaxError> {
        let length = self.u32()? as usize;
        Ok(Bytes::copy_from_slice(self.take(length, "long string")?))
    }

    /// A field table.
    pub fn table(&mut self) -> Result<FieldTable, SyntaxError> {
        let mut inner = self.nested("table")?;
        let mut table = FieldTable::new();
        while !inner.input.is_empty() {
            let name = inner.short_str()?;
            table.insert(name, inner.value()?);
        }
        Ok(table)
    }

    fn array(&mut self) -> Result<Vec<FieldValue>, SyntaxError> {
        let mut inner = self.nested("array")?;
        let mut values = Vec::new();
        while !inner.input.is_empty() {
            values.push(inner.value()?);
        }
        Ok(values)
    }

    fn nested(&mut self, what: &'static str) -> Result<Reader<'a>, SyntaxError> {
        if self.depth >= MAX_DEPTH {
            return Err(SyntaxError::TooDeep);
        }
        let length = self.u32()? as usize;
        Ok(Reader {
            input: self.take(length, what)?,
            bits: None,
            depth: self.depth + 1,
        })
    }

    /// A field value with its type octet.
    pub fn value(&mut self) -> Result<FieldValue, SyntaxError> {
        Ok(match self.u8()? {
            b't' => FieldValue::Bool(self.u8()? != 0),
            b'b' => FieldValue::I8(self.i8()?),
            b'B' => FieldValue::U8(self.u8()?),
            b's' | b'U' => FieldValue::I16(self.i16()?),
            b'u' => FieldValue::U16(self.u16()?),
            b'I' => FieldValue::I32(self.i32()?),
            b'i' => FieldValue::U32(self.u32()?),
            b'l' | b'L' => FieldValue::I64(self.i64()?),
            b'f' => FieldValue::F32(self.f32()?),
            b'd' => FieldValue::F64(self.f64()?),
            b'D' => FieldValue::Decimal {
                scale: self.u8()?,
                value: self.i32()?,
            },
            b'S' => FieldValue::LongStr(self.long_str()?),
            b'x' => FieldValue::Bytes(self.long_str()?),
            b'T' => FieldValue::Timestamp(self.u64()?),
            b'A' => FieldValue::Array(self.array()?),
            b'F' => FieldValue::Table(self.table()?),
            b'V' => FieldValue::Void,
            other => return Err(SyntaxError::UnknownType(other)),
        })
    }

    /// All bytes that are left.
    pub fn rest(&mut self) -> &'a [u8] {
        self.bits = None;
        std::mem::take(&mut self.input)
    }

    /// Errors unless all bytes were read.
    pub fn finish(&self) -> Result<(), SyntaxError> {
        if self.input.is_empty() {
            Ok(())
        } else {
            Err(SyntaxError::TrailingBytes(self.input.len()))
        }
    }
}

/// Appends values to a buffer; adjacent bits share bytes.
#[derive(Debug)]
pub struct Writer<'a> {
    output: &'a mut BytesMut,
    /// How many bits of the last byte are used.
    bits: Option<u8>,
}

impl<'a> Writer<'a> {
    /// Appends to this buffer.
    pub fn new(output: &'a mut BytesMut) -> Self {
        Writer { output, bits: None }
    }

    /// The buffer, after a value that is no bit.
    fn octets(&mut self) -> &mut BytesMut {
        self.bits = None;
        self.output
    }

    /// An octet.
    pub fn u8(&mut self, value: u8) {
        self.octets().put_u8(value);
    }

    /// A short.
    pub fn u16(&mut self, value: u16) {
        self.octets().put_u16(value);
    }

    /// A long.
    pub fn u32(&mut self, value: u32) {
        self.octets().put_u32(value);
    }

    /// A long-long.
    pub fn u64(&mut self, value: u64) {
        self.octets().put_u64(value);
    }

    /// One bit.
    pub fn bit(&mut self, value: bool) {
        let used = self.bits.filter(|used| *used < 8).unwrap_or_else(|| {
            self.output.put_u8(0);
            0
        });
        if let Some(last) = self.output.last_mut() {
            *last |= u8::from(value) << used;
        }
        self.bits = Some(used + 1);
    }

    /// A short string.
    pub fn short_str(&mut self, value: &ShortStr) {
        self.u8(value.len() as u8);
        self.octets().put_slice(value.as_bytes());
    }

    /// A long string.
    pub fn long_str(&mut self, value: &[u8]) {
        self.u32(value.len() as u32);
        self.octets().put_slice(value);
    }

    /// Writes with a length of four bytes before it.
    fn nested(&mut self, write: impl FnOnce(&mut Self)) {
        self.u32(0);
        let start = self.output.len();
        write(self);
        let length = (self.output.len() - start) as u32;
        self.output[start - 4..start].copy_from_slice(&length.to_be_bytes());
        self.bits = None;
    }

    /// A field table.
    pub fn table(&mut self, value: &FieldTable) {
        self.nested(|writer| {
            for (name, value) in value.iter() {
                writer.short_str(name);
                writer.value(value);
            }
        });
    }

    /// A field value with its type octet.
    pub fn value(&mut self, value: &FieldValue) {
        let output = self.octets();
        match value {
            FieldValue::Bool(value) => output.put_slice(&[b't', u8::from(*value)]),
            FieldValue::I8(value) => output.put_slice(&[b'b', *value as u8]),
            FieldValue::U8(value) => output.put_slice(&[b'B', *value]),
            FieldValue::I16(value) => (output.put_u8(b's'), output.put_i16(*value)).1,
            FieldValue::U16(value) => (output.put_u8(b'u'), output.put_u16(*value)).1,
            FieldValue::I32(value) => (output.put_u8(b'I'), output.put_i32(*value)).1,
            FieldValue::U32(value) => (output.put_u8(b'i'), output.put_u32(*value)).1,
            FieldValue::I64(value) => (output.put_u8(b'l'), output.put_i64(*value)).1,
            FieldValue::F32(value) => (output.put_u8(b'f'), output.put_f32(*value)).1,
            FieldValue::F64(value) => (output.put_u8(b'd'), output.put_f64(*value)).1,
            FieldValue::Decimal { scale, value } => {
                output.put_slice(&[b'D', *scale]);
                output.put_i32(*value);
            }
            FieldValue::LongStr(value) => (output.put_u8(b'S'), self.long_str(value)).1,
            FieldValue::Bytes(value) => (output.put_u8(b'x'), self.long_str(value)).1,
            FieldValue::Timestamp(value) => (output.put_u8(b'T'), output.put_u64(*value)).1,
            FieldValue::Array(values) => {
                output.put_u8(b'A');
                self.nested(|writer| values.iter().for_each(|value| writer.value(value)));
            }
            FieldValue::Table(value) => (output.put_u8(b'F'), self.table(value)).1,
            FieldValue::Void => output.put_u8(b'V'),
        }
    }
}

/// A value that a method's argument may have.
pub trait Field: Sized {
    /// Reads it.
    fn read(reader: &mut Reader<'_>) -> Result<Self, SyntaxError>;
    /// Writes it.
    fn write(&self, writer: &mut Writer<'_>);
}

macro_rules! fields {
    ($($ty:ty: $name:ident, $deref:expr;)*) => {
        $(impl Field for $ty {
            fn read(reader: &mut Reader<'_>) -> Result<Self, SyntaxError> {
                reader.$name()
            }
            fn write(&self, writer: &mut Writer<'_>) {
                let pass: fn(&$ty, &mut Writer<'_>) = $deref;
                pass(self, writer);
            }
        })*
    };
}

fields! {
    u8: u8, |value, writer| writer.u8(*value);
    u16: u16, |value, writer| writer.u16(*value);
    u32: u32, |value, writer| writer.u32(*value);
    u64: u64, |value, writer| writer.u64(*value);
    bool: bit, |value, writer| writer.bit(*value);
    ShortStr: short_str, |value, writer| writer.short_str(value);
    Bytes: long_str, |value, writer| writer.long_str(value);
    FieldTable: table, |value, writer| writer.table(value);
}
