//! What the peer sends: bytes, the protocol header, frames, and which part of the state machine each goes to.

use bytes::Bytes;

use super::{Endpoint, Role, State};
use crate::frame::{Frame, Payload};
use crate::method::{Method, Sender};
use crate::reply::{Code, Fault};
use crate::value::{FieldTable, FieldValue};
use crate::{PROTOCOL_HEADER, Time};

impl Endpoint {
    /// Takes bytes as they came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.now = now;
        self.last_received = now;
        if self.state == State::Closed {
            return;
        }
        self.decoder.push(bytes);
        if self.state == State::AwaitingHeader && !self.receive_protocol_header() {
            return;
        }
        if self.state == State::AwaitingStart && self.decoder.could_begin_with(b"AMQP") {
            // A server that speaks another version answers with its own header.
            if self.decoder.take_raw(8).is_some() {
                self.finish(
                    Fault::new(Code::NotImplemented, "the server does not speak AMQP 0-9-1"),
                    true,
                );
            }
            return;
        }
        while self.state != State::Closed {
            match self.decoder.next_frame() {
                Ok(Some(frame)) => {
                    if let Err(fault) = self.receive_frame(frame) {
                        self.close(fault);
                    }
                }
                Ok(None) => return,
                Err(_) if self.state == State::Closing => return self.state = State::Closed,
                Err(fault) => {
                    // What follows cannot be read: the close goes out, nothing more is taken in.
                    self.close(fault);
                    self.state = State::Closed;
                }
            }
        }
    }

    /// Reads the protocol header; false where more bytes are needed or it was wrong.
    fn receive_protocol_header(&mut self) -> bool {
        if !self.decoder.could_begin_with(&PROTOCOL_HEADER) {
            self.output.extend_from_slice(&PROTOCOL_HEADER);
            self.finish(
                Fault::new(Code::NotImplemented, "unknown protocol header"),
                false,
            );
            return false;
        }
        if self.decoder.take_raw(PROTOCOL_HEADER.len()).is_none() {
            return false;
        }
        let capabilities = [
            "basic.nack",
            "publisher_confirms",
            "connection.blocked",
            "consumer_cancel_notify",
        ]
        .iter()
        .fold(FieldTable::new(), |table, name| {
            table.with(name, FieldValue::Bool(true))
        });
        self.write(
            0,
            Method::ConnectionStart {
                version_major: 0,
                version_minor: 9,
                server_properties: FieldTable::new()
                    .with("product", "pipithub stand-in")
                    .with("capabilities", FieldValue::Table(capabilities)),
                mechanisms: Bytes::from_static(b"PLAIN"),
                locales: Bytes::from_static(b"en_US"),
            },
        );
        self.state = State::AwaitingStartOk;
        true
    }

    fn receive_frame(&mut self, frame: Frame) -> Result<(), Fault> {
        let Frame { channel, payload } = frame;
        if self.state == State::Closing {
            match payload {
                Payload::Method(Method::ConnectionClose { .. }) => {
                    self.write(0, Method::ConnectionCloseOk {});
                    self.state = State::Closed;
                }
                Payload::Method(Method::ConnectionCloseOk {}) => self.state = State::Closed,
                _ => {}
            }
            return Ok(());
        }
        match payload {
            Payload::Heartbeat => Ok(()),
            Payload::Method(method) => {
                let theirs = match method.sender() {
                    Sender::Both => true,
                    Sender::Client => self.role == Role::Server,
                    Sender::Server => self.role == Role::Client,
                };
                if !theirs {
                    let text = format!("{} may not come from this end", method.name());
                    return Err(Fault::new(Code::CommandInvalid, text).caused_by(&method));
                }
                match (channel, method.ids().0) {
                    (0, 10) => self.handle_connection_method(method),
                    (0, _) | (_, 10) => {
                        let text = format!("{} on channel {channel}", method.name());
                        Err(Fault::new(Code::CommandInvalid, text).caused_by(&method))
                    }
                    _ if self.state != State::Open => {
                        let text = format!("{} before the connection is open", method.name());
                        Err(Fault::new(Code::CommandInvalid, text).caused_by(&method))
                    }
                    _ => self.handle_channel_method(channel, method),
                }
            }
            Payload::Header {
                class_id,
                body_size,
                properties,
            } => self.receive_content_header(channel, class_id, body_size, *properties),
            Payload::Body(bytes) => self.receive_content_body(channel, &bytes),
        }
    }
}
