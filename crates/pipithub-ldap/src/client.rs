//! One client connection as a state machine: `StartTLS`, simple bind, searches, abandon.
//!
//! No search is sent before the bind has succeeded, and no password in the clear where TLS is wanted. Bytes that arrive
//! between the response to `StartTLS` and the handshake end the connection, since anybody on the path could have
//! inserted them.

use std::collections::{BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use rasn_ldap::{
    AbandonRequest, AuthenticationChoice, BindRequest, BindResponse, Control, ExtendedRequest,
    ExtendedResponse, Filter, IntermediateResponse, LdapMessage, LdapResult, PartialAttribute,
    ProtocolOp, ResultCode, SearchRequest, SearchRequestDerefAliases, SearchRequestScope,
    SearchResultDone, SearchResultEntry, SearchResultReference, UnbindRequest,
};

use crate::dn::InvalidDn;
use crate::frame::{Framer, encode};
use crate::sync::{self, DoneValue, Info, StateValue};
use crate::{Dn, oid};

/// The protocol version of a bind request (RFC 4511, 4.2).
const LDAP_VERSION: u8 = 3;
/// Characters of a server's diagnostic message that are kept.
const MAX_DIAGNOSTIC_LENGTH: usize = 200;
/// Referrals of a result that are kept.
const MAX_REFERRALS: usize = 16;

/// The name and password of a simple bind.
#[derive(Clone, Debug)]
pub struct SimpleBind {
    /// The distinguished name, as written.
    pub name: String,
    /// The password.
    pub password: Bytes,
}

/// How a connection is set up.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Whether to negotiate TLS before anything else.
    pub start_tls: bool,
    /// The simple bind; `None`: anonymous, without a bind request.
    pub bind: Option<SimpleBind>,
    /// The largest message accepted, in bytes.
    pub max_message: usize,
    /// The largest number of pending searches; one more is not begun.
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

/// Identifies a search on its connection: the message id of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u32);

/// A search request.
#[derive(Clone, Debug)]
pub struct Search {
    /// The distinguished name of the base object, as written.
    pub base: String,
    /// Whether the base alone, its children or its whole subtree is searched.
    pub scope: SearchRequestScope,
    /// The condition that entries are to match.
    pub filter: Filter,
    /// The attributes to return.
    pub attributes: Vec<String>,
    /// The largest number of entries to return; 0: no limit.
    pub size_limit: u32,
    /// Whole seconds that the server may take; 0: no limit.
    pub time_limit: u32,
    /// Controls of the request.
    pub controls: Vec<Control>,
}

/// An attribute of an entry with its values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribute {
    /// The attribute description, as the server writes it.
    pub name: String,
    /// The values, in the server's order.
    pub values: Vec<Bytes>,
}

/// An entry that a search returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The distinguished name.
    pub dn: Dn,
    /// The attributes returned.
    pub attributes: Vec<Attribute>,
    /// In a synchronisation, whether the entry was added, changed or removed.
    pub state: Option<StateValue>,
}

impl Entry {
    /// The values of an attribute; names are compared without regard to case.
    pub fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.attributes
            .iter()
            .filter(move |attribute| attribute.name.eq_ignore_ascii_case(name))
            .flat_map(|attribute| attribute.values.iter().map(|value| &value[..]))
    }

    /// The first value of an attribute that is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.values(name)
            .find_map(|value| std::str::from_utf8(value).ok())
    }
}

/// How a search ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The server's result code.
    pub code: ResultCode,
    /// The server's diagnostic message.
    pub message: String,
    /// The URLs of other servers to ask.
    pub referrals: Vec<String>,
    /// The cookie of the next page; empty: there is none.
    pub page: Option<Bytes>,
    /// The sync done control, where the search was a synchronisation.
    pub sync: Option<DoneValue>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server agreed to TLS: the caller does the handshake, then calls [`Client::secured`].
    BeginTls,
    /// The connection is bound; searches may begin.
    Ready,
    /// A search returned an entry.
    Entry(SearchId, Box<Entry>),
    /// A search returned a continuation reference, which the client does not follow.
    Reference(SearchId, Vec<String>),
    /// A sync info message of a synchronisation.
    Info(SearchId, Info),
    /// A search has ended.
    Done(SearchId, Outcome),
    /// The connection has failed or was closed by the server, for the reason given; no event follows.
    Closed(String),
}

