//! SIGTERM to a front end whose worker hangs, while a client goes on asking. Alone in its process, which gets the signal.

mod socket_harness;

use std::process::Command;
use std::time::Duration;

use socket_harness::{Peer, call, config, event, listener, start};
use tokio::task::LocalSet;

#[tokio::test]
async fn a_client_that_asks_until_the_end_reads_every_answer_and_a_clean_end() {
    let test = async {
        let ((_worker, at), (_list, list_at)) = (listener().await, listener().await);
        let mut config = config(list_at, &[event(1, true, &[("w1", at, "SERVING")])]);
        for class in config["settings"]["Grades"]
            .as_array_mut()
            .expect("classes")
        {
            class["Aim"] = 25_000_000.into();
            class["GiveUp"] = 50_000_000.into();
        }
        let node = start(&config).await;
        let mut client = Peer::connect(node).await;
        let mut idle = Peer::connect(node).await;
        assert!(client.is_well(1).await && idle.is_well(1).await);
        let stop = Command::new("kill")
            .args(["-TERM", &std::process::id().to_string()])
            .status();
        assert!(stop.expect("sent").success());
        // Two calls for every answer to two: some are always on their way.
        let mut id = 2;
        loop {
            // In one piece, which the system does not part.
            let both = call(id, "assign", "") + &call(id + 1, "assign", "");
            client.say(&both.replace(":60000", ":50"));
            let mut answers = Vec::new();
            for _ in 0..2 {
                // A reset would end the test here.
                answers.extend(client.next().await.and_then(|answer| answer["id"].as_u64()));
            }
            answers.sort_unstable();
            if answers.is_empty() {
                // The two crossed the end of their connection.
                break;
            }
            assert_eq!(answers, [id, id + 1], "none without its answer");
            id += 2;
        }
        assert!(id > 4, "calls were answered after the stop");
        assert_eq!(idle.next().await, None, "a clean end");
    };
    LocalSet::new()
        .run_until(tokio::time::timeout(Duration::from_secs(60), test))
        .await
        .expect("it ends");
}
