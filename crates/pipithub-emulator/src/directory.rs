//! A stand-in for an LDAP directory server: a tree from LDIF, searched over the protocol, with faults on order.
//!
//! It offers what a gateway may meet: simple binds, `StartTLS` and TLS from the first byte, filters, paging, content
//! synchronisation (RFC 4533) with changes as they happen, `contextCSN` at the base, `modifyTimestamp` and `entryUUID` at
//! each entry. Replicas are several servers, each with a tree of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pipithub_ldap::frame::{Framer, encode};
use pipithub_ldap::message::{
    AuthenticationChoice, BindResponse, Control, ExtendedRequest, Filter, IntermediateResponse,
    LdapMessage, LdapResult, PartialAttribute, ProtocolOp, ResultCode, SearchRequest,
    SearchRequestScope, SearchResultDone, SearchResultEntry, SubstringChoice,
};
use pipithub_ldap::{Dn, dn, ldif, oid, sync};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::PrivateKeyDer;

use crate::accept::next_stream;

/// How a server is set up.
#[derive(Clone, Debug, Default)]
pub struct DirectorySettings {
    /// The tree, as LDIF.
    pub tree: String,
    /// The base, which tells how far the server has come; by default the shortest name of the tree.
    pub base: Option<String>,
    /// Name and password that a client must bind with; `None`: anybody may search.
    pub login: Option<(String, String)>,
    /// TLS from the first byte. `StartTLS` is offered otherwise.
    pub ldaps: bool,
}

/// What it does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Answers come so much later.
    pub delay: Duration,
    /// Takes connections and never says anything.
    pub silent: bool,
    /// Every so many answers to searches are not given; 0: none.
    pub drop_every: u32,
    /// Answers with the wrong entry.
    pub wrong: bool,
    /// Its tree is not there yet: nobody exists.
    pub loading: bool,
    /// Says that it is busy.
    pub busy: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    written: String,
    attributes: Vec<(String, Vec<u8>)>,
    uuid: [u8; 16],
    changed: String,
}

#[derive(Clone, Debug)]
enum Change {
    Is(Dn),
    Gone([u8; 16]),
    Cut,
}

struct Tree {
    entries: BTreeMap<Dn, Entry>,
    base: Dn,
    mark: u64,
    made: u64,
    faults: Faults,
    searches: u64,
    answers: u32,
}

struct Shared {
    settings: DirectorySettings,
    tree: Mutex<Tree>,
    changes: broadcast::Sender<Change>,
    acceptor: TlsAcceptor,
    ca: String,
}

/// A server that is running; it ends when dropped.
pub struct DirectoryServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for DirectoryServer {
    fn drop(&mut self) {
        self.task.abort();
        let _ = self.shared.changes.send(Change::Cut);
    }
}

fn invalid(error: impl std::fmt::Display) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidInput, error.to_string())
}

