//! Whose a call is: signatures, users of the broker, and directory servers that are trusted.

use std::time::Duration;

use pipithub_amqp::Login;
use pipithub_gateway::Gateway;
use pipithub_scenario::client::{Publish, QueueClient};

use crate::rig::{PATIENT_ADMISSION, Stage, answer_to, call, directory, tree, verdict};

#[tokio::test(flavor = "multi_thread")]
async fn calls_run_for_their_users_tenant_alone_over_each_kind_of_tls() {
    for (tls, ldaps) in [("none", false), ("start", false), ("ldaps", true)] {
        let stage = Stage::new(tls).await;
        let server = directory(
            &tree(&[("mai".into(), "north"), ("lan".into(), "south")]),
            ldaps,
        )
        .await;
        let config = stage.config(
            &[&server],
            &format!("tls \"{tls}\"; mark-attribute \"contextCSN\""),
            PATIENT_ADMISSION,
        );
        let _gateway = Gateway::start(&config);
        let mut client = stage.client();
        assert_eq!(
            answer_to(&mut client, call("1", "Mai", "north-map")).await,
            verdict("served", "answered"),
            "{tls}"
        );
        assert_eq!(
            answer_to(&mut client, call("2", "mai", "south-map")).await,
            verdict("refused", "other-tenant")
        );
        assert_eq!(
            answer_to(&mut client, call("3", "lan", "south-map")).await,
            verdict("served", "answered")
        );
        assert_eq!(
            answer_to(&mut client, call("4", "lan", "holidays")).await,
            verdict("served", "answered")
        );
        assert_eq!(
            answer_to(&mut client, call("5", "lan", "unnamed")).await,
            verdict("refused", "other-tenant")
        );
        assert_eq!(
            answer_to(&mut client, call("6", "nobody", "north-map")).await,
            verdict("refused", "no-tenant")
        );
        // A name that is a filter's text is nobody's name.
        assert_eq!(
            answer_to(&mut client, call("7", "*)(uid=*", "north-map")).await,
            verdict("refused", "no-tenant")
        );
        let mut spoofed = call("8", "mai", "north-map");
        spoofed.signed.as_mut().expect("signed").key = b"another key of some length".to_vec();
        assert_eq!(
            answer_to(&mut client, spoofed).await,
            verdict("refused", "unreadable")
        );
        assert_eq!(
            answer_to(
                &mut client,
                Publish {
                    signed: None,
                    ..call("9", "", "north-map")
                }
            )
            .await
            .1,
            "unreadable"
        );
        let ran: Vec<String> = stage.sent().into_iter().map(|run| run.request).collect();
        assert_eq!(ran, ["1", "3", "4"], "{tls}");
    }
}

/// A broker that checks `user_id` speaks for the users of its connections; a name in a header does not count.
#[tokio::test(flavor = "multi_thread")]
async fn the_brokers_users_are_directory_users() {
    let stage = Stage::new("broker").await;
    let server = directory(
        &tree(&[("mai".into(), "north"), ("lan".into(), "south")]),
        false,
    )
    .await;
    let mut config = stage.config(&[&server], "tls \"none\"", PATIENT_ADMISSION);
    config.amqp[0].queues[0].identity = pipithub_consumer::identity::Rule::Broker;
    let _gateway = Gateway::start(&config);
    let login = Login {
        user: "mai".into(),
        password: "m".into(),
        ..Login::default()
    };
    let mut client = QueueClient::start(&stage.broker.address().to_string(), login, "answers");
    let by = |id: &str, user: Option<&str>, function: &str| Publish {
        signed: None,
        user_id: user.map(str::to_string),
        ..call(id, "", function)
    };
    assert_eq!(
        answer_to(&mut client, by("1", Some("mai"), "north-map")).await,
        verdict("served", "answered")
    );
    assert_eq!(
        answer_to(&mut client, by("2", Some("mai"), "south-map")).await,
        verdict("refused", "other-tenant")
    );
    assert_eq!(
        answer_to(&mut client, by("3", None, "north-map")).await,
        verdict("refused", "unreadable")
    );
    // The broker takes no message under another's name: the channel ends, and the client's next call comes on a new one.
    client
        .calls
        .send(by("4", Some("lan"), "south-map"))
        .await
        .expect("running");
    let end = tokio::time::Instant::now() + Duration::from_secs(30);
    loop {
        client
            .calls
            .send(by("5", Some("mai"), "north-map"))
            .await
            .expect("running");
        match tokio::time::timeout(Duration::from_millis(500), client.answers.recv()).await {
            Ok(Some(answer)) => {
                break assert_eq!(
                    (answer.id.as_str(), answer.verdict.as_str()),
                    ("5", "served")
                );
            }
            _ => assert!(tokio::time::Instant::now() < end, "no answer"),
        }
    }
    assert!(stage.sent().iter().all(|run| run.request != "4"));
}

/// A certificate that the settings do not trust is no directory: nothing is asked, nobody is let in.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_of_another_authority_is_not_asked() {
    let stage = Stage::new("authority").await;
    let server = directory(&tree(&[("mai".into(), "north")]), true).await;
    let other = directory(&tree(&[("mai".into(), "south")]), true).await;
    let mut config = stage.config(&[&server], "tls \"ldaps\"", "");
    // The settings trust the first one's authority, and its address now leads to the second.
    config.tenants.as_mut().expect("tenants").directories[0].servers[0].address =
        other.address().to_string();
    let _gateway = Gateway::start(&config);
    let mut client = stage.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("refused", "user-unknown")
    );
    assert_eq!((other.searches(), stage.sent().len()), (0, 0));
}
