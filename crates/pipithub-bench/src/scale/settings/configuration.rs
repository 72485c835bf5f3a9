//! Generated configurations of front ends.

use serde_json::{Value, json};

/// The maximum number of workers in an event.
const MAX_EVENT_WORKERS: usize = 10_000;
/// The lowest port of a worker. Nothing listens on these ports.
const FIRST_PORT: u64 = 20_000;
/// The number of ports, which workers use in turn.
const PORTS: u64 = 20_000;

/// A worker in the form of the endpoint list.
pub(super) fn worker(number: u64) -> Value {
    let port = FIRST_PORT + number % PORTS;
    json!({"host": format!("w{number}"), "dial": format!("127.0.0.1:{port}"), "site": "a", "health": "SERVING"})
}

/// The number of events that list a number of workers.
pub(super) fn event_count(workers: usize) -> usize {
    workers.div_ceil(MAX_EVENT_WORKERS)
}

/// The configuration of a front end. The index of its last known event is its number plus the number of events.
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
