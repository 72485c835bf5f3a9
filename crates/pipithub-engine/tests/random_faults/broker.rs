//! A broker with one queue, which redelivers the messages that were not acknowledged before their connection was lost.

use std::collections::{BTreeMap, VecDeque};

use pipithub_engine::{SourceId, Ticket, Time, Verdict};

pub(crate) const SOURCE: SourceId = SourceId(0);

/// A final answer that reached the broker.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) verdict: Verdict,
    pub(crate) at: Time,
}

/// A message with its answers and its effects.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) class: usize,
    /// The number of the first message with the same bytes. Such messages are copies, which nothing tells apart.
    pub(crate) original: usize,
    pub(crate) published: Time,
    pub(crate) redelivered: bool,
    pub(crate) answers: Vec<Answer>,
    /// The times at which the call took effect at a worker.
    pub(crate) effects: Vec<Time>,
}

/// What a client publishes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Content {
    New {
        class: usize,
    },
    /// The same bytes as the message with this number.
    CopyOf(usize),
}

/// A delivery that is not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Delivery {
    front_end: usize,
    message: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Broker {
    messages: Vec<Message>,
    queue: VecDeque<usize>,
    unacknowledged: BTreeMap<Ticket, Delivery>,
    tickets: u64,
}

impl Broker {
    pub(crate) fn messages(&self) -> &[Message] {
        &self.messages
    }

    pub(crate) fn message(&self, number: usize) -> &Message {
        &self.messages[number]
    }

    /// Publishes a message of a class, or a copy of the message with a number.
    pub(crate) fn publish(&mut self, content: Content, now: Time) {
        let number = self.messages.len();
        let (class, original) = match content {
            Content::New { class } => (class, number),
            Content::CopyOf(earlier) => {
                let earlier = &self.messages[earlier];
                (earlier.class, earlier.original)
            }
        };
        self.queue.push_back(number);
        self.messages.push(Message {
            class,
            original,
            published: now,
            redelivered: false,
            answers: Vec::new(),
            effects: Vec::new(),
        });
    }

    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Delivers the next message in the queue to a front end.
    pub(crate) fn deliver_next(&mut self, front_end: usize) -> Option<(Ticket, usize)> {
        let message = self.queue.pop_front()?;
        self.tickets += 1;
        let ticket = Ticket {
            source: SOURCE,
            number: self.tickets,
        };
        self.unacknowledged
            .insert(ticket, Delivery { front_end, message });
        Some((ticket, message))
    }

    /// Whether a front end holds a delivery of the message or of a copy.
    pub(crate) fn has_delivered(&self, front_end: usize, message: usize) -> bool {
        let original = self.messages[message].original;
        self.unacknowledged.values().any(|delivery| {
            delivery.front_end == front_end && self.messages[delivery.message].original == original
        })
    }

    /// When a worker has run the message or a copy first.
    pub(crate) fn first_effect(&self, message: usize) -> Option<Time> {
        let original = self.messages[message].original;
        let copies = self.messages.iter().filter(|m| m.original == original);
        copies.flat_map(|copy| &copy.effects).min().copied()
    }

    /// Records the answer to a delivery and acknowledges the delivery in one step, as a transaction does.
    pub(crate) fn commit(&mut self, ticket: Ticket, verdict: Verdict, now: Time) {
        let delivery = self
            .unacknowledged
            .remove(&ticket)
            .expect("a ticket is settled once");
        self.messages[delivery.message]
            .answers
            .push(Answer { verdict, at: now });
    }

    pub(crate) fn record_effect(&mut self, message: usize, now: Time) {
        self.messages[message].effects.push(now);
    }

    /// Returns the messages that a front end has not acknowledged to the head of the queue, in order of delivery.
    pub(crate) fn requeue(&mut self, front_end: usize) {
        let lost: Vec<(Ticket, usize)> = self
            .unacknowledged
            .iter()
            .filter(|(_, delivery)| delivery.front_end == front_end)
            .map(|(ticket, delivery)| (*ticket, delivery.message))
            .collect();
        for (ticket, message) in lost.into_iter().rev() {
            self.unacknowledged.remove(&ticket);
            self.messages[message].redelivered = true;
            self.queue.push_front(message);
        }
    }
}
