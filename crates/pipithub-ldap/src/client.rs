//! One client connection as a state machine: `StartTLS`, simple bind, searches, abandon.
//!
//! Nothing is asked before the bind is over, nothing is sent in the clear where TLS is wanted, and what a server sends
//! between its word on `StartTLS` and the handshake ends the connection: it could be anybody's.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use rasn_ldap::{
    AbandonRequest, AuthenticationChoice, BindRequest, Control, ExtendedRequest, Filter,
    LdapMessage, LdapResult, ProtocolOp, ResultCode, SearchRequest, SearchRequestDerefAliases,
    SearchRequestScope, SearchResultEntry, UnbindRequest,
};

use crate::frame::{Framer, encode};
use crate::sync::{self, DoneValue, Info, StateValue};
use crate::{Dn, oid};

/// How a connection is set up.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Ask for TLS before anything else.
    pub start_tls: bool,
    /// Name and password of the simple bind; `None`: anonymous, without a bind.
    pub bind: Option<(String, Bytes)>,
    /// Bytes that a message may have.
    pub max_message: usize,
    /// Searches at a time; one more is not begun.
    pub max_searches: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        ClientSettings {
            start_tls: false,
            bind: None,
            max_message: 1 << 20,
            max_searches: 64,
        }
    }
}

/// Names a search on its connection: its message id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u32);

/// A search.
#[derive(Clone, Debug)]
pub struct Search {
    /// Where it begins, as written.
    pub base: String,
    /// How far it goes.
    pub scope: SearchRequestScope,
    /// What it looks for.
    pub filter: Filter,
    /// The attributes wanted.
    pub attributes: Vec<String>,
    /// Entries wanted at most; 0: no limit.
    pub size_limit: u32,
    /// Whole seconds that the server may take; 0: no limit.
    pub time_limit: u32,
    /// Controls.
    pub controls: Vec<Control>,
}

/// An entry as the server reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub dn: Dn,
    /// Attributes with their values.
    pub attributes: Vec<(String, Vec<Bytes>)>,
    /// In a synchronisation, what it is.
    pub state: Option<StateValue>,
}

impl Entry {
    /// The values of an attribute; names are compared without regard to case.
    pub fn values(&self, attribute: &str) -> impl Iterator<Item = &[u8]> {
        let named = self
            .attributes
            .iter()
            .filter(move |(name, _)| name.eq_ignore_ascii_case(attribute));
        named.flat_map(|(_, values)| values.iter().map(|v| &v[..]))
    }

    /// The first value of an attribute, as text.
    pub fn text(&self, attribute: &str) -> Option<&str> {
        self.values(attribute)
            .find_map(|v| std::str::from_utf8(v).ok())
    }
}

/// How a search ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The server's result.
    pub code: ResultCode,
    /// Its words.
    pub message: String,
    /// Where else to ask, as it says.
    pub referrals: Vec<String>,
    /// The cookie of the next page; empty: there is none.
    pub page: Option<Bytes>,
    /// The end of a synchronisation.
    pub sync: Option<DoneValue>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server agreed to TLS: the transport is to be made one, then [`Client::secured`] called.
    BeginTls,
    /// Searches may begin.
    Ready,
    /// An entry.
    Entry(SearchId, Box<Entry>),
    /// A place to go on at, which is not followed.
    Reference(SearchId, Vec<String>),
    /// News of a synchronisation.
    Info(SearchId, Info),
    /// A search is over.
    Done(SearchId, Outcome),
    /// The connection is of no use any more.
    Closed(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    StartTls(u32),
    Handshake,
    Binding(u32),
    Ready,
    Closed,
}

/// A connection.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    phase: Phase,
    framer: Framer,
    output: BytesMut,
    events: VecDeque<Event>,
    pending_searches: BTreeMap<u32, ()>,
    next_message_id: u32,
}

