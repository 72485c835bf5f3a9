//! Dispatches each method of a client to the part of the virtual host that executes it.

use pipithub_amqp::{Code, Content, Fault, Method};

use super::core::Broker;
use super::entities::ChannelKey;

/// Class ids of the specification.
mod class {
    pub(super) const EXCHANGE: u16 = 40;
    pub(super) const QUEUE: u16 = 50;
    pub(super) const BASIC: u16 = 60;
    pub(super) const CONFIRM: u16 = 85;
    pub(super) const TX: u16 = 90;
}

/// The reply to a method; `None` if no reply is sent, or if it has been sent already.
pub(super) type Reply = Result<Option<Method>, Fault>;

impl Broker {
    /// Executes a method of a client and sends the reply. A fault holds the ids of the method that caused it.
    pub(super) fn apply(
        &mut self,
        at: ChannelKey,
        method: Method,
        content: Option<Content>,
    ) -> Result<(), Fault> {
        let id = method.id();
        let reply = self.dispatch(at, method, content).map_err(|fault| Fault {
            class_id: id.class_id,
            method_id: id.method_id,
            ..fault
        })?;
        if let Some(reply) = reply {
            self.send(at, reply);
        }
        Ok(())
    }

    fn dispatch(&mut self, at: ChannelKey, method: Method, content: Option<Content>) -> Reply {
        match method.id().class_id {
            class::EXCHANGE => self.exchange_method(method),
            class::QUEUE => self.queue_method(at, method),
            class::BASIC => self.basic_method(at, method, content),
            class::CONFIRM | class::TX => self.mode_method(at, method),
            _ if matches!(method, Method::ChannelFlowOk { .. }) => Ok(None),
            _ => Err(not_implemented(&method)),
        }
    }

    fn basic_method(&mut self, at: ChannelKey, method: Method, content: Option<Content>) -> Reply {
        match method {
            Method::BasicPublish { .. } => {
                self.publish_method(at, method, content.unwrap_or_default())
            }
            Method::BasicAck { .. } | Method::BasicNack { .. } | Method::BasicReject { .. } => {
                self.settle_method(at, &method)
            }
            _ => self.consume_method(at, method),
        }
    }
}

/// The fault for a method that the broker does not support.
pub(super) fn not_implemented(method: &Method) -> Fault {
    Fault::new(
        Code::NotImplemented,
        format!("{} is not offered", method.name()),
    )
}
