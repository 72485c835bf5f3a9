//! The node `directory`: an LDAP directory, and the settings of look-ups in it.

use std::path::PathBuf;

use pipithub_directory::{Backoff, DailyPeak, DirectorySettings, Lifetimes};
use pipithub_ldap::{Dn, filter};

use crate::address;
use crate::duration::{DAY, HOUR, MS, SECOND};
use crate::reader::Reader;
use crate::tenants::secret;
use crate::tenants::{BindCredentials, DirectoryConfig, ServerConfig, Tls};

const MAX_SERVERS: usize = 32;
const TLS_CHOICES: [(&str, Tls); 3] = [
    ("none", Tls::None),
    ("start", Tls::StartTls),
    ("ldaps", Tls::Ldaps),
];
const MINUTE_MS: i64 = 60_000;

pub(super) fn read(node: &Reader<'_>) -> DirectoryConfig {
    let name = node.name();
    let servers = read_servers(node, &name);
    let tls = node.choice("tls", Tls::StartTls, &TLS_CHOICES);
    let ca = read_ca(node, tls, &name);
    let bind = node.child("bind").map(|bind| read_bind(&bind));
    let filter = read_filter(node);
    let lookups = read_lookups(node, servers.len());
    let config = DirectoryConfig {
        tls,
        ca,
        bind,
        base: read_dn(node, "base").text,
        user_attribute: node.text("user-attribute").unwrap_or_else(|| "uid".into()),
        filter,
        change_number_attribute: node.text("mark-attribute"),
        content_sync: node.flag("follow", false),
        connections: node.integer("connections", 2, 1..=16) as usize,
        lookups,
        servers,
        name,
    };
    node.finish();
    config
}

/// A distinguished name, as written and as parsed.
#[derive(Default)]
pub(super) struct ParsedDn {
    pub(super) text: String,
    pub(super) dn: Dn,
}

pub(super) fn read_dn(node: &Reader<'_>, name: &str) -> ParsedDn {
    let Some(given) = node.value(name) else {
        let help = "a distinguished name, as \"ou=north,dc=example\"";
        node.fault_with_help(format!("'{}' needs '{name}'", node.node_name()), help);
        return ParsedDn::default();
    };
    let text = given.text().to_string();
    let dn = Dn::parse(&text).unwrap_or_else(|error| {
        node.fault_at(given.span, error.to_string(), None);
        Dn::default()
    });
    ParsedDn { text, dn }
}

fn read_servers(node: &Reader<'_>, directory: &str) -> Vec<ServerConfig> {
    let servers: Vec<ServerConfig> = node.children("server").iter().map(read_server).collect();
    if servers.is_empty() || servers.len() > MAX_SERVERS {
        node.fault(format!(
            "directory '{directory}' needs 1 to 32 'server' nodes"
        ));
    }
    servers
}

fn read_server(node: &Reader<'_>) -> ServerConfig {
    let address = address::read(node);
    let host = address.rsplit_once(':').map_or("", |(host, _)| host);
    let server = ServerConfig {
        name: node.text("name").unwrap_or_else(|| host.to_string()),
        address,
    };
    node.finish();
    server
}

fn read_ca(node: &Reader<'_>, tls: Tls, directory: &str) -> Option<PathBuf> {
    let ca = node.text("ca").map(PathBuf::from);
    if tls != Tls::None && ca.is_none() {
        let message = format!("directory '{directory}' needs 'ca' for TLS");
        let help = "the file of the authority that signed the servers' certificates";
        node.fault_with_help(message, help);
    }
    ca
}

fn read_bind(node: &Reader<'_>) -> BindCredentials {
    let name = read_dn(node, "as").text;
    let password = secret::read(node, "the bind's password").unwrap_or_default();
    node.finish();
    // A bind with an empty password succeeds as an anonymous one (RFC 4513, 5.1.2), which is not what was intended.
    if password.is_empty() {
        node.fault("the bind's password must not be empty");
    }
    let password = String::from_utf8_lossy(&password).into_owned().into();
    BindCredentials { name, password }
}

