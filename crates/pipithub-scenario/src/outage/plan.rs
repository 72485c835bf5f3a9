//! The plan of a run: its processes, its load, and the steps with their times.

use std::time::Duration;

/// How discovery is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Streams end, and connections are refused.
    Refused,
    /// Connections are accepted and requests never answered; nothing more is sent on open streams.
    Unanswered,
    /// Requests get the head of a response and nothing more; nothing more is sent on open streams.
    HeadOnly,
    /// Streams stop in the middle of an event and stay open.
    HalfEvent,
    /// Streams end in the middle of an event; later requests get the head of a response and nothing more.
    BrokenEvent,
    /// Streams end in the middle of an event; later requests are never answered.
    BrokenEventUnanswered,
}

impl OutageKind {
    /// All kinds, in the order of reports.
    pub const ALL: [OutageKind; 6] = [
        OutageKind::Refused,
        OutageKind::Unanswered,
        OutageKind::HeadOnly,
        OutageKind::HalfEvent,
        OutageKind::BrokenEvent,
        OutageKind::BrokenEventUnanswered,
    ];

    /// How long after the begin of an outage front ends count as notified of a change of the list at the latest, although
    /// discovery is out of reach: the platform counts 2 s from the end of a stream, and 4 s if the stream stays open and
    /// nothing more is sent on it. A request for the list notifies them sooner.
    pub fn notification_delay(self) -> Duration {
        match self {
            OutageKind::Refused | OutageKind::BrokenEvent | OutageKind::BrokenEventUnanswered => {
                Duration::from_secs(2)
            }
            OutageKind::Unanswered | OutageKind::HeadOnly | OutageKind::HalfEvent => {
                Duration::from_secs(4)
            }
        }
    }
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker may be sent work.
    Serving,
    /// The worker finishes its work and must get no new work.
    Draining,
    /// The worker was removed and must get no new work.
    Deleted,
}

/// One step of a plan. Workers and front ends are given by their indexes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Discovery gets out of reach for these front ends.
    BeginOutage {
        /// The indexes of the front ends that lose discovery.
        nodes: Vec<usize>,
        /// How discovery gets out of reach.
        kind: OutageKind,
    },
    /// Discovery is in reach again for these front ends.
    EndOutage {
        /// The indexes of the front ends that reach discovery again.
        nodes: Vec<usize>,
    },
    /// Workers begin to drain: they finish the calls that they have, serve new ones for up to 0.9 s, and then reject them.
    Drain(Vec<usize>),
    /// Workers that drain are in service again.
    Undrain(Vec<usize>),
    /// Worker processes end: their connections are reset, new ones are refused, and the list gives them as deleted.
    End(Vec<usize>),
    /// New worker processes start at the same addresses, without any function loaded.
    Start(Vec<usize>),
    /// Workers stop answering; their connections stay open.
    Hang(Vec<usize>),
    /// Workers that hang answer again.
    Resume(Vec<usize>),
    /// All connections to these workers are reset.
    Reset(Vec<usize>),
    /// Front ends get a configuration with another address of discovery, and SIGHUP.
    MigrateDiscovery {
        /// The indexes of the front ends that get the configuration.
        nodes: Vec<usize>,
        /// Whether discovery can be reached at the new address.
        reachable: bool,
    },
    /// Front ends get SIGTERM, are killed at the earliest time that the platform allows, and start again.
    Restart(Vec<usize>),
    /// Front ends are killed without notice, and start again.
    Kill(Vec<usize>),
    /// The load becomes this part of the planned load, in percent.
    ScaleLoad(u32),
}

/// A step and its time from the begin of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// The time at which the step is executed.
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

/// The time limits of the rules and what front ends may do, which are part of their settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long after the notification of a drain new work may still be sent to the worker.
    pub drain_grace: Duration,
    /// How long clients wait for an answer.
    pub client_timeout: Duration,
    /// How long a worker warms up after its start.
    pub slow_start: Duration,
    /// Whether front ends may check the health of workers.
    pub health_checks: bool,
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
    /// The time limits of the rules in this run.
    pub settings: Settings,
    /// How long the load lasts.
    pub duration: Duration,
    /// The steps, by time.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// The same plan for front ends that may not check the health of workers.
    #[must_use]
    pub fn without_health_checks(mut self) -> Plan {
        self.settings.health_checks = false;
        self
    }

    /// The same plan with discovery in reach all the time. The share of calls served with an outage is compared with that
    /// of this plan.
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
