//! One connection and its channels, for either end (specification 2.2, 4.2, 4.9 and 4.10).
//!
//! The caller moves bytes: what came goes to [`Endpoint::receive`], what [`Endpoint::take_output`] returns is to be written.
//! [`Endpoint::poll_event`] tells what happened, [`Endpoint::next_timeout`] when [`Endpoint::on_time`] is due.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};

use crate::frame::{FRAME_MIN_SIZE, Frame, FrameDecoder, OVERHEAD, Payload};
use crate::method::{Method, Sender};
use crate::properties::Properties;
use crate::reply::{Code, Fault};
use crate::value::{FieldTable, FieldValue, ShortStr};
use crate::{PROTOCOL_HEADER, Time};

const SECOND: Time = 1_000_000_000;
/// A handshake that takes longer is given up: a peer that says nothing must not hold a connection for ever.
const HANDSHAKE_TIMEOUT: Time = 10 * SECOND;
/// How long `close-ok` is waited for.
const CLOSE_TIMEOUT: Time = 5 * SECOND;

/// Which end this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Opens the connection.
    Client,
    /// Takes it.
    Server,
}

/// The limits that are negotiated, and the largest body taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The highest channel number; 0: any.
    pub channel_max: u16,
    /// The largest frame in bytes, at least 4096.
    pub frame_max: u32,
    /// Seconds between heartbeats; 0: none.
    pub heartbeat: u16,
    /// The largest message body taken, in bytes. It is not negotiated: a larger one closes its channel with 311.
    pub max_body: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            channel_max: 2047,
            frame_max: 131_072,
            heartbeat: 10,
            max_body: 64 << 20,
        }
    }
}

/// What a client logs in with; only `PLAIN` is offered.
#[derive(Clone, PartialEq, Eq)]
pub struct Login {
    /// The user.
    pub user: String,
    /// The password; never printed.
    pub password: String,
    /// The virtual host.
    pub virtual_host: String,
}

impl Default for Login {
    fn default() -> Self {
        Login {
            user: "guest".into(),
            password: "guest".into(),
            virtual_host: "/".into(),
        }
    }
}

impl std::fmt::Debug for Login {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Login({}@{})", self.user, self.virtual_host)
    }
}

/// The properties and body that follow some methods.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// Its properties.
    pub properties: Properties,
    /// Its body.
    pub body: Bytes,
}

/// What happened on the connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Server: a client logs in; answer with [`Endpoint::accept_login`] or [`Endpoint::reject_login`].
    Login {
        /// The user.
        user: String,
        /// The password.
        password: String,
    },
    /// Server: the client asks for a virtual host; answer with [`Endpoint::accept_open`] or
    /// [`Endpoint::reject_open`].
    OpenRequested {
        /// Its name.
        virtual_host: ShortStr,
    },
    /// The connection is open.
    Connected,
    /// A channel is open.
    ChannelOpened {
        /// The channel.
        channel: u16,
    },
    /// The peer's method, with its content.
    Method {
        /// The channel.
        channel: u16,
        /// The method.
        method: Method,
        /// The content, of those methods that carry one.
        content: Option<Box<Content>>,
    },
    /// The peer asks to stop or go on sending content on a channel; it has been told that this is done.
    Flow {
        /// The channel.
        channel: u16,
        /// Go on.
        active: bool,
    },
    /// Client: the server takes no publishes for now (`Some`), or takes them again.
    Blocked(Option<String>),
    /// A channel is closed.
    ChannelClosed {
        /// The channel.
        channel: u16,
        /// Why.
        fault: Fault,
        /// The peer closed it.
        by_peer: bool,
    },
    /// The connection is over; no event follows.
    Closed {
        /// Why.
        fault: Fault,
        /// The peer closed it.
        by_peer: bool,
    },
}

/// Why something could not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection is not open.
    #[error("the connection is not open")]
    NotOpen,
    /// The channel is not open.
    #[error("channel {0} is not open")]
    NoChannel(u16),
    /// All channel numbers are taken.
    #[error("all channels are taken")]
    NoFreeChannel,
    /// The method may not be sent by this end, or lacks its content, or has one too many.
    #[error("{0} may not be sent so")]
    Misused(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Server: the protocol header is awaited.
    AwaitingHeader,
    /// The peer's next method of the handshake is awaited.
    AwaitingStart,
    AwaitingStartOk,
    AwaitingTune,
    AwaitingTuneOk,
    AwaitingOpen,
    AwaitingOpenOk,
    /// Server: the application decides on the login, on the virtual host.
    AwaitingLoginDecision,
    AwaitingOpenDecision,
    Open,
    /// `close` was sent.
    Closing,
    Closed,
}

