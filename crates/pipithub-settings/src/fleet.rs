//! The node `fleet`: how this front end takes part in a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use pipithub_members::{Settings, SettingsError};

use crate::read::{MS, Reader, SECOND};

/// A front end's part in a fleet. Without it a front end shares nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Membership.
    pub members: Settings,
    /// Where datagrams are taken.
    pub listen: SocketAddr,
    /// The address that others are told.
    pub advertise: Option<SocketAddr>,
    /// The zone.
    pub zone: String,
    /// The data folder.
    pub data: PathBuf,
    /// What is sent to an address goes to another one.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
}

/// An address of numbers: names would have to be looked up while others wait.
fn address(node: &Reader<'_>) -> Option<SocketAddr> {
    let (value, span) = node.argument()?;
    let address = value.as_string().and_then(|text| text.parse().ok());
    if address.is_none() {
        node.faults.add(
            span,
            format!("{value} is no address"),
            Some("\"10.0.0.4:7100\": numbers, with a port"),
        );
    }
    address
}

fn child(node: &Reader<'_>, name: &str) -> Option<SocketAddr> {
    let child = node.one(name)?;
    child.finish();
    address(&child)
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub(crate) fn read(root: &Reader<'_>, instances: u32) -> Option<FleetSettings> {
    let node = root.one("fleet")?;
    let span = node.node.span();
    let cluster = node.name();
    let listen = child(&node, "listen");
    if listen.is_none()
        && node
            .node
            .children()
            .is_none_or(|c| c.get("listen").is_none())
    {
        node.faults.add(
            span,
            "fleet needs 'listen'",
            Some("listen \"10.0.0.4:7100\""),
        );
    }
    let advertise = child(&node, "advertise");
    let told = advertise.or(listen);
    if let Some(told) =
        told.filter(|a| a.ip().is_unspecified() || advertise.is_some() && a.port() == 0)
    {
        let help = "advertise \"10.0.0.4:7100\": where the others find this front end";
        node.faults
            .add(span, format!("others cannot reach {told}"), Some(help));
    }
    let data = node.text("data").map(PathBuf::from);
    if data.is_none() {
        let help = "data \"/var/lib/pipithub/front-1\": a folder of its own for each front end";
        node.faults.add(span, "fleet needs 'data'", Some(help));
    }
    let mut seeds = Vec::new();
    for seed in node.all("seed") {
        if let Some(address) = address(&seed) {
            if seeds.contains(&address) {
                seed.faults.add(
                    seed.node.span(),
                    format!("seed {address} is given twice"),
                    None,
                );
            } else {
                seeds.push(address);
            }
        }
        seed.finish();
    }
    let mut via = BTreeMap::new();
    for route in node.all("via") {
        let to = route.text("to").and_then(|t| t.parse().ok());
        match (address(&route), to) {
            (Some(address), Some(_)) if via.contains_key(&address) => {
                route.faults.add(
                    route.node.span(),
                    format!("'via' of {address} is given twice"),
                    None,
                );
            }
            (Some(address), Some(to)) => drop(via.insert(address, to)),
            (Some(_), None) => {
                route
                    .faults
                    .add(route.node.span(), "'via' needs 'to' with an address", None);
            }
            _ => {}
        }
        route.finish();
    }
    let usual = Settings::default();
    let members = Settings {
        cluster,
        seeds,
        probe_period: node.time("probe-period", usual.probe_period, 50 * MS, 60 * SECOND),
        probe_timeout: node.time("probe-wait", usual.probe_timeout, MS, 30 * SECOND),
        suspicion_multiplier: node.whole("suspicion", u64::from(usual.suspicion_multiplier), 1, 100)
            as u32,
        max_members: node.whole("max-members", usual.max_members as u64, 2, 10_000) as usize,
        dead_retention: node.whole("remember-days", 7, 1, 365) * 86_400 * SECOND,
    };
    match members.validate() {
        Err(error @ SettingsError::InvalidProbeTimeout) => {
            let at = node.one("probe-wait").map_or(span, |n| n.node.span());
            node.faults.add(at, error.to_string(), None);
        }
        Err(error) => node.faults.add(span, error.to_string(), None),
        Ok(()) => {}
    }
    if instances > 1 {
        let help =
            "one front end for each process, so that a name stands for one process and one folder";
        node.faults.add(
            span,
            format!("fleet with {instances} instances"),
            Some(help),
        );
    }
    let zone = node.text("zone").unwrap_or_default();
    node.finish();
    Some(FleetSettings {
        members,
        listen: listen?,
        advertise,
        zone,
        data: data?,
        via,
    })
}
