//! Reads a complete settings file. The nodes are read in a fixed order, so that faults are always reported in that order.

use std::str::FromStr;

use kdl::{KdlDocument, KdlNode};
use pipithub_engine::{EngineSettings, Time};

use crate::config::{Config, HttpConfig, LogConfig};
use crate::duration::{MS, SECOND};
use crate::fault::{Fault, FaultCollector};
use crate::policy::Classes;
use crate::reader::Reader;
use crate::route::RouteContext;
use crate::{amqp, cron, fleet, policy, tenants, workers};

/// The number of bytes in a mebibyte, the unit of sizes in the settings.
pub(crate) const MEBIBYTE: usize = 1 << 20;

/// Parses the text of a file. Returns all of its faults if there are any.
pub(crate) fn read_config(text: &str) -> Result<Config, Vec<Fault>> {
    let document = KdlDocument::from_str(text).map_err(|error| {
        error
            .diagnostics
            .iter()
            .map(Fault::from)
            .collect::<Vec<_>>()
    })?;
    let mut root = KdlNode::new("settings");
    root.set_children(document);
    let faults = FaultCollector::default();
    let config = read_root(&Reader::new(&root, &faults));
    let faults = faults.into_faults();
    if faults.is_empty() {
        Ok(config)
    } else {
        Err(faults)
    }
}

fn read_root(root: &Reader<'_>) -> Config {
    let front_end = read_front_end(root);
    let classes = Classes::read(root);
    let engine = policy::read_engine(root, &classes, front_end.peers);
    let (tenants, owners) = tenants::read(root, &classes.weights);
    let engine = EngineSettings {
        owners: owners.into(),
        ..engine
    };
    let context = RouteContext {
        classes: &classes.names,
        tenants: &tenants,
        max_pending: engine.max_pending,
    };
    let amqp = root.children("amqp");
    let amqp = amqp.iter().map(|node| amqp::read(node, &context)).collect();
    let cron = root.children("cron");
    let cron = cron.iter().map(|node| cron::read(node, &context)).collect();
    let workers = workers::read(root);
    let http = read_http(root);
    let fleet = fleet::read(root, front_end.instances);
    let log = read_log(root);
    root.finish();
    Config {
        name: front_end.name,
        instances: front_end.instances,
        classes: classes.names,
        engine,
        scoped_keys_since_ms: tenants.scoped_keys_since_ms,
        tenants: tenants.config,
        amqp,
        cron,
        workers,
        http,
        log,
        fleet,
        drain_timeout: front_end.drain_timeout,
    }
}

/// The contents of the node `front-end`.
struct FrontEndSection {
    name: String,
    instances: u32,
    peers: u32,
    drain_timeout: Time,
}

fn read_front_end(root: &Reader<'_>) -> FrontEndSection {
    let node = root.child_or_missing("front-end");
    let name = if node.is_missing() {
        "front-end".to_string()
    } else {
        node.name()
    };
    let instances = node.integer("instances", 1, 1..=64) as u32;
    let peers = node.integer("peers", u64::from(instances), 1..=1_000_000) as u32;
    let drain_timeout = node.duration("drain", 10 * SECOND, 0..=600 * SECOND);
    node.finish();
    FrontEndSection {
        name,
        instances,
        peers,
        drain_timeout,
    }
}

fn read_http(root: &Reader<'_>) -> HttpConfig {
    let node = root.child_or_missing("http");
    let http = HttpConfig {
        connect_timeout: node.duration("connect-timeout", 250 * MS, MS..=60 * SECOND),
        max_idle_connections: node.integer("idle", 64, 0..=10_000) as usize,
        max_body: node.integer("max-mb", 64, 1..=4_096) as usize * MEBIBYTE,
        load_command_timeout: node.duration("order-timeout", 10 * SECOND, 100 * MS..=600 * SECOND),
        load_poll_timeout: node.duration("probe-timeout", 250 * MS, MS..=60 * SECOND),
    };
    node.finish();
    http
}

fn read_log(root: &Reader<'_>) -> LogConfig {
    let node = root.child_or_missing("log");
    let log = LogConfig {
        json: node.choice("format", false, &[("text", false), ("json", true)]),
        level: node.text("level").unwrap_or_else(|| "info".into()),
    };
    node.finish();
    log
}
