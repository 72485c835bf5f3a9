//! An emulated LDAP directory server whose entries come from LDIF, and which can simulate faults.
//!
//! It supports what a gateway uses: simple binds, `StartTLS` and TLS from the first byte, filters, paging, content
//! synchronisation (RFC 4533) with changes as they happen, `contextCSN` at the base, `modifyTimestamp` and `entryUUID` at
//! each entry. Replicas are several servers, each with a tree of its own.

mod filter;
mod search;
mod session;
mod tree;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pipithub_ldap::{Dn, ldif};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::PrivateKeyDer;

use self::session::SessionEnd;
use self::tree::{EntryUuid, Tree};
use crate::accept::next_stream;
use crate::credentials::Credentials;

/// How many changes a session may be behind; a slower session is ended.
const MAX_UNREAD_CHANGES: usize = 4096;

/// Settings of a directory server.
#[derive(Clone, Debug, Default)]
pub struct DirectorySettings {
    /// The entries, as LDIF.
    pub tree: String,
    /// The DN of the base entry, whose `contextCSN` states how current the server is; by default the shortest DN.
    pub base: Option<String>,
    /// The credentials that clients must bind with; `None` allows searches without a bind.
    pub login: Option<Credentials>,
    /// Use TLS from the first byte instead of offering `StartTLS`.
    pub ldaps: bool,
}

/// The faults that the server simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The delay of every answer.
    pub delay: Duration,
    /// Requests are read but not answered.
    pub silent: bool,
    /// Every n-th answer to a search is dropped; 0 for none.
    pub drop_every: u32,
    /// Searches below a base entry find only the last entry of the tree, whether or not it matches.
    pub wrong: bool,
    /// Searches find no base entry, as if the server were still loading its entries.
    pub loading: bool,
    /// Searches are answered with the result code `busy`.
    pub busy: bool,
}

/// A change that the sessions are notified of.
#[derive(Clone, Debug)]
enum Change {
    Updated(Dn),
    Deleted(EntryUuid),
    /// All sessions must end.
    Disconnect,
}

/// The state that the server's tasks share.
struct Shared {
    settings: DirectorySettings,
    tree: Mutex<Tree>,
    changes: broadcast::Sender<Change>,
    acceptor: TlsAcceptor,
    /// The server's certificate, as PEM.
    certificate: String,
}

impl Shared {
    fn tree(&self) -> MutexGuard<'_, Tree> {
        self.tree.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self, change: Change) {
        // Sending fails only if there are no sessions.
        let _ = self.changes.send(change);
    }
}

/// A running directory server. Dropping it ends the server and its sessions.
pub struct DirectoryServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for DirectoryServer {
    fn drop(&mut self) {
        self.task.abort();
        self.cut();
    }
}

fn invalid(error: impl std::fmt::Display) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidInput, error.to_string())
}