#[derive(Debug)]
struct Assembly {
    method: Method,
    header: Option<(u64, Properties)>,
    body: BytesMut,
}

#[derive(Debug)]
enum Channel {
    Opening,
    Open {
        assembly: Option<Box<Assembly>>,
    },
    /// `close` was sent; all but `close` and `close-ok` is dropped.
    Closing,
}

/// The state of one connection.
#[derive(Debug)]
pub struct Endpoint {
    role: Role,
    login: Login,
    tuning: Tuning,
    state: State,
    decoder: FrameDecoder,
    output: BytesMut,
    channels: BTreeMap<u16, Channel>,
    events: VecDeque<Event>,
    phase_started: Time,
    now: Time,
    last_sent: Time,
    last_received: Time,
    peer_properties: FieldTable,
    name: Option<String>,
}

impl Endpoint {
    /// The client's end: it writes the protocol header at once.
    pub fn client(login: Login, tuning: Tuning, now: Time) -> Self {
        let mut endpoint = Self::new(Role::Client, login, tuning, State::AwaitingStart, now);
        endpoint.output.extend_from_slice(&PROTOCOL_HEADER);
        endpoint
    }

    /// The server's end.
    pub fn server(tuning: Tuning, now: Time) -> Self {
        Self::new(
            Role::Server,
            Login::default(),
            tuning,
            State::AwaitingHeader,
            now,
        )
    }

    fn new(role: Role, login: Login, mut tuning: Tuning, state: State, now: Time) -> Self {
        tuning.frame_max = tuning.frame_max.max(FRAME_MIN_SIZE);
        Endpoint {
            role,
            login,
            tuning,
            state,
            decoder: FrameDecoder::new(tuning.frame_max),
            output: BytesMut::new(),
            channels: BTreeMap::new(),
            events: VecDeque::new(),
            phase_started: now,
            now,
            last_sent: now,
            last_received: now,
            peer_properties: FieldTable::new(),
            name: None,
        }
    }

    /// Client: the name that the connection is told under.
    pub fn named(mut self, name: &str) -> Self {
        self.name = Some(name.to_string());
        self
    }

    /// The limits in force; those negotiated once the connection is open.
    pub fn tuning(&self) -> Tuning {
        self.tuning
    }

    /// What the peer told of itself.
    pub fn peer_properties(&self) -> &FieldTable {
        &self.peer_properties
    }

    /// Whether the connection is open for methods.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether nothing more will come or go: the socket may be closed once the output is written.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Bytes that wait to be written; at a bound of the caller's own it should stop making more.
    pub fn output_len(&self) -> usize {
        self.output.len()
    }

