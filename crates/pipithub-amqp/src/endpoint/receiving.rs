//! Received bytes: decodes the protocol header and the frames, and dispatches them.

use super::channels::ContentHeader;
use super::{Endpoint, Role, State};
use crate::frame::{Frame, Payload};
use crate::method::{CONNECTION_CLASS, Method, Sender};
use crate::reply::{Code, Fault};
use crate::{PROTOCOL_HEADER, Time};

/// The first bytes of the protocol header of every version.
const PROTOCOL_NAME: &[u8] = b"AMQP";

impl Endpoint {
    /// Handles bytes from the peer. The resulting events are returned by [`Endpoint::poll_event`].
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
        if self.state == State::AwaitingStart && self.decoder.could_begin_with(PROTOCOL_NAME) {
            return self.receive_other_version();
        }
        while self.state != State::Closed {
            match self.decoder.next_frame() {
                Ok(Some(frame)) => {
                    if let Err(fault) = self.receive_frame(frame) {
                        self.close(fault);
                    }
                }
                Ok(None) => return,
                Err(_) if self.state == State::Closing => self.state = State::Closed,
                Err(fault) => {
                    // The boundaries of later frames are unknown, so `close-ok` is not awaited.
                    self.close(fault);
                    self.state = State::Closed;
                }
            }
        }
    }

    /// Server: handles the protocol header. Returns false if more bytes are needed or the header is another one.
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
        self.send_start();
        true
    }

    /// Client: handles the answer of a server that uses another version, which is a protocol header and no frame.
    fn receive_other_version(&mut self) {
        if self.decoder.take_raw(PROTOCOL_HEADER.len()).is_some() {
            self.finish(
                Fault::new(Code::NotImplemented, "the server does not speak AMQP 0-9-1"),
                true,
            );
        }
    }

    fn receive_frame(&mut self, frame: Frame) -> Result<(), Fault> {
        let Frame { channel, payload } = frame;
        if self.state == State::Closing {
            self.receive_while_closing(&payload);
            return Ok(());
        }
        match payload {
            Payload::Heartbeat => Ok(()),
            Payload::Method(method) => self.receive_method(channel, method),
            Payload::Header {
                class_id,
                body_size,
                properties,
            } => {
                let header = ContentHeader {
                    body_size,
                    properties: *properties,
                };
                self.receive_content_header(channel, class_id, header)
            }
            Payload::Body(bytes) => self.receive_content_body(channel, &bytes),
        }
    }

    /// Handles a frame after `close` was sent: all but `close` and `close-ok` are ignored.
    fn receive_while_closing(&mut self, payload: &Payload) {
        match payload {
            Payload::Method(Method::ConnectionClose { .. }) => {
                self.write(0, Method::ConnectionCloseOk {});
                self.state = State::Closed;
            }
            Payload::Method(Method::ConnectionCloseOk {}) => self.state = State::Closed,
            _ => {}
        }
    }

    fn receive_method(&mut self, channel: u16, method: Method) -> Result<(), Fault> {
        let invalid = |text| Err(Fault::new(Code::CommandInvalid, text).caused_by(&method));
        let peer_may_send = match method.sender() {
            Sender::Both => true,
            Sender::Client => self.role == Role::Server,
            Sender::Server => self.role == Role::Client,
        };
        if !peer_may_send {
            return invalid(format!("{} may not come from this end", method.name()));
        }
        match (channel, method.id().class_id) {
            (0, CONNECTION_CLASS) => self.handle_connection_method(method),
            (0, _) | (_, CONNECTION_CLASS) => {
                invalid(format!("{} on channel {channel}", method.name()))
            }
            _ if self.state != State::Open => {
                invalid(format!("{} before the connection is open", method.name()))
            }
            _ => self.handle_channel_method(channel, method),
        }
    }
}
