//! The configuration of the node in a scenario, and the events of its endpoint list.

use std::fmt::Write;

use super::{MILLISECOND, SECOND};
use crate::random::Random;

const ZONES: [&str; 2] = ["east", "west"];
const MACHINE_KINDS: [&str; 2] = ["std", "big"];

/// A class of calls.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) has_idempotency_key: bool,
    /// The maximum time that a client waits, in milliseconds.
    pub(super) time_to_live: u64,
    idempotency: &'static str,
}

/// The configuration of the node. Fields that are used only in its text are private.
#[derive(Debug)]
pub(super) struct Configuration {
    pub(super) classes: Vec<Class>,
    seed: u64,
    max_sockets: u64,
    front_ends: u64,
    loads_on_request: bool,
    load_commands: bool,
    cancel: bool,
    load_polls: bool,
    retry_after: bool,
    reports_concurrency: bool,
    keep_alive: u64,
    idle_timeout: u64,
    streams_per_connection: u64,
}

/// A worker as described in the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct ListedWorker {
    pub(super) id: String,
    pub(super) address: String,
    pub(super) health: &'static str,
    pub(super) started: u64,
    zone: &'static str,
    kind: &'static str,
    cell: u64,
}

impl ListedWorker {
    pub(super) fn draw(random: &mut Random, number: u64) -> Self {
        ListedWorker {
            id: format!("s-{number:04x}"),
            address: format!("10.0.{}.{}:8080", number / 256, number % 256),
            health: "SERVING",
            started: 0,
            zone: random.pick(&ZONES),
            kind: random.pick(&MACHINE_KINDS),
            cell: random.between(0, 2),
        }
    }

    fn text(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{}\",\"block\":{},\"health\":\"{}\",\
             \"share\":2,\"born_ms\":{}}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.health, self.started
        )
    }
}

/// An event of the endpoint list.
pub(super) fn endpoint_event<'a>(
    index: u64,
    is_snapshot: bool,
    workers: impl Iterator<Item = &'a ListedWorker>,
) -> String {
    let workers: Vec<String> = workers.map(ListedWorker::text).collect();
    format!(
        "{{\"index\":{index},\"endpoints\":{{\"seq\":{index},\"whole\":{is_snapshot},\"hosts\":[{}]}}}}",
        workers.join(",")
    )
}

impl Configuration {
    pub(super) fn draw(random: &mut Random) -> Self {
        Configuration {
            classes: (0..random.between(1, 3))
                .map(|number| Class::draw(random, number))
                .collect(),
            seed: random.number(),
            max_sockets: random.pick(&[34, 40, 64, 256]),
            front_ends: random.pick(&[1, 2, 6, 40]),
            loads_on_request: random.per_mille(400),
            load_commands: random.per_mille(900),
            cancel: random.per_mille(750),
            load_polls: random.per_mille(800),
            retry_after: random.per_mille(700),
            reports_concurrency: random.per_mille(600),
            keep_alive: random.pick(&[SECOND, 2 * SECOND, 3 * SECOND, 8 * SECOND]),
            idle_timeout: random.pick(&[0, 2 * SECOND, 30 * SECOND]),
            streams_per_connection: random.pick(&[1, 4, 32]),
        }
    }

    /// The text of the configuration, with the endpoint list events that are known at the start. It is formatted by
    /// hand, so that no library can change the order of its keys.
    pub(super) fn text(&self, known: &[String]) -> String {
        let classes: Vec<String> = self.classes.iter().map(Class::text).collect();
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{{\"name\":\"node-1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"{:016x}\",\"coordinator\":\"127.0.0.1:1\",\
             \"limits\":{{\"cores\":0.5,\"memory_mb\":48,\"sockets\":{}}},\
             \"known\":{{\"index\":{},\"updates\":[{}]}},",
            self.seed,
            self.max_sockets,
            known.len(),
            known.join(",")
        );
        let _ = write!(
            text,
            "\"settings\":{{\"PeersTotal\":{},\"Granularity\":2000000,\"Zone\":\"{}\",\"Models\":[\"{}\",\"{}\"],\
             \"Grades\":[{}],\"Report\":{{\"How\":\"answers\"}},\"Prices\":{{\"Probe\":0.01}},",
            self.front_ends,
            ZONES[0],
            MACHINE_KINDS[0],
            MACHINE_KINDS[1],
            classes.join(",")
        );
        let _ = write!(
            text,
            "\"FamilyInfo\":{{\"KindMemoryMb\":[4096.0,8192.0],\"Orders\":{},\"WhenAbsent\":\"{}\",\
             \"StaysLoaded\":{},\"CountsAlike\":{},\"OrderTimeout\":2000000000}},",
            self.load_commands,
            if self.loads_on_request {
                "load"
            } else {
                "miss"
            },
            self.keep_alive,
            self.reports_concurrency
        );
        let _ = write!(
            text,
            "\"Limits\":{{\"MostTries\":4,\"MayCancel\":{},\"Probes\":{},\"RetryAfter\":{},\
             \"MaxRetryAfter\":500000000,\"ConnectTimeout\":250000000,\"IdleClose\":{},\"StreamsPerConn\":{},\
             \"OpenCap\":20000}},",
            self.cancel,
            self.load_polls,
            self.retry_after,
            self.idle_timeout,
            self.streams_per_connection
        );
        text.push_str(
            "\"Rules\":{\"ColdFrom\":0.2,\"RampTime\":5000000000,\"FallMultiple\":3.0,\"OverloadFor\":2000000000}}}",
        );
        text
    }
}

impl Class {
    fn draw(random: &mut Random, number: u64) -> Self {
        let idempotency = random.pick(&[
            "read_like",
            "read_like",
            "idempotency_key",
            "non_idempotent",
        ]);
        Class {
            name: format!("class-{number}"),
            has_idempotency_key: idempotency == "idempotency_key",
            time_to_live: random.pick(&[800, 1_500, 3_000]),
            idempotency,
        }
    }

    fn text(&self) -> String {
        let deadline = self.time_to_live * MILLISECOND;
        format!(
            "{{\"Name\":\"{}\",\"Effect\":\"{}\",\"Aim\":{},\"GiveUp\":{deadline},\"LateWorth\":0.3,\
             \"Group\":\"all\",\"DedupWindow\":3000000000}}",
            self.name,
            self.idempotency,
            deadline / 3
        )
    }
}
