//! Handling of what the broker sends: events of the connection and methods of the channel.

use pipithub_amqp::{Code, Content, Endpoint, Event, Fault, FieldTable, Method, ShortStr};
use pipithub_engine::{Call, Ticket, Trigger};

use super::dead_letters::UnreadableMessage;
use super::{Consumer, ConsumerSettings, InFlight, Notice, Phase};
use crate::message::{self, ArrivalTime, ReplyAddress};

/// Class and method numbers of AMQP 0-9-1, by which a fault names the method that failed.
const QUEUE_CLASS: u16 = 50;
const QUEUE_DECLARE: u16 = 10;

/// What a channel is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChannelUse {
    /// Messages are delivered and answered on it.
    Deliveries,
    DeadLetters,
    QueueCheck,
    BodyTrials,
}

impl Consumer {
    pub(super) fn handle_events(&mut self) {
        while let Some(event) = self.endpoint.as_mut().and_then(Endpoint::poll_event) {
            match event {
                Event::Connected => {
                    if let Some(Ok(channel)) = self.endpoint.as_mut().map(Endpoint::open_channel) {
                        self.phase = Phase::SettingUp { channel };
                    }
                }
                Event::ChannelOpened { channel } => self.handle_channel_opened(channel),
                Event::Method {
                    channel,
                    method,
                    content,
                } => self.handle_channel_method(channel, method, content),
                Event::Blocked(reason) => {
                    self.blocked = reason.is_some();
                    self.notices.push_back(Notice::Blocked(reason));
                    self.begin_commit();
                    self.begin_dead_letter();
                    self.begin_body_trial();
                }
                Event::ChannelClosed { channel, fault, .. } => {
                    self.handle_channel_closed(channel, fault);
                }
                // A consumer that has shut down needs no further transport, so the end of its connection is ignored.
                Event::Closed { fault, .. } if self.phase != Phase::Stopped => {
                    self.invalidate_tickets(&fault.to_string());
                }
                Event::Closed { .. }
                | Event::Login { .. }
                | Event::OpenRequested { .. }
                | Event::Flow { .. } => {}
            }
        }
    }

    /// What a channel is used for.
    fn use_of(&self, channel: u16) -> ChannelUse {
        if self.dead_letters.is_on(channel) {
            ChannelUse::DeadLetters
        } else if self.queue_check.is_on(channel) {
            ChannelUse::QueueCheck
        } else if self.body_trials.is_on(channel) {
            ChannelUse::BodyTrials
        } else {
            ChannelUse::Deliveries
        }
    }

    fn handle_channel_opened(&mut self, channel: u16) {
        match self.use_of(channel) {
            ChannelUse::Deliveries => self.set_up_channel(),
            ChannelUse::DeadLetters => self.handle_dead_letter_channel_opened(channel),
            ChannelUse::QueueCheck => self.handle_check_channel_opened(channel),
            ChannelUse::BodyTrials => self.handle_trial_channel_opened(channel),
        }
    }

    fn handle_channel_method(
        &mut self,
        channel: u16,
        method: Method,
        content: Option<Box<Content>>,
    ) {
        match self.use_of(channel) {
            ChannelUse::Deliveries => self.handle_method(method, content),
            ChannelUse::DeadLetters => self.handle_dead_letter_method(channel, &method),
            ChannelUse::QueueCheck => self.handle_check_method(channel, &method),
            ChannelUse::BodyTrials => self.handle_trial_method(channel, &method),
        }
    }

    fn handle_channel_closed(&mut self, channel: u16, fault: Fault) {
        match self.use_of(channel) {
            ChannelUse::Deliveries => self.handle_deliveries_ended(fault),
            ChannelUse::DeadLetters => self.handle_dead_letter_channel_closed(fault),
            ChannelUse::QueueCheck => self.handle_check_channel_closed(&fault),
            ChannelUse::BodyTrials => self.handle_trial_channel_closed(fault),
        }
    }

    fn set_up_channel(&mut self) {
        if self.settings.declare {
            self.send(self.queue_declaration(false));
        }
        self.send(Method::TxSelect {});
    }

    /// Declares the queue as a durable one, or only asks for it if the declaration is passive.
    pub(super) fn queue_declaration(&self, passive: bool) -> Method {
        Method::QueueDeclare {
            queue: ShortStr::truncated(&self.settings.queue),
            passive,
            durable: true,
            exclusive: false,
            auto_delete: false,
            no_wait: false,
            arguments: FieldTable::new(),
        }
    }

