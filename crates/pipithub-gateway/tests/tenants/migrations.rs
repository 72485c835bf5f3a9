//! Tests of users who are migrated or deleted while their directory is followed or polled.

use std::time::Duration;

use pipithub_gateway::Gateway;

use crate::rig::{LONG_IDENTITY_WAIT, TestBed, answer_to, call, directory, tree, verdict};

const MIGRATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A followed directory reports a migration as it happens, so that the next calls belong to the new tenant.
#[tokio::test(flavor = "multi_thread")]
async fn followed_directory_reports_migrations_and_deletions() {
    let test_bed = TestBed::new("follow").await;
    let server = directory(
        &tree(&[("mai".into(), "north"), ("lan".into(), "south")]),
        false,
    )
    .await;
    let config = test_bed.config(
        &[&server],
        "tls \"none\"; follow #true; mark-attribute \"contextCSN\"",
        LONG_IDENTITY_WAIT,
    );
    let _gateway = Gateway::start(&config);
    let mut client = test_bed.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    assert!(server.move_to("uid=mai,ou=north,dc=example", "ou=south,dc=example"));
    let mut number = 2;
    let deadline = tokio::time::Instant::now() + MIGRATION_TIMEOUT;
    loop {
        let answer = answer_to(&mut client, call(&number.to_string(), "mai", "south-map")).await;
        number += 1;
        if answer == verdict("served", "answered") {
            break;
        }
        assert_eq!(answer, verdict("refused", "other-tenant"));
        assert!(
            tokio::time::Instant::now() < deadline,
            "the migration was never noticed"
        );
    }
    assert_eq!(
        answer_to(&mut client, call("last", "mai", "north-map")).await,
        verdict("refused", "other-tenant")
    );
    assert!(server.delete("uid=lan,ou=south,dc=example"));
    while answer_to(
        &mut client,
        call(&format!("lan{number}"), "lan", "south-map"),
    )
    .await
        != verdict("refused", "no-tenant")
    {
        number += 1;
        assert!(
            tokio::time::Instant::now() < deadline,
            "the deletion was never noticed"
        );
    }
}

/// A poll for changes reports a migration long before the user's record would be refreshed.
#[tokio::test(flavor = "multi_thread")]
async fn polled_directory_reports_migrations() {
    let test_bed = TestBed::new("poll").await;
    let server = directory(&tree(&[("mai".into(), "north")]), false).await;
    let settings = "tls \"none\"; poll \"1s\"; fresh \"10m\"; mark-attribute \"contextCSN\"";
    let _gateway = Gateway::start(&test_bed.config(&[&server], settings, LONG_IDENTITY_WAIT));
    let mut client = test_bed.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("served", "answered")
    );
    assert!(server.move_to("uid=mai,ou=north,dc=example", "ou=south,dc=example"));
    let deadline = tokio::time::Instant::now() + 2 * MIGRATION_TIMEOUT;
    let mut number = 2;
    while answer_to(&mut client, call(&number.to_string(), "mai", "south-map")).await
        != verdict("served", "answered")
    {
        number += 1;
        assert!(
            tokio::time::Instant::now() < deadline,
            "the migration was never noticed"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        answer_to(&mut client, call("last", "mai", "north-map")).await,
        verdict("refused", "other-tenant")
    );
}
