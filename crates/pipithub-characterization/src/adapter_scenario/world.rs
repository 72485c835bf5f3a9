//! The simulation of a scenario: events that are due become lines of a batch, and the actions of the reply schedule further
//! events.

use std::collections::BTreeMap;

use super::event::{Event, FrontEndEvent};
use super::requests::{Function, Request};
use super::settings::Settings;
use super::tier::Worker;
use super::{MILLISECOND, SECOND};
use crate::random::Random;
use crate::recording::Transcript;
use crate::schedule::Schedule;

/// The maximum number of workers of a scenario.
pub(super) const MAX_WORKERS: usize = 700;
/// The maximum number of workers up to which a front end considers all of them.
const MAX_CONSIDERED: usize = 512;
/// A program that takes more actions than this in a scenario is assumed never to stop acting.
const MAX_ACTIONS: u64 = 400_000;

/// The program under test.
pub trait LineProtocol {
    /// Sends one batch, with its `end` line, and returns the reply, with its `end` line.
    fn exchange(&mut self, batch: &str) -> String;
}

/// What the scenario knows of a front end.
#[derive(Debug, Default)]
pub(super) struct FrontEndModel {
    /// The number of starts of the front end so far.
    pub(super) incarnation: u64,
    pub(super) requests: BTreeMap<u64, Request>,
    /// Whether the front end receives changes of the endpoint list.
    pub(super) subscribed: bool,
    /// The number of the last endpoint list update sent to the front end.
    pub(super) revision: u64,
}

/// A period in which some attempts fail at every worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ErrorBurst {
    /// How many of a thousand attempts fail.
    pub(super) per_mille: u64,
    pub(super) until: u64,
}

/// The duration of a scenario and the mean time between two requests, in nanoseconds.
struct Timing {
    duration: u64,
    mean_arrival_gap: u64,
}

/// The state of a running scenario. Times are in nanoseconds.
pub(super) struct World<'a> {
    pub(super) random: Random,
    pub(super) schedule: Schedule<Event>,
    pub(super) workers: Vec<Worker>,
    pub(super) now: u64,
    pub(super) loads_fail_until: u64,
    pub(super) settings: Settings,
    pub(super) functions: Vec<Function>,
    pub(super) front_ends: Vec<FrontEndModel>,
    pub(super) workers_by_address: BTreeMap<String, usize>,
    pub(super) next_request: u64,
    pub(super) errors_on_all_workers: ErrorBurst,
    pub(super) duration: u64,
    pub(super) mean_arrival_gap: u64,
    pub(super) lines: Vec<String>,
    pub(super) actions: u64,
    pub(super) transcript: &'a mut Transcript,
}

/// Runs the scenario of a seed against the program under test.
pub fn run(seed: u64, program: &mut impl LineProtocol, transcript: &mut Transcript) {
    let mut world = World::draw(seed, transcript);
    let end = world.now + world.duration;
    for front_end in 0..world.front_ends.len() {
        world.attach(front_end);
    }
    while world.now < end {
        world.handle_due_events();
        let batch = world.take_batch();
        let reply = program.exchange(&batch);
        world.perform_reply(&reply);
        let granularity = world.settings.granularity;
        let due = world
            .schedule
            .next_due()
            .unwrap_or(end)
            .max(world.now + granularity);
        world.now = due.div_ceil(granularity) * granularity;
    }
}

impl<'a> World<'a> {
    fn draw(seed: u64, transcript: &'a mut Transcript) -> Self {
        let mut random = Random::new(seed);
        let settings = Settings::draw(&mut random);
        let (low, high) =
            random.pick(&[(1, 3), (2, 12), (10, 40), (10, 40), (40, 120), (500, 690)]);
        let workers: Vec<_> = (0..random.between(low, high))
            .map(|number| Worker::draw(&mut random, number))
            .collect();
        let is_small = workers.len() <= MAX_CONSIDERED;
        transcript.count(if is_small {
            "scenario with at most 512 workers"
        } else {
            "scenario with more than 512 workers"
        });
        let (low, high) = random.pick(&[(1, 10), (10, 40), (40, 120)]);
        let functions = (0..random.between(low, high))
            .map(|_| Function::draw(&mut random, &settings))
            .collect();
        let timing = Timing::draw(&mut random);
        let mut world = World {
            schedule: Schedule::default(),
            now: 1_000 * SECOND + random.between(0, 50) * SECOND,
            loads_fail_until: 0,
            functions,
            front_ends: (0..random.between(1, 3))
                .map(|_| FrontEndModel::default())
                .collect(),
            workers_by_address: BTreeMap::new(),
            next_request: 1,
            errors_on_all_workers: ErrorBurst::default(),
            duration: timing.duration,
            mean_arrival_gap: timing.mean_arrival_gap,
            lines: Vec::new(),
            actions: 0,
            random,
            settings,
            workers,
            transcript,
        };
        world.schedule.add(
            world.now + MILLISECOND,
            Event::Arrival {
                recurring: true,
                function: None,
            },
        );
        world
            .schedule
            .add(world.now + 500 * MILLISECOND, Event::Incident);
        world
    }

