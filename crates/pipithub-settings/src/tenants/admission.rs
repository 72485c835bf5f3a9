//! The node `admission`: the limits that tenants share, and the snapshot of users' records.

use std::path::PathBuf;

use chrono::DateTime;
use pipithub_admission::{AdmissionSettings, LimitRange, QuotaSettings, RateLimit, TenantQuota};

use crate::duration::{DAY, MS, SECOND};
use crate::reader::{Reader, as_number};
use crate::tenants::{SnapshotConfig, secret};

/// The contents of the node `admission`.
pub(super) struct Admission {
    pub(super) settings: AdmissionSettings,
    pub(super) max_users: usize,
    pub(super) scoped_keys_since_ms: Option<u64>,
    pub(super) snapshot: Option<SnapshotConfig>,
}

pub(super) fn read(
    root: &Reader<'_>,
    tenants: Vec<TenantQuota>,
    class_weights: &[f64],
) -> Admission {
    let node = root.child_or_missing("admission");
    let limit = read_limit(&node);
    let settings = AdmissionSettings {
        quotas: QuotaSettings {
            tenants,
            class_weights: class_weights.to_vec(),
            limit,
            max_queue_wait: node.duration("wait", 20 * MS, 0..=10 * SECOND),
        },
        max_identity_wait: node.duration("identity-wait", 40 * MS, 0..=10 * SECOND),
        max_waiting: node.integer("max-waiting", 4_096, 0..=1_000_000) as usize,
    };
    let max_users = node.integer("max-users", 2_000_000, 1..=100_000_000) as usize;
    let scoped_keys_since_ms = read_timestamp(&node, "scoped-keys-since");
    let snapshot = node.child("snapshot").map(|node| read_snapshot(&node));
    node.finish();
    Admission {
        settings,
        max_users,
        scoped_keys_since_ms,
        snapshot,
    }
}

/// Reads a time of the form `2026-12-08T02:00:00Z`, in Unix milliseconds; `None` if it is not given.
fn read_timestamp(node: &Reader<'_>, name: &str) -> Option<u64> {
    let text = node.text(name)?;
    let time = DateTime::parse_from_rfc3339(&text).ok();
    let unix_ms = time.and_then(|time| u64::try_from(time.timestamp_millis()).ok());
    if unix_ms.is_none() {
        node.fault(format!(
            "'{name}' is a time such as 2026-12-08T02:00:00Z, not '{text}'"
        ));
    }
    unix_ms
}

fn read_limit(node: &Reader<'_>) -> LimitRange {
    let limit = LimitRange {
        min: node.number("limit-least", 8.0, 1.0..=1e6),
        max: node.number("limit-most", 1_024.0, 1.0..=1e6),
    };
    if limit.min > limit.max {
        node.fault("'limit-least' is above 'limit-most'");
    }
    limit
}

fn read_snapshot(node: &Reader<'_>) -> SnapshotConfig {
    let path = PathBuf::from(node.name());
    let interval = node.duration("every", 60 * SECOND, SECOND..=DAY);
    let key = node.child("key").map(|key_node| {
        let key = secret::read_key(&key_node, "the snapshot's key");
        key_node.finish();
        key
    });
    if key.is_none() {
        node.fault("a snapshot needs a 'key' to authenticate it");
    }
    node.finish();
    SnapshotConfig {
        path,
        key: key.unwrap_or_default(),
        interval,
    }
}

/// Reads the quota of a node `tenant`.
pub(super) fn read_quota(node: &Reader<'_>) -> TenantQuota {
    let rate = node.child("rate").map(|rate| read_rate(&rate));
    let defaults = TenantQuota::default();
    TenantQuota {
        weight: node.number("weight", 1.0, 0.001..=1e6),
        rate,
        max_in_flight: node.integer("most", 1_000_000, 1..=1_000_000) as usize,
        max_queued: node.integer("queue", defaults.max_queued as u64, 0..=100_000) as usize,
    }
}

fn read_rate(node: &Reader<'_>) -> RateLimit {
    let given = node.argument().and_then(|given| as_number(given.value));
    let in_range = given.filter(|rate| (0.001..=1e6).contains(rate));
    let per_second = in_range.unwrap_or_else(|| {
        node.fault("a rate is a number of calls per second from 0.001 to 1000000");
        1.0
    });
    let burst = node.number("burst", per_second.max(1.0), 1.0..=1e6);
    node.finish();
    RateLimit { per_second, burst }
}