impl DirectoryServer {
    /// Starts one.
    pub async fn start(listen: SocketAddr, settings: DirectorySettings) -> std::io::Result<Self> {
        let records = ldif::read(&settings.tree).map_err(invalid)?;
        let base = match &settings.base {
            Some(base) => Dn::parse(base).map_err(invalid)?,
            None => records
                .iter()
                .map(|r| &r.dn)
                .min_by_key(|d| d.depth())
                .cloned()
                .unwrap_or_default(),
        };
        let mut tree = Tree {
            entries: BTreeMap::new(),
            base,
            mark: 1,
            made: 0,
            faults: Faults::default(),
            searches: 0,
            answers: 0,
        };
        for record in records {
            tree.insert(record);
        }
        let made =
            rcgen::generate_simple_self_signed(["localhost".to_string(), "127.0.0.1".to_string()]);
        let made = made.map_err(invalid)?;
        let key = PrivateKeyDer::try_from(made.signing_key.serialize_der()).map_err(invalid)?;
        let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
        let tls = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(invalid)?;
        let tls = tls
            .with_no_client_auth()
            .with_single_cert(vec![made.cert.der().clone()], key)
            .map_err(invalid)?;
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            tree: Mutex::new(tree),
            changes: broadcast::channel(4096).0,
            acceptor: TlsAcceptor::from(Arc::new(tls)),
            ca: made.cert.pem(),
        });
        let served = shared.clone();
        let task = tokio::spawn(async move {
            while let Some(stream) = next_stream(&listener).await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(stream, served.clone()));
            }
        });
        Ok(DirectoryServer {
            address,
            shared,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its certificate, which is its own authority, as PEM.
    pub fn ca(&self) -> &str {
        &self.shared.ca
    }

    fn tree(&self) -> MutexGuard<'_, Tree> {
        self.shared.tree()
    }

    /// Has it do wrong, or right again.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.tree().faults);
    }

    /// Searches that it was asked for so far.
    pub fn searches(&self) -> u64 {
        self.tree().searches
    }

    /// Ends all connections.
    pub fn cut(&self) {
        let _ = self.shared.changes.send(Change::Cut);
    }

    /// Adds entries, or replaces those of their names.
    pub fn add(&self, text: &str) -> Result<(), ldif::InvalidLdif> {
        for record in ldif::read(text)? {
            let dn = record.dn.clone();
            self.tree().insert(record);
            let _ = self.shared.changes.send(Change::Is(dn));
        }
        Ok(())
    }

    /// Takes an entry out; whether it was there.
    pub fn delete(&self, name: &str) -> bool {
        let Ok(dn) = Dn::parse(name) else {
            return false;
        };
        let mut tree = self.tree();
        let Some(entry) = tree.entries.remove(&dn) else {
            return false;
        };
        tree.mark += 1;
        let _ = self.shared.changes.send(Change::Gone(entry.uuid));
        true
    }

    /// Moves an entry below another one; whether it was there.
    pub fn move_to(&self, name: &str, superior: &str) -> bool {
        let (Ok(dn), Ok(superior)) = (Dn::parse(name), Dn::parse(superior)) else {
            return false;
        };
        let mut tree = self.tree();
        let Some(mut entry) = tree.entries.remove(&dn) else {
            return false;
        };
        let to = dn.moved(None, Some(&superior));
        tree.mark += 1;
        entry.changed = timestamp();
        entry.written = to.to_string();
        tree.entries.insert(to.clone(), entry);
        let _ = self.shared.changes.send(Change::Is(to));
        true
    }

    /// How far it has come.
    pub fn mark(&self) -> u64 {
        self.tree().mark
    }

    /// Catches up with another server, at once and whole.
    pub fn copy_from(&self, other: &DirectoryServer) {
        let (entries, mark) = {
            let tree = other.tree();
            (tree.entries.clone(), tree.mark)
        };
        let mut tree = self.tree();
        (tree.entries, tree.mark) = (entries, mark);
    }

    /// Does what a line says: `delay MS`, `silent on|off`, `drop N`, `wrong on|off`, `loading on|off`, `busy on|off`, `cut`,
    /// `move DN > DN`, `delete DN`, `good`.
    pub fn command(&self, line: &str) -> bool {
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        let on = rest == "on";
        match verb {
            "delay" => {
                self.set_faults(|f| f.delay = Duration::from_millis(rest.parse().unwrap_or(100)));
            }
            "silent" => self.set_faults(|f| f.silent = on),
            "drop" => self.set_faults(|f| f.drop_every = rest.parse().unwrap_or(2)),
            "wrong" => self.set_faults(|f| f.wrong = on),
            "loading" => self.set_faults(|f| f.loading = on),
            "busy" => self.set_faults(|f| f.busy = on),
            "good" => self.set_faults(|f| *f = Faults::default()),
            "cut" => self.cut(),
            "delete" => return self.delete(rest),
            "move" => {
                return rest
                    .split_once(" > ")
                    .is_some_and(|(from, to)| self.move_to(from, to));
            }
            _ => return false,
        }
        true
    }
}

