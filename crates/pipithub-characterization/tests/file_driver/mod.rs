//! Connects the file tests with the types that read and write the files. Only this module uses those types; its interface
//! consists of text and bytes.

use std::path::Path;
use std::sync::Arc;

use pipithub_directory::snapshot::StoredRecord;
use pipithub_directory::{
    Directory, DirectorySettings, Lifetimes, LookupRecord, LookupResult, PersonId, Settings,
    TenantBase, TenantId, snapshot,
};
use pipithub_endpoints::{WatchStep, Watcher};
use pipithub_engine::policy::{Endpoint, EndpointState, EndpointUpdate};
use pipithub_ldap::Dn;
use pipithub_membership::{DiskState, GenerationRecord};
use pipithub_membership_runtime::{DataFolder, MemberReport, Report, ReportedEvent};
use pipithub_storage::SystemFiles;

const HOUR: u64 = 3_600 * 1_000_000_000;

// ---- generation record ----

/// The text of a generation record.
pub(crate) fn generation_text(cluster: &str, name: &str, generation: u64) -> String {
    GenerationRecord {
        cluster: cluster.into(),
        name: name.into(),
        generation,
    }
    .encode()
}

/// Parses the text of a generation record into the cluster, the name and the generation.
pub(crate) fn read_generation(text: &str) -> Result<(String, String, u64), String> {
    let record = GenerationRecord::decode(text).map_err(|error| error.to_string())?;
    Ok((record.cluster, record.name, record.generation))
}

/// The text of the record that the next start writes, and whether that start found an empty folder.
pub(crate) fn next_generation(
    found: Option<&str>,
    cluster: &str,
    name: &str,
) -> Result<(String, bool), String> {
    let next = GenerationRecord::next(found, cluster, name).map_err(|error| error.to_string())?;
    Ok((next.record.encode(), next.disk == DiskState::Empty))
}

/// Writes the generation record of a data folder.
pub(crate) fn save_generation(folder: &Path, text: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let folder = DataFolder::lock(folder).expect("the folder is free");
        let saver = folder.start_generation_saver(Arc::new(SystemFiles));
        saver.save(1, text.as_bytes());
        saver
            .saved()
            .wait_for(|number| *number == Some(1))
            .await
            .expect("the record is written");
    });
}

/// Reads the generation record of a data folder as a starting front end does; `None` if there is none.
pub(crate) fn load_generation(folder: &Path) -> Option<String> {
    DataFolder::lock(folder)
        .expect("the folder is free")
        .read_generation()
        .expect("the record is read")
}

// ---- membership report ----

fn member(
    name: &str,
    address: &str,
    state: &str,
    last_message_age_ms: Option<u64>,
) -> MemberReport {
    MemberReport {
        name: name.into(),
        address: address.into(),
        zone: "east".into(),
        state: state.into(),
        state_age_ms: 1_500,
        last_message_age_ms,
        generation: 41,
        disk: "kept".into(),
    }
}

/// Writes a membership report into a data folder.
pub(crate) fn save_report(folder: &Path) {
    let event = |member: &str, description: &str| ReportedEvent {
        at_ms: 1_800_000_000_000,
        member: member.into(),
        description: description.into(),
    };
    let report = Report {
        at_ms: 1_800_000_000_123,
        cluster: "campus".into(),
        process_id: 4_242,
        listen: "10.0.0.1:7400".into(),
        local: member("front-1", "10.0.0.1:7400", "joined", None),
        health_score: 2,
        age_ms: Some(75),
        members: vec![
            member("front-2", "10.0.0.2:7400", "alive", Some(75)),
            member("front-3", "10.0.0.3:7400", "suspect", None),
        ],
        events: [event("front-2", "there"), event("front-1", "stands joined")].into(),
    };
    let text = serde_json::to_vec(&report).expect("the report can be serialized");
    DataFolder::save_report(folder, &text).expect("the report is written");
}

/// Reads the report of a data folder; returns a line for the header and for each member and event.
pub(crate) fn load_report(folder: &Path) -> Vec<String> {
    let text = DataFolder::read_report(folder).expect("the report is read");
    let report: Report = serde_json::from_slice(&text).expect("the report can be parsed");
    let member = |m: &MemberReport| {
        format!(
            "{} {} {} {} for {} heard {:?} generation {} disk {}",
            m.name,
            m.address,
            m.zone,
            m.state,
            m.state_age_ms,
            m.last_message_age_ms,
            m.generation,
            m.disk
        )
    };
    let head = format!(
        "{} {} process {} at {} doubt {} age {:?}",
        report.cluster,
        report.listen,
        report.process_id,
        report.at_ms,
        report.health_score,
        report.age_ms
    );
    let happenings = report
        .events
        .iter()
        .map(|h| format!("{} {} {}", h.at_ms, h.member, h.description));
    [head, member(&report.local)]
        .into_iter()
        .chain(report.members.iter().map(member))
        .chain(happenings)
        .collect()
}

