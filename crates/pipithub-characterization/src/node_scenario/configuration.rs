//! The configuration of a scenario's node, and the events of its worker list.

use std::fmt::Write;

use super::{MILLISECOND, SECOND};
use crate::random::Random;

const ZONES: [&str; 2] = ["east", "west"];
const MACHINE_KINDS: [&str; 2] = ["std", "big"];

/// A class of calls.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) keyed: bool,
    /// The longest that a client waits, in milliseconds.
    pub(super) time_to_live: u64,
    effect: &'static str,
}

/// The configuration, as far as the world needs it, and the rest for the text.
#[derive(Debug)]
pub(super) struct Configuration {
    pub(super) classes: Vec<Class>,
    seed: u64,
    sockets: u64,
    front_ends: u64,
    requests_load: bool,
    orders: bool,
    may_cancel: bool,
    probes: bool,
    retry_after: bool,
    counts_alike: bool,
    stays_loaded: u64,
    idle_close: u64,
    streams: u64,
}

/// A worker as the list tells of it.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) id: String,
    pub(super) address: String,
    pub(super) health: &'static str,
    pub(super) started: u64,
    zone: &'static str,
    kind: &'static str,
    cell: u64,
}

impl Host {
    pub(super) fn draw(random: &mut Random, number: u64) -> Self {
        Host {
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

/// An event of the list.
pub(super) fn endpoint_event<'a>(index: u64, whole: bool, hosts: impl Iterator<Item = &'a Host>) -> String {
    let hosts: Vec<String> = hosts.map(Host::text).collect();
    format!(
        "{{\"index\":{index},\"endpoints\":{{\"seq\":{index},\"whole\":{whole},\"hosts\":[{}]}}}}",
        hosts.join(",")
    )
}

impl Configuration {
    pub(super) fn draw(random: &mut Random) -> Self {
        Configuration {
            classes: (0..random.between(1, 3)).map(|number| Class::draw(random, number)).collect(),
            seed: random.number(),
            sockets: random.pick(&[34, 40, 64, 256]),
            front_ends: random.pick(&[1, 2, 6, 40]),
            requests_load: random.per_mille(400),
            orders: random.per_mille(900),
            may_cancel: random.per_mille(750),
            probes: random.per_mille(800),
            retry_after: random.per_mille(700),
            counts_alike: random.per_mille(600),
            stays_loaded: random.pick(&[SECOND, 2 * SECOND, 3 * SECOND, 8 * SECOND]),
            idle_close: random.pick(&[0, 2 * SECOND, 30 * SECOND]),
            streams: random.pick(&[1, 4, 32]),
        }
    }

    /// The text with the events that are known at the start. Written by hand: the order of keys must not hang on a
    /// library.
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
            self.sockets,
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
            self.orders,
            if self.requests_load { "load" } else { "miss" },
            self.stays_loaded,
            self.counts_alike
        );
        let _ = write!(
            text,
            "\"Limits\":{{\"MostTries\":4,\"MayCancel\":{},\"Probes\":{},\"RetryAfter\":{},\
             \"MaxRetryAfter\":500000000,\"ConnectTimeout\":250000000,\"IdleClose\":{},\"StreamsPerConn\":{},\
             \"OpenCap\":20000}},",
            self.may_cancel, self.probes, self.retry_after, self.idle_close, self.streams
        );
        text.push_str(
            "\"Rules\":{\"ColdFrom\":0.2,\"RampTime\":5000000000,\"FallMultiple\":3.0,\"OverloadFor\":2000000000}}}",
        );
        text
    }
}

impl Class {
    fn draw(random: &mut Random, number: u64) -> Self {
        let effect = random.pick(&["read_like", "read_like", "idempotency_key", "non_idempotent"]);
        Class {
            name: format!("class-{number}"),
            keyed: effect == "idempotency_key",
            time_to_live: random.pick(&[800, 1_500, 3_000]),
            effect,
        }
    }

    fn text(&self) -> String {
        let deadline = self.time_to_live * MILLISECOND;
        format!(
            "{{\"Name\":\"{}\",\"Effect\":\"{}\",\"Aim\":{},\"GiveUp\":{deadline},\"LateWorth\":0.3,\
             \"Group\":\"all\",\"DedupWindow\":3000000000}}",
            self.name,
            self.effect,
            deadline / 3
        )
    }
}
