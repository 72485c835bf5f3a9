//! Tests of how a call's user and tenant are determined: signatures, users of the broker, and trusted directory servers.

use std::time::Duration;

use pipithub_amqp::Login;
use pipithub_gateway::Gateway;
use pipithub_scenario::client::{Publish, QueueClient};

use crate::rig::{LONG_IDENTITY_WAIT, TestBed, answer_to, call, directory, tree, verdict};

#[tokio::test(flavor = "multi_thread")]
async fn calls_run_only_for_the_tenant_of_their_user_over_each_kind_of_tls() {
    for (tls, ldaps) in [("none", false), ("start", false), ("ldaps", true)] {
        let test_bed = TestBed::new(tls).await;
        let server = directory(
            &tree(&[("mai".into(), "north"), ("lan".into(), "south")]),
            ldaps,
        )
        .await;
        let config = test_bed.config(
            &[&server],
            &format!("tls \"{tls}\"; mark-attribute \"contextCSN\""),
            LONG_IDENTITY_WAIT,
        );
        let _gateway = Gateway::start(&config);
        let mut client = test_bed.client();
        expect_answers_of_signed_calls(&mut client, tls).await;
        expect_unproven_users_are_rejected(&mut client, tls).await;
        let received: Vec<String> = test_bed
            .received_calls()
            .into_iter()
            .map(|call| call.request)
            .collect();
        assert_eq!(received, ["1", "3", "4"], "{tls}");
    }
}

/// A signed call, and the verdict and the cause of its answer.
struct SignedCase {
    id: &'static str,
    user: &'static str,
    function: &'static str,
    verdict: &'static str,
    cause: &'static str,
}

impl SignedCase {
    const fn served(id: &'static str, user: &'static str, function: &'static str) -> Self {
        SignedCase {
            id,
            user,
            function,
            verdict: "served",
            cause: "answered",
        }
    }

    const fn rejected(
        id: &'static str,
        user: &'static str,
        function: &'static str,
        cause: &'static str,
    ) -> Self {
        SignedCase {
            id,
            user,
            function,
            verdict: "refused",
            cause,
        }
    }
}

const SIGNED_CASES: [SignedCase; 7] = [
    SignedCase::served("1", "Mai", "north-map"),
    SignedCase::rejected("2", "mai", "south-map", "other-tenant"),
    SignedCase::served("3", "lan", "south-map"),
    SignedCase::served("4", "lan", "holidays"),
    SignedCase::rejected("5", "lan", "unnamed", "other-tenant"),
    SignedCase::rejected("6", "nobody", "north-map", "no-tenant"),
    // A name with the syntax of a search filter is searched as an ordinary name, which no entry has.
    SignedCase::rejected("7", "*)(uid=*", "north-map", "no-tenant"),
];

async fn expect_answers_of_signed_calls(client: &mut QueueClient, tls: &str) {
    for case in &SIGNED_CASES {
        assert_eq!(
            answer_to(client, call(case.id, case.user, case.function)).await,
            verdict(case.verdict, case.cause),
            "{tls}, call {}",
            case.id
        );
    }
}

async fn expect_unproven_users_are_rejected(client: &mut QueueClient, tls: &str) {
    let mut spoofed = call("8", "mai", "north-map");
    spoofed.signed.as_mut().expect("signed").key = b"another key of some length".to_vec();
    assert_eq!(
        answer_to(client, spoofed).await,
        verdict("refused", "unreadable"),
        "{tls}"
    );
    let unsigned = Publish {
        signed: None,
        ..call("9", "", "north-map")
    };
    assert_eq!(answer_to(client, unsigned).await.1, "unreadable", "{tls}");
}

/// A broker that checks `user_id` guarantees that it is the user of the connection. A name in a header proves nothing.
#[tokio::test(flavor = "multi_thread")]
async fn user_id_of_the_broker_identifies_the_user() {
    let test_bed = TestBed::new("broker").await;
    let server = directory(
        &tree(&[("mai".into(), "north"), ("lan".into(), "south")]),
        false,
    )
    .await;
    let mut config = test_bed.config(&[&server], "tls \"none\"", LONG_IDENTITY_WAIT);
    config.amqp[0].queues[0].identity = pipithub_consumer::identity::Rule::Broker;
    let _gateway = Gateway::start(&config);
    let login = Login {
        user: "mai".into(),
        password: "m".into(),
        ..Login::default()
    };
    let mut client = QueueClient::start(&test_bed.broker.address().to_string(), login, "answers");
    let unsigned_call = |id: &str, user: Option<&str>, function: &str| Publish {
        signed: None,
        user_id: user.map(str::to_string),
        ..call(id, "", function)
    };
    assert_eq!(
        answer_to(&mut client, unsigned_call("1", Some("mai"), "north-map")).await,
        verdict("served", "answered")
    );
    assert_eq!(
        answer_to(&mut client, unsigned_call("2", Some("mai"), "south-map")).await,
        verdict("refused", "other-tenant")
    );
    assert_eq!(
        answer_to(&mut client, unsigned_call("3", None, "north-map")).await,
        verdict("refused", "unreadable")
    );
    // The broker accepts no message under another user's name and closes the channel. The client opens a new one.
    client
        .calls
        .send(unsigned_call("4", Some("lan"), "south-map"))
        .await
        .expect("the client runs");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
    loop {
        client
            .calls
            .send(unsigned_call("5", Some("mai"), "north-map"))
            .await
            .expect("the client runs");
        match tokio::time::timeout(Duration::from_millis(500), client.answers.recv()).await {
            Ok(Some(answer)) => {
                break assert_eq!(
                    (answer.id.as_str(), answer.verdict.as_str()),
                    ("5", "served")
                );
            }
            _ => assert!(tokio::time::Instant::now() < deadline, "no answer"),
        }
    }
    assert!(
        test_bed
            .received_calls()
            .iter()
            .all(|call| call.request != "4")
    );
}

/// A server whose certificate the settings do not trust is not searched, and its users are not admitted.
#[tokio::test(flavor = "multi_thread")]
async fn server_with_an_untrusted_certificate_is_not_searched() {
    let test_bed = TestBed::new("authority").await;
    let server = directory(&tree(&[("mai".into(), "north")]), true).await;
    let other = directory(&tree(&[("mai".into(), "south")]), true).await;
    let mut config = test_bed.config(&[&server], "tls \"ldaps\"", "");
    // The settings trust the authority of the first server, but have the address of the second one.
    config.tenants.as_mut().expect("tenants").directories[0].servers[0].address =
        other.address().to_string();
    let _gateway = Gateway::start(&config);
    let mut client = test_bed.client();
    assert_eq!(
        answer_to(&mut client, call("1", "mai", "north-map")).await,
        verdict("refused", "user-unknown")
    );
    assert_eq!((other.searches(), test_bed.received_calls().len()), (0, 0));
}
