//! Methods and contents that the peer sends on channels (specification 2.3.5 and 4.2.6).

use bytes::BytesMut;

use super::{Content, Endpoint, Event};
use crate::method::Method;
use crate::properties::Properties;
use crate::reply::{Code, Fault};

/// The content of a header frame, except for the class of its method.
#[derive(Debug)]
pub(super) struct ContentHeader {
    pub(super) body_size: u64,
    pub(super) properties: Properties,
}

/// A method whose content has not completely arrived.
#[derive(Debug)]
pub(super) struct Assembly {
    method: Method,
    header: Option<ContentHeader>,
    body: BytesMut,
}

impl Assembly {
    fn new(method: Method) -> Self {
        Assembly {
            method,
            header: None,
            body: BytesMut::new(),
        }
    }

    fn is_complete(&self) -> bool {
        self.header
            .as_ref()
            .is_some_and(|header| self.body.len() as u64 == header.body_size)
    }
}

/// The state of a channel. Channels that are closed are not stored.
#[derive(Debug)]
pub(super) enum Channel {
    /// Client: `channel.open` was sent.
    Opening,
    /// Methods may be sent and received. `assembly` is the method whose content is being received; `None` between
    /// contents.
    Open { assembly: Option<Box<Assembly>> },
    /// `channel.close` was sent. All methods but `close` and `close-ok` are ignored.
    Closing,
}

impl Endpoint {
    pub(super) fn handle_channel_method(
        &mut self,
        channel: u16,
        method: Method,
    ) -> Result<(), Fault> {
        let Some(state) = self.channels.get(&channel) else {
            return self.handle_method_without_channel(channel, &method);
        };
        if matches!(method, Method::ChannelOpen {}) {
            return Err(
                Fault::new(Code::ChannelError, "the channel is open already").caused_by(&method),
            );
        }
        match state {
            Channel::Opening => self.handle_method_while_opening(channel, &method),
            Channel::Closing => {
                self.handle_method_while_closing(channel, &method);
                Ok(())
            }
            Channel::Open { assembly: Some(_) } => Err(Fault::new(
                Code::UnexpectedFrame,
                "a method where a content was to come",
            )
            .caused_by(&method)),
            Channel::Open { assembly: None } => self.handle_method_while_open(channel, method),
        }
    }

    fn handle_method_without_channel(
        &mut self,
        channel: u16,
        method: &Method,
    ) -> Result<(), Fault> {
        if !matches!(method, Method::ChannelOpen {}) {
            return Err(Fault::new(Code::ChannelError, "the channel is not open").caused_by(method));
        }
        if self.tuning.channel_max != 0 && channel > self.tuning.channel_max {
            return Err(
                Fault::new(Code::ChannelError, "channel beyond channel-max").caused_by(method)
            );
        }
        self.write(channel, Method::ChannelOpenOk {});
        self.channel_opened(channel);
        Ok(())
    }

    fn handle_method_while_opening(&mut self, channel: u16, method: &Method) -> Result<(), Fault> {
        if !matches!(method, Method::ChannelOpenOk {}) {
            return Err(
                Fault::new(Code::ChannelError, "the channel is not open yet").caused_by(method),
            );
        }
        self.channel_opened(channel);
        Ok(())
    }

    fn channel_opened(&mut self, channel: u16) {
        self.channels
            .insert(channel, Channel::Open { assembly: None });
        self.events.push_back(Event::ChannelOpened { channel });
    }

    fn handle_method_while_closing(&mut self, channel: u16, method: &Method) {
        match method {
            Method::ChannelCloseOk {} => {
                self.channels.remove(&channel);
            }
            // Both ends closed the channel at the same time; the peer's `close-ok` is still expected.
            Method::ChannelClose { .. } => self.write(channel, Method::ChannelCloseOk {}),
            _ => {}
        }
    }

