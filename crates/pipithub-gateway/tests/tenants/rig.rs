//! The test bed: a broker, a worker and directory servers on loopback, and a client.

use std::net::SocketAddr;
use std::time::Duration;

use pipithub_amqp::{FieldTable, Login};
use pipithub_conformance::record::Seen;
use pipithub_emulator::broker::{BrokerServer, BrokerSettings};
use pipithub_emulator::credentials::Credentials;
use pipithub_emulator::directory::{DirectoryServer, DirectorySettings};
use pipithub_emulator::recorder::Recorder;
use pipithub_emulator::worker::{WorkerServer, WorkerSettings};
use pipithub_scenario::client::{Answer, Publish, QueueClient, Signed};
use pipithub_settings::Config;

const KEY: &[u8] = b"a key of sixteen bytes and more";

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn tree(users: &[(String, &str)]) -> String {
    let mut text = String::from("dn: dc=example\nobjectClass: domain\n\n");
    for ou in ["north", "south"] {
        text += &format!("dn: ou={ou},dc=example\nobjectClass: organizationalUnit\n\n");
    }
    for (user, ou) in users {
        text += &format!("dn: uid={user},ou={ou},dc=example\nobjectClass: person\nuid: {user}\n\n");
    }
    text
}

pub(crate) async fn directory(tree: &str, ldaps: bool) -> DirectoryServer {
    let login = Some(Credentials::new("cn=gateway,dc=example", "secret"));
    let settings = DirectorySettings {
        tree: tree.into(),
        base: None,
        login,
        ldaps,
    };
    DirectoryServer::start(loopback(), settings)
        .await
        .expect("a directory")
}

/// Settings by which calls wait for the look-up of their user for as long as it may take on a busy machine. By default
/// they would be rejected after 40 ms, but these tests check the result of the look-up, not its duration.
pub(crate) const LONG_IDENTITY_WAIT: &str = "admission { identity-wait \"3s\" }";

/// A call that reached the worker.
pub(crate) struct ReceivedCall {
    /// When the worker received the call, in Unix nanoseconds.
    pub(crate) at_ns: u64,
    pub(crate) request: String,
    pub(crate) function: String,
    /// The idempotency key that the worker sees.
    pub(crate) key: Option<String>,
}

/// A broker and a worker, and a folder for files.
pub(crate) struct TestBed {
    pub(crate) broker: BrokerServer,
    worker_server: WorkerServer,
    worker_recorder: Recorder,
    pub(crate) folder: std::path::PathBuf,
}

impl TestBed {
    pub(crate) async fn new(name: &str) -> TestBed {
        let queues = vec![("calls".to_string(), FieldTable::new())];
        let settings = BrokerSettings {
            queues,
            recorder: Recorder::memory(),
            logins: vec![Credentials::new("mai", "m")],
            ..BrokerSettings::default()
        };
        let broker = BrokerServer::start(loopback(), settings)
            .await
            .expect("a broker");
        let worker_recorder = Recorder::memory();
        let settings = WorkerSettings {
            cores: 8.0,
            run: 5_000_000,
            load: 1_000_000,
            initial_weight: 1.0,
            ..WorkerSettings::default()
        };
        let worker = WorkerServer::start(loopback(), settings, None, worker_recorder.clone())
            .await
            .expect("a worker");
        let folder =
            std::env::temp_dir().join(format!("pipithub-tenants-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TestBed {
            broker,
            worker_server: worker,
            worker_recorder,
            folder,
        }
    }

    pub(crate) fn config(
        &self,
        servers: &[&DirectoryServer],
        directory: &str,
        more: &str,
    ) -> Config {
        let ca = self.folder.join("ca.pem");
        std::fs::write(&ca, servers.iter().map(|s| s.ca()).collect::<String>())
            .expect("a writable file");
        let servers: String = servers
            .iter()
            .map(|s| format!("server \"{}\"; ", s.address()))
            .collect();
        let text = format!(
            "front-end \"fe\"\n\
             class \"view\" effect=\"safe\" aim=\"2s\" give-up=\"4s\"\n\
             signatures {{ key \"desk\" text=\"{key}\"; max-age \"60s\" }}\n\
             directory \"campus\" {{ {servers} ca \"{ca}\"; bind as=\"cn=gateway,dc=example\" text=\"secret\"; \
             base \"dc=example\"; filter \"(objectClass=person)\"; {directory} }}\n\
             tenant \"north\" {{ directory \"campus\" base=\"ou=north,dc=example\"; function \"north-*\" }}\n\
             tenant \"south\" {{ directory \"campus\" base=\"ou=south,dc=example\"; function \"south-*\" }}\n\
             shared-function \"holidays\"\n\
             amqp \"b\" {{ address \"{broker}\"; retry-first \"10ms\"; retry-most \"50ms\"; heartbeat 1; \
             queue \"calls\" {{ prefetch 300; lanes 8; identity \"signed\" }} }}\n\
             workers {{ worker \"{worker}\" }}\n{more}\n",
            ca = ca.display(),
            key = String::from_utf8_lossy(KEY),
            broker = self.broker.address(),
            worker = self.worker_server.address(),
        );
        Config::parse("test", &text).unwrap_or_else(|f| panic!("{:?}", f.lines()))
    }

    pub(crate) fn client(&self) -> QueueClient {
        QueueClient::start(
            &self.broker.address().to_string(),
            Login::default(),
            "answers",
        )
    }

    /// The calls that reached the worker.
    pub(crate) fn received_calls(&self) -> Vec<ReceivedCall> {
        let call = |r: pipithub_conformance::record::Record| match r.seen {
            Seen::Call {
                request,
                function,
                key,
                ..
            } => Some(ReceivedCall {
                at_ns: r.time_ns,
                request,
                function,
                key,
            }),
            _ => None,
        };
        self.worker_recorder
            .records()
            .into_iter()
            .filter_map(call)
            .collect()
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn call(id: &str, user: &str, function: &str) -> Publish {
    Publish {
        id: id.into(),
        queue: "calls".into(),
        class: "view".into(),
        function: function.into(),
        body: b"{\"inputs\":[]}".to_vec(),
        signed: Some(Signed {
            user: user.into(),
            key_id: "desk".into(),
            key: KEY.to_vec(),
        }),
        ..Publish::default()
    }
}

/// The next answer.
pub(crate) async fn answer(client: &mut QueueClient) -> Answer {
    let answer = tokio::time::timeout(Duration::from_secs(60), client.answers.recv()).await;
    answer.expect("an answer in time").expect("the client runs")
}

/// Sends a call and returns the verdict and the cause of its answer.
pub(crate) async fn answer_to(client: &mut QueueClient, call: Publish) -> (String, String) {
    client.calls.send(call).await.expect("the client runs");
    let answer = answer(client).await;
    (answer.verdict, answer.cause)
}

pub(crate) fn verdict(verdict: &str, cause: &str) -> (String, String) {
    (verdict.into(), cause.into())
}
