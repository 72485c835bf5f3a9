//! The expected state of endpoints, requests, attempts and load commands, from the events and actions so far.

use std::collections::{BTreeMap, BTreeSet};

use pipithub_policy::api::{
    Action, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId, Outcome, Request,
    RequestId, Settings, Time, WorkerId,
};

/// A worker as the endpoint list last described it.
pub(super) struct KnownEndpoint {
    pub(super) state: EndpointState,
    pub(super) cell: u64,
}

/// A request; it may have been cancelled before it arrived.
#[derive(Default)]
pub(super) struct KnownRequest {
    pub(super) class: usize,
    pub(super) deadline: Time,
    pub(super) attempts: u32,
    pub(super) in_flight: u32,
    /// When the last attempt was forwarded.
    pub(super) last_forwarded_at: Time,
    /// The first possible execution of the request; `None` while it cannot have been executed.
    pub(super) may_have_run: Option<Execution>,
    /// The request was served, rejected, failed or cancelled.
    pub(super) settled: bool,
}

/// When and where an attempt was sent that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct Execution {
    pub(super) forwarded_at: Time,
    pub(super) cell: u64,
}

/// An attempt that has just finished and may have been executed.
#[derive(Clone, Copy)]
pub(super) struct FinishedAttempt {
    pub(super) request: RequestId,
    pub(super) execution: Execution,
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) number: u32,
    pub(super) worker: WorkerId,
}

/// A load command that has not ended.
pub(super) struct LoadCommand {
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
}

/// A timer that was asked for, in the order of expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) due: Time,
    pub(super) token: u64,
}

/// The expected state after the events and actions so far.
pub(super) struct Model {
    pub(super) settings: Settings,
    pub(super) endpoints: BTreeMap<WorkerId, KnownEndpoint>,
    pub(super) requests: BTreeMap<RequestId, KnownRequest>,
    pub(super) in_flight: Vec<Attempt>,
    pub(super) load_commands: Vec<LoadCommand>,
    /// When each request arrived.
    pub(super) request_times: Vec<Time>,
    /// When each load command was sent.
    pub(super) load_command_times: Vec<Time>,
    timers: BTreeSet<Timer>,
}

impl Model {
    pub(super) fn new(settings: Settings) -> Model {
        Model {
            settings,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            in_flight: Vec::new(),
            load_commands: Vec::new(),
            request_times: Vec::new(),
            load_command_times: Vec::new(),
            timers: BTreeSet::new(),
        }
    }

    /// Removes and returns the timers that have expired by now, in the order of expiry.
    pub(super) fn take_due_timers(&mut self, now: Time) -> Vec<Timer> {
        let later = Timer {
            due: now + 1,
            token: 0,
        };
        let pending = self.timers.split_off(&later);
        let due = std::mem::replace(&mut self.timers, pending);
        due.into_iter().collect()
    }

    /// Notes an event that is about to be handled. Returns the attempt that the event ends, if that attempt may have
    /// been executed.
    pub(super) fn note_event(&mut self, at: Time, event: &Event) -> Option<FinishedAttempt> {
        match event {
            Event::Endpoints { update, endpoints } => self.note_endpoints(*update, endpoints),
            Event::Arrived(request) => self.note_arrival(at, request),
            Event::ClientCancelled { request } => {
                self.requests.entry(*request).or_default().settled = true;
            }
            Event::AttemptFinished(finished) => {
                let request = self.request_mut(finished.request);
                request.in_flight -= 1;
                request.settled |= finished.outcome == Outcome::Served;
                let execution = Execution {
                    forwarded_at: request.last_forwarded_at,
                    cell: self.endpoints[&finished.worker].cell,
                };
                return (!finished.outcome.never_ran()).then_some(FinishedAttempt {
                    request: finished.request,
                    execution,
                });
            }
            _ => {}
        }
        None
    }

    fn note_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            for known in self.endpoints.values_mut() {
                known.state = EndpointState::Removed;
            }
        }
        for endpoint in endpoints {
            let known = KnownEndpoint {
                state: endpoint.state,
                cell: endpoint.cell,
            };
            self.endpoints.insert(endpoint.worker.clone(), known);
        }
    }

    fn note_arrival(&mut self, at: Time, request: &Request) {
        let timeout = request.timeout.expect("each request states its timeout");
        let known = KnownRequest {
            class: request.class,
            deadline: at + timeout,
            ..KnownRequest::default()
        };
        self.requests.insert(request.id, known);
        self.request_times.push(at);
    }

    /// Notes an action that the front end has taken.
    pub(super) fn note_action(&mut self, at: Time, action: &Action) {
        match action {
            Action::Forward {
                request, worker, ..
            } => self.note_attempt(at, *request, worker),
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.request_mut(*request).settled = true;
            }
            Action::LoadFunction {
                worker, function, ..
            } => {
                self.load_command_times.push(at);
                self.load_commands.push(LoadCommand {
                    worker: worker.clone(),
                    function: *function,
                });
            }
            Action::SetTimer { after, token } => {
                self.timers.insert(Timer {
                    due: at + after,
                    token: *token,
                });
            }
            _ => {}
        }
    }

    fn note_attempt(&mut self, at: Time, id: RequestId, worker: &WorkerId) {
        let request = self.request_mut(id);
        let number = request.attempts;
        request.attempts += 1;
        request.in_flight += 1;
        request.last_forwarded_at = at;
        self.in_flight.push(Attempt {
            request: id,
            number,
            worker: worker.clone(),
        });
    }

    /// Notes a possible execution of a request, unless an earlier one is noted.
    pub(super) fn note_execution(&mut self, finished: FinishedAttempt) {
        let request = self.request_mut(finished.request);
        request.may_have_run.get_or_insert(finished.execution);
    }

    fn request_mut(&mut self, id: RequestId) -> &mut KnownRequest {
        self.requests.get_mut(&id).expect("the request is known")
    }
}
