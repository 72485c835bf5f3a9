//! Configurations, and waiting for what the coordinator and the front ends have.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier};
use pipithub_hollow_node::Hollow;
use pipithub_platform::config::NodeConfig;
use serde_json::{Value, json};

/// A front end of this coordinator.
pub(crate) fn config(coordinator: SocketAddr) -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "5eed", "coordinator": coordinator.to_string(),
        "limits": {"memory_mb": 128, "sockets": 64},
        "known": {"index": 0, "updates": []},
        "settings": {"PeersTotal": 1700, "Granularity": 2_000_000, "Zone": "zone-1", "Models": ["big"],
            "FamilyInfo": {"KindMemoryMb": [16384]},
            "Limits": {"MostTries": 4, "MayCancel": true, "StreamsPerConn": 1000},
            "Grades": [{"Name": "view", "Effect": "read_like", "Aim": 1_000_000_000u64, "GiveUp": 3_000_000_000u64}]}
    })
}

/// A coordinator whose comments come often, so that a busy machine does not let a stream look dead.
pub(crate) fn coordinator() -> Coordinator {
    let comments = Some(Duration::from_millis(200));
    Coordinator::start(Behaviour {
        comments,
        ..Behaviour::default()
    })
    .expect("listens")
}

/// A hollow front end of this coordinator.
pub(crate) fn hollow(coordinator: &Coordinator) -> Hollow {
    let config = NodeConfig::parse(&config(coordinator.address()).to_string()).expect("good");
    Hollow::start(&config, |_| {})
}

/// Waits until this holds; it fails after a time that no busy machine takes.
pub(crate) async fn until(mut holds: impl FnMut() -> bool) {
    let turns = async {
        while !holds() {
            // The coordinator has a thread of its own: there is nothing of it to be woken by.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), turns)
        .await
        .expect("it never came to hold");
}

/// Hands out every worker of this tier, and waits until the front end has it.
pub(crate) async fn whole(coordinator: &Coordinator, hollow: &Hollow, tier: &Tier) {
    let index = coordinator.publish(true, tier.hosts(), tier);
    until(|| hollow.last() == index).await;
}
