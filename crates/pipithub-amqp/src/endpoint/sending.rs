//! Opening and closing of channels, and sending of methods and contents.

use bytes::Bytes;

use super::channels::Channel;
use super::{Endpoint, Event, Role, SendError, State};
use crate::frame::{Frame, OVERHEAD, Payload};
use crate::method::{CONNECTION_CLASS, Method, Sender};
use crate::properties::Properties;
use crate::reply::Fault;
use crate::value::ShortStr;

impl Endpoint {
    /// Closes a channel: sends `channel.close` and reports [`Event::ChannelClosed`]. Does nothing if the channel is not
    /// open.
    pub fn close_channel(&mut self, channel: u16, fault: Fault) {
        if let Some(state @ (Channel::Open { .. } | Channel::Opening)) =
            self.channels.get_mut(&channel)
        {
            *state = Channel::Closing;
            self.write(
                channel,
                Method::ChannelClose {
                    reply_code: fault.code,
                    reply_text: ShortStr::truncated(&fault.text),
                    class_id: fault.class_id,
                    method_id: fault.method_id,
                },
            );
            self.events.push_back(Event::ChannelClosed {
                channel,
                fault,
                by_peer: false,
            });
        }
    }

    /// Client: opens a channel and returns its number. It may be used after [`Event::ChannelOpened`].
    ///
    /// # Errors
    /// [`SendError::NotOpen`] if the connection is not open or this is the server's end, [`SendError::NoFreeChannel`]
    /// if all numbers are in use.
    pub fn open_channel(&mut self) -> Result<u16, SendError> {
        if self.state != State::Open || self.role != Role::Client {
            return Err(SendError::NotOpen);
        }
        let channel_max = if self.tuning.channel_max == 0 {
            u16::MAX
        } else {
            self.tuning.channel_max
        };
        let channel = (1..=channel_max)
            .find(|number| !self.channels.contains_key(number))
            .ok_or(SendError::NoFreeChannel)?;
        self.channels.insert(channel, Channel::Opening);
        self.write(channel, Method::ChannelOpen {});
        Ok(channel)
    }

    /// Sends a method without content.
    ///
    /// # Errors
    /// The connection or channel is not open, or this end may not send the method in this way.
    pub fn send(&mut self, channel: u16, method: Method) -> Result<(), SendError> {
        self.check_sendable(channel, &method, false)?;
        self.write(channel, method);
        Ok(())
    }

    /// Sends a method with its content, whose body is split into frames of the negotiated size.
    ///
    /// # Errors
    /// The connection or channel is not open, this end may not send the method in this way, or the properties do not fit
    /// a frame of the negotiated size. Then nothing is sent.
    pub fn send_content(
        &mut self,
        channel: u16,
        method: Method,
        properties: Properties,
        body: &[u8],
    ) -> Result<(), SendError> {
        self.check_sendable(channel, &method, true)?;
        let header = Payload::Header {
            class_id: method.id().class_id,
            body_size: body.len() as u64,
            properties: Box::new(properties),
        };
        let start = self.output.len();
        self.write(channel, method);
        let header_start = self.output.len();
        self.write_payload(channel, header);
        let (bytes, max) = (
            self.output.len() - header_start,
            self.tuning.frame_max as usize,
        );
        if bytes > max {
            self.output.truncate(start);
            return Err(SendError::HeaderTooLarge { bytes, max });
        }
        for part in body.chunks(self.tuning.frame_max as usize - OVERHEAD) {
            self.write_payload(channel, Payload::Body(Bytes::copy_from_slice(part)));
        }
        Ok(())
    }

    fn check_sendable(
        &self,
        channel: u16,
        method: &Method,
        has_content: bool,
    ) -> Result<(), SendError> {
        let may_send = match method.sender() {
            Sender::Both => true,
            Sender::Client => self.role == Role::Client,
            Sender::Server => self.role == Role::Server,
        };
        if !may_send || method.has_content() != has_content {
            return Err(SendError::Misused(method.name()));
        }
        match (self.state, channel) {
            (State::Open, 0) if method.id().class_id == CONNECTION_CLASS => Ok(()),
            (State::Open, 0) => Err(SendError::NoChannel(0)),
            (State::Open, _)
                if matches!(self.channels.get(&channel), Some(Channel::Open { .. })) =>
            {
                Ok(())
            }
            (State::Open, _) => Err(SendError::NoChannel(channel)),
            _ => Err(SendError::NotOpen),
        }
    }

    pub(super) fn write(&mut self, channel: u16, method: Method) {
        self.write_payload(channel, Payload::Method(method));
    }

    pub(super) fn write_payload(&mut self, channel: u16, payload: Payload) {
        Frame { channel, payload }.write(&mut self.output);
    }
}
