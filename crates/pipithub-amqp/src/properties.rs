//! The properties in a content header (specification 2.3.5.2, class `basic`).

use crate::value::{FieldTable, ShortStr};
use crate::wire::{Reader, SyntaxError, Writer};

macro_rules! properties {
    ($($(#[$doc:meta])* $bit:literal $name:ident: $ty:ty = $read:ident, $write:expr;)*) => {
        /// The properties of a message; each may be absent.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Properties {
            $($(#[$doc])* pub $name: Option<$ty>,)*
        }

        impl Properties {
            /// Decodes the flags and the properties that they announce. Flags in further words are ignored.
            ///
            /// # Errors
            /// A property is truncated or malformed.
            pub fn read(reader: &mut Reader<'_>) -> Result<Self, SyntaxError> {
                let flags = reader.u16()?;
                let mut more = flags & 1 == 1;
                while more {
                    more = reader.u16()? & 1 == 1;
                }
                Ok(Properties {
                    $($name: if flags >> $bit & 1 == 1 { Some(reader.$read()?) } else { None },)*
                })
            }

            /// Encodes the flags and the properties that are present.
            pub fn write(&self, writer: &mut Writer<'_>) {
                let mut flags = 0u16;
                $(if self.$name.is_some() { flags |= 1 << $bit; })*
                writer.u16(flags);
                $(if let Some(value) = &self.$name {
                    let write: fn(&mut Writer<'_>, &$ty) = $write;
                    write(writer, value);
                })*
            }
        }
    };
}

properties! {
    /// MIME type of the body.
    15 content_type: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// MIME encoding of the body.
    14 content_encoding: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Headers of the application.
    13 headers: FieldTable = table, |writer, value| writer.table(value);
    /// 1 for transient messages, 2 for persistent ones.
    12 delivery_mode: u8 = u8, |writer, value| writer.u8(*value);
    /// Priority, from 0 (lowest) to 9.
    11 priority: u8 = u8, |writer, value| writer.u8(*value);
    /// Identifies the request that a reply belongs to.
    10 correlation_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Name of the queue for replies.
    9 reply_to: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Time to live in milliseconds, as decimal digits.
    8 expiration: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Identifier of the message, given by the application.
    7 message_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// When the message was sent, in Unix seconds.
    6 timestamp: u64 = u64, |writer, value| writer.u64(*value);
    /// Type of the message, given by the application (`type` in the specification).
    5 kind: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// User that published the message. The broker checks that it is the user of the connection.
    4 user_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Identifier of the application that published the message.
    3 app_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Deprecated by the specification.
    2 cluster_id: ShortStr = short_str, |writer, value| writer.short_str(value);
}
