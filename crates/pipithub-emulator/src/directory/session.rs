//! One client's session with the directory: binds, `StartTLS`, searches, and changes for persistent searches.

use std::collections::{BTreeMap, VecDeque};

use pipithub_ldap::frame::{Framer, encode};
use pipithub_ldap::message::{
    AuthenticationChoice, BindRequest, BindResponse, ExtendedRequest, LdapMessage, ProtocolOp,
    ResultCode, SearchRequest, SearchResultEntry,
};
use pipithub_ldap::{Dn, oid, sync};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::broadcast::error::RecvError;
use tokio::time::Instant;

use super::search::{Search, search_done, state_control, wanted_attributes};
use super::tree::Tree;
use super::{Change, Shared, invalid};

const MAX_MESSAGE_BYTES: usize = 1 << 20;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How a session ended.
pub(super) enum SessionEnd {
    Closed,
    /// The client asked for TLS on the same connection.
    StartTls,
}

/// The reaction to a message of the client.
enum Step {
    /// Send these answers after the delay of [`Faults`](super::Faults).
    Answer(Vec<LdapMessage>),
    /// Send this answer at once.
    AnswerNow(LdapMessage),
    /// Send this answer at once, then start TLS.
    StartTls(LdapMessage),
    Close,
}

/// Answers that are sent at a later time.
struct DelayedAnswer {
    due: Instant,
    bytes: Vec<u8>,
}

struct Session<'a> {
    shared: &'a Shared,
    is_secured: bool,
    is_bound: bool,
    /// Persistent searches, by the ids of the messages that requested them.
    persistent: BTreeMap<u32, SearchRequest>,
    delayed: VecDeque<DelayedAnswer>,
}

/// Serves a connection until it ends or TLS is to begin.
pub(super) async fn serve<S>(
    mut stream: S,
    shared: &Shared,
    is_secured: bool,
) -> std::io::Result<SessionEnd>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut framer = Framer::new(MAX_MESSAGE_BYTES);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut session = Session::new(shared, is_secured);
    let mut changes = shared.changes.subscribe();
    loop {
        while let Some(message) = framer.take().map_err(invalid)? {
            if shared.tree().faults.silent {
                continue;
            }
            match session.handle(&message)? {
                Step::Answer(answers) => session.delay(&answers),
                Step::AnswerNow(answer) => stream.write_all(&encode(&answer)).await?,
                Step::StartTls(answer) => {
                    stream.write_all(&encode(&answer)).await?;
                    return Ok(SessionEnd::StartTls);
                }
                Step::Close => return Ok(SessionEnd::Closed),
            }
        }
        tokio::select! {
            () = session.next_due() => {
                if let Some(answer) = session.delayed.pop_front() {
                    stream.write_all(&answer.bytes).await?;
                }
            }
            read = stream.read(&mut buffer) => match read? {
                0 => return Ok(SessionEnd::Closed),
                count => framer.push(&buffer[..count]),
            },
            change = changes.recv() => {
                let Some(messages) = session.messages_for_change(change) else {
                    return Ok(SessionEnd::Closed);
                };
                if !messages.is_empty() {
                    session.delay(&messages);
                }
            }
        }
    }
}

impl<'a> Session<'a> {
    fn new(shared: &'a Shared, is_secured: bool) -> Self {
        Session {
            shared,
            is_secured,
            is_bound: shared.settings.login.is_none(),
            persistent: BTreeMap::new(),
            delayed: VecDeque::new(),
        }
    }

    /// Queues answers to be sent together after the current delay.
    fn delay(&mut self, answers: &[LdapMessage]) {
        let due = Instant::now() + self.shared.tree().faults.delay;
        let bytes = answers.iter().flat_map(encode).collect();
        self.delayed.push_back(DelayedAnswer { due, bytes });
    }

    /// Waits until the next answer is due; forever if there is none.
    async fn next_due(&self) {
        match self.delayed.front() {
            Some(answer) => tokio::time::sleep_until(answer.due).await,
            None => std::future::pending().await,
        }
    }

