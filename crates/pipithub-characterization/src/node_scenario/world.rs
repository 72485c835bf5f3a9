//! The simulation of a scenario: events that are due become inputs of the node, and its effects schedule further events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::clients::Client;
use super::configuration::{Configuration, ListedWorker, endpoint_event};
use super::workers::WorkerConnection;
use super::{Effect, MILLISECOND, Node, SECOND};
use crate::random::Random;
use crate::recording::Transcript;
use crate::schedule::Schedule;

/// The maximum number of ended calls whose names are kept for retries by clients.
const MAX_ENDED_CALLS: usize = 32;
/// A node that has more effects than this in a scenario is assumed never to stop acting.
const MAX_EFFECTS: u64 = 200_000;
/// The scenario ends this long after the shutdown begins, even if the node has not stopped.
const MAX_STOP_TIME: u64 = 10 * SECOND;
/// How long workers go on responding after the shutdown begins, in scenarios in which they stop. The node still accepts calls
/// for a while during the shutdown; workers stop responding shortly before that period ends.
const WORKERS_RESPOND_AFTER_STOP: u64 = 600 * MILLISECOND;

/// Idle times, in nanoseconds, after which a connection breaks when it is used again; in most scenarios this never happens.
const IDLE_BREAK_TIMES: [u64; 5] = [
    100 * MILLISECOND,
    700 * MILLISECOND,
    u64::MAX,
    u64::MAX,
    u64::MAX,
];

/// An event of the scenario.
#[derive(Debug)]
pub(super) enum Event {
    ClientActs,
    EndpointsChange,
    Statistics,
    AddressResponds {
        address: String,
    },
    WorkerConnected {
        connection: u64,
    },
    ConnectFailed {
        connection: u64,
        local_cause: bool,
    },
    ConnectionBreaks {
        connection: u64,
    },
    WriteBlocked {
        connection: u64,
        written: u64,
    },
    WriteUnblocked {
        connection: u64,
    },
    WorkerResponds {
        connection: u64,
        response: &'static str,
        reference: String,
    },
}

#[derive(Debug)]
pub(super) struct Function {
    pub(super) name: u64,
    pub(super) class: usize,
    pub(super) properties: String,
}

/// The duration of a scenario and the mean time between two actions of clients, in nanoseconds.
struct Timing {
    duration: u64,
    mean_client_gap: u64,
}

/// The state of a running scenario. Times are in nanoseconds.
pub(super) struct World<'a, N> {
    pub(super) random: Random,
    pub(super) schedule: Schedule<Event>,
    pub(super) node: N,
    pub(super) now: u64,
    pub(super) configuration: Configuration,
    pub(super) functions: Vec<Function>,
    pub(super) clients: BTreeMap<u64, Client>,
    pub(super) worker_connections: BTreeMap<u64, WorkerConnection>,
    /// Addresses of workers that do not respond.
    pub(super) unresponsive_addresses: BTreeSet<String>,
    pub(super) clients_silent_until: u64,
    /// Names of calls that have ended.
    pub(super) ended_calls: VecDeque<String>,
    /// The mean time between two actions of clients.
    pub(super) mean_client_gap: u64,
    pub(super) transcript: &'a mut Transcript,
    /// A connection that was idle for this long breaks when it is used again.
    pub(super) idle_break_after: u64,
    duration: u64,
    listed_workers: Vec<ListedWorker>,
    list_version: u64,
    effects: u64,
}

/// Runs the scenario of a seed against the node that `start` creates from a time and a configuration.
pub fn run<N: Node>(seed: u64, start: impl FnOnce(u64, &str) -> N, transcript: &mut Transcript) {
    let mut world = World::draw(seed, start, transcript);
    let stop = world.now + world.duration;
    world.run_until(stop, |_| false);
    world.record_input("stop", "stop".to_string());
    world.node.stop(world.now);
    let latest_stop = world.now + MAX_STOP_TIME;
    world.run_until(world.now + WORKERS_RESPOND_AFTER_STOP, |_| false);
    if world.random.per_mille(500) {
        world.make_all_unresponsive();
    }
    world.run_until(latest_stop, |world| {
        world.node.stopped(world.now) || world.node.deadline_passed(world.now)
    });
    world.statistics();
    if world.node.stopped(world.now) {
        world.transcript.count("scenario stopped in time");
    }
}