/// The step that a connection has reached. Its debug text is part of error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The response to the `StartTLS` request of this id is awaited.
    StartTls(u32),
    /// The caller does the TLS handshake.
    Handshake,
    /// The response to the bind request of this id is awaited.
    Binding(u32),
    Ready,
    Closed,
}

/// The client's end of one LDAP connection.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    phase: Phase,
    framer: Framer,
    output: BytesMut,
    events: VecDeque<Event>,
    pending_searches: BTreeSet<u32>,
    next_message_id: u32,
}

impl Client {
    /// Starts on a transport that is connected (and secured already, for `ldaps`).
    pub fn new(settings: ClientSettings) -> Self {
        let framer = Framer::new(settings.max_message);
        let mut client = Client {
            framer,
            phase: Phase::Handshake,
            output: BytesMut::new(),
            events: VecDeque::new(),
            pending_searches: BTreeSet::new(),
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
        // An id is never 0, and comes again only after all others were used.
        self.next_message_id = if id >= i32::MAX as u32 { 1 } else { id + 1 };
        let mut message = LdapMessage::new(id, op);
        message.controls = (!controls.is_empty()).then_some(controls);
        self.output.extend_from_slice(&encode(&message));
        id
    }

    fn bind(&mut self) {
        let Some(bind) = self.settings.bind.clone() else {
            self.phase = Phase::Ready;
            self.events.push_back(Event::Ready);
            return;
        };
        let authentication = AuthenticationChoice::Simple(bind.password.into());
        let request = BindRequest::new(LDAP_VERSION, bind.name.as_str().into(), authentication);
        let id = self.send(ProtocolOp::BindRequest(request), Vec::new());
        self.phase = Phase::Binding(id);
    }

    fn close(&mut self, reason: impl Into<String>) {
        if self.phase != Phase::Closed {
            self.phase = Phase::Closed;
            self.pending_searches.clear();
            self.events.push_back(Event::Closed(reason.into()));
        }
    }

    /// The TLS handshake has succeeded.
    pub fn secured(&mut self) {
        if self.phase == Phase::Handshake {
            self.bind();
        }
    }

    /// Whether searches may begin.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// The number of searches that have not ended.
    pub fn pending_searches(&self) -> usize {
        self.pending_searches.len()
    }

    /// Begins a search; `None`: the connection is not ready, or the limit on pending searches is reached.
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
                .map(|name| name.as_str().into())
                .collect(),
        );
        let id = self.send(ProtocolOp::SearchRequest(request), search.controls);
        self.pending_searches.insert(id);
        Some(SearchId(id))
    }

    /// Abandons a search: no further event names it.
    pub fn abandon(&mut self, id: SearchId) {
        if self.pending_searches.remove(&id.0) {
            self.send(ProtocolOp::AbandonRequest(AbandonRequest(id.0)), Vec::new());
        }
    }

    /// Ends the connection from this end; no event follows.
    pub fn unbind(&mut self) {
        if matches!(self.phase, Phase::Ready | Phase::Binding(_)) {
            self.send(ProtocolOp::UnbindRequest(UnbindRequest), Vec::new());
        }
        self.phase = Phase::Closed;
    }

    /// Takes the bytes that are to be written to the transport.
    pub fn take_output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// The next event.
    pub fn poll(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Takes bytes from the transport; what they amount to is handed out by [`Client::poll`].
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
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(error) => self.close(error.to_string()),
            }
        }
    }

    fn handle_message(&mut self, message: LdapMessage) {
        let id = message.message_id;
        let controls = message.controls.as_ref();
        match (message.protocol_op, self.phase) {
            (ProtocolOp::ExtendedResp(response), _) if id == 0 => {
                self.handle_unsolicited(&response);
            }
            (ProtocolOp::ExtendedResp(response), Phase::StartTls(request_id))
                if id == request_id =>
            {
                self.handle_start_tls_response(&response);
            }
            (ProtocolOp::BindResponse(response), Phase::Binding(request_id))
                if id == request_id =>
            {
                self.handle_bind_response(&response);
            }
            (ProtocolOp::SearchResEntry(entry), Phase::Ready) => {
                self.handle_entry(id, &entry, controls);
            }
            (ProtocolOp::SearchResRef(reference), Phase::Ready) => {
                self.handle_reference(id, reference);
            }
            (ProtocolOp::IntermediateResponse(response), Phase::Ready) => {
                self.handle_intermediate(id, &response);
            }
            (ProtocolOp::SearchResDone(done), Phase::Ready) => {
                self.handle_done(id, done, controls);
            }
            (operation, phase) => {
                let name = operation_name(&operation);
                self.close(format!("{name} with id {id} is not expected in {phase:?}"));
            }
        }
    }

    /// Message id 0 belongs to notifications that no request asked for; each of them ends the connection.
    fn handle_unsolicited(&mut self, response: &ExtendedResponse) {
        let is_notice = response.response_name.as_deref() == Some(oid::NOTICE_OF_DISCONNECTION);
        let kind = if is_notice {
            "the server ends the connection"
        } else {
            "an unsolicited message"
        };
        let diagnostic = &response.diagnostic_message.0;
        self.close(format!("{kind}: {:?} {diagnostic}", response.result_code));
    }

    fn handle_start_tls_response(&mut self, response: &ExtendedResponse) {
        if response.result_code == ResultCode::Success {
            self.phase = Phase::Handshake;
            self.events.push_back(Event::BeginTls);
            return;
        }
        let diagnostic = &response.diagnostic_message.0;
        self.close(format!(
            "StartTLS refused: {:?} {diagnostic}",
            response.result_code
        ));
    }

    fn handle_bind_response(&mut self, response: &BindResponse) {
        if response.result_code == ResultCode::Success {
            self.phase = Phase::Ready;
            self.events.push_back(Event::Ready);
            return;
        }
        let diagnostic = &response.diagnostic_message.0;
        self.close(format!(
            "bind refused: {:?} {diagnostic}",
            response.result_code
        ));
    }

    fn handle_entry(
        &mut self,
        id: u32,
        entry: &SearchResultEntry,
        controls: Option<&Vec<Control>>,
    ) {
        if !self.pending_searches.contains(&id) {
            return;
        }
        match read_entry(entry, controls) {
            Ok(entry) => {
                let event = Event::Entry(SearchId(id), Box::new(entry));
                self.events.push_back(event);
            }
            Err(error) => self.close(error.to_string()),
        }
    }

    fn handle_reference(&mut self, id: u32, reference: SearchResultReference) {
        if self.pending_searches.contains(&id) {
            let urls = reference.0.into_iter().map(|url| url.0).collect();
            self.events.push_back(Event::Reference(SearchId(id), urls));
        }
    }

    fn handle_intermediate(&mut self, id: u32, response: &IntermediateResponse) {
        let is_sync_info = response.response_name.as_deref() == Some(oid::SYNC_INFO);
        if !is_sync_info || !self.pending_searches.contains(&id) {
            return;
        }
        match response.response_value.as_deref().and_then(sync::read_info) {
            Some(info) => self.events.push_back(Event::Info(SearchId(id), info)),
            None => self.close("a sync info message that cannot be read"),
        }
    }

    fn handle_done(&mut self, id: u32, done: SearchResultDone, controls: Option<&Vec<Control>>) {
        // The result of an abandoned search may still arrive: it is ignored.
        if self.pending_searches.remove(&id) {
            let outcome = read_outcome(done.0, controls);
            self.events.push_back(Event::Done(SearchId(id), outcome));
        }
    }
}

