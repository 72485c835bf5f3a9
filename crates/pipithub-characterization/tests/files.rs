//! Checks that files of earlier versions are read with the same contents and written with the same bytes as before.

mod file_driver;

use std::path::{Path, PathBuf};

use file_driver::SnapshotRecord;
use pipithub_characterization::recording::{check_file, record_once};

const SECOND: u64 = 1_000_000_000;
const WALL_MS: u64 = 1_800_000_000_000;
const KEY: &[u8] = b"sixteen bytes....";

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/recorded/files")
        .join(name)
}

/// A data folder that contains a recorded file under its usual name.
fn folder_with(name: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::copy(recorded(name), folder.path().join(name)).expect("the recorded file is there");
    folder
}

/// The same bytes with one bit flipped.
fn with_flipped_bit(bytes: &[u8], index: usize) -> Vec<u8> {
    let mut flipped = bytes.to_vec();
    flipped[index] ^= 1;
    flipped
}

#[test]
fn generation_record_is_read_and_written_as_before() {
    let folder = tempfile::tempdir().expect("a folder");
    file_driver::save_generation(
        folder.path(),
        &file_driver::generation_text("campus", "front-1", 41),
    );
    check_file(
        &recorded("generation"),
        &std::fs::read(folder.path().join("generation")).expect("written"),
    );

    let text = file_driver::load_generation(folder_with("generation").path()).expect("a record");
    let expected = ("campus".to_string(), "front-1".to_string(), 41);
    assert_eq!(file_driver::read_generation(&text), Ok(expected));
    let next = (file_driver::generation_text("campus", "front-1", 42), false);
    assert_eq!(
        file_driver::next_generation(Some(&text), "campus", "front-1"),
        Ok(next)
    );
    assert!(
        file_driver::next_generation(Some(&text), "campus", "front-2").is_err(),
        "the record belongs to another front end"
    );
    for index in 0..text.len() {
        let changed = with_flipped_bit(text.as_bytes(), index);
        let changed = String::from_utf8(changed).expect("still text");
        assert!(
            file_driver::read_generation(&changed).is_err(),
            "byte {index} changed"
        );
        assert!(
            file_driver::read_generation(&text[..index]).is_err(),
            "cut at {index}"
        );
    }
}

#[test]
fn membership_report_is_read_and_written_as_before() {
    let folder = tempfile::tempdir().expect("a folder");
    file_driver::save_report(folder.path());
    check_file(
        &recorded("members.json"),
        &std::fs::read(folder.path().join("members.json")).expect("written"),
    );

    let lines = file_driver::load_report(folder_with("members.json").path());
    let expected = [
        "campus 10.0.0.1:7400 process 4242 at 1800000000123 doubt 2 age Some(75)",
        "front-1 10.0.0.1:7400 east joined for 1500 heard None generation 41 disk kept",
        "front-2 10.0.0.2:7400 east alive for 1500 heard Some(75) generation 41 disk kept",
        "front-3 10.0.0.3:7400 east suspect for 1500 heard None generation 41 disk kept",
        "1800000000000 front-2 there",
        "1800000000000 front-1 stands joined",
    ];
    assert_eq!(lines, expected);
}

/// An endpoint list with one slice; the watch event [`CHANGE`] adds a second slice.
const LIST: &str = r#"{"kind":"EndpointSliceList","metadata":{"resourceVersion":"5"},"items":[
    {"metadata":{"name":"one","resourceVersion":"4","annotations":{
        "pipithub.dev/memory-mb":"{\"a\":8000,\"b\":16000}",
        "pipithub.dev/started-ms":"{\"a\":1799999990000}"}},
     "addressType":"IPv4","ports":[{"name":"http","port":80}],
     "endpoints":[
        {"addresses":["10.0.0.1"],"conditions":{"ready":true},"zone":"east","targetRef":{"uid":"a"}},
        {"addresses":["10.0.0.2"],"conditions":{"ready":false,"serving":true,"terminating":true},
         "zone":"west","targetRef":{"uid":"b"}}]}]}"#;
