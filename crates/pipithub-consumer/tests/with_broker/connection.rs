//! The broker's end of a connection, without sockets.

use pipithub_amqp::{Endpoint, Event, Tuning};
use pipithub_emulator::broker::{Broker, BrokerOutput, ConnectionId};
use pipithub_engine::Time;

/// The largest body that the broker accepts, in bytes.
pub(crate) const MAX_BODY: usize = 400_000;

pub(crate) struct ServerConnection {
    pub(crate) id: ConnectionId,
    /// The user that the client logged in as.
    user: &'static str,
    endpoint: Endpoint,
}

impl ServerConnection {
    pub(crate) fn new(id: ConnectionId, user: &'static str, now: Time) -> Self {
        let tuning = Tuning {
            max_body: MAX_BODY as u64,
            ..Tuning::default()
        };
        ServerConnection {
            id,
            user,
            endpoint: Endpoint::server(tuning, now),
        }
    }

    /// Passes bytes of the client to the broker.
    pub(crate) fn receive(&mut self, now: Time, broker: &mut Broker, bytes: &[u8]) {
        self.endpoint.receive(now, bytes);
        while let Some(event) = self.endpoint.poll_event() {
            match event {
                Event::Login { .. } => self.endpoint.accept_login(),
                Event::OpenRequested { .. } => self.endpoint.accept_open(),
                Event::Connected => broker.connect(self.id, "test", self.user),
                event => broker.handle(now, self.id, event),
            }
        }
    }

    /// Sends an output of the broker to the client.
    pub(crate) fn send(&mut self, output: BrokerOutput) {
        let _ = match output {
            BrokerOutput::Method {
                channel,
                method,
                content: Some(content),
            } => self
                .endpoint
                .send_content(channel, method, content.properties, &content.body),
            BrokerOutput::Method {
                channel,
                method,
                content: None,
            } => self.endpoint.send(channel, method),
            BrokerOutput::CloseChannel { channel, fault } => {
                self.endpoint.close_channel(channel, fault);
                Ok(())
            }
            BrokerOutput::CloseConnection(fault) => {
                self.endpoint.close(fault);
                Ok(())
            }
        };
    }

    /// Takes the bytes for the client.
    pub(crate) fn take_output(&mut self, now: Time) -> bytes::Bytes {
        self.endpoint.take_output(now)
    }
}