    fn handle_deliveries_ended(&mut self, fault: Fault) {
        let failed_method = (fault.class_id, fault.method_id);
        // The queue exists with other properties than those it would be declared with. It is used as it is.
        let is_mismatch = fault.code == Code::PreconditionFailed as u16;
        if is_mismatch && failed_method == (QUEUE_CLASS, QUEUE_DECLARE) {
            self.settings.declare = false;
        }
        // The fault would recur on a new channel at once, so the connection is closed and opened again after the
        // backoff.
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.close(fault);
        }
    }

    fn handle_method(&mut self, method: Method, content: Option<Box<Content>>) {
        let Some(channel) = self.channel() else {
            return;
        };
        match (method, content) {
            (Method::TxSelectOk {}, _) => self.handle_transactions_selected(channel),
            (Method::BasicConsumeOk { .. }, _) if matches!(self.phase, Phase::SettingUp { .. }) => {
                self.handle_consuming(channel);
            }
            (Method::BasicCancel { consumer_tag, .. }, _) if consumer_tag == self.tag => {
                // The queue was deleted, or its broker node was lost. Deliveries in flight stay valid, and the queue may
                // come back.
                self.notices.push_back(Notice::Cancelled);
                let resume_at = Some(self.now + self.backoff.delay_after_failure(self.now));
                self.phase = Phase::Paused { channel, resume_at };
            }
            (
                Method::BasicDeliver {
                    delivery_tag,
                    redelivered,
                    ..
                },
                Some(content),
            ) => self.handle_delivery(delivery_tag, redelivered, *content),
            (Method::BasicReturn { routing_key, .. }, Some(content)) => {
                let correlation_id = content.properties.correlation_id.as_deref();
                self.notices.push_back(Notice::Returned {
                    reply_to: routing_key.to_string(),
                    correlation_id: correlation_id.map(str::to_string),
                });
            }
            (Method::TxCommitOk {}, _) => self.handle_committed(),
            _ => {}
        }
    }

    fn handle_transactions_selected(&mut self, channel: u16) {
        if self.shutting_down {
            return self.finish_shutdown();
        }
        if self.capacity == 0 {
            self.backoff.connected(self.now);
            self.phase = Phase::Paused {
                channel,
                resume_at: None,
            };
        } else {
            self.consume(channel);
        }
    }

    fn handle_consuming(&mut self, channel: u16) {
        self.phase = Phase::Consuming { channel };
        self.backoff.connected(self.now);
        self.notices.push_back(Notice::Consuming);
        if self.shutting_down || self.capacity == 0 {
            self.pause(channel, None);
        }
    }

    fn handle_delivery(&mut self, tag: u64, redelivered: bool, content: Content) {
        let number = self.next_ticket;
        self.next_ticket += 1;
        let address = ReplyAddress::from_properties(&content.properties);
        self.in_flight.insert(number, InFlight { tag, address });
        match self.read_trigger(number, redelivered, &content) {
            Ok(trigger) => self.notices.push_back(Notice::Trigger(Box::new(trigger))),
            Err(error) => {
                let message = UnreadableMessage {
                    ticket: number,
                    redelivered,
                    error,
                    content: Box::new(content),
                };
                self.notices.push_back(message.notice());
                self.settle_unreadable(message);
            }
        }
    }

    /// Reads a delivery as a call and checks which user it belongs to.
    fn read_trigger(
        &mut self,
        number: u64,
        redelivered: bool,
        content: &Content,
    ) -> Result<Trigger, message::MessageError> {
        let ConsumerSettings {
            source,
            queue,
            route,
            classes,
            ..
        } = &self.settings;
        let arrival = ArrivalTime {
            wall_ms: self.wall_ms,
            latest_wall_ms: self.latest_wall_ms,
        };
        let read = message::read(content, route, classes, arrival)?;
        let user = self.identity_verifier.verify_user(
            content,
            queue,
            redelivered,
            self.now,
            self.wall_ms,
        )?;
        Ok(Trigger {
            ticket: Ticket {
                source: *source,
                number,
            },
            identity: read.identity,
            redelivered,
            deliveries: read.deliveries,
            call: Call { user, ..read.call },
        })
    }

    /// Handles that the broker committed a transaction: its answers are published and its messages settled.
    fn handle_committed(&mut self) {
        for number in std::mem::take(&mut self.committing) {
            if self.in_flight.remove(&number).is_some() {
                let source = self.settings.source;
                self.notices
                    .push_back(Notice::Settled(Ticket { source, number }));
            }
        }
        self.begin_commit();
        self.apply_capacity();
        self.finish_shutdown();
    }
}
