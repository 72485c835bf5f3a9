//! Tests of the endpoint list that is cached for a restart.

use std::net::SocketAddr;
use std::time::Duration;

use pipithub_emulator::list::{ListServer, ListedWorker};
use pipithub_emulator::recorder::Recorder;
use pipithub_gateway::Gateway;
use pipithub_settings::Config;

async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "never happened: {description}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn worker() -> ListedWorker {
    ListedWorker {
        ip: "127.0.0.1".into(),
        port: 1,
        uid: "the-worker".into(),
        zone: String::new(),
        state: "live".into(),
        memory_mb: 0.0,
        started_ms: 0,
    }
}

/// The folder does not exist at first, so that every write fails. The list does not change after that, so that it is only
/// saved by a retry.
#[tokio::test(flavor = "multi_thread")]
async fn failed_save_of_the_endpoint_list_is_retried_until_it_succeeds() {
    let list = ListServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), Recorder::none())
        .await
        .expect("a list");
    list.set(worker());
    let root = tempfile::tempdir().expect("a folder");
    let folder = root.path().join("data");
    let file = folder.join("list.json");
    let text = format!(
        "front-end \"fe\"\nclass \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n\
         cron \"tick\" {{ schedule \"0 0 1 1 *\"; class \"view\"; function \"f\" }}\n\
         workers {{ list \"http://{}\"; remember {:?} }}\n",
        list.address(),
        file.display().to_string()
    );
    let config =
        Config::parse("test", &text).unwrap_or_else(|faults| panic!("{:?}", faults.lines()));
    let gateway = Gateway::start(&config);
    wait_until("the worker is known", || {
        gateway.snapshots()[0].ready_workers == 1
    })
    .await;
    assert!(!file.exists());
    std::fs::create_dir(&folder).expect("a folder");
    wait_until("the list is saved", || file.exists()).await;
    let text = std::fs::read_to_string(&file).expect("a readable file");
    assert!(
        pipithub_endpoints::read_cached_list(&text, 1, 1).is_ok(),
        "incomplete: {text}"
    );
}
