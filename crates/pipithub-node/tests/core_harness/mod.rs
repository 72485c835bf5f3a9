//! A front end without sockets. The test acts as its clients and workers, and advances the clock.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pipithub_engine::Time;
use pipithub_node::core::Core;
use pipithub_node::effect::{ConnectionId, Effect};
use pipithub_platform::config::NodeConfig;

pub(crate) const MS: Time = 1_000_000;
pub(crate) const START: Time = 1_000_000 * MS;

/// The line with which a worker serves call 7.
pub(crate) const SERVED: &[u8] = b"{\"cmd\":\"ACK\",\"ref\":\"0000000000000007\",\"opts\":{\"same\":\"2\",\"l\":\"inflight:1\"},\"payload\":\"d29ybGQ=\"}\n";

/// The line with which a client cancels call 7.
pub(crate) const CANCEL_CALL_7: &str = r#"{"jsonrpc":"2.0","method":"forget","params":{"id":7}}"#;

pub(crate) fn config() -> NodeConfig {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "Aim": 1_000_000_000u64, "GiveUp": 3_000_000_000u64,
            "LateWorth": 0.3, "Group": "all"})
    };
    let host = |id: &str, port: u16| {
        serde_json::json!({"host": id, "dial": format!("10.0.0.1:{port}"), "site": "a", "class": "big", "block": 0,
            "health": "SERVING", "share": 1, "born_ms": 0})
    };
    let all = serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "coordinator": "127.0.0.1:1",
        "limits": {"cores": 0.5, "memory_mb": 48, "sockets": 64},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": true,
            "hosts": [host("w1", 1), host("w2", 2)]}}]},
        "settings": {
            "PeersTotal": 1, "Granularity": 2_000_000, "Models": ["big"],
            "Grades": [class("view", "read_like"), class("assign", "non_idempotent")],
            "FamilyInfo": {"KindMemoryMb": [16000.0], "Orders": true, "WhenAbsent": "load",
                "StaysLoaded": 8_000_000_000u64, "CountsAlike": true, "OrderTimeout": 10_000_000_000u64},
            "Limits": {"MostTries": 4, "MayCancel": true, "Probes": true, "RetryAfter": true,
                "MaxRetryAfter": 500_000_000, "ConnectTimeout": 250_000_000, "IdleClose": 30_000_000_000u64,
                "StreamsPerConn": 32, "OpenCap": 20000},
            "Report": {"How": "answers"},
            "Rules": {"ColdFrom": 0.2, "RampTime": 5_000_000_000u64, "FallMultiple": 3.0, "OverloadFor": 2_000_000_000u64}
        }
    });
    NodeConfig::parse(&all.to_string()).expect("a valid configuration")
}

pub(crate) struct CoreHarness {
    pub core: Core,
    pub now: Time,
    /// What each client has sent without the shell having read it; it is read when the connection is to be closed.
    pub unread: BTreeMap<ConnectionId, Vec<u8>>,
}

impl CoreHarness {
    pub(crate) fn new() -> Self {
        CoreHarness::with_config(&config())
    }

    pub(crate) fn with_config(config: &NodeConfig) -> Self {
        CoreHarness {
            core: Core::new(START, config),
            now: START,
            unread: BTreeMap::new(),
        }
    }

    pub(crate) fn effects(&mut self) -> Vec<Effect> {
        self.core.take_effects()
    }

    pub(crate) fn connect_client(&mut self) -> ConnectionId {
        let connection = self.core.next_connection_id();
        self.core.client_connected(self.now, connection);
        connection
    }

    pub(crate) fn send_line(&mut self, connection: ConnectionId, line: &str) {
        self.core
            .client_bytes(self.now, connection, format!("{line}\n").as_bytes());
    }

    pub(crate) fn call(&mut self, connection: ConnectionId, id: u64, class: &str) {
        let line = format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"call":"{id:016x}","ttl":1500,"row":"00000000000000aa","props":"memory_mb:512;lanes:4","body":"aGVsbG8="}}}}"#
        );
        self.send_line(connection, &line);
    }

    /// Carries out all effects: establishes the requested connections and reads `unread` input of clients that are to
    /// be closed. Returns each written line with its connection, `closed` for each closed connection, and a note for
    /// each withdrawal of bytes.
    pub(crate) fn written(&mut self) -> Vec<(ConnectionId, String)> {
        let mut written = Vec::new();
        loop {
            let effects = self.effects();
            if effects.is_empty() {
                return written;
            }
            for effect in effects {
                match effect {
                    Effect::Connect { connection, .. } => {
                        self.core.worker_connected(self.now, connection);
                    }
                    Effect::Write { connection, bytes } => {
                        written.push((
                            connection,
                            String::from_utf8(bytes.to_vec()).expect("UTF-8"),
                        ));
                    }
                    Effect::Close { connection } => {
                        written.push((connection, "closed".to_string()));
                    }
                    Effect::CloseIfIdle { connection } => {
                        if let Some(unread) = self.unread.remove(&connection) {
                            self.core.client_bytes(self.now, connection, &unread);
                        }
                        self.core.close_client_if_idle(self.now, connection);
                    }
                    Effect::CancelWrite {
                        connection,
                        offset,
                        length,
                    } => {
                        written.push((connection, format!("withdrawn {offset}+{length}")));
                    }
                }
            }
        }
    }

    pub(crate) fn advance(&mut self, time: Time) {
        let until = self.now + time;
        while self.core.next_due() <= until {
            self.now = self.now.max(self.core.next_due());
            self.core.tick(self.now);
        }
        self.now = until;
    }

    /// Connects a client that sends call 7; returns the client's connection, and the one on which a worker was asked to
    /// run the call.
    pub(crate) fn start_call(&mut self, class: &str) -> (ConnectionId, ConnectionId) {
        let client = self.connect_client();
        self.call(client, 7, class);
        let written = self.written();
        let (worker, line) = written.last().expect("a written line");
        assert!(
            line.starts_with(r#"{"cmd":"DO","ref":"0000000000000007","opts":{"sort":""#),
            "{line}"
        );
        assert!(
            line.contains(r#""asset":"00000000000000aa""#)
                && line.contains(r#""payload":"aGVsbG8=""#)
        );
        (client, *worker)
    }
}
