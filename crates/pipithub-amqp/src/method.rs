//! All methods of the specification with their arguments, and those of the extensions in use (`confirm`,
//! `connection.blocked`, `basic.nack` and others).

use bytes::Bytes;

use crate::value::{FieldTable, ShortStr};
use crate::wire::{Argument, Reader, SyntaxError, Writer};

/// The end of a connection that may send a method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Only the client.
    Client,
    /// Only the server.
    Server,
    /// The client and the server.
    Both,
}

/// Why the payload of a method frame could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MethodError {
    /// There is no method with this class and number.
    #[error("no method {} in class {}", .0.method_id, .0.class_id)]
    Unknown(MethodId),
    /// The arguments could not be decoded.
    #[error("{error} in method {method}")]
    Syntax {
        /// Name of the method, or `header` where its numbers are truncated.
        method: &'static str,
        /// The error in its arguments.
        error: SyntaxError,
    },
}

/// Class of the methods that concern the connection itself, which are sent on channel 0.
pub const CONNECTION_CLASS: u16 = 10;

/// The numbers that identify a method on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MethodId {
    /// Number of the class.
    pub class_id: u16,
    /// Number of the method within its class.
    pub method_id: u16,
}

/// Properties of a method that do not depend on its arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MethodInfo {
    /// The numbers that identify it on the wire.
    pub id: MethodId,
    /// The name in the specification, such as `basic.publish`.
    pub name: &'static str,
    /// The end that may send it.
    pub sender: Sender,
    /// Whether a content header and body follow it.
    pub has_content: bool,
}

macro_rules! methods {
    ($($(#[$doc:meta])* $name:ident $class:literal $id:literal $text:literal $sender:ident $content:literal
        [$($lead:ty),*] { $($field:ident: $ty:ty),* } [$($trail:ty),*];)*) => {
        /// A method with its arguments, named as in the specification. Reserved arguments are omitted: they are ignored
        /// when decoded and written as empty values.
        #[derive(Clone, Debug, PartialEq)]
        #[allow(missing_docs)]
        pub enum Method {
            $($(#[$doc])* $name { $($field: $ty),* },)*
        }

        impl Method {
            /// All methods.
            pub const ALL: &'static [MethodInfo] = &[$(MethodInfo {
                id: MethodId { class_id: $class, method_id: $id },
                name: $text,
                sender: Sender::$sender,
                has_content: $content,
            }),*];

            /// The numbers that identify the method on the wire.
            pub fn id(&self) -> MethodId {
                match self {
                    $(Method::$name { .. } => MethodId { class_id: $class, method_id: $id },)*
                }
            }

            /// The name in the specification, such as `basic.publish`.
            pub fn name(&self) -> &'static str {
                match self { $(Method::$name { .. } => $text,)* }
            }

            /// The end that may send the method.
            pub fn sender(&self) -> Sender {
                match self { $(Method::$name { .. } => Sender::$sender,)* }
            }

            /// Whether a content header and body follow the method.
            pub fn has_content(&self) -> bool {
                match self { $(Method::$name { .. } => $content,)* }
            }

            /// Decodes the payload of a method frame.
            ///
            /// # Errors
            /// The method is unknown, or its arguments are malformed or followed by further bytes.
            pub fn read(payload: &[u8]) -> Result<Self, MethodError> {
                let mut reader = Reader::new(payload);
                let syntax = |method, error| MethodError::Syntax { method, error };
                let class_id = reader.u16().map_err(|error| syntax("header", error))?;
                let method_id = reader.u16().map_err(|error| syntax("header", error))?;
                match (class_id, method_id) {
                    $(($class, $id) => {
                        let reader = &mut reader;
                        let body = |reader: &mut Reader<'_>| -> Result<Self, SyntaxError> {
                            $(let _: $lead = Argument::read(reader)?;)*
                            $(let $field: $ty = Argument::read(reader)?;)*
                            $(let _: $trail = Argument::read(reader)?;)*
                            reader.finish()?;
                            Ok(Method::$name { $($field),* })
                        };
                        body(reader).map_err(|error| syntax($text, error))
                    })*
                    _ => Err(MethodError::Unknown(MethodId { class_id, method_id })),
                }
            }

            /// Encodes the payload of a method frame.
            pub fn write(&self, writer: &mut Writer<'_>) {
                let id = self.id();
                writer.u16(id.class_id);
                writer.u16(id.method_id);
                match self {
                    $(Method::$name { $($field),* } => {
                        $(<$lead as Default>::default().write(writer);)*
                        $($field.write(writer);)*
                        $(<$trail as Default>::default().write(writer);)*
                    })*
                }
            }
        }
    };
}

