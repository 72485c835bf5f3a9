//! The endpoint lists that front ends receive, and how front ends start and end.

use super::MILLISECOND;
use super::event::FrontEndEvent;
use super::tier::EndpointState;
use super::world::{FrontEndModel, World};

impl World<'_> {
    pub(super) fn emit_endpoints(&mut self, front_end: usize, kind: &str, workers: &[usize]) {
        let recipient = &mut self.front_ends[front_end];
        recipient.revision += 1;
        let revision = recipient.revision;
        let head = format!(
            "backends_changed {front_end} {revision} {kind} {}",
            workers.len()
        );
        self.emit(&format!("backends_changed {kind}"), head);
        for number in workers {
            let worker = &self.workers[*number];
            self.lines.push(worker.entry_line());
            self.workers_by_address
                .insert(worker.address.clone(), *number);
        }
    }

    /// The workers in the endpoint list.
    pub(super) fn present_workers(&self) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|worker| self.workers[*worker].state != EndpointState::Removed)
            .collect()
    }

    /// Draws the index of a function; rare and popular functions are equally likely.
    pub(super) fn any_function(&mut self) -> usize {
        self.random.between(0, self.functions.len() as u64 - 1) as usize
    }

    pub(super) fn notify_changes(&mut self, workers: &[usize]) {
        for front_end in 0..self.front_ends.len() {
            if self.front_ends[front_end].subscribed {
                self.emit_endpoints(front_end, "incr", workers);
            }
        }
    }

    pub(super) fn notify_all(&mut self, kind: &str) {
        let present = self.present_workers();
        for front_end in 0..self.front_ends.len() {
            if self.front_ends[front_end].subscribed {
                self.emit_endpoints(front_end, kind, &present);
            }
        }
    }

    pub(super) fn subscription_answer(&mut self, front_end: usize) {
        if self.random.per_mille(200) {
            return self.emit_endpoints(front_end, "lost", &[]);
        }
        self.front_ends[front_end].subscribed = true;
        let present = self.present_workers();
        self.emit_endpoints(front_end, "total", &present);
    }

    pub(super) fn lose_subscription(&mut self) {
        let front_end = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        if self.settings.watch_on_request && self.front_ends[front_end].subscribed {
            self.front_ends[front_end].subscribed = false;
            self.emit_endpoints(front_end, "lost", &[]);
        }
    }

    /// Starts a front end, with an endpoint list that may be stale.
    pub(super) fn attach(&mut self, number: usize) {
        self.release_attempts(number);
        let incarnation = self.front_ends[number].incarnation + 1;
        let subscribed = !self.settings.watch_on_request;
        self.front_ends[number] = FrontEndModel {
            incarnation,
            subscribed,
            ..FrontEndModel::default()
        };
        let seed = self.random.number() >> 1;
        let text = self.settings.text(number as u64);
        self.emit("attach", format!("attach {number} {seed} {text}"));
        let stale: Vec<_> = self
            .present_workers()
            .into_iter()
            .filter(|_| !self.random.per_mille(100))
            .collect();
        self.emit_endpoints(number, "warm_copy", &stale);
        if subscribed {
            let at = self.now + self.random.between(0, 200) * MILLISECOND;
            self.schedule_for(number, at, FrontEndEvent::SubscriptionAnswer);
        }
    }

    /// Removes the attempts of a front end that ends from the attempts in flight at the workers.
    pub(super) fn release_attempts(&mut self, front_end: usize) {
        let attempts = self.front_ends[front_end]
            .requests
            .values()
            .flat_map(|request| &request.attempts);
        for attempt in attempts.filter(|attempt| !attempt.ended) {
            let worker = &mut self.workers[attempt.worker];
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn restart_front_end(&mut self) {
        let number = self.random.between(0, self.front_ends.len() as u64 - 1) as usize;
        // Lines for the front end that are already in the batch stay: they were emitted before it was killed.
        self.emit("killed", format!("killed {number}"));
        self.attach(number);
    }

    pub(super) fn emit_peer_message(&mut self) {
        let number = self.random.between(0, self.front_ends.len() as u64 - 1);
        let bytes = if self.random.per_mille(200) {
            "-".into()
        } else {
            format!("{:016x}", self.random.number())
        };
        self.emit("heard", format!("heard {number} 1 {bytes}"));
    }
}
