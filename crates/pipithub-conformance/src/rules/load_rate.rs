//! Checks that load commands stay within their rate limit.

use std::collections::BTreeMap;

use super::{Breach, LoadRateLimit, Rule, RuleConfig};
use crate::record::{Record, Seen};

/// Times of events by front end, in Unix nanoseconds.
type TimesByFrontEnd<'a> = BTreeMap<&'a str, Vec<u64>>;

/// Checks the load commands of each front end against the limit, which grows with the requests that it received.
pub(super) fn check(
    records: &[Record],
    config: &RuleConfig,
    limit: LoadRateLimit,
    breaches: &mut Vec<Breach>,
) {
    let received = received_requests(records, config);
    for (front_end, mut commands) in load_commands(records) {
        commands.sort_unstable();
        let received = received
            .get(front_end)
            .map(Vec::as_slice)
            .unwrap_or_default();
        for (index, at) in commands.iter().enumerate() {
            // The slack favours the front end: it shortens the window for commands and widens the one for requests.
            let in_window = commands[..=index]
                .iter()
                .filter(|t| **t + limit.window > at + config.slack)
                .count() as f64;
            let requests = received
                .iter()
                .filter(|t| **t + limit.window + config.slack > *at && **t <= at + config.slack)
                .count();
            let allowed = limit.burst + limit.per_request * requests as f64;
            if in_window > allowed {
                breaches.push(Breach {
                    rule: Rule::LoadRateLimited,
                    at: *at,
                    what: format!(
                        "{front_end} sent {in_window} load commands within the window; {allowed:.2} are allowed"
                    ),
                });
            }
        }
    }
}

fn load_commands(records: &[Record]) -> TimesByFrontEnd<'_> {
    let mut commands = TimesByFrontEnd::new();
    for record in records {
        if let Seen::LoadCommand {
            front_end,
            replicas,
            ..
        } = &record.seen
            && *replicas > 0
        {
            commands.entry(front_end).or_default().push(record.time_ns);
        }
    }
    commands
}

fn received_requests<'a>(records: &'a [Record], config: &RuleConfig) -> TimesByFrontEnd<'a> {
    let mut received = TimesByFrontEnd::new();
    for record in records {
        if let Seen::Delivered { queue, client, .. } = &record.seen
            && *queue == config.queue
        {
            let times = received.entry(front_end_of(client)).or_default();
            times.push(record.time_ns);
        }
    }
    received
}

/// The name of a client without the number of its connection.
fn front_end_of(client: &str) -> &str {
    client.rsplit_once('#').map_or(client, |(name, _)| name)
}
