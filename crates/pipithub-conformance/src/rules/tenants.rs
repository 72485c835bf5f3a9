//! Checks that no request reaches a function of another tenant.

use std::collections::BTreeMap;

use super::{Breach, Rule, RuleConfig};
use crate::record::{Record, Seen};

/// The membership of a user in a tenant, from a time in Unix nanoseconds until the user's next membership. The order of
/// the fields is the sort order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Membership<'a> {
    since: u64,
    tenant: &'a str,
}

/// Checks that each request reached workers only for functions of a tenant that its user belongs to, or left no longer
/// than the grace period and the slack ago. The user is the one that the message names, because the front end must
/// verify the signature.
pub(super) fn check(
    records: &[Record],
    config: &RuleConfig,
    migration_grace: u64,
    breaches: &mut Vec<Breach>,
) {
    let memberships = memberships(records);
    let users = users_of_requests(records, config);
    for record in records {
        let Seen::Call {
            request, function, ..
        } = &record.seen
        else {
            continue;
        };
        let user = users.get(request.as_str()).copied().unwrap_or_default();
        let memberships = memberships.get(user).map_or(&[][..], Vec::as_slice);
        let tenant = function.split('-').next().unwrap_or_default();
        let grace = migration_grace.saturating_add(config.slack);
        if !is_member(memberships, tenant, record.time_ns, grace) {
            let worker = &record.observer;
            breaches.push(Breach {
                rule: Rule::TenantIsolation,
                at: record.time_ns,
                what: format!("call {request} of user '{user}' reached {worker} for function {function} of another tenant"),
            });
        }
    }
}

/// The memberships of each user, by time.
fn memberships(records: &[Record]) -> BTreeMap<&str, Vec<Membership<'_>>> {
    let mut memberships: BTreeMap<&str, Vec<Membership<'_>>> = BTreeMap::new();
    for record in records {
        if let Seen::UserMigrated { user, tenant } = &record.seen {
            let since = record.time_ns;
            let of_user = memberships.entry(user).or_default();
            of_user.push(Membership { since, tenant });
        }
    }
    memberships.values_mut().for_each(|m| m.sort_unstable());
    memberships
}

/// The user that each request names, by the id of the request. Requests without a user are left out.
fn users_of_requests<'a>(records: &'a [Record], config: &RuleConfig) -> BTreeMap<&'a str, &'a str> {
    let mut users: BTreeMap<&str, &str> = BTreeMap::new();
    for record in records {
        if let Seen::Published {
            queues,
            message_id,
            correlation_id,
            headers,
            ..
        } = &record.seen
            && queues.contains(&config.queue)
            && let Some(id) = correlation_id.as_ref().or(message_id.as_ref())
            && let Some(user) = headers.get("pipithub-user")
        {
            users.insert(id, user);
        }
    }
    users
}

/// Whether one of these memberships is in the tenant and holds at the time, or ended at most `grace` nanoseconds
/// before.
fn is_member(memberships: &[Membership<'_>], tenant: &str, at: u64, grace: u64) -> bool {
    memberships.iter().enumerate().any(|(index, membership)| {
        let until = memberships
            .get(index + 1)
            .map_or(u64::MAX, |next| next.since);
        membership.tenant == tenant && membership.since <= at && at <= until.saturating_add(grace)
    })
}
