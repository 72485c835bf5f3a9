//! Events that a simulated fleet has scheduled, in the order of their times.

use std::collections::BTreeMap;

use pipithub_policy::api::{
    AttemptFinished, EndpointListContact, HealthCheckOutcome, LoadFinished, Request, RequestId,
    Time,
};

/// An attempt at a request, by its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    pub number: u32,
}

/// What is to happen at a time.
pub(crate) enum ScheduledEvent {
    /// A client sends a new request; the one after it is scheduled then.
    RequestArrives,
    /// A client sends a request once more, as a new one.
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
    /// Some workers change; the next change is scheduled then.
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

/// The events that are to come; those of one time in the order in which they were scheduled.
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
