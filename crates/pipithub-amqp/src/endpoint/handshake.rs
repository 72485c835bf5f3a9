//! The methods of the connection itself (specification 2.2.4), and the server's decisions about login and virtual host.

use bytes::Bytes;

use super::{Endpoint, Event, Role, State, Tuning};
use crate::frame::FRAME_MIN_SIZE;
use crate::method::Method;
use crate::reply::{Code, Fault};
use crate::value::{FieldTable, FieldValue, ShortStr};

/// The only supported authentication mechanism.
const MECHANISM: &str = "PLAIN";
/// The only supported locale, which the specification requires.
const LOCALE: &str = "en_US";
/// The protocol version in `connection.start` (specification 4.2.2).
const VERSION_MAJOR: u8 = 0;
const VERSION_MINOR: u8 = 9;

const CLIENT_CAPABILITIES: [&str; 3] = [
    "connection.blocked",
    "consumer_cancel_notify",
    "publisher_confirms",
];
const SERVER_CAPABILITIES: [&str; 4] = [
    "basic.nack",
    "publisher_confirms",
    "connection.blocked",
    "consumer_cancel_notify",
];

impl Endpoint {
    /// Server: accepts the login of [`Event::Login`]. Does nothing if no login is pending.
    pub fn accept_login(&mut self) {
        if self.state == State::AwaitingLoginDecision {
            self.write(
                0,
                Method::ConnectionTune {
                    channel_max: self.tuning.channel_max,
                    frame_max: self.tuning.frame_max,
                    heartbeat: self.tuning.heartbeat,
                },
            );
            self.state = State::AwaitingTuneOk;
        }
    }

    /// Server: rejects the login, which closes the connection with reply code 403 and this text.
    pub fn reject_login(&mut self, text: &str) {
        self.close(Fault::new(Code::AccessRefused, text));
    }

    /// Server: accepts the virtual host of [`Event::OpenRequested`], which opens the connection. Does nothing if no
    /// request is pending.
    pub fn accept_open(&mut self) {
        if self.state == State::AwaitingOpenDecision {
            self.write(0, Method::ConnectionOpenOk {});
            self.connected();
        }
    }

    /// Server: rejects the virtual host, which closes the connection with this fault.
    pub fn reject_open(&mut self, fault: Fault) {
        self.close(fault);
    }

    fn connected(&mut self) {
        self.state = State::Open;
        self.events.push_back(Event::Connected);
    }

    /// Server: answers the protocol header of the client.
    pub(super) fn send_start(&mut self) {
        let server_properties = FieldTable::new()
            .with("product", "pipithub stand-in")
            .with("capabilities", capabilities(&SERVER_CAPABILITIES));
        self.write(
            0,
            Method::ConnectionStart {
                version_major: VERSION_MAJOR,
                version_minor: VERSION_MINOR,
                server_properties,
                mechanisms: Bytes::from_static(MECHANISM.as_bytes()),
                locales: Bytes::from_static(LOCALE.as_bytes()),
            },
        );
        self.state = State::AwaitingStartOk;
    }