impl Tree {
    fn insert(&mut self, record: ldif::Record) {
        self.mark += 1;
        self.made += 1;
        let mut uuid = [0; 16];
        uuid[..8].copy_from_slice(&self.made.to_be_bytes());
        // The same name entered anew is another entry, as in a real directory; it differs between servers only where
        // their histories do.
        uuid[8..].copy_from_slice(
            &record
                .dn
                .to_string()
                .bytes()
                .fold(7u64, |h, b| h.wrapping_mul(31) + u64::from(b))
                .to_be_bytes(),
        );
        let entry = Entry {
            written: record.written,
            attributes: record
                .attributes
                .into_iter()
                .map(|attribute| (attribute.name, attribute.value))
                .collect(),
            uuid,
            changed: timestamp(),
        };
        self.entries.insert(record.dn, entry);
    }

    fn csn(&self) -> String {
        format!(
            "20260101000000.{:06}Z#000000#000#000000",
            self.mark % 1_000_000
        )
    }
}

/// The generalized time of now (RFC 4517, 3.3.13).
fn timestamp() -> String {
    let millis = i64::try_from(pipithub_clock::wall_ms()).unwrap_or(i64::MAX);
    chrono::DateTime::from_timestamp_millis(millis)
        .unwrap_or_default()
        .format("%Y%m%d%H%M%SZ")
        .to_string()
}

impl Entry {
    fn values(&self, name: &str) -> Vec<Vec<u8>> {
        if name.eq_ignore_ascii_case("modifyTimestamp") {
            return vec![self.changed.clone().into_bytes()];
        }
        let named = self
            .attributes
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.clone()).collect()
    }

    fn matches(&self, filter: &Filter) -> bool {
        let folded = |v: &[u8]| dn::fold(&String::from_utf8_lossy(v));
        let any = |name: &str, test: &dyn Fn(&str) -> bool| {
            self.values(name).iter().any(|v| test(&folded(v)))
        };
        match filter {
            Filter::And(all) => all.to_vec().iter().all(|f| self.matches(f)),
            Filter::Or(all) => all.to_vec().iter().any(|f| self.matches(f)),
            Filter::Not(inner) => !self.matches(inner),
            Filter::Present(name) => {
                name.eq_ignore_ascii_case("objectClass") || !self.values(name).is_empty()
            }
            Filter::EqualityMatch(a) | Filter::ApproxMatch(a) => {
                let wanted = folded(&a.assertion_value);
                any(&a.attribute_desc, &|v| v == wanted)
            }
            Filter::GreaterOrEqual(a) => {
                let wanted = folded(&a.assertion_value);
                any(&a.attribute_desc, &|v| v >= wanted.as_str())
            }
            Filter::LessOrEqual(a) => {
                let wanted = folded(&a.assertion_value);
                any(&a.attribute_desc, &|v| v <= wanted.as_str())
            }
            Filter::Substrings(s) => any(&s.r#type, &|value| {
                let mut rest = value;
                s.substrings.iter().all(|piece| match piece {
                    SubstringChoice::Initial(p) => rest
                        .strip_prefix(folded(p).as_str())
                        .map(|r| rest = r)
                        .is_some(),
                    SubstringChoice::Any(p) => {
                        let piece = folded(p);
                        rest.find(&piece)
                            .map(|at| rest = &rest[at + piece.len()..])
                            .is_some()
                    }
                    SubstringChoice::Final(p) => rest.ends_with(folded(p).as_str()),
                    _ => false,
                })
            }),
            _ => false,
        }
    }

    fn told(&self, wanted: &[String]) -> SearchResultEntry {
        let mut attributes: BTreeMap<String, Vec<Vec<u8>>> = BTreeMap::new();
        let all = wanted.is_empty() || wanted.iter().any(|w| w == "*");
        for (name, value) in &self.attributes {
            if all || wanted.iter().any(|w| w.eq_ignore_ascii_case(name)) {
                attributes
                    .entry(name.clone())
                    .or_default()
                    .push(value.clone());
            }
        }
        let operational = [
            ("entryUUID", uuid_text(&self.uuid)),
            ("modifyTimestamp", self.changed.clone()),
        ];
        for (name, value) in operational {
            if wanted
                .iter()
                .any(|w| w.eq_ignore_ascii_case(name) || w == "+")
            {
                attributes
                    .entry(name.to_string())
                    .or_default()
                    .push(value.into_bytes());
            }
        }
        let attribute = |(name, values): (String, Vec<Vec<u8>>)| {
            PartialAttribute::new(
                name.into(),
                set(values.into_iter().map(Into::into).collect()),
            )
        };
        SearchResultEntry::new(
            self.written.as_str().into(),
            attributes.into_iter().map(attribute).collect(),
        )
    }
}

