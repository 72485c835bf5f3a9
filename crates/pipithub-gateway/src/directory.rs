//! Directories on their sockets: the core's task, links to servers, snapshots. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use pipithub_clock::{Clock, wall_ms};
use pipithub_directory::{
    Directory, DirectoryEntry, Input, Output, PersonId, Publisher, Query, Roster, SearchError,
    SearchId, SearchResponse, Settings, SyncEvent, User, snapshot,
};
use pipithub_ldap::client::Entry;
use pipithub_ldap::message::{Filter, ResultCode, SearchRequestScope};
use pipithub_ldap::sync::{self, Info, State};
use pipithub_ldap::{
    Client, ClientSettings, Event, Search, SearchId as Asked, SimpleBind, dn, filter,
};
use pipithub_settings::{DirectoryConfig, TenantsConfig, Tls};
use pipithub_storage::{Durability, Saver, SystemFiles, Target};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};
use tracing::{debug, info, warn};

/// Wants that wait for the core; a call whose want finds no room waits its time and is judged by what is known.
const WANTS: usize = 8_192;
/// Inputs taken in one go.
const BATCH: usize = 256;
/// How long inputs are taken before what came of them is published.
const TURN: u64 = 20_000_000;
/// Commands and events between core and links.
const COMMANDS: usize = 1_024;
/// A connection that is not up by then counts as lost.
const CONNECT_MOST: Duration = Duration::from_secs(2);
/// How often a followed connection is tried, and how long it may stay silent: at the most, and of a fact's lifetime.
const ALIVE_MOST: Duration = Duration::from_secs(30);
const ALIVE_PART: u64 = 4;
/// Entries of one answer; more cannot be an answer to what was asked.
const ENTRIES_MOST: usize = 100_000;
/// How far before now the first search for changes reaches: a stepped clock is an hour ahead, and a little more.
const FIRST_POLL_REACH: chrono::TimeDelta = chrono::TimeDelta::seconds(3_600 + 2);
/// Page of a search that has no bound of its own.
const PAGE: u32 = 500;

/// What a front end is told of its directories.
#[derive(Debug)]
pub(crate) enum Word {
    /// There is news of a user who was wanted.
    News(User),
    /// A user is not whose they were.
    Changed(User),
}

/// A front end's end of its directories.
pub(crate) struct Handle {
    pub(crate) roster: Arc<ArcSwap<Roster>>,
    pub(crate) wants: mpsc::Sender<Input>,
    pub(crate) words: mpsc::Receiver<Word>,
}

/// The core's settings.
pub(crate) fn settings(config: &TenantsConfig, seed: u64, clock: Clock) -> Settings {
    Settings {
        directories: config
            .directories
            .iter()
            .map(|d| d.lookups.clone())
            .collect(),
        tenants: config.tenants.iter().map(|t| t.place.clone()).collect(),
        max_users: config.max_users,
        max_queue: 65_536,
        seed,
        wall_clock_offset_ms: (wall_ms() as i64).saturating_sub((clock.now() / 1_000_000) as i64),
    }
}

fn fingerprint(config: &TenantsConfig) -> [u8; 32] {
    let directories = config.directories.iter().flat_map(|d| {
        let realms = d.lookups.realms.iter().map(String::as_str);
        ["directory", &d.name, &d.base, &d.user_attribute]
            .into_iter()
            .chain(realms)
    });
    let tenants = config
        .tenants
        .iter()
        .flat_map(|t| ["tenant", &t.name, &t.base]);
    snapshot::fingerprint(directories.chain(tenants))
}

/// Starts the directories of a front end.
pub(crate) fn start(
    config: Arc<TenantsConfig>,
    front_end: &str,
    clock: Clock,
    seed: u64,
    tasks: &mut tokio::task::JoinSet<()>,
) -> Handle {
    let mut core = Directory::new(settings(&config, seed, clock));
    let file = config
        .snapshot
        .as_ref()
        .map(|s| s.path.with_extension(front_end));
    if let (Some(snapshot), Some(file)) = (&config.snapshot, &file) {
        recall(&config, &mut core, file, &snapshot.key, clock);
    }
    let publisher = Publisher::new(core.roster());
    let roster = publisher.newest();
    let (wants, inputs) = mpsc::channel(WANTS);
    let (words, heard) = mpsc::channel(WANTS);
    let saver = file.map(|file| {
        Arc::new(Saver::start(
            Arc::new(SystemFiles),
            Target::new(file, Durability::Synced),
        ))
    });
    let shell = Shell {
        core,
        config,
        clock,
        publisher,
        words,
        links: BTreeMap::new(),
        saver,
    };
    tasks.spawn(shell.run(inputs, wants.clone(), front_end.to_string()));
    Handle {
        roster,
        wants,
        words: heard,
    }
}

