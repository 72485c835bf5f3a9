//! Outages of discovery: contacts that do not come, changes of workers of which the front end is notified late, and
//! health checks.

use std::collections::BTreeSet;

use pipithub_policy::api::{
    EndpointListContact, EndpointState, EndpointUpdate, Event, HealthCheckOutcome, HealthChecked,
    Time, WorkerId,
};
use rand::RngExt;

use super::SimulatedFleet;
use super::drain_rule::{BREAK_NOTIFICATION_DELAY, SILENCE_NOTIFICATION_DELAY};
use super::draws::Purpose;
use super::scenario::{MS, Scenario};
use super::schedule::ScheduledEvent;

/// The interval at which discovery confirms that the endpoint list is current.
const CONFIRMATION_INTERVAL: Time = 1_000 * MS;
/// The front end gives up a stream on which nothing came for this long, and requests the list again.
const SILENCE_TIMEOUT: Time = 1_600 * MS;
/// The probability that a health check or its answer is lost.
const CHECK_LOSS_PROBABILITY: f64 = 0.05;
/// The probability that the front end has a connection to a worker that restarts, and sees it close.
const KNOWN_CONNECTION_PROBABILITY: f64 = 0.7;
/// The longest drain grace of the scenarios, in units of 250 ms.
const MAX_GRACE_STEPS: u64 = 8;

/// Whether an outage begins with a connection that breaks; in every other one it stays open.
fn breaks_connection(outage: usize) -> bool {
    outage.is_multiple_of(2)
}

impl Scenario {
    /// The same scenario with outages of discovery, a random drain grace, and settings that allow health checks.
    pub(crate) fn with_outages(mut self) -> Scenario {
        let mut random = super::generator(self.seed, Purpose::Outage, 0, 0);
        self.settings.limits.health_checks = true;
        let grace = random.random_range(0..=MAX_GRACE_STEPS) * 250 * MS;
        self.settings.drain_grace = Some(grace).filter(|grace| *grace > 0);
        let mut at = self.start + random.random_range(0..3_000) * MS;
        while at < self.start + self.duration {
            let until = at + random.random_range(100..20_000) * MS;
            self.discovery_outages.push((at, until));
            at = until + random.random_range(100..15_000) * MS;
        }
        self
    }

    /// Forbids health checks, so that nothing shows whether workers are in service during an outage.
    pub(crate) fn without_health_checks(mut self) -> Scenario {
        self.settings.limits.health_checks = false;
        self
    }
}

impl SimulatedFleet {
    /// Schedules the contacts with discovery and the ends of its outages, if the scenario has outages.
    pub(super) fn schedule_discovery(&mut self) {
        if self.scenario.discovery_outages.is_empty() {
            return;
        }
        let contact = ScheduledEvent::DiscoveryContact;
        self.schedule
            .push(self.now, contact(EndpointListContact::Started));
        self.schedule
            .push(self.now + MS, contact(EndpointListContact::Requested));
        self.schedule.push(
            self.now + CONFIRMATION_INTERVAL,
            contact(EndpointListContact::Current),
        );
        for (number, (from, until)) in self
            .scenario
            .discovery_outages
            .clone()
            .into_iter()
            .enumerate()
        {
            if breaks_connection(number) {
                self.schedule
                    .push(from, contact(EndpointListContact::Disconnected));
            }
            for at in self.request_times(number, from, until) {
                self.schedule
                    .push(at, contact(EndpointListContact::Requested));
            }
            self.schedule.push(until, ScheduledEvent::DiscoveryReturns);
        }
    }

    /// When the front end requests the list because of an outage. In half of the outages connections are refused until
    /// the outage ends; in the others requests are accepted, and remain unanswered.
    fn request_times(&self, number: usize, from: Time, until: Time) -> Vec<Time> {
        let mut random = self.random_for(Purpose::DiscoveryRequest, number as u64, 0);
        let noticed_at = if breaks_connection(number) {
            from
        } else {
            from + SILENCE_TIMEOUT
        };
        if noticed_at >= until {
            return Vec::new();
        }
        let mut times = vec![until];
        if random.random_bool(0.5) {
            let mut at = noticed_at + random.random_range(25..100) * MS;
            while at < until {
                times.push(at);
                at += random.random_range(300..2_500) * MS;
            }
        }
        times
    }

    /// The outage of discovery in which the simulated time is, with its number.
    fn current_outage(&self) -> Option<(usize, Time)> {
        let outages = self.scenario.discovery_outages.iter().enumerate();
        outages
            .filter(|(_, (from, until))| (*from..*until).contains(&self.now))
            .map(|(number, (from, _))| (number, *from))
            .next()
    }

    /// Whether discovery is out of reach now.
    pub(super) fn is_discovery_unreachable(&self) -> bool {
        self.current_outage().is_some()
    }