fn read_filter(node: &Reader<'_>) -> Option<String> {
    let given = node.value("filter")?;
    let text = given.text();
    if let Err(error) = filter::parse(text) {
        let help = "as \"(objectClass=person)\"";
        node.fault_at(given.span, error.to_string(), Some(help));
    }
    Some(text.to_string())
}

fn read_lookups(node: &Reader<'_>, server_count: usize) -> DirectorySettings {
    let defaults = DirectorySettings::default();
    let lifetimes = read_lifetimes(node, &defaults.lifetimes);
    let daily_peak = node.child("peak").map(|peak| read_peak(&peak));
    let initial_backoff = node.duration(
        "retry-first",
        defaults.backoff.initial,
        10 * MS..=600 * SECOND,
    );
    let max_backoff = node.duration("retry-most", defaults.backoff.max, 10 * MS..=HOUR);
    DirectorySettings {
        server_count,
        realms: node.children("realm").iter().map(Reader::name).collect(),
        lifetimes,
        timeout: node.duration("time-out", defaults.timeout, 10 * MS..=60 * SECOND),
        hedge_after: node.duration("hedge-after", defaults.hedge_after, MS..=60 * SECOND),
        max_users_per_search: node.integer("batch", defaults.max_users_per_search as u64, 1..=500)
            as usize,
        max_searches_per_server: node.integer(
            "at-once",
            defaults.max_searches_per_server as u64,
            1..=64,
        ) as usize,
        max_searches_per_second: node.number(
            "rate",
            defaults.max_searches_per_second,
            0.1..=100_000.0,
        ),
        failure_threshold: node.integer("failures", u64::from(defaults.failure_threshold), 1..=100)
            as u32,
        backoff: Backoff {
            initial: initial_backoff.min(max_backoff),
            max: max_backoff,
        },
        change_confirmation_delay: node.duration(
            "doubt",
            defaults.change_confirmation_delay,
            0..=600 * SECOND,
        ),
        daily_peak,
        poll_interval: node.optional_duration("poll", SECOND..=DAY).unwrap_or(0),
    }
}

fn read_lifetimes(node: &Reader<'_>, defaults: &Lifetimes) -> Lifetimes {
    let fresh = node.duration("fresh", defaults.fresh, 100 * MS..=DAY);
    let default_stale = defaults.max_stale.max(2 * fresh);
    let max_stale = node.duration("stale-most", default_stale, 200 * MS..=DAY);
    let negative = node.duration("negative", defaults.negative, 100 * MS..=HOUR);
    if max_stale < 2 * fresh {
        let help = "a record is used while it is refreshed, so 'stale-most' must be at least twice 'fresh'";
        node.fault_with_help("'stale-most' is less than twice 'fresh'", help);
    }
    Lifetimes {
        fresh,
        max_stale,
        negative,
    }
}

fn read_peak(node: &Reader<'_>) -> DailyPeak {
    let given = node.argument();
    let text = given.map_or("", |given| given.text());
    let starts_at_ms = parse_time_of_day(text).unwrap_or_else(|| {
        let span = given.map_or(node.span(), |given| given.span);
        node.fault_at(
            span,
            "this is not a time of day",
            Some("as \"05:30\", in UTC"),
        );
        0
    });
    let lead = node.duration("ahead", 2 * HOUR, 60 * SECOND..=12 * HOUR);
    node.finish();
    DailyPeak {
        starts_at_ms,
        lead_ms: (lead / MS) as i64,
    }
}

/// Parses a time of day such as `05:30`, as milliseconds after midnight.
fn parse_time_of_day(text: &str) -> Option<i64> {
    let (hours, minutes) = text.split_once(':')?;
    let (hours, minutes): (i64, i64) = (hours.parse().ok()?, minutes.parse().ok()?);
    let is_valid = (0..24).contains(&hours) && (0..60).contains(&minutes);
    is_valid.then_some((hours * 60 + minutes) * MINUTE_MS)
}
