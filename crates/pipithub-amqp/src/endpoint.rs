//! One connection and its channels, for clients and servers (specification 2.2, 4.2, 4.9 and 4.10).
//!
//! The caller does the I/O: it passes received bytes to [`Endpoint::receive`] and writes the bytes that
//! [`Endpoint::take_output`] returns. [`Endpoint::poll_event`] returns the events that resulted, and
//! [`Endpoint::next_timeout`] the time at which [`Endpoint::handle_timeout`] is to be called.

mod channels;
mod event;
mod handshake;
mod receiving;
mod sending;
mod settings;

pub use event::{Content, Event, SendError};
pub use settings::{Login, Role, Tuning};

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use bytes::{Bytes, BytesMut};

use crate::frame::{FRAME_MIN_SIZE, FrameDecoder, Payload};
use crate::method::Method;
use crate::reply::{Code, Fault};
use crate::value::{FieldTable, ShortStr};
use crate::{PROTOCOL_HEADER, Time};
use channels::Channel;

const SECOND: Time = 1_000_000_000;
/// Longest duration of the handshake, so that a peer that sends nothing cannot occupy a connection forever.
const HANDSHAKE_TIMEOUT: Time = 10 * SECOND;
/// How long `close-ok` is awaited before the connection ends without it.
const CLOSE_TIMEOUT: Time = 5 * SECOND;

/// The state of a connection. In the `Awaiting` states of the handshake, the peer's method of that name is expected
/// next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Server: the client's protocol header is expected.
    AwaitingHeader,
    AwaitingStart,
    AwaitingStartOk,
    AwaitingTune,
    AwaitingTuneOk,
    AwaitingOpen,
    AwaitingOpenOk,
    /// Server: the caller is to accept or reject the login.
    AwaitingLoginDecision,
    /// Server: the caller is to accept or reject the virtual host.
    AwaitingOpenDecision,
    /// Methods may be sent and received.
    Open,
    /// `connection.close` was sent, `close-ok` is expected.
    Closing,
    Closed,
}

/// One end of a connection, with its channels.
pub struct Endpoint {
    role: Role,
    login: Login,
    tuning: Tuning,
    state: State,
    decoder: FrameDecoder,
    output: BytesMut,
    channels: BTreeMap<u16, Channel>,
    events: VecDeque<Event>,
    /// When the handshake or the closing began, from which its timeout counts.
    phase_started: Time,
    /// The time that the caller passed to [`Endpoint::receive`] or [`Endpoint::handle_timeout`] last.
    now: Time,
    last_sent: Time,
    last_received: Time,
    peer_properties: FieldTable,
    /// Client: the `connection_name` that is sent to the server.
    connection_name: Option<String>,
}

/// The buffers and events are left out, since they may hold a password.
impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint")
            .field("role", &self.role)
            .field("login", &self.login)
            .field("tuning", &self.tuning)
            .field("state", &self.state)
            .field("channels", &self.channels)
            .finish_non_exhaustive()
    }
}

impl Endpoint {
    /// Creates the client's end of a connection. The protocol header is in its output at once.
    pub fn client(login: Login, tuning: Tuning, now: Time) -> Self {
        let mut endpoint = Self::new(Role::Client, login, tuning, State::AwaitingStart, now);
        endpoint.output.extend_from_slice(&PROTOCOL_HEADER);
        endpoint
    }

    /// Creates the server's end of a connection, which waits for the client's protocol header.
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
            connection_name: None,
        }
    }

    /// Client: sets the name that the server shows for the connection; `pipithub` by default.
    pub fn named(mut self, name: &str) -> Self {
        self.connection_name = Some(name.to_string());
        self
    }

    /// The limits in force: those of the constructor, and the negotiated ones once the connection is open.
    pub fn tuning(&self) -> Tuning {
        self.tuning
    }

    /// The properties that the peer sent in the handshake; empty before that.
    pub fn peer_properties(&self) -> &FieldTable {
        &self.peer_properties
    }

    /// Whether the handshake is complete and the connection is not being closed.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether the connection has ended. The socket may be closed once the output is written.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Number of bytes to be written. It is not bounded here: callers should stop sending above a limit of their own.
    pub fn output_len(&self) -> usize {
        self.output.len()
    }

    /// Removes and returns the bytes to be written.
    pub fn take_output(&mut self, now: Time) -> Bytes {
        if !self.output.is_empty() {
            self.last_sent = now;
        }
        self.output.split().freeze()
    }

    /// Removes and returns the oldest event; `None` if there is none.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Endpoint::handle_timeout`] is to be called next; `None` if no timeout is pending.
    pub fn next_timeout(&self) -> Option<Time> {
        match self.state {
            State::Closed => None,
            State::Open => {
                let interval = self.heartbeat_interval()?;
                let send_due = self.last_sent + interval / 2;
                let silence_due = self.last_received + 2 * interval;
                Some(send_due.min(silence_due))
            }
            State::Closing => Some(self.phase_started + CLOSE_TIMEOUT),
            _ => Some(self.phase_started + HANDSHAKE_TIMEOUT),
        }
    }

    /// Handles timeouts: sends a heartbeat if one is due, ends a connection whose peer was silent for two heartbeat
    /// intervals (specification 4.2.7), and ends a handshake or closing that takes too long.
    pub fn handle_timeout(&mut self, now: Time) {
        self.now = now;
        match self.state {
            State::Closed => {}
            State::Open => self.check_heartbeat(),
            State::Closing => {
                if now >= self.phase_started + CLOSE_TIMEOUT {
                    self.state = State::Closed;
                }
            }
            _ => {
                if now >= self.phase_started + HANDSHAKE_TIMEOUT {
                    let fault = Fault::new(Code::ConnectionForced, "the handshake took too long");
                    self.finish(fault, false);
                }
            }
        }
    }

    /// The heartbeat interval; `None` if heartbeats are disabled.
    fn heartbeat_interval(&self) -> Option<Time> {
        let seconds = self.tuning.heartbeat;
        (seconds > 0).then(|| Time::from(seconds) * SECOND)
    }

    fn check_heartbeat(&mut self) {
        let Some(interval) = self.heartbeat_interval() else {
            return;
        };
        if self.now >= self.last_received + 2 * interval {
            let fault = Fault::new(
                Code::ConnectionForced,
                "the peer sent nothing for two heartbeat intervals",
            );
            return self.finish(fault, false);
        }
        if self.now >= self.last_sent + interval / 2 {
            self.last_sent = self.now;
            self.write_payload(0, Payload::Heartbeat);
        }
    }

    /// Ends the connection without sending `close`.
    fn finish(&mut self, fault: Fault, by_peer: bool) {
        self.state = State::Closed;
        self.channels.clear();
        self.events.push_back(Event::Closed { fault, by_peer });
    }

    /// Closes the connection: sends `close` and reports [`Event::Closed`] without waiting for `close-ok`. Does nothing
    /// if the connection is closing or closed.
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
}

fn close_method(fault: &Fault) -> Method {
    Method::ConnectionClose {
        reply_code: fault.code,
        reply_text: ShortStr::truncated(&fault.text),
        class_id: fault.class_id,
        method_id: fault.method_id,
    }
}