impl Client {
    /// A connection whose transport is up (and secured already, for `ldaps`).
    pub fn new(settings: ClientSettings) -> Self {
        let framer = Framer::new(settings.max_message);
        let mut client = Client {
            framer,
            phase: Phase::Handshake,
            output: BytesMut::new(),
            events: VecDeque::new(),
            pending_searches: BTreeMap::new(),
            next_message_id: 1,
            settings,
        };
        if client.settings.start_tls {
            let request = ExtendedRequest {
                request_name: Bytes::from_static(oid::START_TLS).into(),
                request_value: None,
            };
            let id = client.send(ProtocolOp::ExtendedReq(request), Vec::new());
            client.phase = Phase::StartTls(id);
        } else {
            client.bind();
        }
        client
    }

    fn send(&mut self, op: ProtocolOp, controls: Vec<Control>) -> u32 {
        let id = self.next_message_id;
        // Ids are never 0, and far from each other in time when they come again.
        self.next_message_id = if id >= i32::MAX as u32 { 1 } else { id + 1 };
        let mut message = LdapMessage::new(id, op);
        message.controls = (!controls.is_empty()).then_some(controls);
        self.output.extend_from_slice(&encode(&message));
        id
    }

    fn bind(&mut self) {
        let Some((name, password)) = self.settings.bind.clone() else {
            self.phase = Phase::Ready;
            self.events.push_back(Event::Ready);
            return;
        };
        let choice = AuthenticationChoice::Simple(password.into());
        let id = self.send(
            ProtocolOp::BindRequest(BindRequest::new(3, name.as_str().into(), choice)),
            Vec::new(),
        );
        self.phase = Phase::Binding(id);
    }

    fn close(&mut self, reason: impl Into<String>) {
        if self.phase != Phase::Closed {
            self.phase = Phase::Closed;
            self.pending_searches.clear();
            self.events.push_back(Event::Closed(reason.into()));
        }
    }

    /// The transport is TLS now.
    pub fn secured(&mut self) {
        if self.phase == Phase::Handshake {
            self.bind();
        }
    }

    /// Whether searches may begin.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Searches that are not over.
    pub fn pending_searches(&self) -> usize {
        self.pending_searches.len()
    }

    /// Begins a search; `None`: the connection is not ready, or as many are under way as may be.
    pub fn search(&mut self, search: Search) -> Option<SearchId> {
        if self.phase != Phase::Ready || self.pending_searches.len() >= self.settings.max_searches {
            return None;
        }
        let request = SearchRequest::new(
            search.base.as_str().into(),
            search.scope,
            SearchRequestDerefAliases::NeverDerefAliases,
            search.size_limit,
            search.time_limit,
            false,
            search.filter,
            search
                .attributes
                .iter()
                .map(|a| a.as_str().into())
                .collect(),
        );
        let id = self.send(ProtocolOp::SearchRequest(request), search.controls);
        self.pending_searches.insert(id, ());
        Some(SearchId(id))
    }

    /// Gives a search up: nothing more is told of it.
    pub fn abandon(&mut self, id: SearchId) {
        if self.pending_searches.remove(&id.0).is_some() {
            self.send(ProtocolOp::AbandonRequest(AbandonRequest(id.0)), Vec::new());
        }
    }

    /// Says good-bye.
    pub fn unbind(&mut self) {
        if matches!(self.phase, Phase::Ready | Phase::Binding(_)) {
            self.send(ProtocolOp::UnbindRequest(UnbindRequest), Vec::new());
        }
        self.phase = Phase::Closed;
    }

