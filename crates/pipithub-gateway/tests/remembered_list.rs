//! The remembered worker list is saved in spite of a disk that fails for a while.

use std::net::SocketAddr;
use std::time::Duration;

use pipithub_emulator::list::{ListServer, Listed};
use pipithub_emulator::recorder::Recorder;
use pipithub_gateway::Gateway;
use pipithub_settings::Config;

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + Duration::from_secs(60);
    while !holds() {
        assert!(tokio::time::Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn worker() -> Listed {
    Listed {
        ip: "127.0.0.1".into(),
        port: 1,
        uid: "the-worker".into(),
        zone: String::new(),
        state: "live".into(),
        memory_mb: 0.0,
        started_ms: 0,
    }
}

/// The folder is missing at first, so that every write fails; no further change of the list comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_could_not_be_saved_is_saved_once_the_disk_takes_it() {
    let list = ListServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), Recorder::none())
        .await
        .expect("a list");
    list.set(worker());
    let root = tempfile::tempdir().expect("a folder");
    let folder = root.path().join("data");
    let remembered = folder.join("list.json");
    let text = format!(
        "front-end \"fe\"\nclass \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n\
         cron \"tick\" {{ schedule \"0 0 1 1 *\"; class \"view\"; function \"f\" }}\n\
         workers {{ list \"http://{}\"; remember {:?} }}\n",
        list.address(),
        remembered.display().to_string()
    );
    let config = Config::parse("test", &text).unwrap_or_else(|f| panic!("{:?}", f.lines()));
    let gateway = Gateway::start(&config);
    until("the worker is known", || {
        gateway.snapshots()[0].ready_workers == 1
    })
    .await;
    assert!(!remembered.exists());
    std::fs::create_dir(&folder).expect("made");
    until("the list is saved", || remembered.exists()).await;
    let text = std::fs::read_to_string(&remembered).expect("readable");
    assert!(
        pipithub_endpoints::read_cached_list(&text, 1, 1).is_ok(),
        "whole: {text}"
    );
}
