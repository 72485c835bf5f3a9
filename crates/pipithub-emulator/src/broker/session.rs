//! Connections and channels of a virtual host: how they open, handle events and close.

use pipithub_amqp::{Event, Fault, Method, ShortStr, Time};
use pipithub_conformance::record::Seen;

use super::core::{Broker, BrokerOutput};
use super::entities::{Channel, ChannelKey, Connection, ConnectionId};

/// Faults with these reply codes close the connection, all others the channel alone (specification 1.2).
const CONNECTION_FAULTS: [u16; 8] = [501, 502, 503, 504, 505, 530, 540, 541];

/// Methods that concern the connection itself are sent on this channel.
const CONNECTION_CHANNEL: u16 = 0;

impl Broker {
    /// Adds an open connection. `client` is its name in records, `user` the user that it logged in as.
    pub fn connect(&mut self, id: ConnectionId, client: &str, user: &str) {
        let connection = Connection {
            client: client.to_string(),
            user: user.to_string(),
            ..Connection::default()
        };
        self.connections.insert(id, connection);
        if let Some(reason) = &self.blocked {
            let reason = ShortStr::truncated(reason);
            self.send_to_connection(id, Method::ConnectionBlocked { reason });
        }
    }

    /// Sets whether a connection is congested, which means that too much output waits to be written. No messages are
    /// delivered to a congested connection.
    pub fn set_congested(&mut self, now: Time, id: ConnectionId, congested: bool) {
        self.now = now;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let was_congested = std::mem::replace(&mut connection.congested, congested);
        if was_congested && !congested {
            let queues = connection
                .channels
                .values()
                .flat_map(Channel::consumed_queues);
            self.pending_delivery.extend(queues);
            self.deliver();
        }
    }

    /// Blocks publishers for a reason, or unblocks them (`None`), and notifies all clients.
    pub fn set_blocked(&mut self, reason: Option<&str>) {
        self.blocked = reason.map(str::to_string);
        let method = match reason {
            Some(reason) => Method::ConnectionBlocked {
                reason: ShortStr::truncated(reason),
            },
            None => Method::ConnectionUnblocked {},
        };
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.send_to_connection(id, method.clone());
        }
    }

    /// Whether publishers are blocked.
    pub fn is_blocked(&self) -> bool {
        self.blocked.is_some()
    }

    /// Removes a connection that has ended. Its unacknowledged messages are requeued, its exclusive queues deleted.
    pub fn disconnect(&mut self, now: Time, id: ConnectionId) {
        self.now = now;
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let client = connection.client.clone();
        let channels: Vec<u16> = connection.channels.keys().copied().collect();
        for number in channels {
            self.release_channel(ChannelKey {
                connection: id,
                number,
            });
        }
        self.connections.remove(&id);
        let owned: Vec<ShortStr> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.properties.owner == Some(id))
            .map(|(name, _)| name.clone())
            .collect();
        for queue in &owned {
            self.delete_queue(queue);
        }
        self.record(Seen::ClientGone { client });
        self.deliver();
    }

    /// Handles an event of an open connection.
    pub fn handle(&mut self, now: Time, id: ConnectionId, event: Event) {
        self.now = now;
        let key = |number| ChannelKey {
            connection: id,
            number,
        };
        match event {
            Event::ChannelOpened { channel } => self.open_channel(key(channel)),
            Event::ChannelClosed { channel, .. } => self.close_channel(key(channel)),
            Event::Flow { channel, active } => self.set_flow(key(channel), active),
            Event::Method {
                channel,
                method,
                content,
            } => {
                let at = key(channel);
                if self.channel(at).is_none() {
                    return;
                }
                if let Err(fault) = self.apply(at, method, content.map(|content| *content)) {
                    self.close_after(at, fault);
                }
            }
            Event::Closed { .. } => return self.disconnect(now, id),
            Event::Login { .. }
            | Event::OpenRequested { .. }
            | Event::Connected
            | Event::Blocked(_) => {}
        }
        self.deliver();
    }

    fn open_channel(&mut self, at: ChannelKey) {
        if let Some(connection) = self.connections.get_mut(&at.connection) {
            connection.channels.insert(at.number, Channel::default());
        }
    }

    fn close_channel(&mut self, at: ChannelKey) {
        self.release_channel(at);
        if let Some(connection) = self.connections.get_mut(&at.connection) {
            connection.channels.remove(&at.number);
        }
    }

    fn set_flow(&mut self, at: ChannelKey, active: bool) {
        let Some(channel) = self.channel(at) else {
            return;
        };
        channel.flow_stopped = !active;
        let queues: Vec<ShortStr> = channel.consumed_queues().collect();
        self.pending_delivery.extend(queues);
    }

    /// Closes the connection or only the channel, depending on the reply code of the fault.
    fn close_after(&mut self, at: ChannelKey, fault: Fault) {
        let output = if CONNECTION_FAULTS.contains(&fault.code) {
            BrokerOutput::CloseConnection(fault)
        } else {
            self.close_channel(at);
            BrokerOutput::CloseChannel {
                channel: at.number,
                fault,
            }
        };
        self.output(at.connection, output);
    }

    /// Requeues the unacknowledged messages of a channel and ends its consumers.
    fn release_channel(&mut self, at: ChannelKey) {
        self.requeue_all(at);
        let tags: Vec<ShortStr> = self
            .channel(at)
            .map(|channel| channel.consumers.keys().cloned().collect())
            .unwrap_or_default();
        tags.iter().for_each(|tag| self.end_consumer(at, tag));
    }

    fn send_to_connection(&mut self, id: ConnectionId, method: Method) {
        let at = ChannelKey {
            connection: id,
            number: CONNECTION_CHANNEL,
        };
        self.send(at, method);
    }
}
