//! Tests of the time limit that a worker receives with a call.

use std::net::SocketAddr;

use pipithub_amqp::{FieldTable, Login};
use pipithub_emulator::broker::{BrokerServer, BrokerSettings};
use pipithub_emulator::recorder::Recorder;
use pipithub_gateway::Gateway;
use pipithub_scenario::client::{Publish, QueueClient};
use pipithub_settings::Config;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const CLIENT_TIMEOUT_MS: u64 = 20_000;

#[tokio::test(flavor = "multi_thread")]
async fn request_to_worker_has_one_header_with_the_remaining_time() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let queues = vec![("calls".to_string(), FieldTable::new())];
    let settings = BrokerSettings {
        queues,
        recorder: Recorder::none(),
        ..BrokerSettings::default()
    };
    let broker = BrokerServer::start(loopback, settings)
        .await
        .expect("a broker");
    let worker = TcpListener::bind(loopback).await.expect("a worker");
    let text = format!(
        "front-end \"fe\"\nclass \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n\
         amqp \"b\" {{ address \"{}\"; queue \"calls\" {{ prefetch 10; lanes 8 }} }}\n\
         workers {{ worker \"{}\" }}\n",
        broker.address(),
        worker.local_addr().expect("an address")
    );
    let config =
        Config::parse("test", &text).unwrap_or_else(|faults| panic!("{:?}", faults.lines()));
    let _gateway = Gateway::start(&config);
    let client = QueueClient::start(&broker.address().to_string(), Login::default(), "answers");
    let call = Publish {
        id: "one".into(),
        queue: "calls".into(),
        class: "view".into(),
        function: "f".into(),
        body: b"x".to_vec(),
        ..Publish::default()
    };
    client.calls.send(call).await.expect("the client runs");
    let head = infer_request_head(&worker).await;
    let timeouts: Vec<u64> = head
        .lines()
        .filter_map(|line| line.strip_prefix("pipithub-timeout-ms: "))
        .map(|value| value.parse().expect("a number"))
        .collect();
    assert!(
        matches!(timeouts[..], [remaining] if (1..=CLIENT_TIMEOUT_MS).contains(&remaining)),
        "{timeouts:?}"
    );
}

/// The head of the first request that runs a function. Load polls and load commands, which have no deadline, are skipped.
async fn infer_request_head(worker: &TcpListener) -> String {
    loop {
        let (mut stream, _) = worker.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a complete head"));
        }
        let head = String::from_utf8(head).expect("text").to_lowercase();
        if head.starts_with("post /v2/models/f/infer ") {
            return head;
        }
    }
}
