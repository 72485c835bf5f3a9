//! Trials of answers whose bodies may be too large for the broker.
//!
//! Brokers limit the size of a body, do not say how, and close the channel for a larger one. The answers of other calls are on
//! that channel. So a body that is larger than all that were accepted before is published on a channel of its own first, in a
//! transaction that is rolled back. If the broker refuses it, its call is answered without it.

use std::collections::VecDeque;
use std::sync::Arc;

use pipithub_amqp::{Code, Endpoint, Fault, Method, ShortStr};
use pipithub_engine::Reply;

use super::commit::Answer;
use super::side_channel::SideChannel;
use super::{Consumer, Notice};
use crate::message;

/// An answer whose body is to be tried.
#[derive(Debug)]
struct Trial {
    ticket: u64,
    reply: Arc<Reply>,
}

impl Trial {
    fn body_len(&self) -> usize {
        body_len(&self.reply)
    }
}

/// What is known of the broker's limit on bodies, and the answers that wait for more.
#[derive(Debug)]
pub(super) struct BodyTrials {
    /// The broker accepts bodies of this size; 0 if none was tried.
    accepted: usize,
    /// The broker refuses bodies of this size.
    refused: usize,
    /// At most as many as may be in flight.
    waiting: VecDeque<Trial>,
    running: Option<Trial>,
    channel: SideChannel,
}

impl Default for BodyTrials {
    fn default() -> Self {
        BodyTrials {
            accepted: 0,
            refused: usize::MAX,
            waiting: VecDeque::new(),
            running: None,
            channel: SideChannel::default(),
        }
    }
}

impl BodyTrials {
    /// Whether the channel is the one for trials.
    pub(super) fn is_on(&self, channel: u16) -> bool {
        self.channel.is_on(channel)
    }
}

fn body_len(reply: &Reply) -> usize {
    reply.served.as_ref().map_or(0, |served| served.body.len())
}

impl Consumer {
    /// Publishes an answer, after a trial if it is not known whether the broker accepts its body.
    pub(super) fn publish_reply(&mut self, ticket: u64, reply: Arc<Reply>) {
        let is_published = self
            .in_flight
            .get(&ticket)
            .is_some_and(|delivery| delivery.address.reply_to.is_some());
        let trial = Trial { ticket, reply };
        if is_published && !self.is_known(trial.body_len()) {
            self.body_trials.waiting.push_back(trial);
            self.begin_body_trial();
        } else {
            self.enqueue_by_size(trial);
        }
    }

    /// Whether it is known that the broker accepts or refuses bodies of this size. One that fits a frame of the size that
    /// the broker has agreed to is not tried.
    fn is_known(&self, len: usize) -> bool {
        let frame_max = self
            .endpoint
            .as_ref()
            .map_or(0, |endpoint| endpoint.tuning().frame_max as usize);
        let trials = &self.body_trials;
        len <= trials.accepted.max(frame_max) || len >= trials.refused
    }

    /// Enqueues an answer whose size is known to be accepted or refused.
    fn enqueue_by_size(&mut self, trial: Trial) {
        let is_refused = trial.body_len() >= self.body_trials.refused;
        let Trial { ticket, reply } = trial;
        let answer = if is_refused {
            Answer::BodyRefused(reply)
        } else {
            Answer::Reply(reply)
        };
        self.enqueue_answer(ticket, answer);
    }

    /// Begins the next trial, unless one is running.
    pub(super) fn begin_body_trial(&mut self) {
        while self.may_publish_aside() && self.body_trials.running.is_none() {
            let Some(trial) = self.body_trials.waiting.pop_front() else {
                return;
            };
            if self.is_known(trial.body_len()) {
                self.enqueue_by_size(trial);
                continue;
            }
            match self.body_trials.channel {
                SideChannel::Ready(channel) => self.publish_trial(channel, trial),
                SideChannel::SettingUp(_) => return self.body_trials.waiting.push_front(trial),
                SideChannel::Closed => match self.endpoint.as_mut().map(Endpoint::open_channel) {
                    Some(Ok(channel)) => {
                        self.body_trials.channel = SideChannel::SettingUp(channel);
                        return self.body_trials.waiting.push_front(trial);
                    }
                    // Without a free channel the answer goes without a trial.
                    _ => self.enqueue_by_size(trial),
                },
            }
        }
    }

    fn publish_trial(&mut self, channel: u16, trial: Trial) {
        let (Some(endpoint), Some(delivery)) =
            (&mut self.endpoint, self.in_flight.get(&trial.ticket))
        else {
            return;
        };
        let (properties, body) = message::answer(&delivery.address, &trial.reply);
        let publish = Method::BasicPublish {
            exchange: ShortStr::default(),
            routing_key: delivery.address.reply_to.clone().unwrap_or_default(),
            mandatory: false,
            immediate: false,
        };
        if endpoint
            .send_content(channel, publish, properties, &body)
            .is_ok()
        {
            self.send_on(channel, Method::TxRollback {});
            self.body_trials.running = Some(trial);
        } else {
            self.enqueue_by_size(trial);
        }
    }

    /// Handles that the channel for trials is open.
    pub(super) fn handle_trial_channel_opened(&mut self, channel: u16) {
        self.send_on(channel, Method::TxSelect {});
    }

    /// Handles a method on the channel for trials.
    pub(super) fn handle_trial_method(&mut self, channel: u16, method: &Method) {
        match method {
            Method::TxSelectOk {} => self.body_trials.channel = SideChannel::Ready(channel),
            Method::TxRollbackOk {} => {
                if let Some(trial) = self.body_trials.running.take() {
                    self.body_trials.accepted = self.body_trials.accepted.max(trial.body_len());
                    self.enqueue_by_size(trial);
                }
            }
            _ => {}
        }
        self.begin_body_trial();
    }

    /// Handles the end of the channel for trials: the broker has refused the body. If the channel could not be set up, the
    /// answer that waits goes without a trial.
    pub(super) fn handle_trial_channel_closed(&mut self, fault: Fault) {
        self.body_trials.channel = SideChannel::Closed;
        if let Some(trial) = self.body_trials.running.take() {
            let is_too_large = [Code::ContentTooLarge, Code::PreconditionFailed]
                .iter()
                .any(|code| fault.code == *code as u16);
            if is_too_large {
                self.body_trials.refused = self.body_trials.refused.min(trial.body_len());
            }
            self.notices.push_back(Notice::BodyRefused {
                bytes: trial.body_len(),
                fault,
            });
            self.enqueue_answer(trial.ticket, Answer::BodyRefused(trial.reply));
        } else if let Some(trial) = self.body_trials.waiting.pop_front() {
            self.enqueue_by_size(trial);
        }
        self.begin_body_trial();
    }
}
