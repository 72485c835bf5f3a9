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
            pub fn read(r: &mut Reader<'_>) -> Result<Self, SyntaxError> {
                let flags = r.u16()?;
                let mut more = flags & 1 == 1;
                while more {
                    more = r.u16()? & 1 == 1;
                }
                Ok(Properties {
                    $($name: if flags >> $bit & 1 == 1 { Some(r.$read()?) } else { None },)*
                })
            }

            /// Writes the flags and the properties that are present.
            pub fn write(&self, w: &mut Writer<'_>) {
                let mut flags = 0u16;
                $(if self.$name.is_some() { flags |= 1 << $bit; })*
                w.u16(flags);
                $(if let Some(value) = &self.$name {
                    let write: fn(&mut Writer<'_>, &$ty) = $write;
                    write(w, value);
                })*
            }
        }
    };
}

properties! {
    /// MIME type.
    15 content_type: ShortStr = short_str, |w, v| w.short_str(v);
    /// MIME encoding.
    14 content_encoding: ShortStr = short_str, |w, v| w.short_str(v);
    /// Headers of the application.
    13 headers: FieldTable = table, |w, v| w.table(v);
    /// 1 transient, 2 persistent.
    12 delivery_mode: u8 = u8, |w, v| w.u8(*v);
    /// 0 to 9.
    11 priority: u8 = u8, |w, v| w.u8(*v);
    /// Ties an answer to its question.
    10 correlation_id: ShortStr = short_str, |w, v| w.short_str(v);
    /// The queue that an answer goes to.
    9 reply_to: ShortStr = short_str, |w, v| w.short_str(v);
    /// Time to live, in milliseconds, as a text.
    8 expiration: ShortStr = short_str, |w, v| w.short_str(v);
    /// The application's id of the message.
    7 message_id: ShortStr = short_str, |w, v| w.short_str(v);
    /// Seconds since 1970.
    6 timestamp: u64 = u64, |w, v| w.u64(*v);
    /// The name of the message's type.
    5 kind: ShortStr = short_str, |w, v| w.short_str(v);
    /// The user that published it; a broker checks it.
    4 user_id: ShortStr = short_str, |w, v| w.short_str(v);
    /// The application that published it.
    3 app_id: ShortStr = short_str, |w, v| w.short_str(v);
    /// Not used any more.
    2 cluster_id: ShortStr = short_str, |w, v| w.short_str(v);
}
