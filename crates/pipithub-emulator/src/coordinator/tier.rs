//! The workers of a synthetic site, in the form of the coordinator's events.

use serde_json::{Value, json};

/// The number of workers in a block.
const BLOCK_WORKERS: usize = 16;
/// The start time of the first worker, in Unix milliseconds.
const FIRST_BIRTH_MS: u64 = 1_790_000_000_000;

/// The workers of a synthetic site.
#[derive(Clone, Debug)]
pub struct Tier {
    hosts: Vec<Value>,
    /// The number of workers created so far.
    created: u64,
}

impl Tier {
    /// Creates this number of workers, distributed over the zones in turn.
    pub fn new(workers: usize, zones: usize) -> Self {
        let mut tier = Tier {
            hosts: Vec::new(),
            created: 0,
        };
        for index in 0..workers {
            let host = tier.make_host(index, index % zones.max(1));
            tier.hosts.push(host);
        }
        tier
    }

    /// Creates a worker at an index, with a name and a start time of its own.
    fn make_host(&mut self, index: usize, zone: usize) -> Value {
        self.created += 1;
        let created = self.created;
        let [high, middle, low] = [index >> 14 & 63, index >> 7 & 127, index & 127];
        json!({
            "host": format!("worker-{index:05}-{created:06}"),
            "dial": format!("10.{high}.{middle}.{low}:30012"),
            "site": format!("zone-{zone}"),
            "block": index / BLOCK_WORKERS,
            "class": "big",
            "health": "SERVING",
            "share": 1.0,
            "born_ms": FIRST_BIRTH_MS + created,
        })
    }

    /// All workers, in the form that events have them.
    pub fn hosts(&self) -> &[Value] {
        &self.hosts
    }

    /// Replaces a worker by a new one and returns the deletion and the addition for an event; none if there is no
    /// worker at the index.
    pub fn replace(&mut self, index: usize) -> Vec<Value> {
        let Some(old) = self.hosts.get(index).cloned() else {
            return Vec::new();
        };
        let mut new = self.make_host(index, 0);
        new["site"] = old["site"].clone();
        self.hosts[index] = new.clone();
        vec![deleted(&old), new]
    }

    /// Removes the workers of one zone and returns the changes for an event.
    pub fn remove_zone(&mut self, zone: usize) -> Vec<Value> {
        let site = format!("zone-{zone}");
        let (lost, left): (Vec<Value>, Vec<Value>) = self
            .hosts
            .drain(..)
            .partition(|host| host["site"].as_str() == Some(&site));
        self.hosts = left;
        lost.iter().map(deleted).collect()
    }
}

fn deleted(host: &Value) -> Value {
    let mut host = host.clone();
    host["health"] = "DELETED".into();
    host
}

/// The text of an event of the endpoint list. `complete` states whether it lists all workers.
pub fn event(index: u64, complete: bool, hosts: &[Value]) -> String {
    json!({"index": index, "endpoints": {"seq": index, "whole": complete, "hosts": hosts}})
        .to_string()
}
