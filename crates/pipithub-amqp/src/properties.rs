//! The properties of a content header (specification 2.3.5.2, class `basic`).

use crate::value::{FieldTable, ShortStr};
use crate::wire::{Reader, SyntaxError, Writer};

macro_rules! properties {
    ($($(#[$doc:meta])* $bit:literal $name:ident: $ty:ty = $read:ident, $write:expr;)*) => {
        /// All properties of class `basic`; each may be absent.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Properties {
            $($(#[$doc])* pub $name: Option<$ty>,)*
        }

        impl Properties {
            /// Reads the flags and the properties that they name. Further flag words are read and must be empty.
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

            /// Writes the flags and the properties that are present.
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
    /// MIME type.
    15 content_type: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// MIME encoding.
    14 content_encoding: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// The headers of the application.
    13 headers: FieldTable = table, |writer, value| writer.table(value);
    /// 1: transient; 2: persistent.
    12 delivery_mode: u8 = u8, |writer, value| writer.u8(*value);
    /// The priority, 0 to 9.
    11 priority: u8 = u8, |writer, value| writer.u8(*value);
    /// Correlates a reply with its request.
    10 correlation_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// The queue for replies.
    9 reply_to: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Time to live, in milliseconds, as a text.
    8 expiration: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// The identifier that the application gave the message.
    7 message_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Seconds since 1970.
    6 timestamp: u64 = u64, |writer, value| writer.u64(*value);
    /// The application's name for the type of the message (`type` in the specification).
    5 kind: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// The user that published the message; a broker checks it.
    4 user_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// The application that published the message.
    3 app_id: ShortStr = short_str, |writer, value| writer.short_str(value);
    /// Deprecated by the specification.
    2 cluster_id: ShortStr = short_str, |writer, value| writer.short_str(value);
}