impl DirectoryServer {
    /// Starts a server on an address. Fails if the address cannot be bound or the LDIF or base DN is invalid.
    pub async fn start(listen: SocketAddr, settings: DirectorySettings) -> std::io::Result<Self> {
        let tree = read_tree(&settings)?;
        let certified =
            rcgen::generate_simple_self_signed(["localhost".to_string(), "127.0.0.1".to_string()])
                .map_err(invalid)?;
        let acceptor = tls_acceptor(&certified)?;
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            tree: Mutex::new(tree),
            changes: broadcast::channel(MAX_UNREAD_CHANGES).0,
            acceptor,
            certificate: certified.cert.pem(),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(DirectoryServer {
            address,
            shared,
            task,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The self-signed certificate of the server, as PEM.
    pub fn ca(&self) -> &str {
        &self.shared.certificate
    }

    fn tree(&self) -> MutexGuard<'_, Tree> {
        self.shared.tree()
    }

    /// Changes the simulated faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.tree().faults);
    }

    /// The number of searches received so far.
    pub fn searches(&self) -> u64 {
        self.tree().searches
    }

    /// Ends all sessions.
    pub fn cut(&self) {
        self.shared.announce(Change::Disconnect);
    }

    /// Adds entries from LDIF, or replaces those of the same DN. Fails, without any change, if the text is invalid.
    pub fn add(&self, text: &str) -> Result<(), ldif::InvalidLdif> {
        for record in ldif::read(text)? {
            let dn = record.dn.clone();
            self.tree().insert(record);
            self.shared.announce(Change::Updated(dn));
        }
        Ok(())
    }

    /// Deletes the entry of a DN; returns whether it existed.
    pub fn delete(&self, name: &str) -> bool {
        let Ok(dn) = Dn::parse(name) else {
            return false;
        };
        let mut tree = self.tree();
        let Some(uuid) = tree.remove(&dn) else {
            return false;
        };
        self.shared.announce(Change::Deleted(uuid));
        true
    }

    /// Moves an entry below another one; returns whether the entry existed.
    pub fn move_to(&self, name: &str, superior: &str) -> bool {
        let (Ok(dn), Ok(superior)) = (Dn::parse(name), Dn::parse(superior)) else {
            return false;
        };
        let mut tree = self.tree();
        let Some(moved) = tree.move_entry(&dn, &superior) else {
            return false;
        };
        self.shared.announce(Change::Updated(moved));
        true
    }

    /// Replaces all entries by those of another server, as when a replica catches up.
    pub fn copy_from(&self, other: &DirectoryServer) {
        let (entries, change_number) = {
            let tree = other.tree();
            (tree.entries.clone(), tree.change_number)
        };
        let mut tree = self.tree();
        tree.entries = entries;
        tree.change_number = change_number;
    }

    /// Executes a command line: `delay MS`, `silent on|off`, `drop N`, `wrong on|off`, `loading on|off`, `busy on|off`, `cut`,
    /// `move DN > DN`, `delete DN`, `good`; false if the command is unknown or there is no such entry.
    pub fn command(&self, line: &str) -> bool {
        let (verb, argument) = line.split_once(' ').unwrap_or((line, ""));
        match verb {
            "cut" => {
                self.cut();
                true
            }
            "delete" => self.delete(argument),
            "move" => argument
                .split_once(" > ")
                .is_some_and(|(from, to)| self.move_to(from, to)),
            _ => self.tree().faults.set(verb, argument),
        }
    }
}

impl Faults {
    /// Executes a command that sets faults; false if it is unknown.
    fn set(&mut self, verb: &str, argument: &str) -> bool {
        let on = argument == "on";
        match verb {
            "delay" => self.delay = Duration::from_millis(argument.parse().unwrap_or(100)),
            "silent" => self.silent = on,
            "drop" => self.drop_every = argument.parse().unwrap_or(2),
            "wrong" => self.wrong = on,
            "loading" => self.loading = on,
            "busy" => self.busy = on,
            "good" => *self = Faults::default(),
            _ => return false,
        }
        true
    }
}

fn read_tree(settings: &DirectorySettings) -> std::io::Result<Tree> {
    let records = ldif::read(&settings.tree).map_err(invalid)?;
    let base = match &settings.base {
        Some(base) => Dn::parse(base).map_err(invalid)?,
        None => records
            .iter()
            .map(|record| &record.dn)
            .min_by_key(|dn| dn.depth())
            .cloned()
            .unwrap_or_default(),
    };
    let mut tree = Tree::new(base);
    for record in records {
        tree.insert(record);
    }
    Ok(tree)
}

fn tls_acceptor(certified: &rcgen::CertifiedKey<rcgen::KeyPair>) -> std::io::Result<TlsAcceptor> {
    let key = PrivateKeyDer::try_from(certified.signing_key.serialize_der()).map_err(invalid)?;
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(invalid)?
        .with_no_client_auth()
        .with_single_cert(vec![certified.cert.der().clone()], key)
        .map_err(invalid)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Some(stream) = next_stream(&listener).await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream, shared.clone()));
    }
}

/// Serves a connection, in plain text until TLS begins.
async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    if !shared.settings.ldaps {
        let ended = session::serve(&mut stream, &shared, false).await;
        if !matches!(ended, Ok(SessionEnd::StartTls)) {
            return;
        }
    }
    if let Ok(secured) = shared.acceptor.accept(stream).await {
        let _ = session::serve(secured, &shared, true).await;
    }
}
