//! The settings of tenants and directories as types.

use std::fmt;
use std::path::PathBuf;

use pipithub_admission::AdmissionSettings;
use pipithub_directory::{DirectorySettings, TenantBase};
use pipithub_engine::Time;
use pipithub_ldap::{ExposeSecret, SecretString};

/// How a directory's connections are secured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tls {
    /// Connections are not encrypted; for loopback and tests.
    None,
    /// Connections to the plain port are upgraded by `StartTLS`.
    StartTls,
    /// Connections use TLS from the first byte.
    Ldaps,
}

/// A server of a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerConfig {
    /// The address of the server as `host:port`.
    pub address: String,
    /// The name that the server's certificate must have.
    pub name: String,
}

/// The credentials that connections to a directory bind with (RFC 4513, simple authentication).
#[derive(Clone, Debug)]
pub struct BindCredentials {
    /// The distinguished name to bind as.
    pub name: String,
    /// The password, which `Debug` does not show.
    pub password: SecretString,
}

/// Written by hand because [`SecretString`] cannot be compared. Settings with credentials are compared.
impl PartialEq for BindCredentials {
    fn eq(&self, other: &Self) -> bool {
        self.name == other.name && self.password.expose_secret() == other.password.expose_secret()
    }
}

impl Eq for BindCredentials {}

/// A directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryConfig {
    /// The name of the directory in the settings.
    pub name: String,
    /// The servers, which hold copies of the same tree.
    pub servers: Vec<ServerConfig>,
    /// How connections to the servers are secured.
    pub tls: Tls,
    /// The PEM file with the certificates of the trusted authorities; `None` only without TLS.
    pub ca: Option<PathBuf>,
    /// The credentials to bind with; `None` binds anonymously.
    pub bind: Option<BindCredentials>,
    /// The distinguished name of the base of all searches.
    pub base: String,
    /// The attribute with the user's name.
    pub user_attribute: String,
    /// A filter that the entries of users must match; `None` if every entry with the attribute is a user's.
    pub filter: Option<String>,
    /// The attribute of the base entry that shows how current a server's copy is; `None` if lagging copies are not
    /// detected.
    pub change_number_attribute: Option<String>,
    /// Whether changes of the directory are received by content synchronization (RFC 4533).
    pub content_sync: bool,
    /// The number of connections to each server.
    pub connections: usize,
    /// The settings of look-ups in the directory.
    pub lookups: DirectorySettings,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// The name of the tenant in the settings.
    pub name: String,
    /// The functions that the tenant owns, as written: names, or prefixes that end in `*`.
    pub functions: Vec<String>,
    /// The directory and the base of the tenant's entries.
    pub search_base: TenantBase,
    /// The distinguished name of `search_base`, as written.
    pub base: String,
}

/// The snapshot that preserves the records of users across a restart. The key is not part of the debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct SnapshotConfig {
    /// The path of the file; each front end replaces the extension by its name.
    pub path: PathBuf,
    /// The key that authenticates the file, at least 16 bytes.
    pub key: Vec<u8>,
    /// The interval between two snapshots, in nanoseconds.
    pub interval: Time,
}

impl fmt::Debug for SnapshotConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SnapshotConfig")
            .field("path", &self.path)
            .finish_non_exhaustive()
    }
}

/// The tenants with their directories and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantsConfig {
    /// The tenants; other settings refer to them by their indexes here.
    pub tenants: Vec<TenantConfig>,
    /// The directories; tenants refer to them by their indexes here.
    pub directories: Vec<DirectoryConfig>,
    /// The settings of admission, with the tenants' quotas.
    pub admission: AdmissionSettings,
    /// The maximum number of users whose records are cached.
    pub max_users: usize,
    /// The snapshot of cached records; `None` if no snapshot is written or read.
    pub snapshot: Option<SnapshotConfig>,
}