    /// Handles all events that are due, most of which add lines to the batch.
    fn handle_due_events(&mut self) {
        while let Some(event) = self.schedule.take_due(self.now) {
            self.handle(event);
        }
    }

    fn take_batch(&mut self) -> String {
        let mut batch = format!("sync {}\n", self.now);
        for line in std::mem::take(&mut self.lines) {
            batch.push_str(&line);
            batch.push('\n');
        }
        batch.push_str("end\n");
        batch.lines().for_each(|line| self.transcript.input(line));
        batch
    }

    fn perform_reply(&mut self, reply: &str) {
        for line in reply.lines() {
            self.transcript.output(line);
            if line != "end" {
                self.actions += 1;
                assert!(self.actions < MAX_ACTIONS, "the program acts without end");
                self.perform(line);
            }
        }
    }

    /// Adds a line to the batch and counts it under a kind.
    pub(super) fn emit(&mut self, kind: &str, line: String) {
        self.transcript.count(&format!("in {kind}"));
        self.lines.push(line);
    }

    /// Schedules an event for the current incarnation of a front end.
    pub(super) fn schedule_for(&mut self, front_end: usize, at: u64, event: FrontEndEvent) {
        let incarnation = self.front_ends[front_end].incarnation;
        let event = Event::FrontEnd {
            front_end,
            incarnation,
            event,
        };
        self.schedule.add(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival {
                recurring,
                function,
            } => self.request_arrives(recurring, function),
            Event::Incident => self.incident(),
            Event::StateChanges { worker, state } => self.publish_state(worker, state),
            Event::Restarted { worker } => self.restarted(worker),
            Event::Recovered { worker } => self.recovered(worker),
            Event::FrontEnd {
                front_end,
                incarnation,
                event,
            } => {
                if self.front_ends[front_end].incarnation == incarnation {
                    self.handle_front_end_event(front_end, event);
                }
            }
        }
    }

    fn handle_front_end_event(&mut self, front_end: usize, event: FrontEndEvent) {
        match event {
            FrontEndEvent::Line { line } => {
                self.emit(line.split(' ').next().unwrap_or_default(), line.clone());
            }
            FrontEndEvent::SubscriptionAnswer => self.subscription_answer(front_end),
            FrontEndEvent::StreamBegins { request, attempt } => {
                self.stream_begins(front_end, request, attempt);
            }
            FrontEndEvent::AttemptEnds {
                request,
                attempt,
                status,
                detail,
            } => self.attempt_ends(front_end, request, attempt, status, detail),
            FrontEndEvent::Deadline { request } => self.deadline(front_end, request),
            FrontEndEvent::ClientCancels { request } => self.client_cancels(front_end, request),
            FrontEndEvent::HealthCheckEnds { worker, sent } => {
                self.health_check_ends(front_end, &worker, sent);
            }
            FrontEndEvent::LoadCommandEnds {
                worker,
                function,
                sent,
                status,
            } => {
                let replicas = u64::from(status == "S");
                let elapsed = self.now - sent;
                let line = format!(
                    "brought_up {front_end} {worker} {function:016x} {status} {elapsed} {replicas}"
                );
                self.emit(&format!("brought_up {status}"), line);
            }
        }
    }
}

impl Timing {
    /// Draws a timing: a few scenarios are long, with fewer requests per second.
    fn draw(random: &mut Random) -> Self {
        if random.per_mille(120) {
            Timing {
                duration: random.between(25, 40) * SECOND,
                mean_arrival_gap: random.between(20, 50) * MILLISECOND,
            }
        } else {
            Timing {
                duration: random.between(6, 14) * SECOND,
                mean_arrival_gap: random.between(4, 40) * MILLISECOND,
            }
        }
    }
}
