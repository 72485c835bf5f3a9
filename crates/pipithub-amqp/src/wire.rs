//! Decoding and encoding of primitive values (specification 4.2.5).

use bytes::{BufMut, Bytes, BytesMut};
use winnow::Parser;
use winnow::binary::{
    be_f32, be_f64, be_i8, be_i16, be_i32, be_i64, be_u8, be_u16, be_u32, be_u64,
};
use winnow::error::EmptyError;
use winnow::token::take;

use crate::value::{FieldTable, FieldValue, ShortStr};

/// Why a value could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxError {
    /// The bytes end before the end of the value of this type.
    #[error("truncated {0}")]
    Truncated(&'static str),
    /// A string of this type is not UTF-8.
    #[error("{0} is not UTF-8")]
    NotUtf8(&'static str),
    /// The type octet of a field value is unknown.
    #[error("unknown field type 0x{0:02x}")]
    UnknownType(u8),
    /// Tables or arrays are nested deeper than [`MAX_DEPTH`].
    #[error("tables nested too deep")]
    TooDeep,
    /// Bytes follow the last value. Holds the number of bytes.
    #[error("{0} bytes left over")]
    TrailingBytes(usize),
}

/// Deepest nesting of tables and arrays that is decoded. The decoder is recursive, so that deeper ones could overflow
/// the stack.
pub const MAX_DEPTH: usize = 32;

/// An octet of adjacent bits, and the number of bits that were decoded from it.
#[derive(Clone, Copy, Debug)]
struct BitOctet {
    octet: u8,
    used: u8,
}

/// Decodes values from the front of a slice. Each method removes the bytes of its value, and fails if they are
/// truncated or malformed. Adjacent bits share an octet.
#[derive(Clone, Debug)]
pub struct Reader<'a> {
    input: &'a [u8],
    bits: Option<BitOctet>,
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
    /// Creates a reader of `input`.
    pub fn new(input: &'a [u8]) -> Self {
        Reader {
            input,
            bits: None,
            depth: 0,
        }
    }

    number! {
        /// Decodes an octet.
        u8 u8 = be_u8;
        /// Decodes a short.
        u16 u16 = be_u16;
        /// Decodes a long.
        u32 u32 = be_u32;
        /// Decodes a long-long.
        u64 u64 = be_u64;
        /// Decodes a signed octet.
        i8 i8 = be_i8;
        /// Decodes a signed short.
        i16 i16 = be_i16;
        /// Decodes a signed long.
        i32 i32 = be_i32;
        /// Decodes a signed long-long.
        i64 i64 = be_i64;
        /// Decodes a float.
        f32 f32 = be_f32;
        /// Decodes a double.
        f64 f64 = be_f64;
    }

    /// Decodes a bit. Up to eight adjacent bits share an octet, from the lowest bit on.
    pub fn bit(&mut self) -> Result<bool, SyntaxError> {
        let BitOctet { octet, used } = match self.bits {
            Some(bits) if bits.used < 8 => bits,
            _ => BitOctet {
                octet: self.u8()?,
                used: 0,
            },
        };
        self.bits = Some(BitOctet {
            octet,
            used: used + 1,
        });
        Ok(octet >> used & 1 == 1)
    }

    fn take(&mut self, length: usize, value_type: &'static str) -> Result<&'a [u8], SyntaxError> {
        self.bits = None;
        let taken: Result<&'a [u8], EmptyError> = take(length).parse_next(&mut self.input);
        taken.map_err(|_| SyntaxError::Truncated(value_type))
    }

    /// Decodes a short string, which must be UTF-8.
    pub fn short_str(&mut self) -> Result<ShortStr, SyntaxError> {
        let length = usize::from(self.u8()?);
        let text = std::str::from_utf8(self.take(length, "short string")?);
        let text = text.map_err(|_| SyntaxError::NotUtf8("short string"))?;
        Ok(ShortStr::truncated(text))
    }

    /// Decodes a long string, which may hold any bytes.
    pub fn long_str(&mut self) -> Result<Bytes, SyntaxError> {
        let length = self.u32()? as usize;
        Ok(Bytes::copy_from_slice(self.take(length, "long string")?))
    }

    /// Decodes a field table.
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

    fn nested(&mut self, value_type: &'static str) -> Result<Reader<'a>, SyntaxError> {
        if self.depth >= MAX_DEPTH {
            return Err(SyntaxError::TooDeep);
        }
        let length = self.u32()? as usize;
        Ok(Reader {
            input: self.take(length, value_type)?,
            bits: None,
            depth: self.depth + 1,
        })
    }

    /// Decodes a field value with its type octet.
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

    /// Removes and returns all remaining bytes.
    pub fn rest(&mut self) -> &'a [u8] {
        self.bits = None;
        std::mem::take(&mut self.input)
    }

    /// Checks that no bytes remain.
    pub fn finish(&self) -> Result<(), SyntaxError> {
        if self.input.is_empty() {
            Ok(())
        } else {
            Err(SyntaxError::TrailingBytes(self.input.len()))
        }
    }
}

/// Appends encoded values to a buffer. Adjacent bits share an octet.
#[derive(Debug)]
pub struct Writer<'a> {
    output: &'a mut BytesMut,
    /// Number of used bits in the last octet; `None` if the last value was not a bit.
    bits: Option<u8>,
}

