//! Starts coordinators and front ends, and waits for their state.

// Each test binary uses only some of the functions.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier};
use pipithub_hollow_node::HollowFrontEnd;
use pipithub_platform::config::NodeConfig;
use serde_json::{Value, json};

/// The configuration of a front end that follows this coordinator.
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

/// Starts a coordinator that sends a comment every 200 ms, so that front ends do not consider its stream dead on a busy
/// machine.
pub(crate) fn start_coordinator() -> Coordinator {
    let comments = Some(Duration::from_millis(200));
    Coordinator::start(Behaviour {
        comments,
        ..Behaviour::default()
    })
    .expect("the coordinator starts")
}

/// Starts a hollow front end that follows this coordinator.
pub(crate) fn start_hollow(coordinator: &Coordinator) -> HollowFrontEnd {
    let config = NodeConfig::parse(&config(coordinator.address()).to_string())
        .expect("the configuration is valid");
    HollowFrontEnd::start(&config, |_| {})
}

/// Waits until a condition holds; panics after a minute.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            // Polls, because the coordinator runs on its own thread and cannot wake this task.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), poll)
        .await
        .expect("the condition holds within a minute");
}

/// Publishes a complete list of this tier's workers, and waits until the front end has applied it.
pub(crate) async fn publish_all(
    coordinator: &Coordinator,
    front_end: &HollowFrontEnd,
    tier: &Tier,
) {
    let index = coordinator.publish(true, tier.hosts(), tier);
    wait_until(|| front_end.last_event() == index).await;
}
