//! Tests of what a restart restores from the snapshot of the directories.

use std::time::Duration;

use pipithub_gateway::Gateway;

use crate::rig::{TestBed, answer_to, call, directory, tree, verdict};

#[tokio::test(flavor = "multi_thread")]
async fn restart_during_a_directory_outage_serves_users_of_a_valid_snapshot_only() {
    let test_bed = TestBed::new("restart").await;
    let server = directory(&tree(&[("mai".into(), "north")]), false).await;
    let file = test_bed.folder.join("roster");
    let admission = format!(
        "admission {{ identity-wait \"3s\"; snapshot {file:?} every=\"1s\" {{ key text=\"another key of sixteen bytes\" }} }}"
    );
    let config = test_bed.config(&[&server], "tls \"none\"", &admission);
    let gateway = Gateway::start(&config);
    let mut client = test_bed.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    let snapshot = file.with_extension("fe");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
    // The first snapshot may have been written before it had any records.
    while std::fs::metadata(&snapshot).map_or(true, |metadata| metadata.len() < 100) {
        assert!(tokio::time::Instant::now() < deadline, "no snapshot");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    gateway.stop().await;
    server.set_faults(|faults| faults.silent = true);
    let gateway = Gateway::start(&config);
    assert_eq!(
        answer_to(&mut client, call("2", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    gateway.stop().await;
    let mut bytes = std::fs::read(&snapshot).expect("a snapshot");
    let changed = bytes.len() - 40;
    bytes[changed] ^= 1;
    std::fs::write(&snapshot, bytes).expect("a writable file");
    let _gateway = Gateway::start(&config);
    assert_eq!(
        answer_to(&mut client, call("3", "mai", "north-map")).await,
        verdict("refused", "user-unknown")
    );
}