impl<'a> Writer<'a> {
    /// Creates a writer that appends to `output`.
    pub fn new(output: &'a mut BytesMut) -> Self {
        Writer { output, bits: None }
    }

    /// The buffer, to append a value other than a bit. The next bit begins a new octet.
    fn octets(&mut self) -> &mut BytesMut {
        self.bits = None;
        self.output
    }

    /// Encodes an octet.
    pub fn u8(&mut self, value: u8) {
        self.octets().put_u8(value);
    }

    /// Encodes a short.
    pub fn u16(&mut self, value: u16) {
        self.octets().put_u16(value);
    }

    /// Encodes a long.
    pub fn u32(&mut self, value: u32) {
        self.octets().put_u32(value);
    }

    /// Encodes a long-long.
    pub fn u64(&mut self, value: u64) {
        self.octets().put_u64(value);
    }

    /// Encodes a bit.
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

    /// Encodes a short string.
    pub fn short_str(&mut self, value: &ShortStr) {
        self.u8(value.len() as u8);
        self.octets().put_slice(value.as_bytes());
    }

    /// Encodes a long string.
    pub fn long_str(&mut self, value: &[u8]) {
        self.u32(value.len() as u32);
        self.octets().put_slice(value);
    }

    /// Encodes the values that `write` adds, preceded by their length in four octets.
    fn nested(&mut self, write: impl FnOnce(&mut Self)) {
        self.u32(0);
        let start = self.output.len();
        write(self);
        let length = (self.output.len() - start) as u32;
        self.output[start - 4..start].copy_from_slice(&length.to_be_bytes());
        self.bits = None;
    }

    /// Encodes a field table.
    pub fn table(&mut self, table: &FieldTable) {
        self.nested(|writer| {
            for (name, value) in table.iter() {
                writer.short_str(name);
                writer.value(value);
            }
        });
    }

    /// Encodes a field value with its type octet.
    pub fn value(&mut self, value: &FieldValue) {
        self.u8(type_octet(value));
        match value {
            FieldValue::Bool(value) => self.u8(u8::from(*value)),
            FieldValue::I8(value) => self.octets().put_i8(*value),
            FieldValue::U8(value) => self.u8(*value),
            FieldValue::I16(value) => self.octets().put_i16(*value),
            FieldValue::U16(value) => self.u16(*value),
            FieldValue::I32(value) => self.octets().put_i32(*value),
            FieldValue::U32(value) => self.u32(*value),
            FieldValue::I64(value) => self.octets().put_i64(*value),
            FieldValue::F32(value) => self.octets().put_f32(*value),
            FieldValue::F64(value) => self.octets().put_f64(*value),
            FieldValue::Decimal { scale, value } => {
                self.u8(*scale);
                self.octets().put_i32(*value);
            }
            FieldValue::LongStr(bytes) | FieldValue::Bytes(bytes) => self.long_str(bytes),
            FieldValue::Timestamp(seconds) => self.u64(*seconds),
            FieldValue::Array(values) => {
                self.nested(|writer| values.iter().for_each(|value| writer.value(value)));
            }
            FieldValue::Table(table) => self.table(table),
            FieldValue::Void => {}
        }
    }
}

/// The octet that precedes a value in tables and arrays and identifies its type.
fn type_octet(value: &FieldValue) -> u8 {
    match value {
        FieldValue::Bool(_) => b't',
        FieldValue::I8(_) => b'b',
        FieldValue::U8(_) => b'B',
        FieldValue::I16(_) => b's',
        FieldValue::U16(_) => b'u',
        FieldValue::I32(_) => b'I',
        FieldValue::U32(_) => b'i',
        FieldValue::I64(_) => b'l',
        FieldValue::F32(_) => b'f',
        FieldValue::F64(_) => b'd',
        FieldValue::Decimal { .. } => b'D',
        FieldValue::LongStr(_) => b'S',
        FieldValue::Bytes(_) => b'x',
        FieldValue::Timestamp(_) => b'T',
        FieldValue::Array(_) => b'A',
        FieldValue::Table(_) => b'F',
        FieldValue::Void => b'V',
    }
}

/// A type of the arguments of methods.
pub trait Argument: Sized {
    /// Decodes an argument of this type.
    ///
    /// # Errors
    /// The argument is truncated or malformed.
    fn read(reader: &mut Reader<'_>) -> Result<Self, SyntaxError>;
    /// Encodes an argument of this type.
    fn write(&self, writer: &mut Writer<'_>);
}

macro_rules! arguments {
    ($($ty:ty: $name:ident, $write:expr;)*) => {
        $(impl Argument for $ty {
            fn read(reader: &mut Reader<'_>) -> Result<Self, SyntaxError> {
                reader.$name()
            }
            fn write(&self, writer: &mut Writer<'_>) {
                let write: fn(&$ty, &mut Writer<'_>) = $write;
                write(self, writer);
            }
        })*
    };
}

arguments! {
    u8: u8, |value, writer| writer.u8(*value);
    u16: u16, |value, writer| writer.u16(*value);
    u32: u32, |value, writer| writer.u32(*value);
    u64: u64, |value, writer| writer.u64(*value);
    bool: bit, |value, writer| writer.bit(*value);
    ShortStr: short_str, |value, writer| writer.short_str(value);
    Bytes: long_str, |value, writer| writer.long_str(value);
    FieldTable: table, |value, writer| writer.table(value);
}