    /// Takes the bytes to write.
    pub fn take_output(&mut self, now: Time) -> Bytes {
        if !self.output.is_empty() {
            self.last_sent = now;
        }
        self.output.split().freeze()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Endpoint::on_time`] is due next.
    pub fn next_timeout(&self) -> Option<Time> {
        match self.state {
            State::Closed => None,
            State::Open if self.tuning.heartbeat == 0 => None,
            State::Open => {
                let interval = Time::from(self.tuning.heartbeat) * SECOND;
                Some((self.last_sent + interval / 2).min(self.last_received + 2 * interval))
            }
            State::Closing => Some(self.phase_started + CLOSE_TIMEOUT),
            _ => Some(self.phase_started + HANDSHAKE_TIMEOUT),
        }
    }

    /// Sends heartbeats, and gives up a peer that is silent for two intervals (specification 4.2.7).
    pub fn on_time(&mut self, now: Time) {
        self.now = now;
        match self.state {
            State::Closed => {}
            State::Open => {
                let interval = Time::from(self.tuning.heartbeat) * SECOND;
                if interval > 0 && now >= self.last_received + 2 * interval {
                    return self.finish(
                        Fault::new(Code::ConnectionForced, "no heartbeat came"),
                        false,
                    );
                }
                if interval > 0 && now >= self.last_sent + interval / 2 {
                    self.last_sent = now;
                    Frame {
                        channel: 0,
                        payload: Payload::Heartbeat,
                    }
                    .write(&mut self.output);
                }
            }
            State::Closing => {
                if now >= self.phase_started + CLOSE_TIMEOUT {
                    self.state = State::Closed;
                }
            }
            _ => {
                if now >= self.phase_started + HANDSHAKE_TIMEOUT {
                    self.finish(
                        Fault::new(Code::ConnectionForced, "the handshake took too long"),
                        false,
                    );
                }
            }
        }
    }

    fn finish(&mut self, fault: Fault, by_peer: bool) {
        self.state = State::Closed;
        self.channels.clear();
        self.events.push_back(Event::Closed { fault, by_peer });
    }

    /// Ends the connection from this end.
    pub fn close(&mut self, fault: Fault) {
        if matches!(self.state, State::Closing | State::Closed) {
            return;
        }
        if self.role == Role::Client && self.state == State::AwaitingStart {
            return self.finish(fault, false);
        }
        self.write(0, close_method(&fault));
        self.state = State::Closing;
        self.phase_started = self.now;
        self.channels.clear();
        self.events.push_back(Event::Closed {
            fault,
            by_peer: false,
        });
    }

    /// Ends a channel from this end.
    pub fn close_channel(&mut self, channel: u16, fault: Fault) {
        if let Some(state @ (Channel::Open { .. } | Channel::Opening)) =
            self.channels.get_mut(&channel)
        {
            *state = Channel::Closing;
            let method = Method::ChannelClose {
                reply_code: fault.code,
                reply_text: ShortStr::truncated(&fault.text),
                class_id: fault.class_id,
                method_id: fault.method_id,
            };
            self.write(channel, method);
            self.events.push_back(Event::ChannelClosed {
                channel,
                fault,
                by_peer: false,
            });
        }
    }

    /// Client: opens a channel; [`Event::ChannelOpened`] follows.
    pub fn open_channel(&mut self) -> Result<u16, SendError> {
        if self.state != State::Open || self.role != Role::Client {
            return Err(SendError::NotOpen);
        }
        let max = if self.tuning.channel_max == 0 {
            u16::MAX
        } else {
            self.tuning.channel_max
        };
        let free = (1..=max)
            .find(|c| !self.channels.contains_key(c))
            .ok_or(SendError::NoFreeChannel)?;
        self.channels.insert(free, Channel::Opening);
        self.write(free, Method::ChannelOpen {});
        Ok(free)
    }

    /// Sends a method without content.
    pub fn send(&mut self, channel: u16, method: Method) -> Result<(), SendError> {
        self.check_sendable(channel, &method, false)?;
        self.write(channel, method);
        Ok(())
    }

    /// Sends a method with its content, cut into frames of the negotiated size.
    pub fn send_content(
        &mut self,
        channel: u16,
        method: Method,
        properties: Properties,
        body: &[u8],
    ) -> Result<(), SendError> {
        self.check_sendable(channel, &method, true)?;
        let (class_id, _) = method.ids();
        self.write(channel, method);
        let header = Payload::Header {
            class_id,
            body_size: body.len() as u64,
            properties: Box::new(properties),
        };
        Frame {
            channel,
            payload: header,
        }
        .write(&mut self.output);
        for part in body.chunks(self.tuning.frame_max as usize - OVERHEAD) {
            Frame {
                channel,
                payload: Payload::Body(Bytes::copy_from_slice(part)),
            }
            .write(&mut self.output);
        }
        Ok(())
    }

    fn check_sendable(
        &self,
        channel: u16,
        method: &Method,
        content: bool,
    ) -> Result<(), SendError> {
        let ours = match method.sender() {
            Sender::Both => true,
            Sender::Client => self.role == Role::Client,
            Sender::Server => self.role == Role::Server,
        };
        if !ours || method.has_content() != content {
            return Err(SendError::Misused(method.name()));
        }
        match (self.state, channel) {
            (State::Open, 0) if method.ids().0 == 10 => Ok(()),
            (State::Open, 0) => Err(SendError::NoChannel(0)),
            (State::Open, _)
                if matches!(self.channels.get(&channel), Some(Channel::Open { .. })) =>
            {
                Ok(())
            }
            (State::Open, _) => Err(SendError::NoChannel(channel)),
            _ => Err(SendError::NotOpen),
        }
    }

    fn write(&mut self, channel: u16, method: Method) {
        Frame {
            channel,
            payload: Payload::Method(method),
        }
        .write(&mut self.output);
    }

    // ---- server's decisions ----

    /// The login is good.
    pub fn accept_login(&mut self) {
        if self.state == State::AwaitingLoginDecision {
            let Tuning {
                channel_max,
                frame_max,
                heartbeat,
                ..
            } = self.tuning;
            self.write(
                0,
                Method::ConnectionTune {
                    channel_max,
                    frame_max,
                    heartbeat,
                },
            );
            self.state = State::AwaitingTuneOk;
        }
    }

    /// The login is refused, with 403.
    pub fn reject_login(&mut self, text: &str) {
        self.close(Fault::new(Code::AccessRefused, text));
    }

    /// The virtual host is there: the connection is open.
    pub fn accept_open(&mut self) {
        if self.state == State::AwaitingOpenDecision {
            self.write(0, Method::ConnectionOpenOk {});
            self.connected();
        }
    }

    /// The virtual host is refused.
    pub fn reject_open(&mut self, fault: Fault) {
        self.close(fault);
    }

    fn connected(&mut self) {
        self.state = State::Open;
        self.events.push_back(Event::Connected);
    }

    // ---- what the peer sends ----

    /// Takes bytes as they came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.now = now;
        self.last_received = now;
        if self.state == State::Closed {
            return;
        }
        self.decoder.push(bytes);
        if self.state == State::AwaitingHeader && !self.receive_protocol_header() {
            return;
        }
        if self.state == State::AwaitingStart && self.decoder.could_begin_with(b"AMQP") {
            // A server that speaks another version answers with its own header.
            if self.decoder.take_raw(8).is_some() {
                self.finish(
                    Fault::new(Code::NotImplemented, "the server does not speak AMQP 0-9-1"),
                    true,
                );
            }
            return;
        }
        while self.state != State::Closed {
            match self.decoder.next_frame() {
                Ok(Some(frame)) => {
                    if let Err(fault) = self.receive_frame(frame) {
                        self.close(fault);
                    }
                }
                Ok(None) => return,
                Err(_) if self.state == State::Closing => return self.state = State::Closed,
                Err(fault) => {
                    // What follows cannot be read: the close goes out, nothing more is taken in.
                    self.close(fault);
                    self.state = State::Closed;
                }
            }
        }
    }

    /// Reads the protocol header; false where more bytes are needed or it was wrong.
    fn receive_protocol_header(&mut self) -> bool {
        if !self.decoder.could_begin_with(&PROTOCOL_HEADER) {
            self.output.extend_from_slice(&PROTOCOL_HEADER);
            self.finish(
                Fault::new(Code::NotImplemented, "unknown protocol header"),
                false,
            );
            return false;
        }
        if self.decoder.take_raw(PROTOCOL_HEADER.len()).is_none() {
            return false;
        }
        let capabilities = [
            "basic.nack",
            "publisher_confirms",
            "connection.blocked",
            "consumer_cancel_notify",
        ]
        .iter()
        .fold(FieldTable::new(), |table, name| {
            table.with(name, FieldValue::Bool(true))
        });
        self.write(
            0,
            Method::ConnectionStart {
                version_major: 0,
                version_minor: 9,
                server_properties: FieldTable::new()
                    .with("product", "pipithub stand-in")
                    .with("capabilities", FieldValue::Table(capabilities)),
                mechanisms: Bytes::from_static(b"PLAIN"),
                locales: Bytes::from_static(b"en_US"),
            },
        );
        self.state = State::AwaitingStartOk;
        true
    }

    fn receive_frame(&mut self, frame: Frame) -> Result<(), Fault> {
        let Frame { channel, payload } = frame;
        if self.state == State::Closing {
            match payload {
                Payload::Method(Method::ConnectionClose { .. }) => {
                    self.write(0, Method::ConnectionCloseOk {});
                    self.state = State::Closed;
                }
                Payload::Method(Method::ConnectionCloseOk {}) => self.state = State::Closed,
                _ => {}
            }
            return Ok(());
        }
        match payload {
            Payload::Heartbeat => Ok(()),
            Payload::Method(method) => {
                let theirs = match method.sender() {
                    Sender::Both => true,
                    Sender::Client => self.role == Role::Server,
                    Sender::Server => self.role == Role::Client,
                };
                if !theirs {
                    let text = format!("{} may not come from this end", method.name());
                    return Err(Fault::new(Code::CommandInvalid, text).caused_by(&method));
                }
                match (channel, method.ids().0) {
                    (0, 10) => self.handle_connection_method(method),
                    (0, _) | (_, 10) => {
                        let text = format!("{} on channel {channel}", method.name());
                        Err(Fault::new(Code::CommandInvalid, text).caused_by(&method))
                    }
                    _ if self.state != State::Open => {
                        let text = format!("{} before the connection is open", method.name());
                        Err(Fault::new(Code::CommandInvalid, text).caused_by(&method))
                    }
                    _ => self.handle_channel_method(channel, method),
                }
            }
            Payload::Header {
                class_id,
                body_size,
                properties,
            } => self.receive_content_header(channel, class_id, body_size, *properties),
            Payload::Body(bytes) => self.receive_content_body(channel, &bytes),
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn handle_connection_method(&mut self, method: Method) -> Result<(), Fault> {
        match (self.state, method) {
            (
                State::AwaitingStart,
                Method::ConnectionStart {
                    version_major,
                    version_minor,
                    server_properties,
                    mechanisms,
                    ..
                },
            ) => {
                if (version_major, version_minor) != (0, 9) {
                    return Err(Fault::new(
                        Code::NotImplemented,
                        "the server does not speak AMQP 0-9-1",
                    ));
                }
                if !mechanisms.split(|b| *b == b' ').any(|m| m == b"PLAIN") {
                    return Err(Fault::new(
                        Code::AccessRefused,
                        "the server does not offer PLAIN",
                    ));
                }
                self.peer_properties = server_properties;
                let response = format!("\0{}\0{}", self.login.user, self.login.password);
                let capabilities = [
                    "connection.blocked",
                    "consumer_cancel_notify",
                    "publisher_confirms",
                ]
                .iter()
                .fold(FieldTable::new(), |table, name| {
                    table.with(name, FieldValue::Bool(true))
                });
                let client_properties = FieldTable::new()
                    .with(
                        "connection_name",
                        self.name.as_deref().unwrap_or("pipithub"),
                    )
                    .with("product", "pipithub")
                    .with("version", env!("CARGO_PKG_VERSION"))
                    .with("capabilities", FieldValue::Table(capabilities));
                self.write(
                    0,
                    Method::ConnectionStartOk {
                        client_properties,
                        mechanism: ShortStr::truncated("PLAIN"),
                        response: Bytes::from(response),
                        locale: ShortStr::truncated("en_US"),
                    },
                );
                self.state = State::AwaitingTune;
            }
            (
                State::AwaitingStartOk,
                Method::ConnectionStartOk {
                    client_properties,
                    mechanism,
                    response,
                    ..
                },
            ) => {
                self.peer_properties = client_properties;
                let mut parts = response
                    .split(|b| *b == 0)
                    .map(|p| String::from_utf8_lossy(p).into_owned());
                let (_, user, password) = (parts.next(), parts.next(), parts.next());
                let (true, Some(user), Some(password), None) =
                    (&*mechanism == "PLAIN", user, password, parts.next())
                else {
                    return Err(Fault::new(
                        Code::AccessRefused,
                        "only a PLAIN login is taken",
                    ));
                };
                self.state = State::AwaitingLoginDecision;
                self.events.push_back(Event::Login { user, password });
            }
            (
                State::AwaitingTune,
                Method::ConnectionTune {
                    channel_max,
                    frame_max,
                    heartbeat,
                },
            ) => {
                self.tuning.channel_max = negotiated_limit(self.tuning.channel_max, channel_max);
                self.tuning.frame_max =
                    negotiated_limit(self.tuning.frame_max, frame_max).max(FRAME_MIN_SIZE);
                self.tuning.heartbeat = negotiated_limit(self.tuning.heartbeat, heartbeat);
                self.decoder.set_frame_max(self.tuning.frame_max);
                let Tuning {
                    channel_max,
                    frame_max,
                    heartbeat,
                    ..
                } = self.tuning;
                self.write(
                    0,
                    Method::ConnectionTuneOk {
                        channel_max,
                        frame_max,
                        heartbeat,
                    },
                );
                let virtual_host = ShortStr::truncated(&self.login.virtual_host);
                self.write(0, Method::ConnectionOpen { virtual_host });
                self.state = State::AwaitingOpenOk;
            }
            (
                State::AwaitingTuneOk,
                Method::ConnectionTuneOk {
                    channel_max,
                    frame_max,
                    heartbeat,
                },
            ) => {
                let fits =
                    |asked: u32, offered: u32| offered == 0 || asked != 0 && asked <= offered;
                if !fits(u32::from(channel_max), u32::from(self.tuning.channel_max))
                    || !fits(frame_max, self.tuning.frame_max)
                    || frame_max < FRAME_MIN_SIZE
                {
                    return Err(Fault::new(
                        Code::NotAllowed,
                        "tune-ok beyond what tune offered",
                    ));
                }
                self.tuning = Tuning {
                    channel_max,
                    frame_max,
                    heartbeat,
                    ..self.tuning
                };
                self.decoder.set_frame_max(frame_max);
                self.state = State::AwaitingOpen;
            }
            (State::AwaitingOpen, Method::ConnectionOpen { virtual_host }) => {
                self.state = State::AwaitingOpenDecision;
                self.events.push_back(Event::OpenRequested { virtual_host });
            }
            (State::AwaitingOpenOk, Method::ConnectionOpenOk {}) => self.connected(),
            (
                _,
                Method::ConnectionClose {
                    reply_code,
                    reply_text,
                    class_id,
                    method_id,
                },
            ) => {
                self.write(0, Method::ConnectionCloseOk {});
                let fault = Fault {
                    code: reply_code,
                    text: reply_text.to_string(),
                    class_id,
                    method_id,
                };
                self.finish(fault, true);
            }
            (State::Open, Method::ConnectionBlocked { reason }) => {
                self.events
                    .push_back(Event::Blocked(Some(reason.to_string())));
            }
            (State::Open, Method::ConnectionUnblocked {}) => {
                self.events.push_back(Event::Blocked(None));
            }
            (_, method) => {
                let text = format!("{} is not expected now", method.name());
                return Err(Fault::new(Code::CommandInvalid, text).caused_by(&method));
            }
        }
        Ok(())
    }

    fn handle_channel_method(&mut self, channel: u16, method: Method) -> Result<(), Fault> {
        let fault = |code, text: &str| Err(Fault::new(code, text).caused_by(&method));
        match (self.channels.get_mut(&channel), &method) {
            (None, Method::ChannelOpen {}) => {
                if self.tuning.channel_max != 0 && channel > self.tuning.channel_max {
                    return fault(Code::ChannelError, "channel beyond channel-max");
                }
                self.channels
                    .insert(channel, Channel::Open { assembly: None });
                self.write(channel, Method::ChannelOpenOk {});
                self.events.push_back(Event::ChannelOpened { channel });
            }
            (Some(_), Method::ChannelOpen {}) => {
                return fault(Code::ChannelError, "the channel is open already");
            }
            (None, _) => return fault(Code::ChannelError, "the channel is not open"),
            (Some(state @ Channel::Opening), Method::ChannelOpenOk {}) => {
                *state = Channel::Open { assembly: None };
                self.events.push_back(Event::ChannelOpened { channel });
            }
            (Some(Channel::Closing), Method::ChannelCloseOk {}) => {
                self.channels.remove(&channel);
            }
            (Some(Channel::Closing), Method::ChannelClose { .. }) => {
                // Both ends closed at once; the peer's close-ok is still to come.
                self.write(channel, Method::ChannelCloseOk {});
            }
            (Some(Channel::Closing), _) => {}
            (Some(Channel::Opening), _) => {
                return fault(Code::ChannelError, "the channel is not open yet");
            }
            (Some(Channel::Open { assembly: Some(_) }), _) => {
                return fault(
                    Code::UnexpectedFrame,
                    "a method where a content was to come",
                );
            }
            (
                Some(Channel::Open { .. }),
                Method::ChannelClose {
                    reply_code,
                    reply_text,
                    class_id,
                    method_id,
                },
            ) => {
                let fault = Fault {
                    code: *reply_code,
                    text: reply_text.to_string(),
                    class_id: *class_id,
                    method_id: *method_id,
                };
                self.channels.remove(&channel);
                self.write(channel, Method::ChannelCloseOk {});
                self.events.push_back(Event::ChannelClosed {
                    channel,
                    fault,
                    by_peer: true,
                });
            }
            (Some(Channel::Open { .. }), Method::ChannelFlow { active }) => {
                let active = *active;
                self.write(channel, Method::ChannelFlowOk { active });
                self.events.push_back(Event::Flow { channel, active });
            }
            (Some(Channel::Open { .. }), Method::ChannelOpenOk {} | Method::ChannelCloseOk {}) => {
                return fault(Code::CommandInvalid, "not expected on an open channel");
            }
            (Some(Channel::Open { assembly }), _) if method.has_content() => {
                *assembly = Some(Box::new(Assembly {
                    method,
                    header: None,
                    body: BytesMut::new(),
                }));
            }
            (Some(Channel::Open { .. }), _) => {
                self.events.push_back(Event::Method {
                    channel,
                    method,
                    content: None,
                });
            }
        }
        Ok(())
    }

    fn receive_content_header(
        &mut self,
        channel: u16,
        class_id: u16,
        body_size: u64,
        properties: Properties,
    ) -> Result<(), Fault> {
        let max_body = self.tuning.max_body;
        match self.channels.get_mut(&channel) {
            Some(Channel::Closing) => Ok(()),
            Some(Channel::Open {
                assembly: Some(assembly),
            }) if assembly.header.is_none() => {
                if assembly.method.ids().0 != class_id {
                    return Err(Fault::new(
                        Code::UnexpectedFrame,
                        "content header of another class",
                    ));
                }
                if body_size > max_body {
                    let text = format!("a body of {body_size} bytes is beyond {max_body}");
                    let fault = Fault::new(Code::ContentTooLarge, text).caused_by(&assembly.method);
                    self.close_channel(channel, fault);
                    return Ok(());
                }
                assembly.header = Some((body_size, properties));
                self.deliver_if_complete(channel);
                Ok(())
            }
            _ => Err(Fault::new(
                Code::UnexpectedFrame,
                "a content header that no method announced",
            )),
        }
    }

    fn receive_content_body(&mut self, channel: u16, bytes: &[u8]) -> Result<(), Fault> {
        match self.channels.get_mut(&channel) {
            Some(Channel::Closing) => Ok(()),
            Some(Channel::Open {
                assembly: Some(assembly),
            }) => {
                let Some((size, _)) = &assembly.header else {
                    return Err(Fault::new(
                        Code::UnexpectedFrame,
                        "a body before its header",
                    ));
                };
                if assembly.body.len() as u64 + bytes.len() as u64 > *size {
                    return Err(Fault::new(
                        Code::FrameError,
                        "a body longer than its header says",
                    ));
                }
                assembly.body.extend_from_slice(bytes);
                self.deliver_if_complete(channel);
                Ok(())
            }
            _ => Err(Fault::new(
                Code::UnexpectedFrame,
                "a body that no method announced",
            )),
        }
    }

    /// Hands out a content that is whole.
    fn deliver_if_complete(&mut self, channel: u16) {
        let Some(Channel::Open { assembly }) = self.channels.get_mut(&channel) else {
            return;
        };
        let whole = |a: &Assembly| {
            a.header
                .as_ref()
                .is_some_and(|(size, _)| a.body.len() as u64 == *size)
        };
        if assembly.as_ref().is_some_and(|a| whole(a))
            && let Some(whole) = assembly.take()
        {
            let Assembly {
                method,
                header,
                body,
            } = *whole;
            let properties = header.map(|(_, p)| p).unwrap_or_default();
            let content = Some(Box::new(Content {
                properties,
                body: body.freeze(),
            }));
            self.events.push_back(Event::Method {
                channel,
                method,
                content,
            });
        }
    }
}

/// The lesser of two limits where 0 stands for none.
fn negotiated_limit<T: Ord + Default + Copy>(a: T, b: T) -> T {
    let none = T::default();
    if a == none {
        b
    } else if b == none {
        a
    } else {
        a.min(b)
    }
}

fn close_method(fault: &Fault) -> Method {
    Method::ConnectionClose {
        reply_code: fault.code,
        reply_text: ShortStr::truncated(&fault.text),
        class_id: fault.class_id,
        method_id: fault.method_id,
    }
}
