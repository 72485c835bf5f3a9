//! What is played: processes, load, and the steps with their times.

use std::time::Duration;

/// How discovery is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Streams end, and connections are refused.
    Refused,
    /// Connections are accepted and requests never answered; open streams fall silent.
    Unanswered,
    /// Requests get the head of a response and nothing more; open streams fall silent.
    HeadOnly,
    /// Streams stop in the middle of an event and stay open.
    HalfEvent,
}

impl OutageKind {
    /// All kinds, in the order of reports.
    pub const ALL: [OutageKind; 4] = [
        OutageKind::Refused,
        OutageKind::Unanswered,
        OutageKind::HeadOnly,
        OutageKind::HalfEvent,
    ];

    /// After which time a change of the list counts as notified although discovery is out of reach: the platform counts 2 s
    /// from a break and 4 s from the moment at which a stream that stays open has stopped.
    pub fn notification_delay(self) -> Duration {
        match self {
            OutageKind::Refused => Duration::from_secs(2),
            OutageKind::Unanswered | OutageKind::HeadOnly | OutageKind::HalfEvent => {
                Duration::from_secs(4)
            }
        }
    }
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It may be sent work.
    Serving,
    /// It finishes its work and must get no new one.
    Draining,
    /// It was removed and must get no new work.
    Deleted,
}

/// One step of a plan. Workers and front ends are named by their indexes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Discovery gets out of reach for these front ends.
    BeginOutage {
        /// The indexes of the front ends that lose it.
        nodes: Vec<usize>,
        /// How it gets out of reach.
        kind: OutageKind,
    },
    /// Discovery is in reach again for these front ends.
    EndOutage {
        /// The indexes of the front ends that reach it.
        nodes: Vec<usize>,
    },
    /// Workers begin to drain: they finish what they have and go on to serve for a moment, then turn calls away.
    Drain(Vec<usize>),
    /// Workers that drain are in service again.
    Undrain(Vec<usize>),
    /// Worker processes end: their connections are reset, new ones refused; the list names them as gone.
    End(Vec<usize>),
    /// New worker processes start at the same addresses, without any function loaded.
    Start(Vec<usize>),
    /// Workers stop to read and to answer; their connections stay open.
    Hang(Vec<usize>),
    /// Workers that hang go on.
    Resume(Vec<usize>),
    /// All connections to these workers are reset.
    Reset(Vec<usize>),
    /// Front ends get a configuration that names another address of discovery, and SIGHUP.
    MigrateDiscovery {
        /// The indexes of the front ends that get it.
        nodes: Vec<usize>,
        /// Whether discovery can be reached at the new address.
        reachable: bool,
    },
    /// Front ends get SIGTERM, are killed at the earliest time that the platform allows, and start again.
    Restart(Vec<usize>),
    /// Front ends are killed without notice, and start again.
    Kill(Vec<usize>),
    /// The load is multiplied by this factor, in percent.
    ScaleLoad(u32),
}

/// A step and its time from the begin of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// The time at which it is executed.
    pub at: Duration,
    /// The step itself.
    pub step: Step,
}

/// The load of each front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// How many calls its clients send each second.
    pub calls: u32,
    /// How many functions the calls are spread over.
    pub functions: usize,
}

/// The figures of the rules, which the front ends' settings hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long after the notification of a drain new work may still be sent.
    pub drain_grace: Duration,
    /// How long clients wait.
    pub client_timeout: Duration,
    /// How long a worker warms up after its start.
    pub slow_start: Duration,
}

/// All that determines a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed of the load and of all random choices.
    pub seed: u64,
    /// How many front ends there are.
    pub nodes: usize,
    /// How many workers there are.
    pub workers: usize,
    /// The load of each front end.
    pub rates: Rates,
    /// The figures of the rules in this run.
    pub settings: Settings,
    /// How long the load lasts.
    pub duration: Duration,
    /// The steps, by time.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// The same plan with discovery in reach all the time: what the share served is compared with.
    #[must_use]
    pub fn without_outage(&self) -> Plan {
        let mut plan = self.clone();
        plan.steps.retain(|timed| {
            !matches!(
                timed.step,
                Step::BeginOutage { .. } | Step::EndOutage { .. } | Step::MigrateDiscovery { .. }
            )
        });
        plan
    }
}