const CHANGE: &str = r#"{"type":"ADDED","object":{"metadata":{"name":"two","resourceVersion":"6"},
    "addressType":"IPv4","ports":[{"name":"http","port":81}],
    "endpoints":[{"addresses":["10.0.0.3"],"conditions":{"ready":true},"targetRef":{"uid":"c"}}]}}"#;

#[test]
fn cached_endpoint_list_is_read_and_written_as_before() {
    let now = 100 * SECOND;
    let written = file_driver::cached_list(now, WALL_MS, LIST, CHANGE);
    check_file(&recorded("workers.json"), written.as_bytes());

    let text = std::fs::read_to_string(recorded("workers.json")).expect("recorded");
    // Another process reads it 20 s later, when its own clock is at 50 s.
    let lines = file_driver::read_cached_list(&text, 50 * SECOND, WALL_MS + 20_000);
    let expected = [
        "10.0.0.1:80 live east 8000 Some(20000000000)",
        "10.0.0.2:80 draining west 16000 None",
        "10.0.0.3:81 live  0 Some(30000000000)",
    ];
    assert_eq!(lines.expect("the list can be read"), expected);
    assert!(
        file_driver::read_cached_list(&text[..text.len() / 2], 0, WALL_MS).is_err(),
        "cut off"
    );
}

fn record(user: &str, tenant: u16, person: u64, confirmed_ms: i64) -> SnapshotRecord {
    (user.to_string(), tenant, person, 3, confirmed_ms)
}

/// The snapshot has only one user, because the order of several users differs between processes.
#[test]
fn directory_snapshot_is_written_as_before() {
    let fingerprint = file_driver::snapshot_fingerprint(&["campus", "ou=north,dc=example"]);
    let records = [record("mai", 1, 7, 0)];
    let written = file_driver::write_snapshot(&records, SECOND, WALL_MS as i64, fingerprint, KEY);
    check_file(&recorded("directory-one-user"), &written);
}

#[test]
fn directory_snapshot_is_read_as_before() {
    let fingerprint = file_driver::snapshot_fingerprint(&["campus", "ou=north,dc=example"]);
    let records = [
        record("lan", 0, 8, -11 * 3_600_000),
        record("mai", 1, 7, 0),
        record("thuỷ", 0, 9, -60_000),
    ];
    let written = file_driver::write_snapshot(&records, SECOND, WALL_MS as i64, fingerprint, KEY);
    record_once(&recorded("directory-three-users"), &written);

    let bytes = std::fs::read(recorded("directory-three-users")).expect("recorded");
    assert_eq!(bytes.len(), written.len());
    let read = |wall_ms: i64, fingerprint, key: &[u8]| {
        file_driver::read_snapshot(&bytes, 5 * SECOND, wall_ms, fingerprint, key)
    };
    // Read at once by a process whose clock is 4 s ahead: the records have the same age as before.
    let at_once = records
        .clone()
        .map(|(user, tenant, person, mark, confirmed)| {
            (user, tenant, person, mark, confirmed + 4_000)
        });
    assert_eq!(read(WALL_MS as i64, fingerprint, KEY), Ok(at_once.to_vec()));
    // Two hours later one record has expired.
    let later =
        read(WALL_MS as i64 + 2 * 3_600_000, fingerprint, KEY).expect("the snapshot can be read");
    assert_eq!(
        later
            .iter()
            .map(|record| record.0.as_str())
            .collect::<Vec<_>>(),
        ["mai", "thuỷ"]
    );
    assert!(
        read(WALL_MS as i64, [2; 32], KEY).is_err(),
        "the snapshot belongs to another directory"
    );
    assert!(
        read(WALL_MS as i64, fingerprint, b"another key......").is_err(),
        "the snapshot was written with another key"
    );
    let changed = with_flipped_bit(&bytes, bytes.len() / 2);
    let read = file_driver::read_snapshot(&changed, 0, WALL_MS as i64, fingerprint, KEY);
    assert!(read.is_err(), "changed");
}
