//! What the settings say about tenants and directories.

use std::path::PathBuf;

use pipithub_admission::AdmissionSettings;
use pipithub_directory::{DirectorySettings, TenantBase};
use pipithub_engine::Time;
use pipithub_ldap::{ExposeSecret, SecretString};

/// How a directory's connections are secured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tls {
    /// Not at all; for loopback and tests.
    None,
    /// `StartTLS` on the plain port.
    Start,
    /// From the first byte.
    Ldaps,
}

/// A server of a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerConfig {
    /// `host:port`.
    pub address: String,
    /// The name that its certificate must have.
    pub name: String,
}

/// What a connection to a directory binds as (RFC 4513, simple authentication).
#[derive(Clone, Debug)]
pub struct BindCredentials {
    /// The distinguished name.
    pub name: String,
    /// The password, which `Debug` does not show.
    pub password: SecretString,
}

/// Credentials are compared where settings are: a secret has no comparison of its own.
impl PartialEq for BindCredentials {
    fn eq(&self, other: &Self) -> bool {
        self.name == other.name && self.password.expose_secret() == other.password.expose_secret()
    }
}

impl Eq for BindCredentials {}

/// A directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryConfig {
    /// Its name, for logs.
    pub name: String,
    /// Its servers.
    pub servers: Vec<ServerConfig>,
    /// How connections to them are secured.
    pub tls: Tls,
    /// Certificates of the authorities that are trusted, PEM.
    pub ca: Option<PathBuf>,
    /// What to bind as; `None`: anonymous.
    pub bind: Option<BindCredentials>,
    /// Where searches begin.
    pub base: String,
    /// The attribute that holds the user's name.
    pub user_attribute: String,
    /// What entries must be beside having the name.
    pub filter: Option<String>,
    /// The attribute of the base entry that tells how far a server's copy has come.
    pub mark_attribute: Option<String>,
    /// Follow it by content synchronisation (RFC 4533).
    pub follow: bool,
    /// Connections to each server.
    pub connections: usize,
    /// How users are looked up in it.
    pub lookups: DirectorySettings,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Its name.
    pub name: String,
    /// Its functions, as written.
    pub functions: Vec<String>,
    /// Where its entries are.
    pub place: TenantBase,
    /// The place as written.
    pub base: String,
}

/// Where what is known of users is cached over a restart.
#[derive(Clone, PartialEq, Eq)]
pub struct SnapshotConfig {
    /// The file.
    pub path: PathBuf,
    /// The key that seals it.
    pub key: Vec<u8>,
    /// How often it is written.
    pub every: Time,
}

impl std::fmt::Debug for SnapshotConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SnapshotConfig")
            .field("path", &self.path)
            .finish_non_exhaustive()
    }
}

/// Tenants and all that belongs to them.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantsConfig {
    /// The tenants, by their number.
    pub tenants: Vec<TenantConfig>,
    /// The directories.
    pub directories: Vec<DirectoryConfig>,
    /// Admission of their requests.
    pub admission: AdmissionSettings,
    /// Users that are cached.
    pub max_users: usize,
    /// The snapshot.
    pub snapshot: Option<SnapshotConfig>,
}
