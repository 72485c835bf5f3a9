//! Tests of the idempotency keys that workers see.

use std::sync::Arc;
use std::time::Duration;

use pipithub_clock::wall_ms;
use pipithub_emulator::directory::DirectoryServer;
use pipithub_gateway::Gateway;
use pipithub_scenario::client::Publish;
use pipithub_settings::Config;

use crate::rig::{LONG_IDENTITY_WAIT, TestBed, answer, answer_to, call, directory, tree, verdict};

const DAY_MS: u64 = 86_400_000;
/// How often the worker's record is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const KEYED_CLASS: &str =
    "class \"change\" effect=\"keyed\" dedup-window=\"10s\" aim=\"2s\" give-up=\"4s\"";

/// The answers to two calls, and the keys that the worker saw.
struct KeyedCalls {
    answers: Vec<(String, String)>,
    keys: Vec<Option<String>>,
}

/// A broker, a worker and a directory with users of two tenants.
struct KeyTest {
    test_bed: TestBed,
    server: DirectoryServer,
}

impl KeyTest {
    async fn new(name: &str) -> Self {
        let users = [("mai".into(), "north"), ("lan".into(), "south")];
        KeyTest {
            test_bed: TestBed::new(name).await,
            server: directory(&tree(&users), false).await,
        }
    }

    /// The settings of a gateway that scopes keys since that time.
    fn config(&self, scoped_keys_since_ms: Option<u64>) -> Config {
        let settings = format!("{KEYED_CLASS}\n{LONG_IDENTITY_WAIT}");
        let mut config = self
            .test_bed
            .config(&[&self.server], "tls \"none\"", &settings);
        config.scoped_keys_since_ms = scoped_keys_since_ms;
        config
    }

    /// Starts a gateway that scopes keys since that time. It is killed when it is dropped.
    fn start_gateway(&self, scoped_keys_since_ms: Option<u64>) -> Gateway {
        Gateway::start(&self.config(scoped_keys_since_ms))
    }

    /// The keys of the calls that reached the worker.
    fn keys(&self) -> Vec<Option<String>> {
        let calls = self.test_bed.received_calls();
        calls.into_iter().map(|call| call.key).collect()
    }
}

fn keyed_call(user: &str, function: &str) -> Publish {
    Publish {
        class: "change".into(),
        ..call("1", user, function)
    }
}

/// Plays keyed calls of users of two tenants with one message id. Keys are scoped since that time.
async fn play_equal_ids(name: &str, scoped_keys_since_ms: Option<u64>) -> KeyedCalls {
    let test = KeyTest::new(name).await;
    let config = test.config(scoped_keys_since_ms);
    play_with(&test, &config).await
}

async fn play_with(test: &KeyTest, config: &Config) -> KeyedCalls {
    let _gateway = Gateway::start(config);
    let mut client = test.test_bed.client();
    let mut answers = Vec::new();
    for (user, function) in [("mai", "north-map"), ("lan", "south-map")] {
        answers.push(answer_to(&mut client, keyed_call(user, function)).await);
    }
    KeyedCalls {
        answers,
        keys: test.keys(),
    }
}

/// Guards against a call that is answered as served and never ran, because the worker took it for the repeat of another
/// tenant's call with the same key.
#[tokio::test(flavor = "multi_thread")]
async fn workers_see_different_keys_of_users_who_number_alike() {
    let calls = play_equal_ids("keys", None).await;
    assert_eq!(calls.answers, vec![verdict("served", "answered"); 2]);
    let expected = ["user:mai/1", "user:lan/1"].map(|key| Some(key.to_string()));
    assert_eq!(calls.keys, expected);
}

/// Guards against the same where the queue proves the users, and there are no tenants.
#[tokio::test(flavor = "multi_thread")]
async fn workers_see_different_keys_of_users_without_tenants() {
    let test = KeyTest::new("untenanted").await;
    let mut config = test.config(None);
    config.tenants = None;
    config.engine.owners = Arc::default();
    let calls = play_with(&test, &config).await;
    assert_eq!(calls.answers, vec![verdict("served", "answered"); 2]);
    let expected = ["user:mai/1", "user:lan/1"].map(|key| Some(key.to_string()));
    assert_eq!(calls.keys, expected);
}

/// Guards against a call that runs twice because an upgrade changes its key in the middle of its window.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_plain_before_the_change_and_no_keyed_call_runs_during_it() {
    let before = play_equal_ids("plain", Some(wall_ms() + DAY_MS)).await;
    assert_eq!(before.answers, vec![verdict("served", "answered"); 2]);
    assert_eq!(before.keys, vec![Some("1".to_string()); 2]);
    let during = play_equal_ids("changing", Some(wall_ms())).await;
    assert_eq!(during.answers, vec![verdict("refused", "keys-changing"); 2]);
    assert_eq!(during.keys, []);
    let after = play_equal_ids("changed", Some(wall_ms() - DAY_MS)).await;
    assert_eq!(after.answers, vec![verdict("served", "answered"); 2]);
    assert_eq!(after.keys[0].as_deref(), Some("user:mai/1"));
}

/// Guards against a call that runs twice because the front end that forwarded it with its plain key is killed, and another
/// one, which scopes keys, gets its message.
#[tokio::test(flavor = "multi_thread")]
async fn redelivered_call_that_may_have_run_by_its_plain_key_fails_during_the_change() {
    let test = KeyTest::new("redelivered").await;
    let plain = test.start_gateway(Some(wall_ms() + DAY_MS));
    let mut client = test.test_bed.client();
    let long_call = Publish {
        body: b"{\"parameters\":{\"work_ms\":60000}}".to_vec(),
        ..keyed_call("mai", "north-map")
    };
    client.calls.send(long_call).await.expect("the client runs");
    while test.keys().is_empty() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    drop(plain);
    let _changing = test.start_gateway(Some(wall_ms()));
    let answer = answer(&mut client).await;
    assert_eq!(
        (answer.verdict, answer.cause),
        verdict("failed", "may-have-run-before")
    );
    assert_eq!(test.keys(), [Some("1".to_string())]);
}
