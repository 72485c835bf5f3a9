//! A draining or removed worker gets nothing new.

use std::collections::BTreeMap;

use super::{Breach, MS, Rule, RuleConfig};
use crate::record::{Record, Seen};

/// A front end and a worker of which it was notified.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FrontEndAndWorker<'a> {
    front_end: &'a str,
    worker: &'a str,
}

/// Checks that requests and load commands respect drains.
pub(super) fn check(records: &[Record], config: &RuleConfig, breaches: &mut Vec<Breach>) {
    let mut by_time: Vec<&Record> = records.iter().collect();
    by_time.sort_by_key(|record| record.time_ns);
    // Since when each front end has known that a worker takes nothing new.
    let mut closed_since: BTreeMap<FrontEndAndWorker<'_>, u64> = BTreeMap::new();
    for record in by_time {
        note_endpoint_state(&mut closed_since, record);
        let Some(NewWork { front_end, work }) = new_work(&record.seen) else {
            continue;
        };
        let worker = record.observer.as_str();
        let Some(since) = closed_since.get(&FrontEndAndWorker { front_end, worker }) else {
            continue;
        };
        if record.time_ns > since + config.drain_grace + config.slack {
            let after = (record.time_ns - since) / MS;
            breaches.push(Breach {
                rule: Rule::DrainRespected,
                at: record.time_ns,
                what: format!(
                    "{worker} got {work} from {front_end} {after} ms after that was notified of the drain or removal"
                ),
            });
        }
    }
}

/// Follows the endpoint states that front ends are notified of.
fn note_endpoint_state<'a>(
    closed_since: &mut BTreeMap<FrontEndAndWorker<'a>, u64>,
    record: &'a Record,
) {
    let Seen::EndpointNotified {
        front_end,
        worker,
        state,
        ..
    } = &record.seen
    else {
        return;
    };
    let key = FrontEndAndWorker { front_end, worker };
    if state == "live" {
        closed_since.remove(&key);
    } else {
        closed_since.entry(key).or_insert(record.time_ns);
    }
}

/// New work for a worker.
struct NewWork<'a> {
    /// The front end that sent it.
    front_end: &'a str,
    /// Its description for reports.
    work: String,
}

/// The new work that a record shows; `None` for other records.
fn new_work(seen: &Seen) -> Option<NewWork<'_>> {
    match seen {
        Seen::Call {
            front_end, request, ..
        } => Some(NewWork {
            front_end,
            work: format!("call {request}"),
        }),
        Seen::LoadCommand {
            front_end,
            function,
            replicas,
        } if *replicas > 0 => Some(NewWork {
            front_end,
            work: format!("a command to load {function}"),
        }),
        _ => None,
    }
}
