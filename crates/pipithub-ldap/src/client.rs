//! The state machine of one client connection: `StartTLS`, simple bind, searches and their cancellation.
//!
//! No search is sent before the bind has succeeded, and, if TLS is requested, no password before the TLS handshake. Bytes
//! that arrive between the response to `StartTLS` and the handshake close the connection, since an attacker on the path
//! could have inserted them.

mod results;

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

use bytes::{Bytes, BytesMut};
use rasn_ldap::{
    AbandonRequest, AuthenticationChoice, BindRequest, BindResponse, Control, ExtendedRequest,
    ExtendedResponse, Filter, IntermediateResponse, LdapMessage, ProtocolOp, ResultCode,
    SearchRequest, SearchRequestDerefAliases, SearchRequestScope, SearchResultDone,
    SearchResultEntry, SearchResultReference, UnbindRequest,
};
use secrecy::{ExposeSecret, SecretString};

use crate::frame::{Framer, encode};
use crate::oid;
use crate::sync::{self, Info};

use results::{read_entry, read_outcome};

pub use results::{Attribute, Entry, Outcome};

/// The protocol version of a bind request (RFC 4511, 4.2).
const LDAP_VERSION: u8 = 3;

/// The credentials of a simple bind (RFC 4513, 5.1.3).
#[derive(Clone, Debug)]
pub struct SimpleBind {
    /// The distinguished name to bind as.
    pub name: String,
    /// The password, which `Debug` does not show. It must not be empty: without a password the
    /// connection would be anonymous (RFC 4513, 5.1.2).
    pub password: SecretString,
}

/// The settings of a connection.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Whether to request TLS with `StartTLS` before the bind.
    pub start_tls: bool,
    /// The credentials; `None` for an anonymous connection without a bind request.
    pub bind: Option<SimpleBind>,
    /// The largest content of a message that is accepted, in bytes.
    pub max_message: usize,
    /// The maximum number of pending searches; further ones are rejected.
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

/// Identifies a search on its connection: the message id of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u32);

/// The parameters of a search request (RFC 4511, 4.5.1).
#[derive(Clone, Debug)]
pub struct Search {
    /// The distinguished name of the base entry.
    pub base: String,
    /// Whether the base entry, its children or its whole subtree is searched.
    pub scope: SearchRequestScope,
    /// The filter that entries must match.
    pub filter: Filter,
    /// The names of the attributes to return.
    pub attributes: Vec<String>,
    /// The maximum number of entries to return; 0 for no limit.
    pub size_limit: u32,
    /// The maximum duration of the search at the server, in seconds; 0 for no limit.
    pub time_limit: u32,
    /// The controls that are sent with the request.
    pub controls: Vec<Control>,
}

/// An event of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server accepted `StartTLS`. The caller must do the TLS handshake and then call
    /// [`Client::handshake_completed`].
    BeginTls,
    /// The bind has succeeded, or none is needed: searches may be sent.
    Ready,
    /// A search returned an entry.
    Entry(SearchId, Box<Entry>),
    /// A search returned the URLs of a continuation reference, which the client does not follow.
    Reference(SearchId, Vec<String>),
    /// A search with content synchronization returned a sync info message.
    Info(SearchId, Info),
    /// A search has ended. No further event has its id.
    Done(SearchId, Outcome),
    /// The connection has failed or was closed by the server, for the given reason. No event follows.
    Closed(String),
}

/// The state of a connection. Its `Debug` representation is part of error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The response to the `StartTLS` request with this message id is expected.
    StartTls(u32),
    /// The caller is to do the TLS handshake.
    Handshake,
    /// The response to the bind request with this message id is expected.
    Binding(u32),
    /// Searches may be sent.
    Ready,
    /// The connection was closed by either side, or failed.
    Closed,
}

/// The client's end of one LDAP connection.
pub struct Client {
    settings: ClientSettings,
    phase: Phase,
    framer: Framer,
    output: BytesMut,
    events: VecDeque<Event>,
    pending_searches: BTreeSet<u32>,
    next_message_id: u32,
}

