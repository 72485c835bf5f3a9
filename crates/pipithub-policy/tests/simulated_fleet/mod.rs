//! A simulated fleet around one front end: clients, workers and faults in simulated time, drawn from the seed of a
//! [`Scenario`].
//!
//! [`SimulatedFleet::next_event`] returns one event after the other, and [`SimulatedFleet::apply`] carries out the
//! actions that the front end takes. The random numbers for a function, an attempt or a worker depend only on the seed
//! and on its number, not on what was drawn before. So two front ends in two fleets of one scenario get the same
//! events as long as they take the same actions, and a further attempt draws the same numbers even if earlier actions
//! differ.
#![allow(
    dead_code,
    reason = "each test binary and each benchmark uses only some of these items"
)]

mod attempts;
mod clients;
pub(super) mod cost;
mod discovery;
mod drain_rule;
mod draws;
mod endpoint_updates;
mod load;
mod random_scenario;
pub(super) mod scenario;
mod schedule;
mod workers;

use std::collections::{BTreeMap, BTreeSet};

use pipithub_policy::api::{Action, Event, Request, RequestId, Time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use clients::Clients;
use drain_rule::DrainRule;
use draws::{Purpose, generator, mix};
pub(super) use scenario::{MS, Scenario};
use schedule::{Schedule, ScheduledEvent};
use workers::Workers;

/// Makes the random numbers of endpoint changes differ from others with the same seed.
const ENDPOINT_SEED_MASK: u64 = 2;
/// How long a client waits at least before a retry if the final answer names no time.
const DEFAULT_RETRY_AFTER: Time = 30 * MS;

/// How often each kind of event has happened, by its name.
pub(super) type EventCounts = BTreeMap<&'static str, u64>;

/// The clients and workers of one front end.
pub(super) struct SimulatedFleet {
    pub scenario: Scenario,
    /// The events that have happened so far.
    pub counts: EventCounts,
    now: Time,
    schedule: Schedule,
    arrivals_stopped: bool,
    workers: Workers,
    clients: Clients,
    endpoint_random: SmallRng,
    /// Workers that have changed while discovery was out of reach. The front end has not been notified of it yet.
    delayed_changes: BTreeSet<usize>,
    drain_rule: DrainRule,
}

impl SimulatedFleet {
    /// The fleet at the start of a scenario.
    pub(super) fn new(scenario: Scenario) -> SimulatedFleet {
        let mut fleet = SimulatedFleet {
            counts: EventCounts::new(),
            now: scenario.start,
            schedule: Schedule::default(),
            arrivals_stopped: false,
            workers: Workers::default(),
            clients: Clients::new(&scenario),
            endpoint_random: SmallRng::seed_from_u64(mix(scenario.seed ^ ENDPOINT_SEED_MASK)),
            delayed_changes: BTreeSet::new(),
            drain_rule: DrainRule::default(),
            scenario,
        };
        for _ in 0..fleet.scenario.workers.count {
            fleet.workers.add(&fleet.scenario, fleet.now);
        }
        fleet.schedule_first_events();
        fleet
    }

    fn schedule_first_events(&mut self) {
        self.schedule_discovery();
        let changes = &self.scenario.endpoint_changes;
        self.schedule.push(self.now, ScheduledEvent::RequestArrives);
        if changes.mean_gap > 0 {
            let first_change = self.now + changes.mean_gap;
            self.schedule
                .push(first_change, ScheduledEvent::EndpointsChange);
        }
        if let Some(at) = changes.mass_removal_at {
            let returns_at = at + self.scenario.duration / 3;
            self.schedule.push(at, ScheduledEvent::MassRemoval);
            self.schedule.push(returns_at, ScheduledEvent::MassReturn);
        }
    }

    /// The next event for the front end and its time; `None` once the scenario is over.
    pub(super) fn next_event(&mut self) -> Option<(Time, Event)> {
        loop {
            let (at, scheduled) = self.schedule.pop()?;
            if at > self.scenario.start + self.scenario.duration {
                return None;
            }
            self.now = self.now.max(at);
            let is_arrival = matches!(
                scheduled,
                ScheduledEvent::RequestArrives | ScheduledEvent::ClientRetries(_)
            );
            if self.arrivals_stopped && is_arrival {
                continue;
            }
            if let Some(event) = self.event_of(scheduled) {
                return Some((at, event));
            }
        }
    }

    /// The simulated clock time.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Stops the arrival of requests, and ends the scenario after this time.
    pub(super) fn stop_arrivals(&mut self, remaining: Time) {
        self.arrivals_stopped = true;
        self.scenario.duration = self.now + remaining - self.scenario.start;
    }

    /// Whether no client waits and no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.clients.is_idle()
    }

    /// Carries out the actions that the front end took on the last event.
    pub(super) fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            self.apply_one(action);
        }
    }

    fn apply_one(&mut self, action: &Action) {
        match action {
            Action::Forward {
                request, worker, ..
            } => {
                self.check_new_work(worker);
                self.forward(*request, worker);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(*request, *attempt),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.count(if retry_after.is_some() {
                    "request rejected with retry-after"
                } else {
                    "request rejected"
                });
                self.final_answer(*request, retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
            }
            Action::Fail { request } => {
                self.count("request failed");
                self.final_answer(*request, DEFAULT_RETRY_AFTER);
            }
            Action::LoadFunction {
                worker,
                function,
                replicas,
                ..
            } => {
                self.check_new_work(worker);
                self.load_function(worker, *function, *replicas);
            }
            Action::EvictFunction { worker, function } => self.evict_function(worker, *function),
            Action::PollLoad { worker } => self.poll_load(worker),
            Action::CheckHealth { worker } => self.check_health(worker),
            Action::SetTimer { after, token } => {
                let mut random = self.random_for(Purpose::Timer, *token, self.now);
                let delay = random.random_range(0..4) * MS / 2;
                let expires_at = self.now + *after + delay;
                self.schedule
                    .push(expires_at, ScheduledEvent::TimerExpires(*token));
            }
            Action::WatchEndpoints => self.count("endpoint watch"),
        }
    }

    /// Carries out a scheduled event and returns the event that the front end gets; `None`: it gets none, for example as
    /// the attempt has ended before.
    fn event_of(&mut self, scheduled: ScheduledEvent) -> Option<Event> {
        let event = match scheduled {
            ScheduledEvent::RequestArrives => self.next_request_arrives(),
            ScheduledEvent::ClientRetries(request) => {
                let id = self.clients.next_id();
                self.count("request retried");
                self.request_arrives(Request { id, ..request })
            }
            ScheduledEvent::TimerExpires(token) => Event::Timer { token },
            ScheduledEvent::StreamingBegins(request) => self.streaming_begins(request)?,
            ScheduledEvent::AttemptEnds(finished) => self.attempt_ends(finished)?,
            ScheduledEvent::ClientCancels(request) => self.client_cancels(request)?,
            ScheduledEvent::LoadPollEnds { worker, answered } => {
                self.load_poll_ends(worker, answered)
            }
            ScheduledEvent::LoadCommandEnds(finished) => Event::LoadFinished(finished),
            ScheduledEvent::EndpointsChange => {
                let mean_gap = self.scenario.endpoint_changes.mean_gap;
                let gap = mean_gap / 2 + self.endpoint_random.random_range(0..mean_gap);
                let next_change = self.now + gap;
                self.schedule
                    .push(next_change, ScheduledEvent::EndpointsChange);
                if self.is_discovery_unreachable() {
                    let changed = self.change_some_workers();
                    self.delay_change(changed);
                    return None;
                }
                self.change_endpoints()
            }
            ScheduledEvent::DiscoveryContact(contact) => self.discovery_contact(contact)?,
            ScheduledEvent::DiscoveryReturns => self.discovery_returns(),
            ScheduledEvent::WorkerDisconnects(worker) => self.worker_disconnects(worker),
            ScheduledEvent::HealthCheckEnds {
                worker,
                outcome,
                sent_at,
                connected_at,
            } => self.health_check_ends(worker, outcome, sent_at, connected_at),
            ScheduledEvent::MassRemoval => {
                self.count("mass removal");
                self.remove_many_workers()
            }
            ScheduledEvent::MassReturn => self.return_many_workers(),
        };
        Some(event)
    }

    /// Draws the request that arrives now, and schedules the arrival of the next one.
    fn next_request_arrives(&mut self) -> Event {
        let request = self.clients.draw_request(&self.scenario);
        let next_arrival = self.now + self.clients.draw_gap(&self.scenario);
        self.schedule
            .push(next_arrival, ScheduledEvent::RequestArrives);
        self.request_arrives(request)
    }

    fn request_arrives(&mut self, request: Request) -> Event {
        self.count("request arrived");
        let profile = &self.scenario.clients;
        let mut random = self.random_for(Purpose::ClientCancellation, request.id.0, 0);
        if random.random_bool(profile.cancels) {
            let cancels_at = self.now + random.random_range(MS..=profile.cancels_within.max(MS));
            self.schedule
                .push(cancels_at, ScheduledEvent::ClientCancels(request.id));
        }
        self.clients.begin(request.clone());
        Event::Arrived(request)
    }

    fn streaming_begins(&mut self, request: RequestId) -> Option<Event> {
        let pending = self.clients.get(request)?;
        if pending.settled || pending.in_flight.is_empty() {
            return None;
        }
        self.count("streaming");
        Some(Event::Streaming { request })
    }

    fn client_cancels(&mut self, request: RequestId) -> Option<Event> {
        let pending = self.clients.get_mut(request)?;
        if pending.settled {
            return None;
        }
        pending.settled = true;
        self.count("client cancelled");
        self.clients.forget_if_complete(request);
        Some(Event::ClientCancelled { request })
    }

    /// Settles a request that the front end rejects or fails. Its client may retry, but not before `retry_after` has
    /// passed.
    fn final_answer(&mut self, id: RequestId, retry_after: Time) {
        let Some(pending) = self.clients.get_mut(id) else {
            return;
        };
        pending.settled = true;
        let request = pending.request.clone();
        let mut random = self.random_for(Purpose::FinalAnswer, id.0, 0);
        if random.random_bool(self.scenario.clients.retries) && self.clients.may_retry() {
            let retries_at = self.now + retry_after + random.random_range(0..300) * MS;
            self.schedule
                .push(retries_at, ScheduledEvent::ClientRetries(request));
        }
        self.clients.forget_if_complete(id);
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn random_for(&self, purpose: Purpose, key: u64, subkey: u64) -> SmallRng {
        generator(self.scenario.seed, purpose, key, subkey)
    }
}