fn recall(config: &TenantsConfig, core: &mut Directory, file: &Path, key: &[u8], clock: Clock) {
    let bytes = match std::fs::read(file) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return,
        Err(error) => return warn!(file = %file.display(), %error, "snapshot not read"),
    };
    let most = |d: u16| {
        config
            .directories
            .get(usize::from(d))
            .map(|d| d.lookups.lifetimes.max_stale)
    };
    match snapshot::read(
        &bytes,
        clock.now(),
        wall_ms() as i64,
        fingerprint(config),
        key,
        most,
    ) {
        Ok(facts) => {
            info!(file = %file.display(), users = facts.len(), "snapshot taken");
            core.restore(clock.now(), facts);
        }
        Err(error) => {
            warn!(file = %file.display(), %error, "snapshot refused; users are asked for anew");
        }
    }
}

struct Shell {
    core: Directory,
    config: Arc<TenantsConfig>,
    clock: Clock,
    publisher: Publisher,
    words: mpsc::Sender<Word>,
    links: BTreeMap<(usize, usize), mpsc::Sender<Command>>,
    /// Saves snapshots, where there are any.
    saver: Option<Arc<Saver>>,
}

enum Command {
    Search(SearchId, Query),
    GiveUp(SearchId),
}

impl Shell {
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        inputs_in: mpsc::Sender<Input>,
        front_end: String,
    ) {
        let mut tasks = tokio::task::JoinSet::new();
        for (n, directory) in self.config.directories.iter().enumerate() {
            let tls = match connector(directory) {
                Ok(tls) => tls,
                Err(error) => {
                    warn!(directory = directory.name, %error, "TLS cannot be set up; the directory is not asked");
                    continue;
                }
            };
            let directory = Arc::new(directory.clone());
            for server in 0..directory.servers.len() {
                let (commands, receiver) = mpsc::channel(COMMANDS);
                self.links.insert((n, server), commands);
                let link = Link {
                    directory: directory.clone(),
                    server,
                    tls: tls.clone(),
                    front_end: front_end.clone(),
                };
                tasks.spawn(link.run(receiver, inputs_in.clone()));
            }
            if directory.follow {
                let follower = Follower {
                    directory: directory.clone(),
                    number: n,
                    tls: tls.clone(),
                    inputs: inputs_in.clone(),
                };
                tasks.spawn(follower.run());
            }
        }
        let every = self
            .config
            .snapshot
            .as_ref()
            .map(|s| Duration::from_nanos(s.every));
        let mut write = tokio::time::interval(every.unwrap_or(Duration::from_secs(3600)));
        write.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        write.tick().await;
        let mut out = Vec::new();
        let mut batch = Vec::with_capacity(BATCH);
        let mut writing: Option<tokio::task::JoinHandle<()>> = None;
        loop {
            let now = self.clock.now();
            let due = self.core.next_due(now);
            tokio::select! {
                count = inputs.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                () = self.clock.sleep_until(due) => batch.push(Input::Tick),
                _ = write.tick(), if every.is_some() => {
                    if writing.as_ref().is_none_or(tokio::task::JoinHandle::is_finished) {
                        writing = self.keep();
                    }
                }
            }
            let reading = self.clock.read();
            self.core
                .set_wall_clock(reading.now, reading.wall_ms as i64);
            // Each version that is published costs copies of what changes next: while more waits, a while's is one version.
            let began = self.clock.now();
            loop {
                let now = self.clock.now();
                for input in batch.drain(..) {
                    self.core.handle(now, input, &mut out);
                }
                match inputs.try_recv() {
                    Ok(input) if now < began + TURN => batch.push(input),
                    Ok(input) => {
                        self.core.handle(now, input, &mut out);
                        break;
                    }
                    Err(_) => break,
                }
            }
            // Readers see the new facts before anybody is told that there are any.
            self.publisher.publish(self.core.roster());
            for output in out.drain(..) {
                let word = match output {
                    Output::Search {
                        id,
                        directory,
                        server,
                        query: what,
                    } => {
                        let link = self.links.get(&(directory, server));
                        if link.is_none_or(|l| l.try_send(Command::Search(id, what)).is_err()) {
                            let ended = Input::SearchEnded {
                                search: id,
                                outcome: Err(SearchError::ConnectionLost),
                            };
                            let _ = inputs_in.try_send(ended);
                        }
                        continue;
                    }
                    Output::CancelSearch(id) => {
                        for link in self.links.values() {
                            let _ = link.try_send(Command::GiveUp(id));
                        }
                        continue;
                    }
                    Output::LookupFinished(user) => Word::News(user),
                    Output::UserMigrated(user) => {
                        info!(front_end, user = &*user, "a user is not whose they were");
                        Word::Changed(user)
                    }
                };
                if self.words.send(word).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Writes a snapshot off the path: the roster is shared, not copied.
    fn keep(&self) -> Option<tokio::task::JoinHandle<()>> {
        let (saver, config) = (self.saver.clone()?, self.config.clone());
        let (roster, now) = (self.core.roster().clone(), self.clock.now());
        Some(tokio::task::spawn_blocking(move || {
            let Some(settings) = &config.snapshot else {
                return;
            };
            let bytes = snapshot::write(
                &roster,
                now,
                wall_ms() as i64,
                fingerprint(&config),
                &settings.key,
            );
            saver.save(now, bytes);
        }))
    }
}

// ---- connections ----

trait Transport: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Transport for T {}

fn connector(directory: &DirectoryConfig) -> std::io::Result<Option<TlsConnector>> {
    if directory.tls == Tls::None {
        return Ok(None);
    }
    let other = |e: String| std::io::Error::other(e);
    let mut roots = RootCertStore::empty();
    if let Some(path) = &directory.ca {
        let certificates = CertificateDer::pem_file_iter(path)
            .map_err(|e| other(format!("{}: {e}", path.display())))?;
        for certificate in certificates {
            let certificate = certificate.map_err(|e| other(format!("{}: {e}", path.display())))?;
            roots.add(certificate).map_err(|e| other(e.to_string()))?;
        }
    }
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let config =
        ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let config = config.map_err(|e| other(e.to_string()))?;
    let config = config.with_root_certificates(roots).with_no_client_auth();
    Ok(Some(TlsConnector::from(Arc::new(config))))
}

/// A connection whose bind is over.
struct Connection {
    stream: Box<dyn Transport>,
    client: Client,
    buffer: Vec<u8>,
}

impl Connection {
    async fn open(
        directory: &DirectoryConfig,
        server: usize,
        tls: Option<&TlsConnector>,
    ) -> Result<Self, String> {
        let server = &directory.servers[server];
        let opening = async {
            let plain = TcpStream::connect(&server.address)
                .await
                .map_err(|e| e.to_string())?;
            let _ = plain.set_nodelay(true);
            let name = ServerName::try_from(server.name.clone()).map_err(|e| e.to_string());
            let mut stream: Box<dyn Transport> = match (directory.tls, tls) {
                (Tls::Ldaps, Some(tls)) => {
                    Box::new(tls.connect(name?, plain).await.map_err(|e| e.to_string())?)
                }
                (Tls::Start, Some(tls)) => {
                    let mut plain = plain;
                    let settings = ClientSettings {
                        start_tls: true,
                        bind: None,
                        ..ClientSettings::default()
                    };
                    let mut first = Client::new(settings);
                    drive(&mut plain, &mut first, |e| matches!(e, Event::BeginTls)).await?;
                    // What follows is a connection of its own over TLS.
                    Box::new(tls.connect(name?, plain).await.map_err(|e| e.to_string())?)
                }
                _ => Box::new(plain),
            };
            let bind = directory.bind.clone().map(|bind| SimpleBind {
                name: bind.name,
                password: Bytes::from(bind.password),
            });
            let mut client = Client::new(ClientSettings {
                bind,
                ..ClientSettings::default()
            });
            drive(&mut stream, &mut client, |e| matches!(e, Event::Ready)).await?;
            Ok(Connection {
                stream,
                client,
                buffer: vec![0; 32 << 10],
            })
        };
        match tokio::time::timeout(CONNECT_MOST, opening).await {
            Ok(opened) => opened,
            Err(_) => Err("not up in time".into()),
        }
    }

    async fn flush(&mut self) -> Result<(), String> {
        let bytes = self.client.take_output();
        if bytes.is_empty() {
            return Ok(());
        }
        self.stream
            .write_all(&bytes)
            .await
            .map_err(|e| e.to_string())
    }

    async fn read(&mut self) -> Result<(), String> {
        match self.stream.read(&mut self.buffer).await {
            Ok(0) => Err("the server ended the connection".into()),
            Ok(count) => {
                self.client.receive(&self.buffer[..count]);
                Ok(())
            }
            Err(error) => Err(error.to_string()),
        }
    }
}

/// Moves bytes until an event.
async fn drive<S: Transport + ?Sized>(
    stream: &mut S,
    client: &mut Client,
    until: impl Fn(&Event) -> bool,
) -> Result<(), String> {
    let mut buffer = [0; 4096];
    loop {
        let bytes = client.take_output();
        stream.write_all(&bytes).await.map_err(|e| e.to_string())?;
        while let Some(event) = client.poll() {
            match event {
                event if until(&event) => return Ok(()),
                Event::Closed(why) => return Err(why),
                _ => {}
            }
        }
        match stream.read(&mut buffer).await.map_err(|e| e.to_string())? {
            0 => return Err("the server ended the connection".into()),
            count => client.receive(&buffer[..count]),
        }
    }
}

// ---- what is asked, as searches ----

/// The name that a directory has for a user: without the realm where the directory has just one.
fn local<'a>(directory: &DirectoryConfig, user: &'a str) -> &'a str {
    match (directory.lookups.realms.len(), user.rsplit_once('@')) {
        (1, Some((name, _))) => name,
        _ => user,
    }
}

