//! The methods of the connection itself (specification 2.2.4), and the server's decisions on login and virtual host.

use bytes::Bytes;

use super::{Endpoint, Event, State, Tuning};
use crate::frame::FRAME_MIN_SIZE;
use crate::method::Method;
use crate::reply::{Code, Fault};
use crate::value::{FieldTable, FieldValue, ShortStr};

impl Endpoint {
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

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    pub(super) fn handle_connection_method(&mut self, method: Method) -> Result<(), Fault> {
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