impl<'a, N: Node> World<'a, N> {
    fn draw(seed: u64, start: impl FnOnce(u64, &str) -> N, transcript: &'a mut Transcript) -> Self {
        let mut random = Random::new(seed);
        let configuration = Configuration::draw(&mut random);
        let listed_workers = draw_workers(&mut random);
        let functions = draw_functions(&mut random, &configuration);
        let now = 1_000_000 * SECOND + random.between(0, 999) * MILLISECOND;
        let mut known_events = vec![endpoint_event(1, true, listed_workers.iter())];
        if random.per_mille(300) {
            known_events.push(endpoint_event(2, false, listed_workers.iter().take(1)));
        }
        let text = configuration.text(&known_events);
        transcript.input(&format!("{now} {text}"));
        let timing = Timing::draw(&mut random);
        let mut world = World {
            schedule: Schedule::default(),
            node: start(now, &text),
            now,
            configuration,
            functions,
            clients: BTreeMap::new(),
            worker_connections: BTreeMap::new(),
            unresponsive_addresses: BTreeSet::new(),
            clients_silent_until: 0,
            ended_calls: VecDeque::new(),
            idle_break_after: random.pick(&IDLE_BREAK_TIMES),
            duration: timing.duration,
            mean_client_gap: timing.mean_client_gap,
            transcript,
            listed_workers,
            list_version: known_events.len() as u64,
            effects: 0,
            random,
        };
        world.schedule.add(now, Event::ClientActs);
        world
            .schedule
            .add(now + 300 * MILLISECOND, Event::EndpointsChange);
        world
            .schedule
            .add(now + 500 * MILLISECOND, Event::Statistics);
        world
    }

    /// Lets time pass until `until`, or until the condition holds.
    fn run_until(&mut self, until: u64, is_finished: impl Fn(&Self) -> bool) {
        while self.now < until && !is_finished(self) {
            let scheduled = self.schedule.next_due().unwrap_or(u64::MAX);
            let due = scheduled.min(self.node.next_due()).max(self.now).min(until);
            self.now = due;
            while let Some(event) = self.schedule.take_due(self.now) {
                self.handle(event);
                self.perform_effects();
            }
            if self.node.next_due() <= self.now {
                self.transcript.input(&format!("{} tick", self.now));
                self.node.tick(self.now);
                self.perform_effects();
            }
        }
    }

    /// Records an input and counts it under a kind.
    pub(super) fn record_input(&mut self, kind: &str, text: String) {
        self.transcript.count(&format!("in {kind}"));
        self.transcript.input(&format!("{} {text}", self.now));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientActs if self.now < self.clients_silent_until => {
                self.schedule
                    .add(self.clients_silent_until, Event::ClientActs);
            }
            Event::ClientActs => self.client_acts(),
            Event::EndpointsChange => self.change_endpoints(),
            Event::Statistics => {
                self.schedule
                    .add(self.now + 500 * MILLISECOND, Event::Statistics);
                self.statistics();
            }
            Event::AddressResponds { address } => {
                self.unresponsive_addresses.remove(&address);
            }
            Event::WorkerConnected { connection } => self.connected(connection),
            Event::ConnectFailed {
                connection,
                local_cause,
            } => self.connect_failed(connection, local_cause),
            Event::ConnectionBreaks { connection } => self.connection_breaks(connection),
            Event::WriteBlocked {
                connection,
                written,
            } => self.write_blocked(connection, written),
            Event::WriteUnblocked { connection } => self.write_unblocked(connection),
            Event::WorkerResponds {
                connection,
                response,
                reference,
            } => {
                self.worker_responds(connection, response, &reference);
            }
        }
    }

    fn statistics(&mut self) {
        let statistics = self.node.statistics();
        self.transcript
            .output(&format!("{} figures {statistics}", self.now));
    }

    fn perform_effects(&mut self) {
        loop {
            let effects = self.node.effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.effects += 1;
                assert!(self.effects < MAX_EFFECTS, "the node acts without end");
                self.transcript.count(&format!("out {}", effect.kind()));
                self.transcript.output(&effect.text());
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Connect {
                connection,
                address,
                within,
            } => self.connect(connection, address, within),
            Effect::Write { connection, bytes } if self.clients.contains_key(&connection) => {
                self.client_receives(connection, &bytes);
            }
            Effect::Write { connection, bytes } => self.write_to_worker(connection, &bytes),
            Effect::CancelWrite {
                connection,
                at,
                length,
            } => self.cancel_write(connection, at, length),
            Effect::Close { connection } => {
                self.clients.remove(&connection);
                self.worker_connections.remove(&connection);
            }
            Effect::Retire { connection } => {
                self.record_input("client retired", format!("client retired {connection}"));
                self.node.client_retired(self.now, connection);
            }
        }
    }

    fn client_receives(&mut self, connection: u64, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let kind = response_kind(&text);
        self.transcript.count(&format!("client answer {kind}"));
        let line: serde_json::Value =
            serde_json::from_str(&text).expect("the node writes JSON to clients");
        let Some(id) = line["id"].as_u64() else {
            return;
        };
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        if let Some(index) = client.pending.iter().position(|call| call.id == id) {
            let call = client.pending.remove(index);
            self.remember_ended(call.name);
        }
    }

    pub(super) fn remember_ended(&mut self, name: String) {
        if self.ended_calls.len() >= MAX_ENDED_CALLS {
            self.ended_calls.pop_front();
        }
        self.ended_calls.push_back(name);
    }

    fn change_endpoints(&mut self) {
        let next = self.random.between(50, 900) * MILLISECOND;
        self.schedule.add(self.now + next, Event::EndpointsChange);
        let worker = self.random.between(0, self.listed_workers.len() as u64 - 1) as usize;
        match self.random.between(0, 9) {
            0 => self.set_health(worker, "DRAINING"),
            1 => self.set_health(worker, "DELETED"),
            2 | 3 => self.restart_worker(worker),
            4 => self.add_worker(),
            5 => self.publish_all(),
            6 => {
                // The versions of a new configuration start again from 1.
                self.list_version = 0;
                self.publish_all();
            }
            7 => {
                let address = self.listed_workers[worker].address.clone();
                let until = self.now + self.random.between(200, 2_500) * MILLISECOND;
                self.unresponsive_addresses.insert(address.clone());
                self.schedule.add(until, Event::AddressResponds { address });
            }
            8 => {
                let address = self.listed_workers[worker].address.clone();
                self.break_connections(&address);
            }
            _ => self.change_address(worker),
        }
    }

    fn set_health(&mut self, worker: usize, health: &'static str) {
        self.listed_workers[worker].health = health;
        self.publish_change(worker);
        if health == "DELETED" {
            let address = self.listed_workers[worker].address.clone();
            self.break_connections(&address);
        }
    }

    fn restart_worker(&mut self, worker: usize) {
        let address = self.listed_workers[worker].address.clone();
        self.break_connections(&address);
        self.listed_workers[worker].health = "SERVING";
        self.listed_workers[worker].started = self.now / MILLISECOND;
        self.publish_change(worker);
    }

    fn add_worker(&mut self) {
        let number = self.listed_workers.len() as u64;
        let mut worker = ListedWorker::draw(&mut self.random, number);
        worker.started = self.now / MILLISECOND;
        self.listed_workers.push(worker);
        self.publish_change(number as usize);
    }

    /// Makes all workers stop responding.
    fn make_all_unresponsive(&mut self) {
        self.unresponsive_addresses.extend(
            self.listed_workers
                .iter()
                .map(|worker| worker.address.clone()),
        );
    }

    /// Moves a worker to another address.
    fn change_address(&mut self, worker: usize) {
        let number = self.random.between(0, 60_000);
        self.listed_workers[worker].address =
            format!("10.1.{}.{}:8080", number / 256, number % 256);
        self.publish_change(worker);
    }

    fn publish_change(&mut self, worker: usize) {
        self.list_version += 1;
        let event = endpoint_event(
            self.list_version,
            false,
            self.listed_workers[worker..=worker].iter(),
        );
        self.record_input("list change", event.clone());
        self.node.update_endpoints(self.now, &event);
    }

    fn publish_all(&mut self) {
        self.list_version += 1;
        let listed = self
            .listed_workers
            .iter()
            .filter(|worker| worker.health != "DELETED");
        let event = endpoint_event(self.list_version, true, listed);
        self.record_input("list whole", event.clone());
        self.node.update_endpoints(self.now, &event);
    }
}

