//! Resuming a paused consumer while deliveries are in flight.
//!
//! A queue may be deleted while nothing consumes it. To consume a missing queue closes the channel, and with it the
//! deliveries in flight are lost: their messages are gone with the queue, so their calls would never be answered. Therefore,
//! while there are any, the queue is first declared on a channel of its own, which ends alone if the queue is missing.

use pipithub_amqp::{Code, Endpoint, Fault, Method};

use super::{Consumer, Phase};

/// The state of the channel on which the queue is declared. It is opened for the first check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum QueueCheck {
    #[default]
    Closed,
    /// The channel is being opened for a check.
    Opening(u16),
    /// The broker has not answered the declaration yet.
    Declaring(u16),
    /// The channel is open, and no check is under way.
    Idle(u16),
}

impl QueueCheck {
    /// Whether the channel is the one for checks of the queue.
    pub(super) fn is_on(self, channel: u16) -> bool {
        match self {
            QueueCheck::Closed => false,
            QueueCheck::Opening(own) | QueueCheck::Declaring(own) | QueueCheck::Idle(own) => {
                own == channel
            }
        }
    }
}

impl Consumer {
    /// Consumes the queue again, once it is known to exist if that matters.
    pub(super) fn resume(&mut self, channel: u16) {
        if self.in_flight.is_empty() {
            return self.consume(channel);
        }
        match self.queue_check {
            QueueCheck::Closed => {
                // Without a free channel the consumer resumes once nothing is in flight.
                if let Some(Ok(own)) = self.endpoint.as_mut().map(Endpoint::open_channel) {
                    self.queue_check = QueueCheck::Opening(own);
                }
            }
            QueueCheck::Idle(own) => self.declare_for_check(own),
            QueueCheck::Opening(_) | QueueCheck::Declaring(_) => {}
        }
    }

    /// Handles that the channel for checks is open.
    pub(super) fn handle_check_channel_opened(&mut self, channel: u16) {
        self.declare_for_check(channel);
    }

    fn declare_for_check(&mut self, channel: u16) {
        self.queue_check = QueueCheck::Declaring(channel);
        let is_passive = !self.settings.declare;
        self.send_on(channel, self.queue_declaration(is_passive));
    }

    /// Handles a method on the channel for checks.
    pub(super) fn handle_check_method(&mut self, channel: u16, method: &Method) {
        if matches!(method, Method::QueueDeclareOk { .. }) {
            self.queue_check = QueueCheck::Idle(channel);
            self.consume_after_check();
        }
    }

    /// Handles the end of the channel for checks: the queue is missing, or exists with other properties than those it would
    /// be declared with.
    pub(super) fn handle_check_channel_closed(&mut self, fault: &Fault) {
        self.queue_check = QueueCheck::Closed;
        if fault.code == Code::PreconditionFailed as u16 {
            self.settings.declare = false;
            self.consume_after_check();
        } else if let Phase::Paused { channel, .. } = self.phase {
            let resume_at = Some(self.now + self.backoff.delay_after_failure(self.now));
            self.phase = Phase::Paused { channel, resume_at };
        }
    }

    /// Consumes the queue, which exists, unless that has become needless meanwhile.
    fn consume_after_check(&mut self) {
        if let Phase::Paused {
            channel,
            resume_at: None,
        } = self.phase
            && !self.shutting_down
            && self.may_resume()
        {
            self.consume(channel);
        }
    }
}