fn whole(directory: &DirectoryConfig, name: &str) -> String {
    match &directory.lookups.realms[..] {
        [realm] => format!("{}@{}", dn::fold(name), dn::fold(realm)),
        _ => dn::fold(name),
    }
}

fn also(directory: &DirectoryConfig) -> Option<Filter> {
    directory
        .filter
        .as_deref()
        .and_then(|f| filter::parse(f).ok())
}

fn state_search(directory: &DirectoryConfig) -> Search {
    let mark = directory.mark_attribute.clone();
    Search {
        base: directory.base.clone(),
        scope: SearchRequestScope::BaseObject,
        filter: filter::all(),
        // "1.1": no attribute (RFC 4511, 4.5.1.8).
        attributes: vec![mark.unwrap_or_else(|| "1.1".into())],
        size_limit: 1,
        time_limit: 0,
        controls: Vec::new(),
    }
}

fn main_search(directory: &DirectoryConfig, what: &Query, page: Bytes) -> Option<Search> {
    let filter = match what {
        Query::ServerState => return None,
        Query::Users(users) => {
            let names = users.iter().map(|u| local(directory, u));
            filter::any_of(&directory.user_attribute, names, also(directory).as_ref())
        }
        Query::ChangedSince(None) => return None,
        Query::ChangedSince(Some(since)) => {
            let changed = filter::at_least("modifyTimestamp", since);
            filter::and(
                [also(directory), Some(changed)]
                    .into_iter()
                    .flatten()
                    .collect(),
            )
        }
    };
    Some(Search {
        base: directory.base.clone(),
        scope: SearchRequestScope::WholeSubtree,
        filter,
        attributes: vec![
            directory.user_attribute.clone(),
            "entryUUID".into(),
            "modifyTimestamp".into(),
        ],
        size_limit: 0,
        time_limit: u32::try_from(directory.lookups.timeout / 1_000_000_000)
            .unwrap_or(0)
            .saturating_add(1),
        controls: vec![sync::paged(PAGE, page)],
    })
}

