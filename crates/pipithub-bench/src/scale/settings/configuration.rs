//! The configurations of front ends, and the workers that they name.

use serde_json::{Value, json};

/// The most workers that one event may hold.
const MAX_EVENT_WORKERS: usize = 10_000;
/// Workers' ports, which come in turn; nobody listens there.
const FIRST_PORT: u64 = 20_000;
const PORTS: u64 = 20_000;

/// A worker of the list.
pub(super) fn worker(number: u64) -> Value {
    let port = FIRST_PORT + number % PORTS;
    json!({"host": format!("w{number}"), "dial": format!("127.0.0.1:{port}"), "site": "a", "health": "SERVING"})
}

/// In how many events so many workers are told.
pub(super) fn event_count(workers: usize) -> usize {
    workers.div_ceil(MAX_EVENT_WORKERS)
}

/// The configuration of a front end, whose last known event bears its number beyond what the events need.
pub(super) fn configuration(
    number: usize,
    coordinator: &str,
    workers: &[Value],
    classes: usize,
) -> Value {
    let updates: Vec<Value> = workers
        .chunks(MAX_EVENT_WORKERS)
        .enumerate()
        .map(|(event, hosts)| {
            let index = number + event + 1;
            json!({"index": index, "endpoints": {"seq": index, "whole": event == 0, "hosts": hosts}})
        })
        .collect();
    let class = |class: usize| {
        json!({"Name": format!("class-{class}"), "Effect": "read_like", "Aim": 30_000_000_000u64,
            "GiveUp": 60_000_000_000u64})
    };
    let classes: Vec<Value> = (0..classes).map(class).collect();
    json!({
        "name": format!("n{number}"), "listen": "127.0.0.1:0", "seed": "1", "coordinator": coordinator,
        "limits": {"memory_mb": 256, "sockets": 256},
        "known": {"index": number + updates.len(), "updates": updates},
        "settings": {"PeersTotal": 1_700, "Granularity": 2_000_000, "Limits": {"MostTries": 4}, "Grades": classes}
    })
}
