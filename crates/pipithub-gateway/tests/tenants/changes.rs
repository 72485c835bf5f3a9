//! Users who move or go while their directory is followed or polled.

use std::time::Duration;

use pipithub_gateway::Gateway;

use crate::rig::{PATIENT_ADMISSION, Stage, answer_to, call, directory, tree, verdict};

/// A followed directory tells of a move as it happens: the next call is on the new side, and a call that waits is not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_followed_directory_moves_users_at_once() {
    let stage = Stage::new("follow").await;
    let server = directory(
        &tree(&[("mai".into(), "north"), ("lan".into(), "south")]),
        false,
    )
    .await;
    let config = stage.config(
        &[&server],
        "tls \"none\"; follow #true; mark-attribute \"contextCSN\"",
        PATIENT_ADMISSION,
    );
    let _gateway = Gateway::start(&config);
    let mut client = stage.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    assert!(server.move_to("uid=mai,ou=north,dc=example", "ou=south,dc=example"));
    let mut n = 2;
    let end = tokio::time::Instant::now() + Duration::from_secs(30);
    loop {
        let told = answer_to(&mut client, call(&n.to_string(), "mai", "south-map")).await;
        n += 1;
        if told == verdict("served", "answered") {
            break;
        }
        assert_eq!(told, verdict("refused", "other-tenant"));
        assert!(tokio::time::Instant::now() < end, "never on the new side");
    }
    assert_eq!(
        answer_to(&mut client, call("last", "mai", "north-map")).await,
        verdict("refused", "other-tenant")
    );
    assert!(server.delete("uid=lan,ou=south,dc=example"));
    while answer_to(&mut client, call(&format!("lan{n}"), "lan", "south-map")).await
        != verdict("refused", "no-tenant")
    {
        n += 1;
        assert!(tokio::time::Instant::now() < end, "never gone");
    }
}

/// A directory that is asked for what changed: a move is heard long before the fact would be asked for again.
#[tokio::test(flavor = "multi_thread")]
async fn a_polled_directory_reports_moves() {
    let stage = Stage::new("poll").await;
    let server = directory(&tree(&[("mai".into(), "north")]), false).await;
    let directory = "tls \"none\"; poll \"1s\"; fresh \"10m\"; mark-attribute \"contextCSN\"";
    let _gateway = Gateway::start(&stage.config(&[&server], directory, PATIENT_ADMISSION));
    let mut client = stage.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    assert!(server.move_to("uid=mai,ou=north,dc=example", "ou=south,dc=example"));
    let end = tokio::time::Instant::now() + Duration::from_secs(60);
    let mut n = 2;
    while answer_to(&mut client, call(&n.to_string(), "mai", "south-map")).await
        != verdict("served", "answered")
    {
        n += 1;
        assert!(
            tokio::time::Instant::now() < end,
            "the move was never heard"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        answer_to(&mut client, call("last", "mai", "north-map")).await,
        verdict("refused", "other-tenant")
    );
}