methods! {
    ConnectionStart 10 10 "connection.start" Server false [] {
        version_major: u8, version_minor: u8, server_properties: FieldTable, mechanisms: Bytes, locales: Bytes } [];
    ConnectionStartOk 10 11 "connection.start-ok" Client false [] {
        client_properties: FieldTable, mechanism: ShortStr, response: Bytes, locale: ShortStr } [];
    ConnectionSecure 10 20 "connection.secure" Server false [] { challenge: Bytes } [];
    ConnectionSecureOk 10 21 "connection.secure-ok" Client false [] { response: Bytes } [];
    ConnectionTune 10 30 "connection.tune" Server false [] {
        channel_max: u16, frame_max: u32, heartbeat: u16 } [];
    ConnectionTuneOk 10 31 "connection.tune-ok" Client false [] {
        channel_max: u16, frame_max: u32, heartbeat: u16 } [];
    ConnectionOpen 10 40 "connection.open" Client false [] { virtual_host: ShortStr } [ShortStr, bool];
    ConnectionOpenOk 10 41 "connection.open-ok" Server false [] {} [ShortStr];
    ConnectionClose 10 50 "connection.close" Both false [] {
        reply_code: u16, reply_text: ShortStr, class_id: u16, method_id: u16 } [];
    ConnectionCloseOk 10 51 "connection.close-ok" Both false [] {} [];
    ConnectionBlocked 10 60 "connection.blocked" Server false [] { reason: ShortStr } [];
    ConnectionUnblocked 10 61 "connection.unblocked" Server false [] {} [];
    ConnectionUpdateSecret 10 70 "connection.update-secret" Client false [] {
        new_secret: Bytes, reason: ShortStr } [];
    ConnectionUpdateSecretOk 10 71 "connection.update-secret-ok" Server false [] {} [];

    ChannelOpen 20 10 "channel.open" Client false [] {} [ShortStr];
    ChannelOpenOk 20 11 "channel.open-ok" Server false [] {} [Bytes];
    ChannelFlow 20 20 "channel.flow" Both false [] { active: bool } [];
    ChannelFlowOk 20 21 "channel.flow-ok" Both false [] { active: bool } [];
    ChannelClose 20 40 "channel.close" Both false [] {
        reply_code: u16, reply_text: ShortStr, class_id: u16, method_id: u16 } [];
    ChannelCloseOk 20 41 "channel.close-ok" Both false [] {} [];

    ExchangeDeclare 40 10 "exchange.declare" Client false [u16] {
        exchange: ShortStr, kind: ShortStr, passive: bool, durable: bool, auto_delete: bool, internal: bool,
        no_wait: bool, arguments: FieldTable } [];
    ExchangeDeclareOk 40 11 "exchange.declare-ok" Server false [] {} [];
    ExchangeDelete 40 20 "exchange.delete" Client false [u16] {
        exchange: ShortStr, if_unused: bool, no_wait: bool } [];
    ExchangeDeleteOk 40 21 "exchange.delete-ok" Server false [] {} [];
    ExchangeBind 40 30 "exchange.bind" Client false [u16] {
        destination: ShortStr, source: ShortStr, routing_key: ShortStr, no_wait: bool,
        arguments: FieldTable } [];
    ExchangeBindOk 40 31 "exchange.bind-ok" Server false [] {} [];
    ExchangeUnbind 40 40 "exchange.unbind" Client false [u16] {
        destination: ShortStr, source: ShortStr, routing_key: ShortStr, no_wait: bool,
        arguments: FieldTable } [];
    ExchangeUnbindOk 40 51 "exchange.unbind-ok" Server false [] {} [];

    QueueDeclare 50 10 "queue.declare" Client false [u16] {
        queue: ShortStr, passive: bool, durable: bool, exclusive: bool, auto_delete: bool, no_wait: bool,
        arguments: FieldTable } [];
    QueueDeclareOk 50 11 "queue.declare-ok" Server false [] {
        queue: ShortStr, message_count: u32, consumer_count: u32 } [];
    QueueBind 50 20 "queue.bind" Client false [u16] {
        queue: ShortStr, exchange: ShortStr, routing_key: ShortStr, no_wait: bool, arguments: FieldTable } [];
    QueueBindOk 50 21 "queue.bind-ok" Server false [] {} [];
    QueuePurge 50 30 "queue.purge" Client false [u16] { queue: ShortStr, no_wait: bool } [];
    QueuePurgeOk 50 31 "queue.purge-ok" Server false [] { message_count: u32 } [];
    QueueDelete 50 40 "queue.delete" Client false [u16] {
        queue: ShortStr, if_unused: bool, if_empty: bool, no_wait: bool } [];
    QueueDeleteOk 50 41 "queue.delete-ok" Server false [] { message_count: u32 } [];
    QueueUnbind 50 50 "queue.unbind" Client false [u16] {
        queue: ShortStr, exchange: ShortStr, routing_key: ShortStr, arguments: FieldTable } [];
    QueueUnbindOk 50 51 "queue.unbind-ok" Server false [] {} [];

    BasicQos 60 10 "basic.qos" Client false [] { prefetch_size: u32, prefetch_count: u16, global: bool } [];
    BasicQosOk 60 11 "basic.qos-ok" Server false [] {} [];
    BasicConsume 60 20 "basic.consume" Client false [u16] {
        queue: ShortStr, consumer_tag: ShortStr, no_local: bool, no_ack: bool, exclusive: bool, no_wait: bool,
        arguments: FieldTable } [];
    BasicConsumeOk 60 21 "basic.consume-ok" Server false [] { consumer_tag: ShortStr } [];
    BasicCancel 60 30 "basic.cancel" Both false [] { consumer_tag: ShortStr, no_wait: bool } [];
    BasicCancelOk 60 31 "basic.cancel-ok" Both false [] { consumer_tag: ShortStr } [];
    BasicPublish 60 40 "basic.publish" Client true [u16] {
        exchange: ShortStr, routing_key: ShortStr, mandatory: bool, immediate: bool } [];
    BasicReturn 60 50 "basic.return" Server true [] {
        reply_code: u16, reply_text: ShortStr, exchange: ShortStr, routing_key: ShortStr } [];
    BasicDeliver 60 60 "basic.deliver" Server true [] {
        consumer_tag: ShortStr, delivery_tag: u64, redelivered: bool, exchange: ShortStr,
        routing_key: ShortStr } [];
    BasicGet 60 70 "basic.get" Client false [u16] { queue: ShortStr, no_ack: bool } [];
    BasicGetOk 60 71 "basic.get-ok" Server true [] {
        delivery_tag: u64, redelivered: bool, exchange: ShortStr, routing_key: ShortStr,
        message_count: u32 } [];
    BasicGetEmpty 60 72 "basic.get-empty" Server false [] {} [ShortStr];
    BasicAck 60 80 "basic.ack" Both false [] { delivery_tag: u64, multiple: bool } [];
    BasicReject 60 90 "basic.reject" Client false [] { delivery_tag: u64, requeue: bool } [];
    BasicRecoverAsync 60 100 "basic.recover-async" Client false [] { requeue: bool } [];
    BasicRecover 60 110 "basic.recover" Client false [] { requeue: bool } [];
    BasicRecoverOk 60 111 "basic.recover-ok" Server false [] {} [];
    BasicNack 60 120 "basic.nack" Both false [] { delivery_tag: u64, multiple: bool, requeue: bool } [];

    TxSelect 90 10 "tx.select" Client false [] {} [];
    TxSelectOk 90 11 "tx.select-ok" Server false [] {} [];
    TxCommit 90 20 "tx.commit" Client false [] {} [];
    TxCommitOk 90 21 "tx.commit-ok" Server false [] {} [];
    TxRollback 90 30 "tx.rollback" Client false [] {} [];
    TxRollbackOk 90 31 "tx.rollback-ok" Server false [] {} [];

    ConfirmSelect 85 10 "confirm.select" Client false [] { no_wait: bool } [];
    ConfirmSelectOk 85 11 "confirm.select-ok" Server false [] {} [];
}
