//! What a worker is sent of a call's deadline.

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
async fn a_worker_is_sent_the_remaining_time_once() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let queues = vec![("calls".to_string(), FieldTable::new())];
    let settings = BrokerSettings {
        queues,
        recorder: Recorder::none(),
        ..BrokerSettings::default()
    };
    let broker = BrokerServer::start(any, settings).await.expect("a broker");
    let worker = TcpListener::bind(any).await.expect("a worker");
    let text = format!(
        "front-end \"fe\"\nclass \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n\
         amqp \"b\" {{ address \"{}\"; queue \"calls\" {{ prefetch 10; lanes 8 }} }}\n\
         workers {{ worker \"{}\" }}\n",
        broker.address(),
        worker.local_addr().expect("its address")
    );
    let config = Config::parse("test", &text).unwrap_or_else(|f| panic!("{:?}", f.lines()));
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
    client.calls.send(call).await.expect("running");
    loop {
        let (mut stream, _) = worker.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a whole request"));
        }
        let head = String::from_utf8(head).expect("text").to_lowercase();
        // Load polls and load commands have no deadline.
        if !head.starts_with("post /v2/models/f/infer ") {
            continue;
        }
        let timeouts: Vec<u64> = head
            .lines()
            .filter_map(|line| line.strip_prefix("pipithub-timeout-ms: "))
            .map(|value| value.parse().expect("a number"))
            .collect();
        assert!(
            matches!(timeouts[..], [left] if (1..=CLIENT_TIMEOUT_MS).contains(&left)),
            "{timeouts:?}"
        );
        return;
    }
}
