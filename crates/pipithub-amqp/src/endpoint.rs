//! One connection and its channels, for either end (specification 2.2, 4.2, 4.9 and 4.10).
//!
//! The caller moves bytes: what came goes to [`Endpoint::receive`], what [`Endpoint::take_output`] returns is to be written.
//! [`Endpoint::poll_event`] tells what happened, [`Endpoint::next_timeout`] when [`Endpoint::on_time`] is due.

mod channels;
mod event;
mod handshake;
mod receiving;
mod sending;
mod settings;

pub use event::{Content, Event, SendError};
pub use settings::{Login, Role, Tuning};

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};

use crate::frame::{FRAME_MIN_SIZE, Frame, FrameDecoder, Payload};
use crate::method::Method;
use crate::reply::{Code, Fault};
use crate::value::{FieldTable, ShortStr};
use crate::{PROTOCOL_HEADER, Time};
use channels::Channel;

const SECOND: Time = 1_000_000_000;
/// A handshake that takes longer is given up: a peer that says nothing must not hold a connection for ever.
const HANDSHAKE_TIMEOUT: Time = 10 * SECOND;
/// How long `close-ok` is waited for.
const CLOSE_TIMEOUT: Time = 5 * SECOND;

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
}

fn close_method(fault: &Fault) -> Method {
    Method::ConnectionClose {
        reply_code: fault.code,
        reply_text: ShortStr::truncated(&fault.text),
        class_id: fault.class_id,
        method_id: fault.method_id,
    }
}