/// A mark from a `contextCSN`, or from a number that only grows.
fn mark(text: &str) -> Option<u64> {
    let digits: String = text
        .split(['Z', '#'])
        .next()?
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    // Of a time with microseconds the century is left out: the rest fits.
    if digits.len() >= 20 {
        digits[2..20].parse().ok()
    } else {
        digits.parse().ok()
    }
}

fn found(
    directory: &DirectoryConfig,
    entry: &Entry,
    asked: Option<&BTreeSet<&str>>,
) -> Vec<DirectoryEntry> {
    let person = entry
        .text("entryUUID")
        .map_or(PersonId::default(), |id| PersonId::from_uuid(id.as_bytes()));
    let names = entry
        .values(&directory.user_attribute)
        .filter_map(|v| std::str::from_utf8(v).ok());
    let mut users: Vec<String> = names.map(|name| whole(directory, name)).collect();
    if let Some(asked) = asked
        && users.iter().any(|u| asked.contains(u.as_str()))
    {
        users.retain(|u| asked.contains(u.as_str()));
    }
    users.truncate(16);
    users
        .into_iter()
        .map(|user| DirectoryEntry {
            user: user.into(),
            dn: entry.dn.clone(),
            person,
        })
        .collect()
}

/// From which `modifyTimestamp` on a directory is first asked for changes, as a generalized time (RFC 4517, 3.3.13).
///
/// It lies before now by [`FIRST_POLL_REACH`], as this machine's wall clock may be ahead of the server's: a start in the
/// server's future would miss every change until then. Entries told though they had not changed do no harm.
pub fn first_poll_since(wall_ms: u64) -> String {
    let start_ms = i64::try_from(wall_ms)
        .unwrap_or(i64::MAX)
        .saturating_sub(FIRST_POLL_REACH.num_milliseconds());
    let start = chrono::DateTime::from_timestamp_millis(start_ms).unwrap_or_default();
    start.format("%Y%m%d%H%M%SZ").to_string()
}

