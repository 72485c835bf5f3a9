//! The exchange class: declaring, deleting and binding exchanges.

use pipithub_amqp::{Code, Fault, Method, ShortStr};

use super::core::Broker;
use super::dispatch::{Reply, not_implemented};
use super::entities::{Binding, BindingTarget, Exchange, ExchangeKind, ExchangeProperties};

impl Broker {
    pub(super) fn exchange_method(&mut self, method: Method) -> Reply {
        match method {
            Method::ExchangeDeclare {
                exchange,
                kind,
                passive,
                durable,
                auto_delete,
                internal,
                no_wait,
                ..
            } => {
                if passive {
                    self.require_exchange(&exchange)?;
                } else {
                    let properties = ExchangeProperties {
                        kind: parse_kind(&kind)?,
                        durable,
                        auto_delete,
                        internal,
                    };
                    self.declare_exchange(exchange, properties)?;
                }
                Ok((!no_wait).then_some(Method::ExchangeDeclareOk {}))
            }
            Method::ExchangeDelete {
                exchange,
                if_unused,
                no_wait,
            } => {
                self.delete_exchange(exchange, if_unused)?;
                Ok((!no_wait).then_some(Method::ExchangeDeleteOk {}))
            }
            method => self.exchange_binding_method(method),
        }
    }

    fn exchange_binding_method(&mut self, method: Method) -> Reply {
        match method {
            Method::ExchangeBind {
                destination,
                source,
                routing_key,
                no_wait,
                ..
            } => {
                self.require_exchange(&destination)?;
                let target = BindingTarget::Exchange(destination);
                self.bind(&source, Binding::new(routing_key, target))?;
                Ok((!no_wait).then_some(Method::ExchangeBindOk {}))
            }
            Method::ExchangeUnbind {
                destination,
                source,
                routing_key,
                no_wait,
                ..
            } => {
                let target = BindingTarget::Exchange(destination);
                self.unbind(&source, &Binding::new(routing_key, target));
                Ok((!no_wait).then_some(Method::ExchangeUnbindOk {}))
            }
            method => Err(not_implemented(&method)),
        }
    }

    fn require_exchange(&self, name: &ShortStr) -> Result<&Exchange, Fault> {
        self.exchanges.get(name).ok_or_else(|| no_exchange(name))
    }

    fn declare_exchange(
        &mut self,
        name: ShortStr,
        properties: ExchangeProperties,
    ) -> Result<(), Fault> {
        match self.exchanges.get(&name) {
            Some(existing) if existing.properties != properties => {
                let text = format!("exchange '{name}' exists with other properties");
                Err(Fault::new(Code::PreconditionFailed, text))
            }
            Some(_) => Ok(()),
            None if is_reserved(&name) => {
                Err(Fault::new(Code::AccessRefused, "the name is reserved"))
            }
            None if self.exchanges.len() >= self.bounds.entities => {
                Err(Fault::new(Code::ResourceError, "too many exchanges"))
            }
            None => {
                self.exchanges.insert(name, Exchange::new(properties));
                Ok(())
            }
        }
    }

    fn delete_exchange(&mut self, name: ShortStr, if_unused: bool) -> Result<(), Fault> {
        if is_reserved(&name) {
            let text = "the exchange is the broker's own";
            return Err(Fault::new(Code::AccessRefused, text));
        }
        // Deleting an unknown exchange succeeds, as in RabbitMQ; the specification asks for 404.
        let in_use = self
            .exchanges
            .get(&name)
            .is_some_and(|exchange| !exchange.bindings.is_empty());
        if if_unused && in_use {
            let text = format!("exchange '{name}' is in use");
            return Err(Fault::new(Code::PreconditionFailed, text));
        }
        self.exchanges.remove(&name);
        self.remove_bindings_to(&BindingTarget::Exchange(name));
        Ok(())
    }

    pub(super) fn bind(&mut self, source: &ShortStr, binding: Binding) -> Result<(), Fault> {
        if source.is_empty() {
            let text = "the default exchange takes no bindings";
            return Err(Fault::new(Code::AccessRefused, text));
        }
        let limit = self.bounds.entities;
        let exchange = self
            .exchanges
            .get_mut(source)
            .ok_or_else(|| no_exchange(source))?;
        if exchange.bindings.len() >= limit {
            return Err(Fault::new(Code::ResourceError, "too many bindings"));
        }
        exchange.bindings.insert(binding);
        Ok(())
    }

    pub(super) fn unbind(&mut self, source: &ShortStr, binding: &Binding) {
        if let Some(exchange) = self.exchanges.get_mut(source) {
            exchange.bindings.remove(binding);
        }
    }

    pub(super) fn remove_bindings_to(&mut self, target: &BindingTarget) {
        for exchange in self.exchanges.values_mut() {
            exchange
                .bindings
                .retain(|binding| binding.target != *target);
        }
    }
}

/// The default exchange and names that begin with `amq.` belong to the broker.
fn is_reserved(exchange: &ShortStr) -> bool {
    exchange.is_empty() || exchange.starts_with("amq.")
}

pub(super) fn no_exchange(name: &ShortStr) -> Fault {
    Fault::new(Code::NotFound, format!("no exchange '{name}'"))
}

fn parse_kind(kind: &str) -> Result<ExchangeKind, Fault> {
    match kind {
        "direct" => Ok(ExchangeKind::Direct),
        "fanout" => Ok(ExchangeKind::Fanout),
        "topic" => Ok(ExchangeKind::Topic),
        other => {
            let text = format!("no exchange type '{other}'");
            Err(Fault::new(Code::CommandInvalid, text))
        }
    }
}
