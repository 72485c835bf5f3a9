//! The node `fleet`: the front end's membership in a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use pipithub_membership::{Settings, SettingsError};

use crate::duration::{DAY, MS, SECOND};
use crate::reader::Reader;

/// The membership of a front end in a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The settings of the membership protocol.
    pub membership: Settings,
    /// The local address at which datagrams are received.
    pub listen: SocketAddr,
    /// The address that is announced to other members; `None` announces `listen`.
    pub advertise: Option<SocketAddr>,
    /// The zone in which the front end runs; empty if it is not given.
    pub zone: String,
    /// The data folder, which no other process may use.
    pub data_folder: PathBuf,
    /// Maps addresses of members to those that datagrams are sent to instead, such as that of a proxy in a test.
    pub address_overrides: BTreeMap<SocketAddr, SocketAddr>,
}

/// Reads the node. Returns `None` if there is none, or if a reported fault leaves the settings incomplete.
pub(crate) fn read(root: &Reader<'_>, instances: u32) -> Option<FleetSettings> {
    let node = root.child("fleet")?;
    let cluster = node.name();
    let listen = read_listen(&node);
    let advertise = read_child_address(&node, "advertise");
    check_reachable(&node, listen, advertise);
    let data_folder = read_data_folder(&node);
    let seeds = read_seeds(&node);
    let address_overrides = read_address_overrides(&node);
    let membership = read_membership(&node, cluster, seeds);
    check_membership(&node, &membership);
    if instances > 1 {
        let help =
            "run one front end in each process: its name identifies one process and one folder";
        node.fault_with_help(format!("fleet with {instances} instances"), help);
    }
    let zone = node.text("zone").unwrap_or_default();
    node.finish();
    Some(FleetSettings {
        membership,
        listen: listen?,
        advertise,
        zone,
        data_folder: data_folder?,
        address_overrides,
    })
}

/// The node's argument as a numeric address. Host names are not accepted, as resolving them could block.
fn read_address(node: &Reader<'_>) -> Option<SocketAddr> {
    let given = node.argument()?;
    let address = given.value.as_string().and_then(|text| text.parse().ok());
    if address.is_none() {
        let message = format!("{} is no address", given.value);
        let help = "\"10.0.0.4:7100\": numbers, with a port";
        node.fault_at(given.span, message, Some(help));
    }
    address
}

fn read_child_address(node: &Reader<'_>, name: &str) -> Option<SocketAddr> {
    let child = node.child(name)?;
    child.finish();
    read_address(&child)
}

fn read_listen(node: &Reader<'_>) -> Option<SocketAddr> {
    let listen = read_child_address(node, "listen");
    if listen.is_none() && !node.has_child("listen") {
        node.fault_with_help("fleet needs 'listen'", "listen \"10.0.0.4:7100\"");
    }
    listen
}

/// Reports a fault if other members cannot send to the address that is announced to them.
fn check_reachable(node: &Reader<'_>, listen: Option<SocketAddr>, advertise: Option<SocketAddr>) {
    let Some(public_address) = advertise.or(listen) else {
        return;
    };
    let lacks_port = advertise.is_some() && public_address.port() == 0;
    if public_address.ip().is_unspecified() || lacks_port {
        let help = "advertise \"10.0.0.4:7100\": the address at which others reach this front end";
        node.fault_with_help(format!("others cannot reach {public_address}"), help);
    }
}

fn read_data_folder(node: &Reader<'_>) -> Option<PathBuf> {
    let data = node.text("data").map(PathBuf::from);
    if data.is_none() {
        let help = "data \"/var/lib/pipithub/front-1\": each front end needs its own folder";
        node.fault_with_help("fleet needs 'data'", help);
    }
    data
}

fn read_seeds(node: &Reader<'_>) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for seed in node.children("seed") {
        match read_address(&seed) {
            Some(address) if seeds.contains(&address) => {
                seed.fault(format!("seed {address} is given twice"));
            }
            Some(address) => seeds.push(address),
            None => {}
        }
        seed.finish();
    }
    seeds
}

fn read_address_overrides(node: &Reader<'_>) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut overrides = BTreeMap::new();
    for override_node in node.children("via") {
        let target = override_node.text("to").and_then(|text| text.parse().ok());
        match (read_address(&override_node), target) {
            (Some(address), Some(_)) if overrides.contains_key(&address) => {
                override_node.fault(format!("'via' of {address} is given twice"));
            }
            (Some(address), Some(target)) => {
                overrides.insert(address, target);
            }
            (Some(_), None) => override_node.fault("'via' needs 'to' with an address"),
            (None, _) => {}
        }
        override_node.finish();
    }
    overrides
}

fn read_membership(node: &Reader<'_>, cluster: String, seeds: Vec<SocketAddr>) -> Settings {
    let defaults = Settings::default();
    let max_members = defaults.max_members as u64;
    Settings {
        cluster,
        seeds,
        probe_period: node.duration("probe-period", defaults.probe_period, 50 * MS..=60 * SECOND),
        probe_timeout: node.duration("probe-wait", defaults.probe_timeout, MS..=30 * SECOND),
        suspicion_multiplier: node.integer(
            "suspicion",
            u64::from(defaults.suspicion_multiplier),
            1..=100,
        ) as u32,
        max_members: node.integer("max-members", max_members, 2..=10_000) as usize,
        dead_retention: node.integer("remember-days", 7, 1..=365) * DAY,
    }
}

fn check_membership(node: &Reader<'_>, membership: &Settings) {
    let Err(error) = membership.validate() else {
        return;
    };
    let span = match error {
        SettingsError::InvalidProbeTimeout => node.child("probe-wait").map(|child| child.span()),
        _ => None,
    };
    node.fault_at(span.unwrap_or(node.span()), error.to_string(), None);
}