    fn handle_method_while_open(&mut self, channel: u16, method: Method) -> Result<(), Fault> {
        match method {
            Method::ChannelClose {
                reply_code,
                reply_text,
                class_id,
                method_id,
            } => {
                self.channels.remove(&channel);
                self.write(channel, Method::ChannelCloseOk {});
                let fault = Fault {
                    code: reply_code,
                    text: reply_text.to_string(),
                    class_id,
                    method_id,
                };
                self.events.push_back(Event::ChannelClosed {
                    channel,
                    fault,
                    by_peer: true,
                });
            }
            Method::ChannelFlow { active } => {
                self.write(channel, Method::ChannelFlowOk { active });
                self.events.push_back(Event::Flow { channel, active });
            }
            Method::ChannelOpenOk {} | Method::ChannelCloseOk {} => {
                let fault = Fault::new(Code::CommandInvalid, "not expected on an open channel");
                return Err(fault.caused_by(&method));
            }
            method if method.has_content() => {
                let assembly = Some(Box::new(Assembly::new(method)));
                self.channels.insert(channel, Channel::Open { assembly });
            }
            method => {
                self.events.push_back(Event::Method {
                    channel,
                    method,
                    content: None,
                });
            }
        }
        Ok(())
    }

    pub(super) fn receive_content_header(
        &mut self,
        channel: u16,
        class_id: u16,
        header: ContentHeader,
    ) -> Result<(), Fault> {
        let assembly = match self.channels.get_mut(&channel) {
            Some(Channel::Closing) => return Ok(()),
            Some(Channel::Open {
                assembly: Some(assembly),
            }) if assembly.header.is_none() => assembly,
            _ => {
                return Err(Fault::new(
                    Code::UnexpectedFrame,
                    "a content header that no method announced",
                ));
            }
        };
        if assembly.method.id().class_id != class_id {
            return Err(Fault::new(
                Code::UnexpectedFrame,
                "content header of another class",
            ));
        }
        let (body_size, max_body) = (header.body_size, self.tuning.max_body);
        if body_size > max_body {
            let text = format!("a body of {body_size} bytes is beyond {max_body}");
            let fault = Fault::new(Code::ContentTooLarge, text).caused_by(&assembly.method);
            self.close_channel(channel, fault);
            return Ok(());
        }
        assembly.header = Some(header);
        self.deliver_if_complete(channel);
        Ok(())
    }

    pub(super) fn receive_content_body(&mut self, channel: u16, bytes: &[u8]) -> Result<(), Fault> {
        let assembly = match self.channels.get_mut(&channel) {
            Some(Channel::Closing) => return Ok(()),
            Some(Channel::Open {
                assembly: Some(assembly),
            }) => assembly,
            _ => {
                return Err(Fault::new(
                    Code::UnexpectedFrame,
                    "a body that no method announced",
                ));
            }
        };
        let Some(header) = &assembly.header else {
            return Err(Fault::new(
                Code::UnexpectedFrame,
                "a body before its header",
            ));
        };
        if assembly.body.len() as u64 + bytes.len() as u64 > header.body_size {
            return Err(Fault::new(
                Code::FrameError,
                "a body longer than its header says",
            ));
        }
        assembly.body.extend_from_slice(bytes);
        self.deliver_if_complete(channel);
        Ok(())
    }

    /// Reports the method if its content is complete.
    fn deliver_if_complete(&mut self, channel: u16) {
        let Some(Channel::Open { assembly }) = self.channels.get_mut(&channel) else {
            return;
        };
        let Some(complete) = assembly.take_if(|assembly| assembly.is_complete()) else {
            return;
        };
        let Assembly {
            method,
            header,
            body,
        } = *complete;
        let content = Content {
            properties: header.map(|header| header.properties).unwrap_or_default(),
            body: body.freeze(),
        };
        self.events.push_back(Event::Method {
            channel,
            method,
            content: Some(Box::new(content)),
        });
    }
}
