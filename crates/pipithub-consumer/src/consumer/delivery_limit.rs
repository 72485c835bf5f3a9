//! The limit on deliveries in flight: their present number and as many more as the engine can take, at most the
//! prefetch count.

use pipithub_amqp::{FieldTable, Method, ShortStr};
use pipithub_engine::Time;

use super::{Consumer, MS, Phase, Qos};

/// The minimum time between changes of the limit, because each change costs a round trip.
pub(super) const MIN_QOS_INTERVAL: Time = 50 * MS;
/// A paused consumer resumes once the engine can take its prefetch count divided by this. With less, each message could
/// start and cancel a consumer.
const RESUME_DIVISOR: usize = 4;

/// The limit that the broker was sent last, and when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AppliedLimit {
    pub(super) count: u16,
    pub(super) at: Time,
}

impl Consumer {
    /// The maximum number of deliveries in flight.
    pub(super) fn delivery_limit(&self) -> u16 {
        let max = usize::from(self.settings.prefetch.max(1));
        (self.in_flight.len() + self.capacity).clamp(1, max) as u16
    }

    /// Starts, pauses or limits consuming according to the capacity of the engine.
    pub(super) fn apply_capacity(&mut self) {
        match self.phase {
            Phase::Consuming { channel } if self.capacity == 0 => self.pause(channel, None),
            Phase::Consuming { .. } => {
                let limit = self.delivery_limit();
                if self.should_send_limit(limit) {
                    self.send_limit(limit);
                }
            }
            Phase::Paused {
                channel,
                resume_at: None,
            } if !self.shutting_down && self.may_resume() => {
                self.resume(channel);
            }
            _ => {}
        }
    }

    /// Whether a new limit is worth a round trip: always if it is lower, and only in large steps if it is higher.
    fn should_send_limit(&self, limit: u16) -> bool {
        let applied = self.applied_limit;
        let is_worth_sending =
            limit < applied.count || limit == self.settings.prefetch || limit >= applied.count * 2;
        self.settings.qos == Qos::Channel
            && limit != applied.count
            && is_worth_sending
            && self.now >= applied.at + MIN_QOS_INTERVAL
    }

    pub(super) fn may_resume(&self) -> bool {
        let enough = (usize::from(self.settings.prefetch) / RESUME_DIVISOR).max(1);
        self.capacity >= enough || self.in_flight.is_empty() && self.capacity > 0
    }

    fn send_limit(&mut self, limit: u16) {
        self.applied_limit = AppliedLimit {
            count: limit,
            at: self.now,
        };
        let global = self.settings.qos == Qos::Channel;
        self.send(Method::BasicQos {
            prefetch_size: 0,
            prefetch_count: limit,
            global,
        });
    }

    pub(super) fn pause(&mut self, channel: u16, resume_at: Option<Time>) {
        let consumer_tag = self.tag.clone();
        self.send(Method::BasicCancel {
            consumer_tag,
            no_wait: false,
        });
        self.phase = Phase::Paused { channel, resume_at };
    }

    pub(super) fn consume(&mut self, channel: u16) {
        let limit = self.delivery_limit();
        self.phase = Phase::SettingUp { channel };
        self.send_limit(limit);
        // Each consumer gets a new tag, because a delivery for the previous one may still be on its way.
        self.tag_count += 1;
        let tag = format!("{}-{}", self.settings.front_end, self.tag_count);
        self.tag = ShortStr::truncated(&tag);
        self.send(Method::BasicConsume {
            queue: ShortStr::truncated(&self.settings.queue),
            consumer_tag: self.tag.clone(),
            no_local: false,
            no_ack: false,
            exclusive: false,
            no_wait: false,
            arguments: FieldTable::new(),
        });
    }
}