    pub(super) fn handle_connection_method(&mut self, method: Method) -> Result<(), Fault> {
        match (self.state, method) {
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
                Ok(())
            }
            (State::Open, Method::ConnectionBlocked { reason }) => {
                let reason = reason.to_string();
                self.events.push_back(Event::Blocked(Some(reason)));
                Ok(())
            }
            (State::Open, Method::ConnectionUnblocked {}) => {
                self.events.push_back(Event::Blocked(None));
                Ok(())
            }
            (_, method) => match self.role {
                Role::Client => self.handle_server_handshake(method),
                Role::Server => self.handle_client_handshake(method),
            },
        }
    }

    /// Client: handles the server's methods of the handshake.
    fn handle_server_handshake(&mut self, method: Method) -> Result<(), Fault> {
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
                check_version(version_major, version_minor)?;
                check_mechanisms(&mechanisms)?;
                self.peer_properties = server_properties;
                self.send_start_ok();
                Ok(())
            }
            (
                State::AwaitingTune,
                Method::ConnectionTune {
                    channel_max,
                    frame_max,
                    heartbeat,
                },
            ) => {
                self.handle_tune(channel_max, frame_max, heartbeat);
                Ok(())
            }
            (State::AwaitingOpenOk, Method::ConnectionOpenOk {}) => {
                self.connected();
                Ok(())
            }
            (_, method) => Err(not_expected(&method)),
        }
    }

    /// Server: handles the client's methods of the handshake.
    fn handle_client_handshake(&mut self, method: Method) -> Result<(), Fault> {
        match (self.state, method) {
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
                self.handle_login(&mechanism, &response)
            }
            (
                State::AwaitingTuneOk,
                Method::ConnectionTuneOk {
                    channel_max,
                    frame_max,
                    heartbeat,
                },
            ) => self.handle_tune_ok(channel_max, frame_max, heartbeat),
            (State::AwaitingOpen, Method::ConnectionOpen { virtual_host }) => {
                self.state = State::AwaitingOpenDecision;
                self.events.push_back(Event::OpenRequested { virtual_host });
                Ok(())
            }
            (_, method) => Err(not_expected(&method)),
        }
    }

    /// Client: sends the login and the client's properties.
    fn send_start_ok(&mut self) {
        let name = self.connection_name.as_deref().unwrap_or("pipithub");
        let client_properties = FieldTable::new()
            .with("connection_name", name)
            .with("product", "pipithub")
            .with("version", env!("CARGO_PKG_VERSION"))
            .with("capabilities", capabilities(&CLIENT_CAPABILITIES));
        // The response of PLAIN (RFC 4616): an empty authorization identity, the user, the password.
        let response = format!("\0{}\0{}", self.login.user, self.login.password);
        self.write(
            0,
            Method::ConnectionStartOk {
                client_properties,
                mechanism: ShortStr::truncated(MECHANISM),
                response: Bytes::from(response),
                locale: ShortStr::truncated(LOCALE),
            },
        );
        self.state = State::AwaitingTune;
    }

    /// Server: decodes the response of PLAIN (RFC 4616) and reports the login. The authorization identity is ignored.
    fn handle_login(&mut self, mechanism: &str, response: &[u8]) -> Result<(), Fault> {
        let mut parts = response
            .split(|byte| *byte == 0)
            .map(|part| String::from_utf8_lossy(part).into_owned());
        let (_, user, password) = (parts.next(), parts.next(), parts.next());
        let (true, Some(user), Some(password), None) =
            (mechanism == MECHANISM, user, password, parts.next())
        else {
            return Err(Fault::new(
                Code::AccessRefused,
                "only a PLAIN login is taken",
            ));
        };
        self.state = State::AwaitingLoginDecision;
        self.events.push_back(Event::Login { user, password });
        Ok(())
    }

    /// Client: takes the lower of each pair of limits, and requests the virtual host.
    fn handle_tune(&mut self, channel_max: u16, frame_max: u32, heartbeat: u16) {
        self.tuning = Tuning {
            channel_max: negotiated_limit(self.tuning.channel_max, channel_max),
            frame_max: negotiated_limit(self.tuning.frame_max, frame_max).max(FRAME_MIN_SIZE),
            heartbeat: negotiated_limit(self.tuning.heartbeat, heartbeat),
            ..self.tuning
        };
        self.decoder.set_frame_max(self.tuning.frame_max);
        self.write(
            0,
            Method::ConnectionTuneOk {
                channel_max: self.tuning.channel_max,
                frame_max: self.tuning.frame_max,
                heartbeat: self.tuning.heartbeat,
            },
        );
        let virtual_host = ShortStr::truncated(&self.login.virtual_host);
        self.write(0, Method::ConnectionOpen { virtual_host });
        self.state = State::AwaitingOpenOk;
    }

    /// Server: takes the limits that the client chose, which must not exceed the offered ones.
    fn handle_tune_ok(
        &mut self,
        channel_max: u16,
        frame_max: u32,
        heartbeat: u16,
    ) -> Result<(), Fault> {
        let fits = |asked: u32, offered: u32| offered == 0 || asked != 0 && asked <= offered;
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
        Ok(())
    }
}

fn not_expected(method: &Method) -> Fault {
    let text = format!("{} is not expected now", method.name());
    Fault::new(Code::CommandInvalid, text).caused_by(method)
}

/// Client: checks that the server uses this version of the protocol.
fn check_version(major: u8, minor: u8) -> Result<(), Fault> {
    if (major, minor) == (VERSION_MAJOR, VERSION_MINOR) {
        return Ok(());
    }
    Err(Fault::new(
        Code::NotImplemented,
        "the server does not speak AMQP 0-9-1",
    ))
}

/// Client: checks that the server offers the supported mechanism. `mechanisms` are separated by spaces.
fn check_mechanisms(mechanisms: &[u8]) -> Result<(), Fault> {
    let mut offered = mechanisms.split(|byte| *byte == b' ');
    if !offered.any(|mechanism| mechanism == MECHANISM.as_bytes()) {
        return Err(Fault::new(
            Code::AccessRefused,
            "the server does not offer PLAIN",
        ));
    }
    Ok(())
}

fn capabilities(names: &[&str]) -> FieldValue {
    let mut table = FieldTable::new();
    for name in names {
        table = table.with(name, FieldValue::Bool(true));
    }
    FieldValue::Table(table)
}

/// The lower of two limits, of which 0 means that there is none.
fn negotiated_limit<T: Ord + Default + Copy>(ours: T, theirs: T) -> T {
    let no_limit = T::default();
    if ours == no_limit {
        theirs
    } else if theirs == no_limit {
        ours
    } else {
        ours.min(theirs)
    }
}
