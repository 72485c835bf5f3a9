//! The node `workers`: how workers are discovered.

use std::path::PathBuf;

use crate::address;
use crate::config::{FixedWorker, WorkersConfig};
use crate::fault::start_of_file;
use crate::reader::Reader;

pub(crate) fn read(root: &Reader<'_>) -> WorkersConfig {
    let node = root.child_or_missing("workers");
    if node.is_missing() {
        let help = "workers { worker \"127.0.0.1:9000\" }";
        root.fault_at(start_of_file(), "no workers are given", Some(help));
    }
    let fixed = node.children("worker");
    let list = node.child("list");
    let cache = node.text("remember").map(PathBuf::from);
    node.finish();
    let Some(list) = list else {
        return WorkersConfig::Fixed(fixed.iter().map(read_worker).collect());
    };
    if let Some(worker) = fixed.first() {
        worker.fault("workers are given twice: by 'list' and by 'worker'");
    }
    read_endpoint_list(&list, cache)
}

fn read_worker(node: &Reader<'_>) -> FixedWorker {
    let worker = FixedWorker {
        address: address::read(node),
        zone: node.text("zone").unwrap_or_default(),
        memory_mb: node.number("memory-mb", 0.0, 0.0..=1e9),
    };
    node.finish();
    worker
}

fn read_endpoint_list(node: &Reader<'_>, cache: Option<PathBuf>) -> WorkersConfig {
    let given = node.argument();
    let url = given.map_or("", |given| given.text());
    if !is_base_url(url) {
        let span = given.map_or(node.span(), |given| given.span);
        let message = format!("\"{url}\" is no address of a list");
        let help = "\"http://host:port\"; use a local proxy for TLS and authentication";
        node.fault_at(span, message, Some(help));
    }
    let workers = WorkersConfig::EndpointSlices {
        url: url.to_string(),
        namespace: node.text("namespace").unwrap_or_else(|| "default".into()),
        service: node.text("service").unwrap_or_else(|| "workers".into()),
        port: node.text("port"),
        cache,
    };
    node.finish();
    workers
}

/// Whether a URL is plain HTTP to a host, without a path.
fn is_base_url(url: &str) -> bool {
    let host = url
        .strip_prefix("http://")
        .map(|host| host.trim_end_matches('/'));
    host.is_some_and(|host| !host.is_empty() && !host.contains('/'))
}
