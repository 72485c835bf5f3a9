//! Checks that draining and removed workers get no new work.

use std::collections::BTreeMap;

use super::{Breach, MS, Rule, RuleConfig};
use crate::record::{Record, Seen};

/// A front end, and a worker whose state it was notified of.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FrontEndAndWorker<'a> {
    front_end: &'a str,
    worker: &'a str,
}

/// Reports each request and load command that a front end sent too long after it was notified of the worker's drain or
/// removal.
pub(super) fn check(records: &[Record], config: &RuleConfig, breaches: &mut Vec<Breach>) {
    let mut by_time: Vec<&Record> = records.iter().collect();
    by_time.sort_by_key(|record| record.time_ns);
    // The time at which each front end was notified that a worker takes no new work.
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

/// Updates the times of notification if the record is a notification of the endpoint list.
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

/// Work that a front end sent to a worker.
struct NewWork<'a> {
    /// The front end that sent the work.
    front_end: &'a str,
    /// A description of the work for reports.
    work: String,
}

/// The new work that an event shows; `None` for other events.
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
