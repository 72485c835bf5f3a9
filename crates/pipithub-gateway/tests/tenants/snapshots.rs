//! What a restart takes from the snapshot of the directories.

use std::time::Duration;

use pipithub_gateway::Gateway;

use crate::rig::{Stage, answer_to, call, directory, tree, verdict};

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_in_an_outage_serves_with_what_was_known() {
    let stage = Stage::new("restart").await;
    let server = directory(&tree(&[("mai".into(), "north")]), false).await;
    let file = stage.folder.join("roster");
    let more = format!(
        "admission {{ identity-wait \"3s\"; snapshot {file:?} every=\"1s\" {{ key text=\"another key of sixteen bytes\" }} }}"
    );
    let config = stage.config(&[&server], "tls \"none\"", &more);
    let gateway = Gateway::start(&config);
    let mut client = stage.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    let written = file.with_extension("fe");
    let end = tokio::time::Instant::now() + Duration::from_secs(30);
    // The first one may have been written before there was anything in it.
    while std::fs::metadata(&written).map_or(true, |m| m.len() < 100) {
        assert!(tokio::time::Instant::now() < end, "no snapshot");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    gateway.stop().await;
    server.set_faults(|f| f.silent = true);
    let gateway = Gateway::start(&config);
    assert_eq!(
        answer_to(&mut client, call("2", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    gateway.stop().await;
    let mut bytes = std::fs::read(&written).expect("a snapshot");
    let at = bytes.len() - 40;
    bytes[at] ^= 1;
    std::fs::write(&written, bytes).expect("written");
    let _gateway = Gateway::start(&config);
    assert_eq!(
        answer_to(&mut client, call("3", "mai", "north-map")).await,
        verdict("refused", "user-unknown")
    );
}