// ---- cached endpoint list ----

/// The text of the cached list after an endpoint list and then a watch event.
pub(crate) fn cached_list(now: u64, wall_ms: u64, list: &str, change: &str) -> String {
    let mut watcher = Watcher::new(None);
    watcher
        .apply_list(now, wall_ms, list.as_bytes())
        .expect("the list is read");
    let step = watcher
        .apply_watch_line(now, wall_ms, change.as_bytes())
        .expect("the change is read");
    assert!(
        matches!(step, WatchStep::Changes(_)),
        "the change changes something"
    );
    watcher.to_cached_list(now, wall_ms)
}

/// The workers of a cached endpoint list, with a line for each.
pub(crate) fn read_cached_list(text: &str, now: u64, wall_ms: u64) -> Result<Vec<String>, String> {
    let cached = pipithub_endpoints::read_cached_list(text, now, wall_ms)
        .map_err(|error| error.to_string())?;
    assert_eq!(cached.update, EndpointUpdate::Cached);
    let entries = cached.endpoints;
    let line = |entry: &Endpoint| {
        let state = match entry.state {
            EndpointState::Ready => "live",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "gone",
        };
        let Endpoint {
            worker,
            zone,
            memory_mb,
            started_at: started,
            ..
        } = entry;
        format!("{} {state} {zone} {memory_mb} {started:?}", worker.0)
    };
    Ok(entries.iter().map(line).collect())
}

// ---- directory snapshot ----

/// A record of a snapshot: user, tenant, person, change number, and when the record was confirmed, in milliseconds on the
/// caller's clock.
pub(crate) type SnapshotRecord = (String, u16, u64, u64, i64);

/// The fingerprint of the directories and tenants that a snapshot is written for.
pub(crate) fn snapshot_fingerprint(parts: &[&str]) -> [u8; 32] {
    snapshot::fingerprint(parts.iter().copied())
}

/// Writes a snapshot of these records and returns its bytes.
pub(crate) fn write_snapshot(
    snapshot_records: &[SnapshotRecord],
    now: u64,
    wall_ms: i64,
    fingerprint: [u8; 32],
    key: &[u8],
) -> Vec<u8> {
    let base = |unit: &str| TenantBase {
        directory: 0,
        base: Dn::parse(&format!("ou={unit},dc=example")).expect("a name"),
    };
    let lifetimes = Lifetimes {
        fresh: HOUR,
        max_stale: 12 * HOUR,
        negative: HOUR / 60,
    };
    let mut directory = Directory::new(Settings {
        directories: vec![DirectorySettings {
            lifetimes,
            ..DirectorySettings::default()
        }],
        tenants: vec![base("north"), base("south")],
        max_users: 100,
        max_queue: 100,
        seed: 3,
        wall_clock_offset_ms: 0,
    });
    let records =
        snapshot_records
            .iter()
            .map(|(user, tenant, person, change_number, confirmed)| {
                let record = LookupRecord {
                    directory: 0,
                    result: LookupResult::Tenant(TenantId(*tenant)),
                    person: PersonId(*person),
                    confirmed_at_ms: *confirmed,
                    change_number: *change_number,
                    refresh_jitter: 0,
                    last_lookup_day: 0,
                };
                StoredRecord {
                    user: user.as_str().into(),
                    record,
                }
            });
    directory.restore(now, records.collect());
    snapshot::write(directory.roster(), now, wall_ms, fingerprint, key)
}

/// Reads the records of a snapshot, ordered by user.
pub(crate) fn read_snapshot(
    bytes: &[u8],
    now: u64,
    wall_ms: i64,
    fingerprint: [u8; 32],
    key: &[u8],
) -> Result<Vec<SnapshotRecord>, String> {
    let max_stale = |directory: u16| (directory == 0).then_some(12 * HOUR);
    let snapshot_records = snapshot::read(bytes, now, wall_ms, fingerprint, key, max_stale);
    let snapshot_record = |StoredRecord { user, record }: &StoredRecord| {
        let LookupResult::Tenant(tenant) = record.result else {
            panic!("a record without a tenant")
        };
        (
            user.to_string(),
            tenant.0,
            record.person.0,
            record.change_number,
            record.confirmed_at_ms,
        )
    };
    let mut snapshot_records: Vec<SnapshotRecord> = snapshot_records
        .map_err(|error| error.to_string())?
        .iter()
        .map(snapshot_record)
        .collect();
    snapshot_records.sort();
    Ok(snapshot_records)
}
