//! The methods and contents of channels (specification 2.3.5 and 4.2.6).

use bytes::BytesMut;

use super::{Content, Endpoint, Event};
use crate::method::Method;
use crate::properties::Properties;
use crate::reply::{Code, Fault};

#[derive(Debug)]
pub(super) struct Assembly {
    method: Method,
    header: Option<(u64, Properties)>,
    body: BytesMut,
}

#[derive(Debug)]
pub(super) enum Channel {
    Opening,
    Open {
        assembly: Option<Box<Assembly>>,
    },
    /// `close` was sent; all but `close` and `close-ok` is dropped.
    Closing,
}

impl Endpoint {
    pub(super) fn handle_channel_method(
        &mut self,
        channel: u16,
        method: Method,
    ) -> Result<(), Fault> {
        let fault = |code, text: &str| Err(Fault::new(code, text).caused_by(&method));
        match (self.channels.get_mut(&channel), &method) {
            (None, Method::ChannelOpen {}) => {
                if self.tuning.channel_max != 0 && channel > self.tuning.channel_max {
                    return fault(Code::ChannelError, "channel beyond channel-max");
                }
                self.channels
                    .insert(channel, Channel::Open { assembly: None });
                self.write(channel, Method::ChannelOpenOk {});
                self.events.push_back(Event::ChannelOpened { channel });
            }
            (Some(_), Method::ChannelOpen {}) => {
                return fault(Code::ChannelError, "the channel is open already");
            }
            (None, _) => return fault(Code::ChannelError, "the channel is not open"),
            (Some(state @ Channel::Opening), Method::ChannelOpenOk {}) => {
                *state = Channel::Open { assembly: None };
                self.events.push_back(Event::ChannelOpened { channel });
            }
            (Some(Channel::Closing), Method::ChannelCloseOk {}) => {
                self.channels.remove(&channel);
            }
            (Some(Channel::Closing), Method::ChannelClose { .. }) => {
                // Both ends closed at once; the peer's close-ok is still to come.
                self.write(channel, Method::ChannelCloseOk {});
            }
            (Some(Channel::Closing), _) => {}
            (Some(Channel::Opening), _) => {
                return fault(Code::ChannelError, "the channel is not open yet");
            }
            (Some(Channel::Open { assembly: Some(_) }), _) => {
                return fault(
                    Code::UnexpectedFrame,
                    "a method where a content was to come",
                );
            }
            (
                Some(Channel::Open { .. }),
                Method::ChannelClose {
                    reply_code,
                    reply_text,
                    class_id,
                    method_id,
                },
            ) => {
                let fault = Fault {
                    code: *reply_code,
                    text: reply_text.to_string(),
                    class_id: *class_id,
                    method_id: *method_id,
                };
                self.channels.remove(&channel);
                self.write(channel, Method::ChannelCloseOk {});
                self.events.push_back(Event::ChannelClosed {
                    channel,
                    fault,
                    by_peer: true,
                });
            }
            (Some(Channel::Open { .. }), Method::ChannelFlow { active }) => {
                let active = *active;
                self.write(channel, Method::ChannelFlowOk { active });
                self.events.push_back(Event::Flow { channel, active });
            }
            (Some(Channel::Open { .. }), Method::ChannelOpenOk {} | Method::ChannelCloseOk {}) => {
                return fault(Code::CommandInvalid, "not expected on an open channel");
            }
            (Some(Channel::Open { assembly }), _) if method.has_content() => {
                *assembly = Some(Box::new(Assembly {
                    method,
                    header: None,
                    body: BytesMut::new(),
                }));
            }
            (Some(Channel::Open { .. }), _) => {
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
        body_size: u64,
        properties: Properties,
    ) -> Result<(), Fault> {
        let max_body = self.tuning.max_body;
        match self.channels.get_mut(&channel) {
            Some(Channel::Closing) => Ok(()),
            Some(Channel::Open {
                assembly: Some(assembly),
            }) if assembly.header.is_none() => {
                if assembly.method.ids().0 != class_id {
                    return Err(Fault::new(
                        Code::UnexpectedFrame,
                        "content header of another class",
                    ));
                }
                if body_size > max_body {
                    let text = format!("a body of {body_size} bytes is beyond {max_body}");
                    let fault = Fault::new(Code::ContentTooLarge, text).caused_by(&assembly.method);
                    self.close_channel(channel, fault);
                    return Ok(());
                }
                assembly.header = Some((body_size, properties));
                self.deliver_if_complete(channel);
                Ok(())
            }
            _ => Err(Fault::new(
                Code::UnexpectedFrame,
                "a content header that no method announced",
            )),
        }
    }

    pub(super) fn receive_content_body(&mut self, channel: u16, bytes: &[u8]) -> Result<(), Fault> {
        match self.channels.get_mut(&channel) {
            Some(Channel::Closing) => Ok(()),
            Some(Channel::Open {
                assembly: Some(assembly),
            }) => {
                let Some((size, _)) = &assembly.header else {
                    return Err(Fault::new(
                        Code::UnexpectedFrame,
                        "a body before its header",
                    ));
                };
                if assembly.body.len() as u64 + bytes.len() as u64 > *size {
                    return Err(Fault::new(
                        Code::FrameError,
                        "a body longer than its header says",
                    ));
                }
                assembly.body.extend_from_slice(bytes);
                self.deliver_if_complete(channel);
                Ok(())
            }
            _ => Err(Fault::new(
                Code::UnexpectedFrame,
                "a body that no method announced",
            )),
        }
    }

    /// Hands out a content that is whole.
    fn deliver_if_complete(&mut self, channel: u16) {
        let Some(Channel::Open { assembly }) = self.channels.get_mut(&channel) else {
            return;
        };
        let whole = |a: &Assembly| {
            a.header
                .as_ref()
                .is_some_and(|(size, _)| a.body.len() as u64 == *size)
        };
        if assembly.as_ref().is_some_and(|a| whole(a))
            && let Some(whole) = assembly.take()
        {
            let Assembly {
                method,
                header,
                body,
            } = *whole;
            let properties = header.map(|(_, p)| p).unwrap_or_default();
            let content = Some(Box::new(Content {
                properties,
                body: body.freeze(),
            }));
            self.events.push_back(Event::Method {
                channel,
                method,
                content,
            });
        }
    }
}