/// One question under way: the state first, then what was asked.
struct Question {
    what: Query,
    state: Option<Asked>,
    main: Option<Asked>,
    answer: SearchResponse,
    entries: usize,
}

impl Question {
    fn begin(directory: &DirectoryConfig, client: &mut Client, what: Query) -> Option<Question> {
        let state = client.search(state_search(directory))?;
        let main = match main_search(directory, &what, Bytes::new()) {
            Some(search) => {
                if let Some(id) = client.search(search) {
                    Some(id)
                } else {
                    client.abandon(state);
                    return None;
                }
            }
            None => None,
        };
        let newest = matches!(what, Query::ChangedSince(None)).then(|| first_poll_since(wall_ms()));
        let answer = SearchResponse {
            newest_modify_timestamp: newest,
            ..SearchResponse::default()
        };
        Some(Question {
            what,
            state: Some(state),
            main,
            answer,
            entries: 0,
        })
    }

    fn has(&self, id: Asked) -> bool {
        self.state == Some(id) || self.main == Some(id)
    }

    fn is_over(&self) -> bool {
        self.state.is_none() && self.main.is_none()
    }

    fn entry(
        &mut self,
        directory: &DirectoryConfig,
        id: Asked,
        entry: &Entry,
    ) -> Result<(), SearchError> {
        self.entries += 1;
        if self.entries > ENTRIES_MOST {
            return Err(SearchError::InvalidResponse);
        }
        if self.state == Some(id) {
            self.answer.base_exists = true;
            let marks = directory
                .mark_attribute
                .iter()
                .flat_map(|a| entry.values(a));
            self.answer.change_number = marks
                .filter_map(|v| mark(std::str::from_utf8(v).ok()?))
                .max();
            return Ok(());
        }
        let asked = match &self.what {
            Query::Users(users) => Some(users.iter().map(|u| &**u).collect()),
            _ => None,
        };
        if let Some(changed) = entry.text("modifyTimestamp").filter(|_| asked.is_none()) {
            self.answer.newest_modify_timestamp =
                Some(changed.to_string()).max(self.answer.newest_modify_timestamp.take());
        }
        self.answer
            .entries
            .extend(found(directory, entry, asked.as_ref()));
        Ok(())
    }

    fn done(
        &mut self,
        directory: &DirectoryConfig,
        client: &mut Client,
        id: Asked,
        outcome: &pipithub_ldap::Outcome,
    ) -> Result<(), SearchError> {
        match outcome.code {
            ResultCode::Success => {}
            // Without its base the tree is not there: told by `base_exists`.
            ResultCode::NoSuchObject => {}
            ResultCode::Referral => {
                let host = |url: &String| {
                    let rest = url
                        .strip_prefix("ldap://")
                        .or(url.strip_prefix("ldaps://"))?;
                    let host = rest.split(['/', '?']).next()?;
                    directory.servers.iter().position(|s| s.address == host)
                };
                return Err(SearchError::Referral(
                    outcome.referrals.iter().find_map(host),
                ));
            }
            ResultCode::InsufficientAccessRights
            | ResultCode::InvalidCredentials
            | ResultCode::StrongerAuthRequired
            | ResultCode::ConfidentialityRequired => return Err(SearchError::Denied),
            _ => return Err(SearchError::Unavailable),
        }
        if self.state == Some(id) {
            self.state = None;
            return Ok(());
        }
        self.main = None;
        if let Some(cookie) = outcome.page.clone().filter(|c| !c.is_empty())
            && let Some(next) = main_search(directory, &self.what, cookie)
        {
            self.main = Some(client.search(next).ok_or(SearchError::Unavailable)?);
        }
        Ok(())
    }
}

