//! Opening and closing channels, and sending methods and contents.

use bytes::Bytes;

use super::channels::Channel;
use super::{Endpoint, Event, Role, SendError, State};
use crate::frame::{Frame, OVERHEAD, Payload};
use crate::method::{Method, Sender};
use crate::properties::Properties;
use crate::reply::Fault;
use crate::value::ShortStr;

impl Endpoint {
    /// Ends a channel from this end.
    pub fn close_channel(&mut self, channel: u16, fault: Fault) {
        if let Some(state @ (Channel::Open { .. } | Channel::Opening)) =
            self.channels.get_mut(&channel)
        {
            *state = Channel::Closing;
            let method = Method::ChannelClose {
                reply_code: fault.code,
                reply_text: ShortStr::truncated(&fault.text),
                class_id: fault.class_id,
                method_id: fault.method_id,
            };
            self.write(channel, method);
            self.events.push_back(Event::ChannelClosed {
                channel,
                fault,
                by_peer: false,
            });
        }
    }

    /// Client: opens a channel; [`Event::ChannelOpened`] follows.
    pub fn open_channel(&mut self) -> Result<u16, SendError> {
        if self.state != State::Open || self.role != Role::Client {
            return Err(SendError::NotOpen);
        }
        let max = if self.tuning.channel_max == 0 {
            u16::MAX
        } else {
            self.tuning.channel_max
        };
        let free = (1..=max)
            .find(|c| !self.channels.contains_key(c))
            .ok_or(SendError::NoFreeChannel)?;
        self.channels.insert(free, Channel::Opening);
        self.write(free, Method::ChannelOpen {});
        Ok(free)
    }

    /// Sends a method without content.
    pub fn send(&mut self, channel: u16, method: Method) -> Result<(), SendError> {
        self.check_sendable(channel, &method, false)?;
        self.write(channel, method);
        Ok(())
    }

    /// Sends a method with its content, cut into frames of the negotiated size.
    pub fn send_content(
        &mut self,
        channel: u16,
        method: Method,
        properties: Properties,
        body: &[u8],
    ) -> Result<(), SendError> {
        self.check_sendable(channel, &method, true)?;
        let (class_id, _) = method.ids();
        self.write(channel, method);
        let header = Payload::Header {
            class_id,
            body_size: body.len() as u64,
            properties: Box::new(properties),
        };
        Frame {
            channel,
            payload: header,
        }
        .write(&mut self.output);
        for part in body.chunks(self.tuning.frame_max as usize - OVERHEAD) {
            Frame {
                channel,
                payload: Payload::Body(Bytes::copy_from_slice(part)),
            }
            .write(&mut self.output);
        }
        Ok(())
    }

    fn check_sendable(
        &self,
        channel: u16,
        method: &Method,
        content: bool,
    ) -> Result<(), SendError> {
        let ours = match method.sender() {
            Sender::Both => true,
            Sender::Client => self.role == Role::Client,
            Sender::Server => self.role == Role::Server,
        };
        if !ours || method.has_content() != content {
            return Err(SendError::Misused(method.name()));
        }
        match (self.state, channel) {
            (State::Open, 0) if method.ids().0 == 10 => Ok(()),
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
        Frame {
            channel,
            payload: Payload::Method(method),
        }
        .write(&mut self.output);
    }
}
