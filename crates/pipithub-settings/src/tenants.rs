//! Tenants, their directories and their shares.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

use pipithub_admission::{AdmissionSettings, LimitRange, QuotaSettings, RateLimit, TenantQuota};
use pipithub_consumer::identity::{Keys, Rule};
use pipithub_consumer::message::ClassName;
use pipithub_directory::{DirectorySettings, Lifetimes, Peak, TenantBase};
use pipithub_engine::{Owner, Owners, Tenant, Time};
use pipithub_ldap::{Dn, filter};

use crate::read::{MS, Reader, SECOND, address};

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BindCredentials {
    /// The distinguished name.
    pub name: String,
    /// The password.
    pub password: String,
}

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

/// Where what is known is kept over a restart.
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
    /// Users kept.
    pub max_users: usize,
    /// The snapshot.
    pub snapshot: Option<SnapshotConfig>,
}

/// What other nodes need while they are read.
pub(crate) struct Tenants {
    pub(crate) config: Option<TenantsConfig>,
    keys: Option<Arc<Keys>>,
}

impl Tenants {
    pub(crate) fn is_empty(&self) -> bool {
        self.config.is_none()
    }

    /// The tenant that a node names.
    pub(crate) fn named(&self, node: &Reader<'_>) -> Option<Tenant> {
        let (value, span) = node.value("tenant")?;
        let all = self.config.as_ref().map_or(&[][..], |c| &c.tenants);
        let found = value
            .as_string()
            .and_then(|name| all.iter().position(|t| t.name == name));
        if found.is_none() {
            node.faults
                .add(span, format!("there is no tenant {value}"), None);
        }
        found.map(|n| Tenant(n as u16))
    }

    /// How a queue's messages prove whose they are.
    pub(crate) fn identity(&self, node: &Reader<'_>) -> Rule {
        #[derive(Clone, Copy, PartialEq)]
        enum Way {
            None,
            Broker,
            Signed,
        }
        let ways = [
            ("none", Way::None),
            ("broker", Way::Broker),
            ("signed", Way::Signed),
        ];
        let way = node.choice("identity", Way::None, &ways);
        let owned = node.node.get("tenant").is_some() || !node.all("tenant").is_empty();
        if !self.is_empty() && way == Way::None && !owned {
            let help = "identity \"broker\" or \"signed\", or 'tenant' for a queue that is one tenant's alone";
            node.faults.add(
                node.node.span(),
                "nothing says whose the calls of this queue are",
                Some(help),
            );
        }
        match (way, &self.keys) {
            (Way::None, _) => Rule::None,
            (Way::Broker, _) => Rule::Broker,
            (Way::Signed, Some(keys)) => Rule::Signed(keys.clone()),
            (Way::Signed, None) => {
                let help = "signatures { key \"desk\" file=\"desk.key\" }";
                node.faults.add(
                    node.node.span(),
                    "signed calls need 'signatures' with a key",
                    Some(help),
                );
                Rule::None
            }
        }
    }
}

/// A secret: from a file, or given as it is where that is said.
fn secret(node: &Reader<'_>, what: &str) -> Option<Vec<u8>> {
    let (file, text) = (node.text("file"), node.text("text"));
    match (file, text) {
        (Some(file), None) => match std::fs::read(&file) {
            Ok(bytes) => {
                let end = bytes
                    .iter()
                    .rposition(|b| !b.is_ascii_whitespace())
                    .map_or(0, |n| n + 1);
                Some(bytes[..end].to_vec())
            }
            Err(error) => {
                node.faults
                    .add(node.node.span(), format!("{what}: {file}: {error}"), None);
                None
            }
        },
        (None, Some(text)) => Some(text.into_bytes()),
        _ => {
            let help = Some("file=\"…\", or text=\"…\" where the settings themselves are secret");
            node.faults.add(
                node.node.span(),
                format!("{what} needs either 'file' or 'text'"),
                help,
            );
            None
        }
    }
}

fn long_enough(node: &Reader<'_>, key: &[u8]) {
    if key.len() < 16 {
        node.faults
            .add(node.node.span(), "a key has at least 16 bytes", None);
    }
}