fn set<T: Clone + std::hash::Hash + Eq>(values: Vec<T>) -> rasn::types::SetOf<T> {
    rasn::types::SetOf::from_vec(values)
}

fn uuid_text(uuid: &[u8; 16]) -> String {
    let hex: String = uuid.iter().map(|b| format!("{b:02x}")).collect();
    format!(
        "{}-{}-{}-{}-{}",
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..]
    )
}

impl Shared {
    fn tree(&self) -> MutexGuard<'_, Tree> {
        self.tree.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The answer to a search, without its persistent part.
    fn search(
        &self,
        id: u32,
        request: &SearchRequest,
        controls: Option<&Vec<Control>>,
    ) -> Vec<LdapMessage> {
        let mut tree = self.tree();
        tree.searches += 1;
        let done = |code| {
            LdapMessage::new(
                id,
                ProtocolOp::SearchResDone(SearchResultDone(result(code, ""))),
            )
        };
        if tree.faults.busy {
            return vec![done(ResultCode::Busy)];
        }
        let Ok(base) = Dn::parse(&request.base_object) else {
            return vec![done(ResultCode::InvalidDnSyntax)];
        };
        let wanted: Vec<String> = request.attributes.iter().map(|a| a.0.clone()).collect();
        if tree.faults.loading || (!tree.entries.contains_key(&base) && base != Dn::default()) {
            return vec![done(ResultCode::NoSuchObject)];
        }
        if request.scope == SearchRequestScope::BaseObject {
            let Some(entry) = tree.entries.get(&base) else {
                return vec![done(ResultCode::Success)];
            };
            let mut told = entry.told(&wanted);
            if base == tree.base && wanted.iter().any(|w| w.eq_ignore_ascii_case("contextCSN")) {
                let value = set(vec![tree.csn().into_bytes().into()]);
                told.attributes
                    .push(PartialAttribute::new("contextCSN".into(), value));
            }
            return vec![
                LdapMessage::new(id, ProtocolOp::SearchResEntry(told)),
                done(ResultCode::Success),
            ];
        }
        let sync = sync::read_request(controls);
        let page = sync::read_paged(controls);
        let from = page
            .as_ref()
            .and_then(|page| {
                std::str::from_utf8(&page.cookie)
                    .ok()?
                    .parse::<usize>()
                    .ok()
            })
            .unwrap_or(0);
        let inside = |dn: &Dn| match request.scope {
            SearchRequestScope::SingleLevel => dn.parent().as_ref() == Some(&base),
            _ => dn.is_within(&base),
        };
        let wrong = tree.faults.wrong.then(|| {
            tree.entries
                .iter()
                .next_back()
                .map(|(d, e)| (d.clone(), e.clone()))
        });
        let found = tree
            .entries
            .iter()
            .filter(|(dn, e)| inside(dn) && e.matches(&request.filter));
        let mut found: Vec<Entry> = found.map(|(_, e)| e.clone()).collect();
        if let Some(Some((_, entry))) = wrong {
            found = vec![entry];
        }
        let limit = page.as_ref().map_or(usize::MAX, |page| page.size as usize);
        let all = found.len();
        let mut messages: Vec<LdapMessage> = Vec::new();
        for entry in found.into_iter().skip(from).take(limit) {
            let mut message = LdapMessage::new(id, ProtocolOp::SearchResEntry(entry.told(&wanted)));
            if sync.is_some() {
                let uuid = Bytes::copy_from_slice(&entry.uuid);
                message.controls = Some(vec![sync::state(sync::State::Add, uuid, None)]);
            }
            messages.push(message);
        }
        if sync.is_some_and(|request| request.persist) {
            // No history is kept: each refresh tells everything (RFC 4533, 3.3.2).
            let cookie = Bytes::from(tree.mark.to_string());
            messages.push(info(id, sync::refresh_present(Some(cookie))));
            return messages;
        }
        let mut end = done(ResultCode::Success);
        if let Some(page) = page {
            let next = from.saturating_add(page.size as usize);
            let cookie = if next < all {
                Bytes::from(next.to_string())
            } else {
                Bytes::new()
            };
            end.controls = Some(vec![sync::paged(all as u32, cookie)]);
        }
        messages.push(end);
        messages
    }

