//! The settings of a scenario: drawn at random, and formatted as the text that is sent when a front end is attached.

use std::fmt::Write;

use super::{MILLISECOND, SECOND};
use crate::random::Random;

/// The names of the zones.
pub(super) const ZONES: [&str; 3] = ["east", "west", "north"];
/// The names of the machine kinds.
pub(super) const MACHINE_KINDS: [&str; 2] = ["std-2c", "slow-2c"];
/// The memory of the machine kinds, in MB.
const MEMORY: [u64; 2] = [4_096, 8_192];

/// A class of requests.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) name: String,
    idempotency: &'static str,
    deduplication_scope: &'static str,
    latency_objective: u64,
    pub(super) deadline: u64,
    pub(super) stream: bool,
}

/// The settings of a front end. Fields that are used only in their text are private.
#[derive(Debug)]
pub(super) struct Settings {
    pub(super) classes: Vec<Class>,
    pub(super) granularity: u64,
    pub(super) max_attempts: usize,
    pub(super) connect_timeout: u64,
    pub(super) load_command_timeout: u64,
    pub(super) loads_on_request: bool,
    pub(super) reports_cold_starts: bool,
    pub(super) reports_concurrency: bool,
    pub(super) load_reports: &'static str,
    pub(super) watch_on_request: bool,
    front_ends: u64,
    cancel: bool,
    load_polls: bool,
    retry_after: bool,
    load_commands: bool,
    keep_alive: u64,
    load_limit_window: u64,
    slow_start_window: u64,
    zone: &'static str,
}

impl Settings {
    pub(super) fn draw(random: &mut Random) -> Self {
        let classes = (0..random.between(1, 3))
            .map(|number| Class::draw(random, number))
            .collect();
        Settings {
            classes,
            granularity: random.pick(&[MILLISECOND, 2 * MILLISECOND, 5 * MILLISECOND]),
            max_attempts: random.between(2, 5) as usize,
            connect_timeout: random.pick(&[100 * MILLISECOND, 250 * MILLISECOND]),
            load_command_timeout: random.pick(&[SECOND, 4 * SECOND]),
            loads_on_request: random.per_mille(400),
            reports_cold_starts: random.per_mille(600),
            reports_concurrency: random.per_mille(600),
            load_reports: random.pick(&["answers", "answers", "probe", "none"]),
            watch_on_request: random.per_mille(300),
            front_ends: random.pick(&[1, 2, 6, 40, 200]),
            cancel: random.per_mille(750),
            load_polls: random.per_mille(800),
            retry_after: random.per_mille(700),
            load_commands: random.per_mille(900),
            keep_alive: random.pick(&[SECOND, 2 * SECOND, 8 * SECOND]),
            load_limit_window: random.pick(&[0, 0, 2 * SECOND]),
            slow_start_window: random.pick(&[2 * SECOND, 10 * SECOND]),
            zone: random.pick(&ZONES),
        }
    }

    /// The text of the settings for the front end with this number. It is formatted by hand, so that no
    /// library can change the order of its keys.
    pub(super) fn text(&self, number: u64) -> String {
        let classes: Vec<String> = self.classes.iter().map(Class::text).collect();
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{{\"Granularity\":{},\"PeersTotal\":{},\"Me\":{number},\"Zone\":\"{}\",\"Grades\":[{}],",
            self.granularity,
            self.front_ends,
            self.zone,
            classes.join(",")
        );
        let _ = write!(
            text,
            "\"RegistryMode\":\"{}\",\"Models\":[\"{}\",\"{}\"],\"Report\":{{\"How\":\"{}\"}},",
            if self.watch_on_request {
                "on_request"
            } else {
                "pushed"
            },
            MACHINE_KINDS[0],
            MACHINE_KINDS[1],
            self.load_reports
        );
        let _ = write!(
            text,
            "\"FamilyInfo\":{{\"KindMemoryMb\":[{}.0,{}.0],\"Orders\":{},\"WhenAbsent\":\"{}\",\"StaysLoaded\":{},\
             \"MarksCold\":{},\"CountsAlike\":{},\"OrderTimeout\":{},\"LoadSpan\":{},\"LoadsAnyway\":4.0,\
             \"LoadsPerRequest\":0.2}},",
            MEMORY[0],
            MEMORY[1],
            self.load_commands,
            if self.loads_on_request {
                "load"
            } else {
                "miss"
            },
            self.keep_alive,
            self.reports_cold_starts,
            self.reports_concurrency,
            self.load_command_timeout,
            self.load_limit_window
        );
        let _ = write!(
            text,
            "\"Limits\":{{\"MostTries\":{},\"MayCancel\":{},\"Probes\":{},\"RetryAfter\":{},\
             \"MaxRetryAfter\":500000000,\"ConnectTimeout\":{},\"OpenCap\":20000,\"StreamsPerConn\":32}},",
            self.max_attempts, self.cancel, self.load_polls, self.retry_after, self.connect_timeout
        );
        let _ = write!(
            text,
            "\"Prices\":{{\"Probe\":0.01}},\"Rules\":{{\"AnswerSlack\":8000000,\"ColdFrom\":0.16,\
             \"DrainGrace\":1000000000,\"FallMultiple\":3.0,\"OverloadFor\":2000000000,\"RampTime\":{}}}}}",
            self.slow_start_window
        );
        text
    }
}

impl Class {
    fn draw(random: &mut Random, number: u64) -> Self {
        let deadline = random.pick(&[800 * MILLISECOND, 2 * SECOND, 5 * SECOND]);
        Class {
            name: format!("class-{number}"),
            idempotency: random.pick(&[
                "read_like",
                "read_like",
                "idempotency_key",
                "non_idempotent",
            ]),
            deduplication_scope: random.pick(&["all", "zone", "cell"]),
            latency_objective: deadline / random.between(2, 5),
            deadline,
            stream: random.per_mille(200),
        }
    }

    fn text(&self) -> String {
        format!(
            "{{\"Name\":\"{}\",\"Effect\":\"{}\",\"Group\":\"{}\",\"Aim\":{},\"GiveUp\":{},\"Stream\":{},\
             \"DedupWindow\":3000000000,\"LateWorth\":0.3,\"Worth\":2.0}}",
            self.name,
            self.idempotency,
            self.deduplication_scope,
            self.latency_objective,
            self.deadline,
            self.stream
        )
    }
}