fn dn(node: &Reader<'_>, name: &str) -> (String, Dn) {
    let Some((value, span)) = node.value(name) else {
        let text = format!("'{}' needs '{name}'", node.node.name().value());
        node.faults.add(
            node.node.span(),
            text,
            Some("a distinguished name, as \"ou=north,dc=example\""),
        );
        return Default::default();
    };
    let text = value.as_string().unwrap_or_default().to_string();
    let read = Dn::parse(&text).unwrap_or_else(|error| {
        node.faults.add(span, error.to_string(), None);
        Dn::default()
    });
    (text, read)
}

fn time_of_day(text: &str) -> Option<i64> {
    let (hours, minutes) = text.split_once(':')?;
    let (hours, minutes): (i64, i64) = (hours.parse().ok()?, minutes.parse().ok()?);
    ((0..24).contains(&hours) && (0..60).contains(&minutes))
        .then_some((hours * 60 + minutes) * 60_000)
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
fn directory(node: &Reader<'_>) -> DirectoryConfig {
    let name = node.name();
    let server = |s: Reader<'_>| {
        let address = address(&s, s.argument());
        let host = address.rsplit_once(':').map_or("", |a| a.0).to_string();
        let config = ServerConfig {
            name: s.text("name").unwrap_or(host),
            address,
        };
        s.finish();
        config
    };
    let servers: Vec<ServerConfig> = node.all("server").into_iter().map(server).collect();
    if servers.is_empty() || servers.len() > 32 {
        node.faults.add(
            node.node.span(),
            format!("directory '{name}' needs one to 32 'server'"),
            None,
        );
    }
    let tls = node.choice(
        "tls",
        Tls::Start,
        &[
            ("none", Tls::None),
            ("start", Tls::Start),
            ("ldaps", Tls::Ldaps),
        ],
    );
    let ca = node.text("ca").map(PathBuf::from);
    if tls != Tls::None && ca.is_none() {
        let help = "the file of the authority that signed the servers' certificates";
        node.faults.add(
            node.node.span(),
            format!("directory '{name}' needs 'ca' for TLS"),
            Some(help),
        );
    }
    let bind = node.one("bind").map(|b| {
        let (written, _) = dn(&b, "as");
        let password = secret(&b, "the bind's password").unwrap_or_default();
        b.finish();
        // An empty password is an anonymous bind that succeeds (RFC 4513, 5.1.2): it must not pass for a login.
        if password.is_empty() {
            b.faults
                .add(b.node.span(), "an empty password binds nobody", None);
        }
        BindCredentials {
            name: written,
            password: String::from_utf8_lossy(&password).into_owned(),
        }
    });
    let filter = node.value("filter").map(|(value, span)| {
        let text = value.as_string().unwrap_or_default().to_string();
        if let Err(error) = filter::parse(&text) {
            node.faults
                .add(span, error.to_string(), Some("as \"(objectClass=person)\""));
        }
        text
    });
    let defaults = DirectorySettings::default();
    let fresh = node.time("fresh", defaults.lifetimes.fresh, 100 * MS, 86_400 * SECOND);
    let most = defaults.lifetimes.stale_most.max(2 * fresh);
    let lifetimes = Lifetimes {
        fresh,
        stale_most: node.time("stale-most", most, 200 * MS, 86_400 * SECOND),
        negative: node.time(
            "negative",
            defaults.lifetimes.negative,
            100 * MS,
            3_600 * SECOND,
        ),
    };
    if lifetimes.stale_most < 2 * fresh {
        let help =
            "a fact is used while it is asked for again: the bound is at least twice 'fresh'";
        node.faults.add(
            node.node.span(),
            "'stale-most' is less than twice 'fresh'",
            Some(help),
        );
    }
    let peak = node.one("peak").map(|p| {
        let (text, span) = p.argument().map_or(("", p.node.span()), |(v, s)| {
            (v.as_string().unwrap_or_default(), s)
        });
        let at = time_of_day(text).unwrap_or_else(|| {
            p.faults
                .add(span, "no time of day", Some("as \"05:30\", in UTC"));
            0
        });
        let ahead = p.time("ahead", 7_200 * SECOND, 60 * SECOND, 43_200 * SECOND);
        p.finish();
        Peak {
            at,
            ahead: (ahead / MS) as i64,
        }
    });
    let wait = (
        node.time("retry-first", defaults.wait.0, 10 * MS, 600 * SECOND),
        node.time("retry-most", defaults.wait.1, 10 * MS, 3_600 * SECOND),
    );
    let lookups = DirectorySettings {
        servers: servers.len(),
        realms: node.all("realm").iter().map(Reader::name).collect(),
        lifetimes,
        timeout: node.time("time-out", defaults.timeout, 10 * MS, 60 * SECOND),
        hedge_after: node.time("hedge-after", defaults.hedge_after, MS, 60 * SECOND),
        batch: node.whole("batch", defaults.batch as u64, 1, 500) as usize,
        at_once: node.whole("at-once", defaults.at_once as u64, 1, 64) as usize,
        rate: node.number("rate", defaults.rate, 0.1, 100_000.0),
        failures: node.whole("failures", u64::from(defaults.failures), 1, 100) as u32,
        wait: (wait.0.min(wait.1), wait.1),
        doubt: node.time("doubt", defaults.doubt, 0, 600 * SECOND),
        peak,
        poll: node
            .maybe_time("poll", SECOND, 86_400 * SECOND)
            .unwrap_or(0),
    };
    let config = DirectoryConfig {
        tls,
        ca,
        bind,
        base: dn(node, "base").0,
        user_attribute: node.text("user-attribute").unwrap_or_else(|| "uid".into()),
        filter,
        mark_attribute: node.text("mark-attribute"),
        follow: node.flag("follow", false),
        connections: node.whole("connections", 2, 1, 16) as usize,
        lookups,
        servers,
        name,
    };
    node.finish();
    config
}