    /// Whether this answer is not to be given.
    fn dropped(&self) -> bool {
        let mut tree = self.tree();
        tree.answers += 1;
        tree.faults.drop_every > 0 && tree.answers.is_multiple_of(tree.faults.drop_every)
    }
}

fn info(id: u32, value: Bytes) -> LdapMessage {
    let response = IntermediateResponse {
        response_name: Some(Bytes::from_static(oid::SYNC_INFO).into()),
        response_value: Some(value.into()),
    };
    LdapMessage::new(id, ProtocolOp::IntermediateResponse(response))
}

fn result(code: ResultCode, words: &str) -> LdapResult {
    LdapResult::new(code, "".into(), words.into())
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    if shared.settings.ldaps {
        if let Ok(secured) = shared.acceptor.accept(stream).await {
            let _ = talk(secured, &shared, true).await;
        }
        return;
    }
    if let Ok(Some(())) = talk(&mut stream, &shared, false).await
        && let Ok(secured) = shared.acceptor.accept(stream).await
    {
        let _ = talk(secured, &shared, true).await;
    }
}

/// Serves a connection; `Some`: TLS is to begin.
async fn talk<S>(mut stream: S, shared: &Arc<Shared>, secured: bool) -> std::io::Result<Option<()>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut framer = Framer::new(1 << 20);
    let mut buffer = vec![0; 16 << 10];
    let mut bound = shared.settings.login.is_none();
    let mut persistent: BTreeMap<u32, SearchRequest> = BTreeMap::new();
    let mut changes = shared.changes.subscribe();
    // Answers that wait for their time.
    let mut queue: std::collections::VecDeque<(tokio::time::Instant, Vec<u8>)> = Default::default();
    loop {
        while let Some(message) = framer.take().map_err(invalid)? {
            if shared.tree().faults.silent {
                continue;
            }
            let id = message.message_id;
            let mut answers = Vec::new();
            match &message.protocol_op {
                ProtocolOp::BindRequest(bind) => {
                    let code = match (&shared.settings.login, &bind.authentication) {
                        (None, _) => ResultCode::Success,
                        (Some((name, password)), AuthenticationChoice::Simple(given))
                            if Dn::parse(name).ok() == Dn::parse(&bind.name).ok()
                                && given[..] == *password.as_bytes() =>
                        {
                            ResultCode::Success
                        }
                        _ => ResultCode::InvalidCredentials,
                    };
                    bound = code == ResultCode::Success;
                    let response = BindResponse::new(code, "".into(), "".into(), None, None);
                    answers.push(LdapMessage::new(id, ProtocolOp::BindResponse(response)));
                }
                ProtocolOp::UnbindRequest(_) => return Ok(None),
                ProtocolOp::AbandonRequest(of) => drop(persistent.remove(&of.0)),
                ProtocolOp::ExtendedReq(request) => {
                    let agreed = !secured && is_start_tls(request);
                    let code = if agreed { 0 } else { 2 };
                    // The response has no constructor of its own: it is read from its bytes (RFC 4511, 4.12).
                    let bytes = [0x78, 7, 0x0a, 1, code, 4, 0, 4, 0];
                    let response = rasn::ber::decode(&bytes).map_err(invalid)?;
                    let message = LdapMessage::new(id, ProtocolOp::ExtendedResp(response));
                    stream.write_all(&encode(&message)).await?;
                    if agreed {
                        return Ok(Some(()));
                    }
                }
                ProtocolOp::SearchRequest(_) if !bound => {
                    let refused = result(ResultCode::InsufficientAccessRights, "bind first");
                    answers.push(LdapMessage::new(
                        id,
                        ProtocolOp::SearchResDone(SearchResultDone(refused)),
                    ));
                }
                ProtocolOp::SearchRequest(request) => {
                    let controls = message.controls.as_ref();
                    answers = shared.search(id, request, controls);
                    if sync::read_request(controls).is_some_and(|request| request.persist) {
                        persistent.insert(id, request.clone());
                    }
                    if shared.dropped() {
                        answers.clear();
                    }
                }
                _ => return Ok(None),
            }
            let bytes: Vec<u8> = answers.iter().flat_map(encode).collect();
            queue.push_back((
                tokio::time::Instant::now() + shared.tree().faults.delay,
                bytes,
            ));
        }
        let next = queue.front().map(|(at, _)| *at);
        let wait = async {
            match next {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {
                if let Some((_, bytes)) = queue.pop_front() {
                    stream.write_all(&bytes).await?;
                }
            }
            read = stream.read(&mut buffer) => match read? {
                0 => return Ok(None),
                n => framer.push(&buffer[..n]),
            },
            change = changes.recv() => {
                let messages = match change {
                    Err(broadcast::error::RecvError::Lagged(_)) => return Ok(None),
                    Ok(Change::Cut) | Err(_) => return Ok(None),
                    Ok(change) => told(shared, &persistent, change),
                };
                let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
                if !bytes.is_empty() {
                    queue.push_back((tokio::time::Instant::now() + shared.tree().faults.delay, bytes));
                }
            }
        }
    }
}