/// The kind under which a response to a client is counted.
fn response_kind(text: &str) -> &'static str {
    if text.contains("\"body\"") {
        "served"
    } else if text.contains("\"healthy\"") {
        "health"
    } else if text.contains("-32050") && text.contains("pushback") {
        "refused with a time"
    } else if text.contains("-32050") {
        "refused without a time"
    } else if text.contains("-32000") {
        "failed"
    } else {
        "other error"
    }
}

fn draw_workers(random: &mut Random) -> Vec<ListedWorker> {
    let (low, high) = random.pick(&[
        (1, 2),
        (2, 8),
        (2, 8),
        (3, 15),
        (8, 40),
        (8, 40),
        (40, 100),
        (520, 600),
    ]);
    (0..random.between(low, high))
        .map(|number| ListedWorker::draw(random, number))
        .collect()
}

fn draw_functions(random: &mut Random, configuration: &Configuration) -> Vec<Function> {
    let (low, high) = random.pick(&[(1, 20), (20, 60), (60, 150)]);
    (0..random.between(low, high))
        .map(|_| Function::draw(random, configuration))
        .collect()
}

impl Timing {
    /// Draws a timing: a few scenarios are long, with fewer client actions per second.
    fn draw(random: &mut Random) -> Self {
        if random.per_mille(120) {
            Timing {
                duration: random.between(25, 45) * SECOND,
                mean_client_gap: random.between(20, 50) * MILLISECOND,
            }
        } else {
            Timing {
                duration: random.between(6, 14) * SECOND,
                mean_client_gap: random.between(4, 30) * MILLISECOND,
            }
        }
    }
}

impl Function {
    fn draw(random: &mut Random, configuration: &Configuration) -> Self {
        let load = if random.per_mille(500) {
            format!(";load_ms:{}", random.between(20, 600))
        } else {
            String::new()
        };
        Function {
            name: random.number(),
            class: random.between(0, configuration.classes.len() as u64 - 1) as usize,
            properties: format!(
                "memory_mb:{};lanes:{}{load}",
                random.between(64, 2_500),
                random.between(1, 4)
            ),
        }
    }
}