    pub(super) fn discovery_contact(&mut self, contact: EndpointListContact) -> Option<Event> {
        if contact == EndpointListContact::Current {
            let next = self.now + CONFIRMATION_INTERVAL;
            self.schedule
                .push(next, ScheduledEvent::DiscoveryContact(contact));
        }
        if contact == EndpointListContact::Current && self.is_discovery_unreachable() {
            return None;
        }
        if contact == EndpointListContact::Requested {
            self.drain_rule.record_request(self.now);
        }
        self.count("discovery contact");
        Some(Event::EndpointListContact(contact))
    }

    /// Delays the notification of changed workers until discovery is in reach again. Workers that have just restarted
    /// close their connections, if the front end has one.
    pub(super) fn delay_change(&mut self, changed: BTreeSet<usize>) {
        self.count("change delayed");
        let notified_at = self.notified_at();
        for &worker in &changed {
            if self.workers.get(worker).endpoint.state == EndpointState::Ready {
                self.drain_rule.record_in_service(worker);
            } else {
                self.drain_rule.record_out_of_service(worker, notified_at);
            }
            let has_connection = self
                .endpoint_random
                .random_bool(KNOWN_CONNECTION_PROBABILITY);
            if self.workers.get(worker).endpoint.started_at == Some(self.now) && has_connection {
                self.schedule
                    .push(self.now + MS, ScheduledEvent::WorkerDisconnects(worker));
            }
        }
        self.delayed_changes.extend(changed);
    }

    /// When a change that happens now counts as notified at the latest.
    fn notified_at(&self) -> Time {
        self.current_outage().map_or(self.now, |(number, from)| {
            let delay = if breaks_connection(number) {
                BREAK_NOTIFICATION_DELAY
            } else {
                SILENCE_NOTIFICATION_DELAY
            };
            self.now.max(from + delay)
        })
    }

    /// Checks the rule on drains for new work that the front end sends to a worker now.
    pub(super) fn check_new_work(&self, worker: &WorkerId) {
        if let Some(worker) = self.workers.index_of(worker) {
            let drain_grace = self.scenario.settings.drain_grace;
            self.drain_rule
                .check_new_work(worker, drain_grace, self.now);
        }
    }

    /// The first update after an outage: all workers that have changed meanwhile.
    pub(super) fn discovery_returns(&mut self) -> Event {
        self.drain_rule.record_request(self.now);
        let missed = std::mem::take(&mut self.delayed_changes);
        Event::Endpoints {
            update: EndpointUpdate::Delta,
            endpoints: self.workers.endpoints(missed),
        }
    }

    pub(super) fn worker_disconnects(&mut self, worker: usize) -> Event {
        self.count("worker disconnected");
        Event::WorkerDisconnected {
            worker: self.workers.get(worker).endpoint.worker.clone(),
        }
    }

    /// Carries out a health check of a worker, and schedules its end.
    pub(super) fn check_health(&mut self, address: &WorkerId) {
        self.count("health check");
        let Some(worker) = self.workers.index_of(address) else {
            return;
        };
        let mut random = self.random_for(Purpose::HealthCheck, worker as u64, self.now);
        let state = self.workers.get(worker).endpoint.state;
        let outcome = match state {
            EndpointState::Removed => HealthCheckOutcome::Disconnected,
            _ if self.is_silent(worker) || random.random_bool(CHECK_LOSS_PROBABILITY) => {
                HealthCheckOutcome::Unanswered
            }
            EndpointState::Draining => HealthCheckOutcome::Unhealthy,
            EndpointState::Ready => HealthCheckOutcome::Healthy,
        };
        let (shortest, longest) = match outcome {
            HealthCheckOutcome::Unanswered => (40, 250),
            _ => (1, 70),
        };
        let ends_at = self.now + random.random_range(shortest..longest) * MS;
        let connected_at = self.now.saturating_sub(random.random_range(0..20_000) * MS);
        let ends = ScheduledEvent::HealthCheckEnds {
            worker,
            outcome,
            sent_at: self.now,
            connected_at,
        };
        self.schedule.push(ends_at, ends);
    }

    pub(super) fn health_check_ends(
        &mut self,
        worker: usize,
        outcome: HealthCheckOutcome,
        sent_at: Time,
        connected_at: Time,
    ) -> Event {
        self.count(match outcome {
            HealthCheckOutcome::Healthy => "health check answered well",
            HealthCheckOutcome::Unhealthy => "health check failed",
            HealthCheckOutcome::Unanswered => "health check not answered",
            HealthCheckOutcome::Disconnected => "health check disconnected",
        });
        Event::HealthChecked(HealthChecked {
            worker: self.workers.get(worker).endpoint.worker.clone(),
            outcome,
            elapsed: self.now - sent_at,
            connected_at,
        })
    }
}