/// The buffers are left out, since the output may contain a bind request with the password.
impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("settings", &self.settings)
            .field("phase", &self.phase)
            .field("pending_searches", &self.pending_searches)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates the client of a transport that is connected and, for `ldaps`, already secured by TLS. The first request
    /// is in its output at once.
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
        // Id 0 is reserved for unsolicited notifications. An id is used again only after all others were used.
        self.next_message_id = if id >= i32::MAX as u32 { 1 } else { id + 1 };
        let mut message = LdapMessage::new(id, op);
        message.controls = (!controls.is_empty()).then_some(controls);
        self.output.extend_from_slice(&encode(&message));
        id
    }

    fn bind(&mut self) {
        let Some(bind) = &self.settings.bind else {
            self.phase = Phase::Ready;
            self.events.push_back(Event::Ready);
            return;
        };
        let password = Bytes::copy_from_slice(bind.password.expose_secret().as_bytes());
        let authentication = AuthenticationChoice::Simple(password.into());
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

    /// Reports that the TLS handshake has succeeded, after [`Event::BeginTls`]. The bind request is sent next.
    pub fn handshake_completed(&mut self) {
        if self.phase == Phase::Handshake {
            self.bind();
        }
    }

    /// Whether searches may be sent.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// The number of searches that have not ended.
    pub fn pending_searches(&self) -> usize {
        self.pending_searches.len()
    }

    /// Sends a search request. Returns `None` if the connection is not ready or too many searches are pending.
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

    /// Cancels a search. No further event has its id.
    pub fn abandon(&mut self, id: SearchId) {
        if self.pending_searches.remove(&id.0) {
            self.send(ProtocolOp::AbandonRequest(AbandonRequest(id.0)), Vec::new());
        }
    }

    /// Sends an unbind request, which ends the connection. No event follows.
    pub fn unbind(&mut self) {
        if matches!(self.phase, Phase::Ready | Phase::Binding(_)) {
            self.send(ProtocolOp::UnbindRequest(UnbindRequest), Vec::new());
        }
        self.phase = Phase::Closed;
    }

    /// Removes and returns the bytes that are to be written to the transport.
    pub fn take_output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    /// Removes and returns the oldest event; `None` if there is none.
    pub fn poll(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Handles bytes from the transport. [`Client::poll`] returns the resulting events.
    pub fn receive(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Closed {
            return;
        }
        self.framer.push(bytes);
        while self.phase != Phase::Closed {
            if self.phase == Phase::Handshake {
                if self.framer.buffered_len() > 0 {
                    self.close(
                        "received bytes between the response to StartTLS and the TLS handshake",
                    );
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
                self.close(format!("unexpected {name} with id {id} in state {phase:?}"));
            }
        }
    }

    /// Handles an unsolicited notification, which has message id 0. Every such notification closes the connection.
    fn handle_unsolicited(&mut self, response: &ExtendedResponse) {
        let is_notice = response.response_name.as_deref() == Some(oid::NOTICE_OF_DISCONNECTION);
        let kind = if is_notice {
            "notice of disconnection"
        } else {
            "unsolicited notification"
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
            "StartTLS rejected: {:?} {diagnostic}",
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
            "bind rejected: {:?} {diagnostic}",
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
            None => self.close("malformed sync info message"),
        }
    }

    fn handle_done(&mut self, id: u32, done: SearchResultDone, controls: Option<&Vec<Control>>) {
        // The result of a cancelled search may still arrive and is ignored.
        if self.pending_searches.remove(&id) {
            let outcome = read_outcome(done.0, controls);
            self.events.push_back(Event::Done(SearchId(id), outcome));
        }
    }
}

/// The name of an operation, without its fields, which may contain a user's data.
fn operation_name(operation: &ProtocolOp) -> String {
    let text = format!("{operation:?}");
    text.split('(').next().unwrap_or_default().to_string()
}