/// Asks a server once, on a connection of its own.
pub async fn ask(
    directory: &DirectoryConfig,
    server: usize,
    what: Query,
) -> Result<SearchResponse, String> {
    let tls = connector(directory).map_err(|e| e.to_string())?;
    let mut connection = Connection::open(directory, server, tls.as_ref()).await?;
    let mut question =
        Question::begin(directory, &mut connection.client, what).ok_or("not begun")?;
    let asking = async {
        loop {
            connection.flush().await?;
            while let Some(event) = connection.client.poll() {
                match event {
                    Event::Entry(id, entry) => {
                        question
                            .entry(directory, id, &entry)
                            .map_err(|f| f.to_string())?;
                    }
                    Event::Done(id, outcome) => {
                        let ended = question.done(directory, &mut connection.client, id, &outcome);
                        ended
                            .map_err(|f| format!("{f}: {:?} {}", outcome.code, outcome.message))?;
                    }
                    Event::Closed(why) => return Err(why),
                    _ => {}
                }
            }
            if question.is_over() {
                connection.client.unbind();
                let _ = connection.flush().await;
                return Ok(question.answer);
            }
            connection.read().await?;
        }
    };
    let most = Duration::from_nanos(directory.lookups.timeout);
    tokio::time::timeout(most, asking)
        .await
        .unwrap_or_else(|_| Err("no answer in time".into()))
}

// ---- links ----

/// One server's connections.
struct Link {
    directory: Arc<DirectoryConfig>,
    server: usize,
    tls: Option<TlsConnector>,
    front_end: String,
}

impl Link {
    /// Hands each command to one of the connections; each is opened when it is first needed.
    async fn run(self, mut commands: mpsc::Receiver<Command>, inputs: mpsc::Sender<Input>) {
        let link = Arc::new(self);
        let count = link.directory.connections;
        let mut tasks = tokio::task::JoinSet::new();
        let mut lines = Vec::new();
        for _ in 0..count {
            let (line, receiver) = mpsc::channel(COMMANDS);
            lines.push(line);
            tasks.spawn(link.clone().connection(receiver, inputs.clone()));
        }
        let mut turn = 0;
        while let Some(command) = commands.recv().await {
            match command {
                Command::Search(id, what) => {
                    turn += 1;
                    if lines[turn % count]
                        .try_send(Command::Search(id, what))
                        .is_err()
                    {
                        let _ = inputs.try_send(Input::SearchEnded {
                            search: id,
                            outcome: Err(SearchError::ConnectionLost),
                        });
                    }
                }
                Command::GiveUp(id) => lines
                    .iter()
                    .for_each(|l| drop(l.try_send(Command::GiveUp(id)))),
            }
        }
    }

    async fn connection(
        self: Arc<Self>,
        mut commands: mpsc::Receiver<Command>,
        inputs: mpsc::Sender<Input>,
    ) {
        let directory = &*self.directory;
        let address = &directory.servers[self.server].address;
        while let Some(first) = commands.recv().await {
            let Command::Search(id, what) = first else {
                continue;
            };
            let mut questions: BTreeMap<SearchId, Question> = BTreeMap::new();
            let why = match Connection::open(directory, self.server, self.tls.as_ref()).await {
                Ok(mut connection) => {
                    debug!(
                        front_end = self.front_end,
                        directory = directory.name,
                        address,
                        "directory server reached"
                    );
                    let begun = Question::begin(directory, &mut connection.client, what);
                    questions.extend(begun.map(|q| (id, q)));
                    self.talk(&mut connection, &mut commands, &inputs, &mut questions)
                        .await
                }
                Err(why) => {
                    let _ = inputs
                        .send(Input::SearchEnded {
                            search: id,
                            outcome: Err(SearchError::ConnectionLost),
                        })
                        .await;
                    why
                }
            };
            warn!(
                front_end = self.front_end,
                directory = directory.name,
                address,
                why,
                "directory server lost"
            );
            for id in questions.into_keys() {
                let _ = inputs
                    .send(Input::SearchEnded {
                        search: id,
                        outcome: Err(SearchError::ConnectionLost),
                    })
                    .await;
            }
        }
    }