    /// Bytes to write.
    pub fn take_output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// What happened next.
    pub fn poll(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Bytes have come.
    pub fn receive(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Closed {
            return;
        }
        self.framer.push(bytes);
        while self.phase != Phase::Closed {
            if self.phase == Phase::Handshake {
                if self.framer.waiting() > 0 {
                    self.close("bytes in the clear between StartTLS and its handshake");
                }
                return;
            }
            match self.framer.take() {
                Ok(Some(message)) => self.message(message),
                Ok(None) => return,
                Err(error) => self.close(error.to_string()),
            }
        }
    }

    fn message(&mut self, message: LdapMessage) {
        let id = message.message_id;
        let controls = message.controls;
        match (message.protocol_op, self.phase) {
            (ProtocolOp::ExtendedResp(r), _) if id == 0 => {
                let notice = r.response_name.as_deref() == Some(oid::NOTICE_OF_DISCONNECTION);
                let words = &r.diagnostic_message.0;
                let what = if notice {
                    "the server ends the connection"
                } else {
                    "an unsolicited message"
                };
                self.close(format!("{what}: {:?} {words}", r.result_code));
            }
            (ProtocolOp::ExtendedResp(r), Phase::StartTls(request_id)) if id == request_id => {
                match r.result_code {
                    ResultCode::Success => {
                        self.phase = Phase::Handshake;
                        self.events.push_back(Event::BeginTls);
                    }
                    code => self.close(format!(
                        "StartTLS refused: {code:?} {}",
                        r.diagnostic_message.0
                    )),
                }
            }
            (ProtocolOp::BindResponse(r), Phase::Binding(request_id)) if id == request_id => {
                match r.result_code {
                    ResultCode::Success => {
                        self.phase = Phase::Ready;
                        self.events.push_back(Event::Ready);
                    }
                    code => {
                        self.close(format!("bind refused: {code:?} {}", r.diagnostic_message.0));
                    }
                }
            }
            (ProtocolOp::SearchResEntry(entry), Phase::Ready) => {
                if self.pending_searches.contains_key(&id) {
                    match read_entry(entry, controls.as_ref()) {
                        Ok(entry) => self
                            .events
                            .push_back(Event::Entry(SearchId(id), Box::new(entry))),
                        Err(reason) => self.close(reason),
                    }
                }
            }
            (ProtocolOp::SearchResRef(reference), Phase::Ready) => {
                if self.pending_searches.contains_key(&id) {
                    let urls = reference.0.into_iter().map(|u| u.0).collect();
                    self.events.push_back(Event::Reference(SearchId(id), urls));
                }
            }
            (ProtocolOp::IntermediateResponse(news), Phase::Ready) => {
                let sync = news.response_name.as_deref() == Some(oid::SYNC_INFO);
                if sync && self.pending_searches.contains_key(&id) {
                    match news.response_value.as_deref().and_then(sync::read_info) {
                        Some(info) => self.events.push_back(Event::Info(SearchId(id), info)),
                        None => self.close("a sync info message that cannot be read"),
                    }
                }
            }
            (ProtocolOp::SearchResDone(done), Phase::Ready) => {
                // An answer to a search that was given up may still come: it is passed over.
                if self.pending_searches.remove(&id).is_some() {
                    let outcome = read_outcome(done.0, controls.as_ref());
                    self.events.push_back(Event::Done(SearchId(id), outcome));
                }
            }
            (op, phase) => {
                let kind = format!("{op:?}");
                let kind = kind.split('(').next().unwrap_or_default();
                self.close(format!("{kind} with id {id} is not expected in {phase:?}"));
            }
        }
    }
}

fn read_entry(result: SearchResultEntry, controls: Option<&Vec<Control>>) -> Result<Entry, String> {
    let dn = Dn::parse(&result.object_name.0).map_err(|e| e.to_string())?;
    let attributes = result.attributes.into_iter();
    let attributes = attributes.map(|a| {
        (
            a.r#type.0.clone(),
            a.vals
                .to_vec()
                .into_iter()
                .map(|v| Bytes::copy_from_slice(v))
                .collect(),
        )
    });
    Ok(Entry {
        dn,
        attributes: attributes.collect(),
        state: sync::read_state(controls),
    })
}

fn read_outcome(result: LdapResult, controls: Option<&Vec<Control>>) -> Outcome {
    Outcome {
        code: result.result_code,
        message: result.diagnostic_message.0.chars().take(200).collect(),
        referrals: result
            .referral
            .unwrap_or_default()
            .into_iter()
            .map(|u| u.0)
            .take(16)
            .collect(),
        page: sync::read_paged(controls).map(|p| p.1),
        sync: sync::read_done(controls),
    }
}
