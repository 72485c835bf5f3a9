//! Events that a simulated fleet has scheduled, in the order of their times.

use std::collections::BTreeMap;

use pipithub_policy::api::{
    AttemptFinished, EndpointListContact, HealthCheckOutcome, LoadFinished, Request, RequestId,
    Time,
};

/// Identifies an attempt by its request and its number, which counts from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    pub number: u32,
}

/// An event that is scheduled for a time.
pub(crate) enum ScheduledEvent {
    /// A client sends a new request; then the next arrival is scheduled.
    RequestArrives,
    /// A client retries a request, which gets a new id.
    ClientRetries(Request),
    TimerExpires(u64),
    StreamingBegins(RequestId),
    AttemptEnds(AttemptFinished),
    ClientCancels(RequestId),
    LoadPollEnds {
        worker: usize,
        answered: bool,
    },
    LoadCommandEnds(LoadFinished),
    /// Some workers change; then the next change is scheduled.
    EndpointsChange,
    DiscoveryContact(EndpointListContact),
    DiscoveryReturns,
    WorkerDisconnects(usize),
    HealthCheckEnds {
        worker: usize,
        outcome: HealthCheckOutcome,
        sent_at: Time,
        connected_at: Time,
    },
    MassRemoval,
    MassReturn,
}

/// The events to come, by time; events of the same time come in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct Schedule {
    events: BTreeMap<(Time, u64), ScheduledEvent>,
    scheduled: u64,
}

impl Schedule {
    pub(crate) fn push(&mut self, at: Time, event: ScheduledEvent) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    pub(crate) fn pop(&mut self) -> Option<(Time, ScheduledEvent)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