    /// Until the connection is over; the reason.
    async fn talk(
        &self,
        connection: &mut Connection,
        commands: &mut mpsc::Receiver<Command>,
        inputs: &mpsc::Sender<Input>,
        questions: &mut BTreeMap<SearchId, Question>,
    ) -> String {
        let directory = &*self.directory;
        loop {
            if let Err(why) = connection.flush().await {
                return why;
            }
            while let Some(event) = connection.client.poll() {
                let (asked, step) = match event {
                    Event::Entry(asked, entry) => {
                        let question = questions.values_mut().find(|q| q.has(asked));
                        (
                            asked,
                            question.map_or(Ok(()), |q| q.entry(directory, asked, &entry)),
                        )
                    }
                    Event::Done(asked, outcome) => {
                        let question = questions.values_mut().find(|q| q.has(asked));
                        let step = question.map_or(Ok(()), |q| {
                            q.done(directory, &mut connection.client, asked, &outcome)
                        });
                        if step.is_err() {
                            let (code, words) = (outcome.code, outcome.message);
                            warn!(
                                front_end = self.front_end,
                                directory = directory.name,
                                server = self.server,
                                ?code,
                                words,
                                "a directory server does not answer"
                            );
                        }
                        (asked, step)
                    }
                    // Places to go on at are not followed: only servers of the settings are asked.
                    Event::Reference(..) | Event::Info(..) | Event::Ready | Event::BeginTls => {
                        continue;
                    }
                    Event::Closed(why) => return why,
                };
                let Some(id) = questions
                    .iter()
                    .find(|(_, q)| q.has(asked) || q.is_over())
                    .map(|(id, _)| *id)
                else {
                    continue;
                };
                let outcome = match step {
                    Err(failure) => Err(failure),
                    Ok(()) if questions[&id].is_over() => Ok(()),
                    Ok(()) => continue,
                };
                if let Some(question) = questions.remove(&id) {
                    for left in [question.state, question.main].into_iter().flatten() {
                        connection.client.abandon(left);
                    }
                    let outcome = outcome.map(|()| question.answer);
                    if inputs
                        .send(Input::SearchEnded {
                            search: id,
                            outcome,
                        })
                        .await
                        .is_err()
                    {
                        return "the front end is gone".into();
                    }
                }
            }
            tokio::select! {
                read = connection.read() => {
                    if let Err(why) = read {
                        return why;
                    }
                }
                command = commands.recv() => match command {
                    None => {
                        connection.client.unbind();
                        let _ = connection.flush().await;
                        return "not needed any more".into();
                    }
                    Some(Command::Search(id, what)) => {
                        match Question::begin(directory, &mut connection.client, what) {
                            Some(question) => drop(questions.insert(id, question)),
                            None => drop(inputs.send(Input::SearchEnded { search: id, outcome: Err(SearchError::Unavailable) }).await),
                        }
                    }
                    Some(Command::GiveUp(id)) => {
                        if let Some(question) = questions.remove(&id) {
                            for left in [question.state, question.main].into_iter().flatten() {
                                connection.client.abandon(left);
                            }
                            // A server that stays silent here may be half open: the next search tries a new connection.
                            if questions.is_empty() {
                                return "it does not answer in time".into();
                            }
                        }
                    }
                }
            }
        }
    }
}

// ---- following ----

/// Follows a directory by content synchronisation, at one server after the other.
struct Follower {
    directory: Arc<DirectoryConfig>,
    number: usize,
    tls: Option<TlsConnector>,
    inputs: mpsc::Sender<Input>,
}

impl Follower {
    async fn run(self) {
        let mut server = 0;
        let mut cookie = None;
        loop {
            let began = tokio::time::Instant::now();
            let why = self.follow(server, &mut cookie).await;
            let name = &self.directory.name;
            warn!(
                directory = name,
                server, why, "a directory is not followed any more"
            );
            if !self.tell(SyncEvent::ConnectionLost).await {
                return;
            }
            // What a server says about a synchronisation that it cannot go on with is not one code of the core
            // protocol: whatever ended it, the next one begins anew where this one was short.
            if began.elapsed() < self.alive() {
                cookie = None;
            }
            server = (server + 1) % self.directory.servers.len();
            let first = Duration::from_nanos(self.directory.lookups.backoff.initial);
            tokio::time::sleep(first).await;
        }
    }

    fn alive(&self) -> Duration {
        let lifetimes = self.directory.lookups.lifetimes;
        let shortest = lifetimes.fresh.min(lifetimes.negative);
        Duration::from_nanos(shortest / ALIVE_PART).clamp(Duration::from_millis(100), ALIVE_MOST)
    }