fn keys(root: &Reader<'_>) -> Option<Arc<Keys>> {
    let node = root.one("signatures")?;
    let mut keys = BTreeMap::new();
    for key in node.all("key") {
        let secret = secret(&key, "a key").unwrap_or_default();
        long_enough(&key, &secret);
        if keys.insert(key.name(), secret).is_some() {
            key.faults
                .add(key.node.span(), "this key's id is given twice", None);
        }
        key.finish();
    }
    let max_age = node.time("max-age", 300 * SECOND, SECOND, 86_400 * SECOND);
    node.finish();
    Some(Arc::new(Keys { keys, max_age }))
}

/// Reads everything about tenants.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub(crate) fn read(
    root: &Reader<'_>,
    classes: &[ClassName],
    worths: Vec<f64>,
) -> (Tenants, Owners) {
    let keys = keys(root);
    let mut owners = Owners::default();
    let directories: Vec<DirectoryConfig> = root.all("directory").iter().map(directory).collect();
    let mut tenants: Vec<TenantConfig> = Vec::new();
    let mut shares = Vec::new();
    for node in root.all("tenant") {
        let name = node.name();
        if tenants.iter().any(|t| t.name == name) {
            root.faults.add(
                node.node.span(),
                format!("tenant '{name}' is given twice"),
                None,
            );
        }
        let place = node.one("directory").map(|d| {
            let found = directories.iter().position(|c| c.name == d.name());
            if found.is_none() {
                d.faults.add(
                    d.node.span(),
                    format!("there is no directory '{}'", d.name()),
                    None,
                );
            }
            let directory = found.unwrap_or(0);
            let (base, read) = dn(&d, "base");
            d.finish();
            let whole = directories
                .get(directory)
                .and_then(|c| Dn::parse(&c.base).ok())
                .unwrap_or_default();
            if !read.is_within(&whole) {
                d.faults.add(
                    d.node.span(),
                    "this base is not within the directory's",
                    None,
                );
            }
            let same = tenants
                .iter()
                .find(|t| t.place.directory == directory && t.place.base == read);
            if let Some(other) = same {
                let text = format!("tenant '{}' has this base already", other.name);
                d.faults.add(d.node.span(), text, None);
            }
            (
                TenantBase {
                    directory,
                    base: read,
                },
                base,
            )
        });
        let Some((place, base)) = place else {
            let help = Some("directory \"campus\" base=\"ou=north,dc=example\"");
            root.faults.add(
                node.node.span(),
                format!("tenant '{name}' needs 'directory'"),
                help,
            );
            continue;
        };
        let tenant = Tenant(tenants.len() as u16);
        let functions: Vec<String> = node.all("function").iter().map(Reader::name).collect();
        for function in &functions {
            if owners.insert(function, Owner::Tenant(tenant)).is_some() {
                let text = format!("function '{function}' is another's already");
                root.faults.add(node.node.span(), text, None);
            }
        }
        let rate = node.one("rate").map(|r| {
            let value = r
                .argument()
                .and_then(|(v, _)| v.as_integer().map(|n| n as f64).or(v.as_float()));
            let rate = value
                .filter(|v| (0.001..=1e6).contains(v))
                .unwrap_or_else(|| {
                    r.faults.add(
                        r.node.span(),
                        "a rate is calls a second, from 0.001 to 1000000",
                        None,
                    );
                    1.0
                });
            let burst = r.number("burst", rate.max(1.0), 1.0, 1e6);
            r.finish();
            RateLimit {
                per_second: rate,
                burst,
            }
        });
        let defaults = TenantQuota::default();
        shares.push(TenantQuota {
            weight: node.number("weight", 1.0, 0.001, 1e6),
            rate,
            max_in_flight: node.whole("most", 1_000_000, 1, 1_000_000) as usize,
            max_queued: node.whole("queue", defaults.max_queued as u64, 0, 100_000) as usize,
        });
        node.finish();
        tenants.push(TenantConfig {
            name,
            functions,
            place,
            base,
        });
    }
    for shared in root.all("shared-function") {
        let name = shared.name();
        if owners.insert(&name, Owner::Shared).is_some() {
            root.faults.add(
                shared.node.span(),
                format!("function '{name}' is a tenant's already"),
                None,
            );
        }
    }
    let node = root.one("admission");
    let empty = kdl::KdlNode::new("admission");
    let node = node.unwrap_or_else(|| Reader::new(&empty, root.faults));
    let limit = LimitRange {
        min: node.number("limit-least", 8.0, 1.0, 1e6),
        max: node.number("limit-most", 1_024.0, 1.0, 1e6),
    };
    if limit.min > limit.max {
        node.faults.add(
            node.node.span(),
            "'limit-least' is above 'limit-most'",
            None,
        );
    }
    let admission = AdmissionSettings {
        quotas: QuotaSettings {
            tenants: shares,
            class_weights: worths,
            limit,
            max_queue_wait: node.time("wait", 20 * MS, 0, 10 * SECOND),
        },
        max_identity_wait: node.time("identity-wait", 40 * MS, 0, 10 * SECOND),
        max_waiting: node.whole("max-waiting", 4_096, 0, 1_000_000) as usize,
    };
    let max_users = node.whole("max-users", 2_000_000, 1, 100_000_000) as usize;
    let snapshot = node.one("snapshot").map(|s| {
        let path = PathBuf::from(s.name());
        let every = s.time("every", 60 * SECOND, SECOND, 86_400 * SECOND);
        let key = s.one("key").map(|k| {
            let key = secret(&k, "the snapshot's key").unwrap_or_default();
            long_enough(&k, &key);
            k.finish();
            key
        });
        if key.is_none() {
            s.faults.add(
                s.node.span(),
                "a snapshot needs a 'key' that seals it",
                None,
            );
        }
        s.finish();
        SnapshotConfig {
            path,
            key: key.unwrap_or_default(),
            every,
        }
    });
    node.finish();
    if tenants.is_empty() && !directories.is_empty() {
        root.faults
            .add((0, 0).into(), "there is a directory and no tenant", None);
    }
    debug_assert_eq!(classes.len(), admission.quotas.class_weights.len());
    let any = !tenants.is_empty();
    let config = any.then_some(TenantsConfig {
        tenants,
        directories,
        admission,
        max_users,
        snapshot,
    });
    (Tenants { config, keys }, owners)
}