    fn handle(&mut self, message: &LdapMessage) -> std::io::Result<Step> {
        let message_id = message.message_id;
        Ok(match &message.protocol_op {
            ProtocolOp::BindRequest(bind) => {
                let response = ProtocolOp::BindResponse(self.bind(bind));
                Step::Answer(vec![LdapMessage::new(message_id, response)])
            }
            ProtocolOp::AbandonRequest(abandoned) => {
                self.persistent.remove(&abandoned.0);
                Step::Answer(Vec::new())
            }
            ProtocolOp::ExtendedReq(request) => self.extended(message_id, request)?,
            ProtocolOp::SearchRequest(_) if !self.is_bound => {
                let code = ResultCode::InsufficientAccessRights;
                Step::Answer(vec![search_done(message_id, code, "bind first")])
            }
            ProtocolOp::SearchRequest(request) => Step::Answer(self.search(message, request)),
            _ => Step::Close,
        })
    }

    fn bind(&mut self, bind: &BindRequest) -> BindResponse {
        let is_known = match (&self.shared.settings.login, &bind.authentication) {
            (None, _) => true,
            (Some(login), AuthenticationChoice::Simple(given)) => {
                Dn::parse(&login.user).ok() == Dn::parse(&bind.name).ok()
                    && given[..] == *login.password.as_bytes()
            }
            _ => false,
        };
        self.is_bound = is_known;
        let code = if is_known {
            ResultCode::Success
        } else {
            ResultCode::InvalidCredentials
        };
        BindResponse::new(code, "".into(), "".into(), None, None)
    }

    /// Accepts `StartTLS` in a session without TLS, and no other extended request.
    fn extended(&self, message_id: u32, request: &ExtendedRequest) -> std::io::Result<Step> {
        let starts_tls = !self.is_secured && request.request_name[..] == *oid::START_TLS;
        let code = if starts_tls {
            ResultCode::Success
        } else {
            ResultCode::ProtocolError
        };
        // The response has no constructor of its own: it is read from its bytes (RFC 4511, 4.12).
        let bytes = [0x78, 7, 0x0a, 1, code as u8, 4, 0, 4, 0];
        let response = rasn::ber::decode(&bytes).map_err(invalid)?;
        let answer = LdapMessage::new(message_id, ProtocolOp::ExtendedResp(response));
        Ok(if starts_tls {
            Step::StartTls(answer)
        } else {
            Step::AnswerNow(answer)
        })
    }

    fn search(&mut self, message: &LdapMessage, request: &SearchRequest) -> Vec<LdapMessage> {
        let search = Search {
            message_id: message.message_id,
            request,
            controls: message.controls.as_ref(),
        };
        let mut tree = self.shared.tree();
        let answers = tree.search(&search);
        if sync::read_request(search.controls).is_some_and(|request| request.persist) {
            self.persistent.insert(search.message_id, request.clone());
        }
        if tree.drops_next_answer() {
            return Vec::new();
        }
        answers
    }

    /// The messages about a change for the persistent searches; `None` if the session must end.
    fn messages_for_change(&self, change: Result<Change, RecvError>) -> Option<Vec<LdapMessage>> {
        let change = change.ok()?;
        let tree = self.shared.tree();
        let is_silent = tree.faults.silent;
        let searches = self.persistent.iter().filter(|_| !is_silent);
        match change {
            Change::Disconnect => None,
            Change::Updated(dn) => Some(
                searches
                    .filter_map(|(id, request)| updated_entry(&tree, *id, request, &dn))
                    .collect(),
            ),
            Change::Deleted(uuid) => {
                let deleted = |id: u32| {
                    let entry = SearchResultEntry::new("".into(), Vec::new());
                    let control = state_control(sync::State::Delete, &uuid);
                    entry_with_control(id, entry, control)
                };
                Some(searches.map(|(id, _)| deleted(*id)).collect())
            }
        }
    }
}

/// The message about a changed entry for a persistent search; `None` if the filter of the search does not match it.
fn updated_entry(
    tree: &Tree,
    message_id: u32,
    request: &SearchRequest,
    dn: &Dn,
) -> Option<LdapMessage> {
    let entry = tree.entries.get(dn)?;
    if !entry.matches(&request.filter) {
        return None;
    }
    let result = entry.to_result(&wanted_attributes(request));
    let control = state_control(sync::State::Modify, &entry.uuid);
    Some(entry_with_control(message_id, result, control))
}

fn entry_with_control(
    message_id: u32,
    entry: SearchResultEntry,
    control: pipithub_ldap::message::Control,
) -> LdapMessage {
    let mut message = LdapMessage::new(message_id, ProtocolOp::SearchResEntry(entry));
    message.controls = Some(vec![control]);
    message
}