    async fn tell(&self, news: SyncEvent) -> bool {
        self.inputs
            .send(Input::Synchronization {
                directory: self.number,
                event: news,
            })
            .await
            .is_ok()
    }

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    async fn follow(&self, server: usize, cookie: &mut Option<Bytes>) -> String {
        let directory = &*self.directory;
        let mut connection = match Connection::open(directory, server, self.tls.as_ref()).await {
            Ok(connection) => connection,
            Err(why) => return why,
        };
        let search = Search {
            base: directory.base.clone(),
            scope: SearchRequestScope::WholeSubtree,
            filter: also(directory)
                .unwrap_or_else(|| Filter::Present(directory.user_attribute.as_str().into())),
            attributes: vec![directory.user_attribute.clone(), "entryUUID".into()],
            size_limit: 0,
            time_limit: 0,
            controls: vec![sync::request(cookie.clone())],
        };
        let Some(id) = connection.client.search(search) else {
            return "not begun".into();
        };
        if !self
            .tell(SyncEvent::RefreshStarted {
                full: cookie.is_none(),
            })
            .await
        {
            return "the front end is gone".into();
        }
        let mut complete = false;
        let mut alive: Option<Asked> = None;
        let mut beat = tokio::time::interval(self.alive());
        beat.tick().await;
        loop {
            if let Err(why) = connection.flush().await {
                return why;
            }
            while let Some(event) = connection.client.poll() {
                let news = match event {
                    Event::Entry(of, entry) if of == id => {
                        let Some(state) = entry.state.clone() else {
                            return "an entry without its state".into();
                        };
                        let person = PersonId::from_uuid(uuid_text(&state.uuid).as_bytes());
                        *cookie = state
                            .cookie
                            .map(|c| Bytes::copy_from_slice(&c))
                            .or(cookie.take());
                        match state.state {
                            State::Delete => vec![SyncEvent::Deleted(person)],
                            State::Present => vec![SyncEvent::Unchanged(person)],
                            _ => {
                                let found = found(directory, &entry, None).into_iter();
                                found
                                    .map(|f| SyncEvent::Entry(DirectoryEntry { person, ..f }))
                                    .collect()
                            }
                        }
                    }
                    Event::Info(of, info) if of == id => {
                        let (new, news) = match info {
                            Info::Cookie(c) => (Some(c), Vec::new()),
                            Info::RefreshDelete(p) | Info::RefreshPresent(p) => {
                                complete |= p.refresh_done;
                                (
                                    p.cookie,
                                    if p.refresh_done {
                                        vec![SyncEvent::RefreshDone]
                                    } else {
                                        Vec::new()
                                    },
                                )
                            }
                            Info::Ids(ids) => {
                                let person = |u: &_| PersonId::from_uuid(uuid_text(u).as_bytes());
                                let news = |u| {
                                    if ids.refresh_deletes {
                                        SyncEvent::Deleted(u)
                                    } else {
                                        SyncEvent::Unchanged(u)
                                    }
                                };
                                let all = ids
                                    .uuids
                                    .to_vec()
                                    .into_iter()
                                    .map(|u| news(person(&u[..])))
                                    .collect();
                                (ids.cookie, all)
                            }
                            _ => (None, Vec::new()),
                        };
                        *cookie = new.map(|c| Bytes::copy_from_slice(&c)).or(cookie.take());
                        news
                    }
                    Event::Done(of, outcome) if of == id => {
                        return format!(
                            "the synchronisation ended: {:?} {}",
                            outcome.code, outcome.message
                        );
                    }
                    Event::Done(of, outcome) if alive == Some(of) => {
                        alive = None;
                        if outcome.code == ResultCode::Success && complete {
                            vec![SyncEvent::Heartbeat]
                        } else {
                            Vec::new()
                        }
                    }
                    Event::Closed(why) => return why,
                    _ => Vec::new(),
                };
                for news in news {
                    if !self.tell(news).await {
                        return "the front end is gone".into();
                    }
                }
            }
            tokio::select! {
                read = connection.read() => {
                    if let Err(why) = read {
                        return why;
                    }
                }
                _ = beat.tick() => {
                    if alive.is_some() {
                        return "silent".into();
                    }
                    alive = connection.client.search(state_search(directory));
                }
            }
        }
    }
}

/// As a directory writes an `entryUUID`.
fn uuid_text(uuid: &[u8]) -> String {
    let hex: String = uuid.iter().map(|b| format!("{b:02x}")).collect();
    if hex.len() != 32 {
        return hex;
    }
    format!(
        "{}-{}-{}-{}-{}",
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..]
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn marks_grow_with_their_texts() {
        let csn = |micros: u32| mark(&format!("20261201133000.{micros:06}Z#000000#001#000000"));
        assert!(csn(2) > csn(1) && csn(1).is_some());
        assert!(mark("20261201133001.000000Z#000000#000#000000") > csn(999_999));
        assert_eq!(mark("4711"), Some(4711));
        assert_eq!(mark("none"), None);
    }
}