/// The name of an operation's variant, without its fields: they may hold a user's data.
fn operation_name(operation: &ProtocolOp) -> String {
    let text = format!("{operation:?}");
    text.split('(').next().unwrap_or_default().to_string()
}

fn read_entry(
    result: &SearchResultEntry,
    controls: Option<&Vec<Control>>,
) -> Result<Entry, InvalidDn> {
    Ok(Entry {
        dn: Dn::parse(&result.object_name.0)?,
        attributes: result.attributes.iter().map(read_attribute).collect(),
        state: sync::read_state(controls),
    })
}

fn read_attribute(attribute: &PartialAttribute) -> Attribute {
    let values = attribute.vals.to_vec();
    Attribute {
        name: attribute.r#type.0.clone(),
        values: values
            .into_iter()
            .map(|value| Bytes::copy_from_slice(value))
            .collect(),
    }
}

fn read_outcome(result: LdapResult, controls: Option<&Vec<Control>>) -> Outcome {
    Outcome {
        code: result.result_code,
        message: result
            .diagnostic_message
            .0
            .chars()
            .take(MAX_DIAGNOSTIC_LENGTH)
            .collect(),
        referrals: result
            .referral
            .unwrap_or_default()
            .into_iter()
            .map(|url| url.0)
            .take(MAX_REFERRALS)
            .collect(),
        page: sync::read_paged(controls).map(|paged| paged.cookie),
        sync: sync::read_done(controls),
    }
}
