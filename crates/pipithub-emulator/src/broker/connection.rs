//! One client's connection to the broker, on its socket.

use bytes::{Buf, BytesMut};
use pipithub_amqp::{Code, Endpoint, Event, Fault, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tracing::debug;

use super::core::BrokerOutput;
use super::entities::ConnectionId;
use super::server::Shared;

const READ_BUFFER_BYTES: usize = 64 << 10;

/// A client's connection, including its handshake.
pub(super) struct BrokerConnection<'a> {
    shared: &'a Shared,
    id: ConnectionId,
    endpoint: Endpoint,
    /// Whether the client has published. If so, nothing is read from the connection while the broker is blocked.
    is_publisher: bool,
    user: String,
}

impl<'a> BrokerConnection<'a> {
    pub(super) fn new(shared: &'a Shared, id: ConnectionId) -> Self {
        let endpoint = Endpoint::server(shared.settings.tuning, shared.clock.now());
        BrokerConnection {
            shared,
            id,
            endpoint,
            is_publisher: false,
            user: String::new(),
        }
    }

    /// Serves the connection until it ends. `notify` wakes it when there are outputs for it.
    pub(super) async fn serve(
        &mut self,
        mut stream: TcpStream,
        notify: &Notify,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::with_capacity(READ_BUFFER_BYTES);
        let mut output = BytesMut::new();
        loop {
            if !self.collect_outputs() {
                return Ok(());
            }
            let clock = self.shared.clock;
            output.extend_from_slice(&self.endpoint.take_output(clock.now()));
            if output.is_empty() {
                self.shared
                    .act(|broker, now| broker.set_congested(now, self.id, false));
            }
            if self.endpoint.is_closed() && output.is_empty() {
                return writer.shutdown().await;
            }
            let held_back = self.is_publisher && self.shared.lock().broker.is_blocked();
            tokio::select! {
                read = reader.read_buf(&mut input), if !held_back && !self.endpoint.is_closed() => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.endpoint.receive(clock.now(), &input);
                    input.clear();
                }
                wrote = writer.write(&output), if !output.is_empty() => output.advance(wrote?),
                () = notify.notified() => {}
                () = clock.sleep_until(self.endpoint.next_timeout()) => self.endpoint.handle_timeout(clock.now()),
            }
        }
    }

    /// Handles the client's events and moves the broker's outputs into the endpoint. False if the connection must be
    /// dropped.
    fn collect_outputs(&mut self) -> bool {
        while let Some(event) = self.endpoint.poll_event() {
            self.handle_event(event);
        }
        let mut state = self.shared.lock();
        let Some(outbox) = state.outboxes.get_mut(&self.id) else {
            return false;
        };
        if outbox.cut {
            return false;
        }
        outbox.bytes = 0;
        for output in std::mem::take(&mut outbox.outputs) {
            send_output(&mut self.endpoint, output);
        }
        true
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Login { user, password } => self.log_in(user, &password),
            Event::OpenRequested { virtual_host } => {
                if *virtual_host == *self.shared.settings.virtual_host {
                    self.endpoint.accept_open();
                } else {
                    let text = format!("NOT_ALLOWED - vhost {virtual_host} not found");
                    let fault = Fault::new(Code::NotAllowed, text);
                    self.endpoint.reject_open(fault);
                }
            }
            Event::Connected => {
                let client = self.client_name();
                self.shared
                    .act(|broker, _| broker.connect(self.id, &client, &self.user));
            }
            event => {
                self.is_publisher |= is_publish(&event);
                self.shared
                    .act(|broker, now| broker.handle(now, self.id, event));
            }
        }
    }

    fn log_in(&mut self, user: String, password: &str) {
        let settings = &self.shared.settings;
        let is_known = std::iter::once(&settings.login)
            .chain(&settings.logins)
            .any(|known| known.user == user && known.password == password);
        if is_known {
            self.user = user;
            self.endpoint.accept_login();
        } else {
            self.endpoint
                .reject_login("ACCESS_REFUSED - login was refused");
        }
    }

    /// The client's name in records: the name in its properties and the number of its connection.
    fn client_name(&self) -> String {
        let properties = self.endpoint.peer_properties();
        let name = properties
            .get("connection_name")
            .or(properties.get("product"))
            .and_then(|value| value.as_str());
        format!("{}#{}", name.unwrap_or("client"), self.id)
    }
}

fn is_publish(event: &Event) -> bool {
    matches!(
        event,
        Event::Method {
            method: Method::BasicPublish { .. },
            ..
        }
    )
}

fn send_output(endpoint: &mut Endpoint, output: BrokerOutput) {
    let sent = match output {
        BrokerOutput::Method {
            channel,
            method,
            content: Some(content),
        } => endpoint.send_content(channel, method, content.properties, &content.body),
        BrokerOutput::Method {
            channel,
            method,
            content: None,
        } => endpoint.send(channel, method),
        BrokerOutput::CloseChannel { channel, fault } => {
            endpoint.close_channel(channel, fault);
            Ok(())
        }
        BrokerOutput::CloseConnection(fault) => {
            endpoint.close(fault);
            Ok(())
        }
    };
    // The client may have closed the channel in the meantime; the output is then dropped.
    if let Err(error) = sent {
        debug!(%error, "failed to send to a closed channel");
    }
}