fn is_start_tls(request: &ExtendedRequest) -> bool {
    &request.request_name[..] == oid::START_TLS
}

/// What a change is to those who follow.
fn told(
    shared: &Shared,
    persistent: &BTreeMap<u32, SearchRequest>,
    change: Change,
) -> Vec<LdapMessage> {
    let tree = shared.tree();
    if tree.faults.silent {
        return Vec::new();
    }
    let mut messages = Vec::new();
    for (id, request) in persistent {
        let wanted: Vec<String> = request.attributes.iter().map(|a| a.0.clone()).collect();
        let (entry, state, uuid) = match &change {
            Change::Is(dn) => {
                let Some(entry) = tree.entries.get(dn).filter(|e| e.matches(&request.filter))
                else {
                    continue;
                };
                (entry.told(&wanted), sync::State::Modify, entry.uuid)
            }
            Change::Gone(uuid) => (
                SearchResultEntry::new("".into(), Vec::new()),
                sync::State::Delete,
                *uuid,
            ),
            Change::Cut => continue,
        };
        let mut message = LdapMessage::new(*id, ProtocolOp::SearchResEntry(entry));
        message.controls = Some(vec![sync::state(
            state,
            Bytes::copy_from_slice(&uuid),
            None,
        )]);
        messages.push(message);
    }
    messages
}
